"""Runs that a worker never starts again, until their ends are known."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from pimentobridge.core.jobs import runs


class ClosedRuns:
    """Runs that the worker has refused or stopped, by the time of its answer.

    The worker answers the same whether a run has ended before or was never
    there. Only a list of all its ends that was asked for later tells which: a
    run that has done its task must not be reported as one that never started.
    """

    def __init__(self) -> None:
        self._refused_s_by_run: dict[runs.RunKey, float] = {}
        self._stopped_s_by_run: dict[runs.RunKey, float] = {}

    def on_refused(self, run: runs.RunKey, now_s: float) -> None:
        """Notes that the worker has answered that it won't start a run."""
        self._refused_s_by_run[run] = now_s

    def on_stopped(self, run: runs.RunKey, now_s: float) -> None:
        """Notes that the worker has confirmed a stop."""
        self._stopped_s_by_run[run] = now_s

    def is_refused(self, run: runs.RunKey) -> bool:
        """Whether a refused run waits for a list."""
        return run in self._refused_s_by_run

    def is_stopped(self, run: runs.RunKey) -> bool:
        """Whether a stopped run waits for a list."""
        return run in self._stopped_s_by_run

    def keep(self, ordered: AbstractSet[runs.RunKey]) -> None:
        """Forgets the runs that no order names any more."""
        for closed_s_by_run in (self._refused_s_by_run, self._stopped_s_by_run):
            for run in closed_s_by_run.keys() - ordered:
                del closed_s_by_run[run]

    def take_before(
        self, sent_s: float, running: AbstractSet[runs.RunKey]
    ) -> tuple[set[runs.RunKey], set[runs.RunKey]]:
        """Removes the runs whose end, if there is one, a list contains.

        Args:
            sent_s: monotonic time at which the list was asked for, in seconds.
            running: the runs in the list that haven't ended; their ends follow.

        Returns:
            The refused runs and the stopped ones.
        """
        return (
            _take(self._refused_s_by_run, sent_s, running),
            _take(self._stopped_s_by_run, sent_s, running),
        )


def _take(
    closed_s_by_run: dict[runs.RunKey, float],
    sent_s: float,
    running: AbstractSet[runs.RunKey],
) -> set[runs.RunKey]:
    taken = {
        run
        for run, closed_s in closed_s_by_run.items()
        if closed_s <= sent_s and run not in running
    }
    for run in taken:
        del closed_s_by_run[run]
    return taken
