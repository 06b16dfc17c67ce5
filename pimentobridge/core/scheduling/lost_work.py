"""Counts the work that runs lose when they end without having done their task.

Work is measured in core-seconds, with an accelerator counted as several cores.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import ledger
from pimentobridge.core.scheduling import reclaim

if TYPE_CHECKING:
    from pimentobridge.core.scheduling import fleet


class LossCause(enum.Enum):
    """Why work was lost.

    `STOPPED_DRAIN`: the run was moved off a departing worker, or out of an
    evacuated data centre. `GANG_BROKEN`: another member of the gang ended.
    `WORKER_LOST`: the worker's incarnation has ended, or hasn't reported until
    its lease expired.
    """

    STOPPED_DRAIN = "stopped_drain"
    STOPPED_PREEMPTED = "stopped_preempted"
    STOPPED_OTHER = "stopped_other"
    GANG_BROKEN = "gang_broken"
    FAILED = "failed"
    LEASE_EXPIRED = "lease_expired"
    WORKER_LOST = "worker_lost"


_CAUSE_BY_STOP = {
    ledger.StopReason.DEPARTURE: LossCause.STOPPED_DRAIN,
    ledger.StopReason.PREEMPTION: LossCause.STOPPED_PREEMPTED,
    ledger.StopReason.OTHER: LossCause.STOPPED_OTHER,
}
_CAUSE_BY_END = {
    runs.EndCause.FAILED: LossCause.FAILED,
    runs.EndCause.LEASE_EXPIRED: LossCause.LEASE_EXPIRED,
    runs.EndCause.GANG_BROKEN: LossCause.GANG_BROKEN,
    runs.EndCause.GANG_INCOMPLETE: LossCause.GANG_BROKEN,
}


class LostWork:
    """Counters of lost work, in core-seconds by cause.

    Attributes:
        core_s_by_cause: the work lost in this scheduler's term.
    """

    def __init__(self) -> None:
        self.core_s_by_cause = dict.fromkeys(LossCause, 0.0)

    def on_end(
        self, entry: ledger.RunEntry, end: runs.EndedRun, now_s: float
    ) -> float:
        """Counts what a run lost that its worker lists as ended.

        A member of a gang that is being stopped may be listed as broken,
        because another member has stopped before it; the stop is the cause.

        Args:
            entry: the run.
            end: how it has ended.
            now_s: current monotonic time.

        Returns:
            The lost work, in core-seconds.
        """
        if end.cause is runs.EndCause.DONE:
            return 0.0
        entry.observed.update_checkpoint(end.checkpoint, now_s)
        cause = _CAUSE_BY_END.get(end.cause)
        by_stop = cause in (None, LossCause.GANG_BROKEN)
        if cause is None or (by_stop and entry.stop_requested):
            cause = _CAUSE_BY_STOP[entry.stop_reason]
        return self._add(cause, entry, now_s)

    def on_worker_lost(
        self, entry: ledger.RunEntry, worker: fleet.TrackedWorker
    ) -> float:
        """Counts what a run lost with its worker; returns the core-seconds.

        The run may have executed until the worker's last report.
        """
        return self._add(LossCause.WORKER_LOST, entry, worker.last_report_s)

    def on_stop_confirmed(
        self, entry: ledger.RunEntry, worker: fleet.TrackedWorker
    ) -> float:
        """Counts what a run lost that its worker no longer lists.

        Args:
            entry: the run, which was stopped or refused.
            worker: the worker.

        Returns:
            The lost work, in core-seconds.
        """
        cause = _CAUSE_BY_STOP[entry.stop_reason]
        return self._add(cause, entry, worker.last_report_s)

    def gauges(self) -> dict[str, float]:
        """Returns the lost work by metric name."""
        return {
            f"lost_core_seconds_{cause.value}": round(core_s, 1)
            for cause, core_s in self.core_s_by_cause.items()
        }

    def _add(
        self, cause: LossCause, entry: ledger.RunEntry, until_s: float
    ) -> float:
        if entry.unit.status is progress_lib.UnitStatus.DONE:
            return 0.0
        lost = reclaim.cores_of(entry.step) * entry.unsaved_s(until_s)
        self.core_s_by_cause[cause] += lost
        return lost
