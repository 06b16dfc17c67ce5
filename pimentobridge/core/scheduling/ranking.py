"""The order in which waiting units get room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import progress as progress_lib

if TYPE_CHECKING:
    from pimentobridge.core.jobs import model
    from pimentobridge.core.scheduling import ledger

# Run time assumed for tasks that state none.
DEFAULT_ESTIMATE_S = 5.0


def remaining_work(tracked: ledger.TrackedJob, whole: model.Resources) -> float:
    """Returns worker-seconds of the dominant resource still to be done."""
    work = 0.0
    for _, number, unit in tracked.progress.units():
        if unit.status is progress_lib.UnitStatus.DONE:
            continue
        step = tracked.step_of(number)
        estimate_s = step.estimate_s or DEFAULT_ESTIMATE_S
        work += step.footprint.dominant_share(whole) * estimate_s * unit.size
    return work


def rank(
    tracked: ledger.TrackedJob, *, entitled: bool, whole: model.Resources
) -> tuple[bool, int, float, float, str]:
    """Returns the sort key of a job; the least goes first.

    Jobs within their account's guarantee come first, then by the queue's
    priority, then those with the least work left: what can be finished soon
    for the most callers.
    """
    return (
        not entitled,
        tracked.job.queue.priority,
        remaining_work(tracked, whole),
        tracked.first_seen_s,
        tracked.id,
    )
