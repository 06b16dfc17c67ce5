"""Coordinator of gangs; it runs in the process that schedules jobs.

If a coordinator fails, its gangs keep running at their anchors, and another
coordinator adopts them; a failure only delays starts and reports.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
from typing import TYPE_CHECKING

from pimentobridge.core import gang_anchor
from pimentobridge.core import gang_member
from pimentobridge.core import types
from pimentobridge.protocol import gangs

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.protocol import transport

RESEND_S = 0.4
RESERVE_TIMEOUT_S = 8.0

# An anchor that hears from no scheduler for its contact lease stops its gangs.
# One member lease later all their members have stopped, and only then may the
# job be requeued.
ANCHOR_LOST_S = gang_anchor.CONTACT_LEASE_S + 3 * gang_member.LEASE_S


class AttemptState(enum.Enum):
    """Progress of an attempt to start a gang, as its coordinator knows it."""

    RESERVING = "reserving"
    COMMITTING = "committing"
    RUNNING = "running"


class GangEvent(enum.Enum):
    """Change of a gang that a coordinator reports."""

    STARTED = "started"
    CONFLICT = "conflict"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True)
class Report:
    """Report of a coordinator to the scheduler.

    Attributes:
        reason: why the gang ended; only meaningful for `GangEvent.ENDED`.
        busy: with `GangEvent.CONFLICT`, the agents that refused the hold or
            didn't confirm it in time.
    """

    gang: types.GangId
    epoch: types.Epoch
    event: GangEvent
    reason: gangs.EndReason = gangs.EndReason.NOT_STARTED
    busy: tuple[types.Address, ...] = ()


@dataclasses.dataclass
class _Attempt:
    gang: types.GangId
    epoch: types.Epoch
    shares: list[gangs.Share]
    guaranteed: bool
    on_report: Callable[[Report], None]
    started_s: float
    state: AttemptState = AttemptState.RESERVING
    sent_s: float = 0.0
    anchor_heard_s: float = 0.0
    confirmed_agents: set[types.Address] = dataclasses.field(
        default_factory=set
    )

    @property
    def anchor(self) -> types.Address:
        return self.shares[0].agent


class GangCoordinator:
    """Reserves accelerators at all agents, then asks the anchor to commit.

    Attributes:
        conflicts: attempts that failed because an agent didn't confirm a hold.
        starts: gangs that have started.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        outbox: transport.Outbox,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._rng = rng
        self._attempts_by_gang: dict[types.GangId, _Attempt] = {}
        self.conflicts = 0
        self.starts = 0

    def start(
        self,
        gang: types.GangId,
        epoch: types.Epoch,
        shares: list[gangs.Share],
        on_report: Callable[[Report], None],
        *,
        guaranteed: bool,
    ) -> None:
        """Begins an attempt to start a gang.

        `on_report` is called with each event until a conflict or the end of
        the gang.
        """
        now_s = self._clock.monotonic()
        attempt = _Attempt(gang, epoch, shares, guaranteed, on_report, now_s)
        self._attempts_by_gang[gang] = attempt
        self._send_reserves(attempt)

    def adopt(
        self,
        report: gangs.AnchorReport,
        on_report: Callable[[Report], None],
    ) -> None:
        """Takes over a gang that another coordinator has started."""
        now_s = self._clock.monotonic()
        attempt = _Attempt(
            report.gang,
            report.epoch,
            report.shares,
            report.guaranteed,
            on_report,
            now_s,
            state=AttemptState.COMMITTING,
            anchor_heard_s=now_s,
        )
        self._attempts_by_gang[report.gang] = attempt
        self._send_commit(attempt)

    def abandon(self) -> None:
        """Drops all attempts, because another coordinator has taken over."""
        self._attempts_by_gang.clear()

    def stop(self, gang: types.GangId, reason: gangs.EndReason) -> None:
        """Stops a gang or an attempt to start it, in any state."""
        attempt = self._attempts_by_gang.get(gang)
        if attempt is None:
            return
        if attempt.state is AttemptState.RESERVING:
            self._release(attempt)
            self._report_end(attempt, reason)
            return
        self._outbox.send(
            attempt.anchor, gangs.StopGang(gang, attempt.epoch, reason)
        )

    @functools.singledispatchmethod
    def handle(self, message: object, sender: types.Address) -> bool:
        """Handles a message; returns False if it isn't for a coordinator."""
        return False

    @handle.register(gangs.Held)
    def _on_held(self, message: gangs.Held, sender: types.Address) -> bool:
        attempt = self._find_attempt(message.gang, message.epoch)
        if attempt is None:
            self._outbox.send(
                sender, gangs.ReleaseHold(message.gang, message.epoch)
            )
        elif attempt.state is AttemptState.RESERVING:
            attempt.confirmed_agents.add(sender)
            if len(attempt.confirmed_agents) == len(attempt.shares):
                attempt.state = AttemptState.COMMITTING
                attempt.anchor_heard_s = self._clock.monotonic()
                self._send_commit(attempt)
        return True

    @handle.register(gangs.HoldRefused)
    def _on_refused(
        self, message: gangs.HoldRefused, sender: types.Address
    ) -> bool:
        attempt = self._find_attempt(message.gang, message.epoch)
        if attempt is not None and attempt.state is AttemptState.RESERVING:
            self._report_conflict(attempt, (sender,))
        return True

    @handle.register(gangs.GangStarted)
    def _on_started(
        self, message: gangs.GangStarted, sender: types.Address
    ) -> bool:
        attempt = self._find_attempt(message.gang, message.epoch)
        if attempt is not None:
            attempt.anchor_heard_s = self._clock.monotonic()
        if attempt is not None and attempt.state is AttemptState.COMMITTING:
            attempt.state = AttemptState.RUNNING
            self.starts += 1
            attempt.on_report(
                Report(message.gang, message.epoch, GangEvent.STARTED)
            )
        return True

    @handle.register(gangs.GangEnded)
    def _on_ended(
        self, message: gangs.GangEnded, sender: types.Address
    ) -> bool:
        self._outbox.send(
            sender, gangs.GangEndedAck(message.gang, message.epoch)
        )
        attempt = self._find_attempt(message.gang, message.epoch)
        if attempt is not None:
            if message.reason is gangs.EndReason.NOT_STARTED:
                self._release(attempt)
            self._report_end(attempt, message.reason)
        return True

    def on_timer(self) -> None:
        """Resends unanswered requests and times out attempts and anchors."""
        now_s = self._clock.monotonic()
        for attempt in list(self._attempts_by_gang.values()):
            if now_s < self._due_s(attempt):
                continue
            if attempt.state is AttemptState.RESERVING:
                if now_s - attempt.started_s > RESERVE_TIMEOUT_S:
                    self._report_conflict(
                        attempt, self._unconfirmed_agents(attempt)
                    )
                else:
                    self._send_reserves(attempt)
            elif now_s - attempt.anchor_heard_s > ANCHOR_LOST_S:
                self._report_end(attempt, gangs.EndReason.MEMBER_LOST)
            elif attempt.state is AttemptState.COMMITTING:
                self._send_commit(attempt)

    def next_wakeup_s(self) -> float:
        """Returns when `on_timer` is due, in seconds of the clock."""
        due = [self._due_s(a) for a in self._attempts_by_gang.values()]
        return min(due, default=float("inf"))

    def backoff_s(self, tries: int) -> float:
        """Returns a randomised delay before the next try, in seconds.

        The delay grows exponentially with the number of tries, up to 2 s.
        """
        longest_s: float = min(0.1 * 2**tries, 2.0)
        return longest_s * (0.5 + self._rng.random() / 2)

    def _due_s(self, attempt: _Attempt) -> float:
        if attempt.state is AttemptState.RUNNING:
            return attempt.anchor_heard_s + ANCHOR_LOST_S + RESEND_S
        return attempt.sent_s + RESEND_S

    def _unconfirmed_agents(
        self, attempt: _Attempt
    ) -> tuple[types.Address, ...]:
        return tuple(
            share.agent
            for share in attempt.shares
            if share.agent not in attempt.confirmed_agents
        )

    def _send_reserves(self, attempt: _Attempt) -> None:
        attempt.sent_s = self._clock.monotonic()
        for share in attempt.shares:
            # Confirmed holds are renewed as well, so that they don't expire
            # while slower agents still evict tasks from their accelerators.
            self._outbox.send(
                share.agent,
                gangs.Reserve(
                    attempt.gang,
                    attempt.epoch,
                    share.blocks,
                    attempt.guaranteed,
                ),
            )

    def _send_commit(self, attempt: _Attempt) -> None:
        attempt.sent_s = self._clock.monotonic()
        self._outbox.send(
            attempt.anchor,
            gangs.Commit(
                attempt.gang,
                attempt.epoch,
                attempt.shares,
                attempt.guaranteed,
            ),
        )

    def _report_conflict(
        self, attempt: _Attempt, busy: tuple[types.Address, ...]
    ) -> None:
        self.conflicts += 1
        self._release(attempt)
        del self._attempts_by_gang[attempt.gang]
        attempt.on_report(
            Report(attempt.gang, attempt.epoch, GangEvent.CONFLICT, busy=busy)
        )

    def _release(self, attempt: _Attempt) -> None:
        for share in attempt.shares:
            self._outbox.send(
                share.agent, gangs.ReleaseHold(attempt.gang, attempt.epoch)
            )

    def _report_end(self, attempt: _Attempt, reason: gangs.EndReason) -> None:
        del self._attempts_by_gang[attempt.gang]
        attempt.on_report(
            Report(attempt.gang, attempt.epoch, GangEvent.ENDED, reason)
        )

    def _find_attempt(
        self, gang: types.GangId, epoch: types.Epoch
    ) -> _Attempt | None:
        attempt = self._attempts_by_gang.get(gang)
        if attempt is None or attempt.epoch != epoch:
            return None
        return attempt
