"""Ranks jobs for the order in which their waiting units are placed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.scheduling import ledger

if TYPE_CHECKING:
    from pimentobridge.core.jobs import model


def remaining_work(
    tracked: ledger.TrackedJob, capacity: model.Resources
) -> float:
    """Returns the remaining work in worker-seconds.

    Each task counts with its dominant share of a worker's capacity.

    Args:
        tracked: the job.
        capacity: capacity of the largest worker.
    """
    work = 0.0
    for _, step_number, unit in tracked.progress.units():
        if unit.status is progress_lib.UnitStatus.DONE:
            continue
        step = tracked.step_of(step_number)
        estimate_s = step.estimate_s or ledger.DEFAULT_ESTIMATE_S
        work += step.footprint.dominant_share(capacity) * estimate_s * unit.size
    return work


def rank(
    tracked: ledger.TrackedJob, *, entitled: bool, capacity: model.Resources
) -> tuple[bool, int, float, float, str]:
    """Returns the sort key of a job; the lowest is placed first.

    Jobs within their account's guarantee come first. Then jobs are ordered by
    their queue's priority, and then by remaining work, least first, so that as
    many callers as possible get their results soon.

    Args:
        tracked: the job.
        entitled: whether the account's guarantee covers the job.
        capacity: capacity of the largest worker.
    """
    return (
        not entitled,
        tracked.job.queue.priority,
        remaining_work(tracked, capacity),
        tracked.first_seen_s,
        tracked.id,
    )
