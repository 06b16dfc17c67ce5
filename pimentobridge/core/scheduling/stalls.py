"""Finds runs whose progress has stopped on a worker that still lists them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.scheduling import fleet
from pimentobridge.core.scheduling import ranking

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.scheduling import engine as engine_lib
    from pimentobridge.core.scheduling import ledger

# Reports come twice a second and a gang's members may come late.
MIN_STILL_S = 3.0
ALL_DONE_PERCENT = 100
# Stillness beyond the pace so far, or beyond the estimate's before any.
PACE_FACTOR = 8.0
ESTIMATE_FACTOR = 0.4


class StallDetector:
    """Stops runs that stand still, so that they go on elsewhere.

    Args:
        engine: whose runs are watched.
        clock: source of time.
        log: takes a message and its fields.
    """

    def __init__(
        self,
        engine: engine_lib.Engine,
        *,
        clock: clock_lib.Clock,
        log: Callable[..., None],
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._log = log

    def run(self) -> None:
        """Looks at every run that a worker lists."""
        now_s = self._clock.monotonic()
        for worker in list(self._engine.workers_by_incarnation.values()):
            if now_s - worker.heard_s > fleet.PLACEABLE_SILENCE_S:
                continue
            for entry in worker.entries_by_key.values():
                if entry.is_current and not entry.stop:
                    self._check(worker, entry, now_s)

    def _check(
        self, worker: fleet.TrackedWorker, entry: ledger.RunEntry, now_s: float
    ) -> None:
        if entry.started_s is None or entry.step.long_running:
            return
        if entry.percent == ALL_DONE_PERCENT:
            # A member that has done its part waits for the gang's others.
            return
        still_s = now_s - entry.moved_s
        if still_s <= allowed_still_s(entry):
            return
        entry.stop = True
        worker.health.on_stalled(now_s)
        self._log(
            "run stalled",
            job=entry.tracked.id,
            task=str(entry.name),
            run=entry.run,
            worker=worker.key.worker,
            percent=entry.percent,
            still_s=round(still_s, 2),
        )


def allowed_still_s(entry: ledger.RunEntry) -> float:
    """Returns how long the run's progress may stay the same, in seconds."""
    if entry.started_s is None:
        return float("inf")
    if entry.percent:
        per_percent_s = (entry.moved_s - entry.started_s) / entry.percent
        return max(MIN_STILL_S, PACE_FACTOR * per_percent_s)
    estimate_s = entry.step.estimate_s or ranking.DEFAULT_ESTIMATE_S
    return max(MIN_STILL_S, ESTIMATE_FACTOR * estimate_s)
