"""Starts that a worker may still carry out, though nobody waits for them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pimentobridge.core import types
    from pimentobridge.core.jobs import runs

# A call without an answer may be carried out up to this long after it was sent.
MAX_LATENESS_S = 15.0


@dataclasses.dataclass(eq=False)
class SentStart:
    """A start that was sent and has no answer so far."""

    worker: types.WorkerId
    run: runs.RunKey
    sent_s: float


class LateStarts:
    """Starts that were sent and have no answer.

    A call names only the id of a worker, so that the next incarnation under the
    same id may carry it out.
    """

    def __init__(self) -> None:
        self._sent: list[SentStart] = []

    def add(
        self, worker: types.WorkerId, run: runs.RunKey, now_s: float
    ) -> SentStart:
        """Notes a start that is about to be sent."""
        self._sent = [
            start
            for start in self._sent
            if now_s - start.sent_s <= MAX_LATENESS_S
        ]
        start = SentStart(worker, run, now_s)
        self._sent.append(start)
        return start

    def remove(self, start: SentStart) -> None:
        """Notes that a start was answered or can't have reached the worker."""
        if start in self._sent:
            self._sent.remove(start)

    def of(self, worker: types.WorkerId, now_s: float) -> set[runs.RunKey]:
        """Returns the runs that may still start under a worker's id."""
        return {
            start.run
            for start in self._sent
            if start.worker == worker and now_s - start.sent_s <= MAX_LATENESS_S
        }
