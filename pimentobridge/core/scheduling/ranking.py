"""Ranks jobs for the order in which their waiting units are placed."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import NamedTuple

from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.scheduling import ledger

if TYPE_CHECKING:
    from pimentobridge.core import types
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
        share = step.footprint.dominant_share(capacity)
        work += share * expected_s(tracked, step_number) * unit.size
    return work


def expected_s(tracked: ledger.TrackedJob, step_number: int) -> float:
    """Returns the expected run time of a step's tasks, in seconds.

    It is for a worker of average speed: the learned one, see `durations`, or
    else the caller's estimate.
    """
    learned_s = tracked.expected_s_by_step.get(step_number)
    if learned_s is not None:
        return learned_s
    step = tracked.step_of(step_number)
    return step.estimate_s or ledger.DEFAULT_ESTIMATE_S


# A result later than this multiple of the time that the queue promises is of no
# use to its caller any more.
USELESS_AFTER_OBJECTIVES = 3.0


class Timeliness(enum.IntEnum):
    """When a job that starts now is expected to be done."""

    IN_TIME = 0
    LATE = 1
    USELESS = 2


def longest_chain_s(tracked: ledger.TrackedJob, *, remaining: bool) -> float:
    """Returns the estimated time of a job's longest chain of steps.

    Args:
        tracked: the job.
        remaining: whether to leave out the steps that are done.
    """
    occurrences = tracked.progress.occurrences_by_number.values()
    occurrence = next(iter(occurrences), None)
    ends_s: list[float] = []
    for number, step in enumerate(tracked.job.steps):
        done = (
            remaining
            and occurrence is not None
            and occurrence.step_done(number)
        )
        took_s = 0.0 if done else expected_s(tracked, number)
        began_s = max((ends_s[earlier] for earlier in step.after), default=0.0)
        ends_s.append(began_s + took_s)
    return max(ends_s, default=0.0)


def _has_due_time(tracked: ledger.TrackedJob) -> bool:
    return not tracked.job.occurrences and not any(
        step.long_running for step in tracked.job.steps
    )


def promised_s(tracked: ledger.TrackedJob) -> float:
    """Returns how long after its submission a job is to be done, in seconds."""
    queue = tracked.job.queue
    return queue.objective_s + queue.stretch * longest_chain_s(
        tracked, remaining=False
    )


def due_in_s(tracked: ledger.TrackedJob, now_s: float) -> float:
    """Returns the time until the promised completion of a job, in seconds.

    Infinite for jobs with a schedule or without an end; negative once the time
    has passed.
    """
    if not _has_due_time(tracked):
        return float("inf")
    return promised_s(tracked) - (now_s - tracked.first_seen_s)


def timeliness(tracked: ledger.TrackedJob, now_s: float) -> Timeliness:
    """Returns whether a job's result may still be in time.

    Jobs with a schedule or without an end have no such time and count as in
    time.
    """
    if not _has_due_time(tracked):
        return Timeliness.IN_TIME
    objective_s = promised_s(tracked)
    completion_s = (
        now_s - tracked.first_seen_s + longest_chain_s(tracked, remaining=True)
    )
    if completion_s <= objective_s:
        return Timeliness.IN_TIME
    if completion_s <= objective_s * USELESS_AFTER_OBJECTIVES:
        return Timeliness.LATE
    return Timeliness.USELESS


class JobClass(NamedTuple):
    """What comes before the shares of the client accounts in the order."""

    not_guaranteed: bool
    priority: int
    timeliness: Timeliness

    @property
    def guaranteed(self) -> bool:
        """Whether the accounts' guarantees cover the jobs."""
        return not self.not_guaranteed


class Rank(NamedTuple):
    """Sort key of a job; within an account the lowest is placed first."""

    job_class: JobClass
    remaining_work: float
    first_seen_s: float
    id: types.JobId


def rank(
    tracked: ledger.TrackedJob,
    *,
    entitled: bool,
    capacity: model.Resources,
    now_s: float,
) -> Rank:
    """Returns the sort key of a job.

    Jobs within their account's guarantee come first. Then jobs are ordered by
    their queue's priority, then those that can still be in time before those
    that can't. In such a class the shares of the accounts decide (`shares`),
    and within an account the remaining work, least first, so that as many
    callers as possible get their results soon.

    Args:
        tracked: the job.
        entitled: whether the account's guarantee covers the job.
        capacity: capacity of the largest worker.
        now_s: current monotonic time.
    """
    return Rank(
        JobClass(
            not entitled,
            tracked.job.queue.priority,
            timeliness(tracked, now_s),
        ),
        remaining_work(tracked, capacity),
        tracked.first_seen_s,
        tracked.id,
    )
