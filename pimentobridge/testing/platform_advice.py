"""Stand-in of the users' policy service, as its published protocol has it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import trio

from pimentobridge.platform import http_client

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_WAITING = 32
MAX_WORKERS = 100


class PlatformAdvice:
    """Says which workers may run a step.

    Args:
        may_run: takes a step and a worker, and decides.
        decision_s: time that an answer takes.
        each_s: further time for each worker named.
        validity_s: how long a ticket holds.
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
        self._turns_by_caller: dict[str, trio.Lock] = {}
        self._until_s: dict[tuple[str, str, str], float] = {}

    def accepts(self, task: str, worker: str, ticket: str) -> bool:
        """Returns whether a start of a task carries a valid ticket."""
        step = task.rpartition(".")[0]
        until_s = self._until_s.get((step, worker, ticket), 0.0)
        return trio.current_time() <= until_s

    async def handle(
        self, caller: str, path: str, body: dict[str, Any]
    ) -> http_client.Answer:
        """Carries out one call of a machine."""
        if path != "/v1/advise":
            return http_client.Answer(404, {})
        workers = list(body["workers"])
        if len(workers) > MAX_WORKERS:
            return http_client.Answer(400, {})
        turn = self._turns_by_caller.setdefault(caller, trio.Lock())
        if turn.statistics().tasks_waiting >= MAX_WAITING:
            return http_client.Answer(429, {})
        async with turn:
            await trio.sleep(self.decision_s + self.per_worker_s * len(workers))
        self.calls += 1
        good = []
        for worker in workers:
            if self._may_run(body["step"], worker):
                ticket = f"t-{self.calls}"
                until_s = trio.current_time() + self.validity_s
                self._until_s[body["step"], worker, ticket] = until_s
                good.append([worker, ticket])
        return http_client.Answer(
            200, {"good": good, "validityMs": self.validity_s * 1000}
        )
