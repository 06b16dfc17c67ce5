"""Which runs on a worker are expected to end soon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import observed_progress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentobridge.core.jobs import runs


class ExpectedEnds:
    """Estimates when the runs on a worker end, from the progress they report.

    Runs of which too little progress was seen aren't expected to end.
    """

    def __init__(self) -> None:
        self._observed_by_run: dict[
            runs.RunKey, observed_progress.ObservedProgress
        ] = {}

    def on_running(
        self, tasks: Iterable[runs.RunningTask], now_s: float
    ) -> None:
        """Notes all runs that the worker lists, with their progress."""
        earlier, self._observed_by_run = self._observed_by_run, {}
        for task in tasks:
            observed = earlier.get(
                task.key, observed_progress.ObservedProgress()
            )
            observed.update(task.percent, now_s)
            self._observed_by_run[task.key] = observed

    def any_by(self, until_s: float, now_s: float) -> bool:
        """Returns whether a run is expected to end by a monotonic time."""
        return any(
            remaining_s is not None and now_s + remaining_s <= until_s
            for remaining_s in (
                observed.remaining_s(now_s)
                for observed in self._observed_by_run.values()
            )
        )
