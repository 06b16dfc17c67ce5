"""Fake of the users' policy service that implements its published protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import trio

from pimentobridge.platform import http_client

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_QUEUED_CALLS = 32
MAX_WORKERS_PER_CALL = 100


class PlatformAdvice:
    """Decides which workers may run a step, and issues tickets for them.

    Args:
        may_run: returns whether a worker may run a step; takes the names of
            the step and the worker.
        decision_s: duration of a call, in seconds.
        per_worker_s: additional duration for each worker in the call, in
            seconds.
        validity_s: how long a ticket is valid, in seconds.
    """

    def __init__(
        self,
        may_run: Callable[[str, str], bool],
        *,
        decision_s: float,
        per_worker_s: float,
        validity_s: float,
    ) -> None:
        self._may_run = may_run
        self.decision_s = decision_s
        self.per_worker_s = per_worker_s
        self.validity_s = validity_s
        self.calls = 0
        self._locks_by_caller: dict[str, trio.Lock] = {}
        self._expiry_s_by_ticket: dict[tuple[str, str, str], float] = {}

    def is_ticket_valid(self, task: str, worker: str, ticket: str) -> bool:
        """Returns whether a ticket permits a worker to run a task now."""
        step = task.rpartition(".")[0]
        expiry_s = self._expiry_s_by_ticket.get((step, worker, ticket), 0.0)
        return trio.current_time() <= expiry_s

    async def handle(
        self, caller: str, path: str, body: dict[str, Any]
    ) -> http_client.Answer:
        """Handles one call; calls of one machine are handled one at a time."""
        if path != "/v1/advise":
            return http_client.Answer(404, {})
        workers = list(body["workers"])
        if len(workers) > MAX_WORKERS_PER_CALL:
            return http_client.Answer(400, {})
        lock = self._locks_by_caller.setdefault(caller, trio.Lock())
        if lock.statistics().tasks_waiting >= MAX_QUEUED_CALLS:
            return http_client.Answer(429, {})
        async with lock:
            await trio.sleep(self.decision_s + self.per_worker_s * len(workers))
        self.calls += 1
        permitted = []
        for worker in workers:
            if self._may_run(body["step"], worker):
                ticket = f"t-{self.calls}"
                expiry_s = trio.current_time() + self.validity_s
                self._expiry_s_by_ticket[body["step"], worker, ticket] = (
                    expiry_s
                )
                permitted.append([worker, ticket])
        return http_client.Answer(
            200, {"good": permitted, "validityMs": self.validity_s * 1000}
        )
