"""Determines which runs are slow because they are away from their rack."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import runs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pimentobridge.core.jobs import model
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import ledger


def is_remote(step: model.Step, worker: fleet.TrackedWorker) -> bool:
    """Returns whether a worker isn't in the rack that a step names."""
    return bool(step.affinity_rack) and (
        worker.incarnation is None
        or worker.incarnation.rack != step.affinity_rack
    )


def is_slowed(
    entry: ledger.RunEntry,
    workers_by_incarnation: Mapping[runs.IncarnationKey, fleet.TrackedWorker],
) -> bool:
    """Returns whether its placement makes a run slower than its workers.

    That is so away from the rack that the step names, and for a gang that is
    to be in one rack and isn't; also if that isn't known.
    """
    step = entry.step
    if not step.affinity_rack and not (step.gang and step.same_rack):
        return False
    racks = set()
    for placement in entry.unit.placements:
        key = runs.IncarnationKey(placement.worker, placement.started_ms)
        worker = workers_by_incarnation.get(key)
        if worker is None or worker.incarnation is None:
            return True
        racks.add(worker.incarnation.rack)
    if step.affinity_rack and racks != {step.affinity_rack}:
        return True
    return step.same_rack and len(racks) > 1
