"""Heartbeats that name an incarnation which the runner hasn't confirmed yet."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from pimentobridge.daemons import containment
from pimentobridge.daemons import logs
from pimentobridge.platform import runner_status

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core.jobs import runs
    from pimentobridge.platform import heartbeats
    from pimentobridge.platform import runner as runner_lib

RETRY_PAUSE_S = 0.1
# Limit on the incarnations to be confirmed. Another writer may name any number
# of them, and the runner repeats its heartbeats.
MAX_PENDING = 8


class WorkerAnnouncements:
    """Asks the runner which of the incarnations that were named it is.

    Anybody can send a heartbeat to the agent, but only the runner answers at
    its address.

    Args:
        runner: client of the runner.
        token: returns the scheduler's fencing token.
        on_confirmed: called with the newest heartbeat of an incarnation that
            the runner has confirmed.
    """

    def __init__(
        self,
        *,
        runner: runner_lib.Runner,
        token: Callable[[], int],
        on_confirmed: Callable[[heartbeats.Heartbeat], None],
    ) -> None:
        self._runner = runner
        self._token = token
        self._on_confirmed = on_confirmed
        self._added = trio.Event()
        self._pending_by_key: collections.OrderedDict[
            runs.IncarnationKey, heartbeats.Heartbeat
        ] = collections.OrderedDict()
        # Why the runner hasn't confirmed or refused an incarnation so far.
        self._failures_by_key: dict[
            runs.IncarnationKey, runner_status.PollFailure
        ] = {}

    def add(self, heartbeat: heartbeats.Heartbeat) -> None:
        """Adds a heartbeat of an incarnation that isn't confirmed yet."""
        key = heartbeat.incarnation.key
        pending = self._pending_by_key.get(key)
        if pending is not None and pending.sequence >= heartbeat.sequence:
            return
        self._pending_by_key[key] = heartbeat
        self._pending_by_key.move_to_end(key)
        if len(self._pending_by_key) > MAX_PENDING:
            self._drop(next(iter(self._pending_by_key)))
        self._added.set()

    async def run(self) -> None:
        """Asks the runner about each incarnation until it has answered."""
        while True:
            for key in reversed(list(self._pending_by_key)):
                with containment.contained(
                    "confirming a worker", worker=key.worker
                ) as error:
                    await self._ask_about(key)
                if error.occurred:
                    self._drop(key)
            if self._pending_by_key:
                await trio.sleep(RETRY_PAUSE_S)
            else:
                await self._added.wait()
                self._added = trio.Event()

    async def _ask_about(self, key: runs.IncarnationKey) -> None:
        response = await self._runner.poll(
            key, token=self._token(), acknowledged_end=0, lease_until_s=None
        )
        if isinstance(response, runner_status.PollFailure):
            self._on_failure(key, response)
            return
        heartbeat = self._pending_by_key.get(key)
        self._drop(key)
        if heartbeat is not None:
            self._on_confirmed(heartbeat)

    def _on_failure(
        self, key: runs.IncarnationKey, failure: runner_status.PollFailure
    ) -> None:
        """Logs a failure, and drops an incarnation that isn't the runner's."""
        if self._failures_by_key.get(key) is not failure:
            logs.event(
                "announcement not confirmed",
                worker=key.worker,
                born_ms=key.started_ms,
                why=failure.value,
            )
        self._failures_by_key[key] = failure
        if failure is runner_status.PollFailure.WRONG_INCARNATION:
            self._drop(key)

    def _drop(self, key: runs.IncarnationKey) -> None:
        self._pending_by_key.pop(key, None)
        self._failures_by_key.pop(key, None)
