"""Derives the orders for each worker from the scheduler's state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import ledger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pimentobridge.core import types
    from pimentobridge.core.scheduling import fleet


def instructions_for(
    worker: fleet.TrackedWorker,
    jobs_by_id: Mapping[types.JobId, ledger.TrackedJob],
) -> runs.Instructions:
    """Returns the complete set of current orders for a worker.

    Starts that aren't recorded in the store yet are left out.

    Args:
        worker: the worker.
        jobs_by_id: all tracked jobs.
    """
    worker.acknowledge_ends()
    starts: list[runs.StartOrder] = []
    stops: list[runs.RunKey] = []
    paces: list[runs.PaceOrder] = []
    for key, entry in worker.entries_by_key.items():
        unit = entry.unit
        if unit.status is progress_lib.UnitStatus.DONE:
            continue
        if entry.stop_requested or not entry.is_current:
            stops.append(key)
        elif key not in worker.running_keys and (
            entry.tracked.recorded_change >= entry.ordered_at_change
        ):
            spec = entry.tracked.job.spec
            ticket = unit.placements[entry.member].ticket
            starts.append(runs.StartOrder(key, spec, unit.checkpoint, ticket))
        elif (
            key in worker.running_keys
            and entry.step.uses_spare_cpu
            and worker.throttle.known
        ):
            # Also at 100 percent: an earlier scheduler may have ordered less.
            paces.append(runs.PaceOrder(key, worker.throttle.percent))
    stops.extend(
        key
        for key in worker.untracked_by_key
        if not _belongs_to_done_unit(key, jobs_by_id)
    )
    return runs.Instructions(
        worker.key,
        worker.acknowledged_end,
        tuple(starts),
        tuple(stops),
        tuple(paces),
    )


def _belongs_to_done_unit(
    key: runs.RunKey, jobs_by_id: Mapping[types.JobId, ledger.TrackedJob]
) -> bool:
    """Returns whether a run's unit or job is done.

    Such a run needs no stop order: it ends by itself with the rest of its gang.
    """
    found = ledger.job_of(key, jobs_by_id)
    if found is None:
        return False
    tracked, name = found
    if tracked.progress.state is progress_lib.JobState.COMPLETED:
        return True
    unit = tracked.progress.unit_of(name)
    return unit is not None and unit.status is progress_lib.UnitStatus.DONE
