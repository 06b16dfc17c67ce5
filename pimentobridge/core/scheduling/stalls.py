"""Detects runs without progress on workers that still list them as running."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.scheduling import fleet
from pimentobridge.core.scheduling import ledger

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.scheduling import engine as engine_lib

# Minimum time without progress before a run counts as stalled. Reports are sent
# twice a second, and members of a gang may start late.
MIN_STALL_S = 3.0
COMPLETE_PERCENT = 100
# A run has stalled after this many times its mean time per percent of progress.
PROGRESS_INTERVAL_FACTOR = 8.0
# Before its first progress, it has stalled after this fraction of the estimate.
ESTIMATE_FACTOR = 0.4


class StallDetector:
    """Stops stalled runs, so that they are restarted on other workers.

    Args:
        engine: holds the runs to check.
        clock: source of time.
        log: writes a log line, given an event text and fields.
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
        """Checks every active run of the workers that report."""
        now_s = self._clock.monotonic()
        for worker in list(self._engine.workers_by_incarnation.values()):
            if now_s - worker.last_report_s > fleet.MAX_REPORT_AGE_S:
                continue
            for entry in worker.entries_by_key.values():
                if entry.is_current and not entry.stop_requested:
                    self._check(worker, entry, now_s)

    def _check(
        self, worker: fleet.TrackedWorker, entry: ledger.RunEntry, now_s: float
    ) -> None:
        if entry.observed.started_s is None or entry.step.long_running:
            return
        if entry.observed.percent == COMPLETE_PERCENT:
            # A gang member at 100 % may wait for the other members.
            return
        stalled_s = now_s - entry.observed.progressed_s
        if entry.throttled_s is not None:
            stalled_s = min(stalled_s, now_s - entry.throttled_s)
        if stalled_s <= max_stall_s(entry):
            return
        entry.stop_requested = True
        worker.health.on_stalled(now_s)
        self._log(
            "run stalled",
            job=entry.tracked.id,
            task=str(entry.name),
            run=entry.run,
            worker=worker.key.worker,
            percent=entry.observed.percent,
            still_s=round(stalled_s, 2),
        )


def max_stall_s(entry: ledger.RunEntry) -> float:
    """Returns how long the run may go without progress, in seconds."""
    observed = entry.observed
    if observed.started_s is None:
        return float("inf")
    if observed.percent:
        mean_interval_s = observed.worked_s / observed.percent
        return max(MIN_STALL_S, PROGRESS_INTERVAL_FACTOR * mean_interval_s)
    estimate_s = entry.step.estimate_s or ledger.DEFAULT_ESTIMATE_S
    return max(MIN_STALL_S, ESTIMATE_FACTOR * estimate_s)
