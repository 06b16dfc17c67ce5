"""Learns how long tasks take, and how far callers' estimates are off.

The work of a task is its run time on a worker of speed 1.0. It is learned for
each queue, step number and image, as mean and variance of the logarithm, and
combined with the caller's estimate, each weighted by its precision.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentobridge.core import types
    from pimentobridge.core.scheduling import ledger

# Jobs that must have ended before anything is derived from them: the spread of
# fewer says little.
MIN_JOBS = 3
# Number of latest jobs that the figures reflect; older ones decay, so that
# the figures follow a demand that changes.
MEMORY_JOBS = 50
# Variance assumed before any observation, and its weight in jobs. It keeps a
# few equal run times from counting as certain.
PRIOR_VARIANCE = 0.25
PRIOR_JOBS = 2.0
# Bounds of the work of a task, in seconds. Figures beyond them are errors of
# clocks.
MIN_WORK_S = 0.01
MAX_WORK_S = 1e6
# A rate of progress is used instead of the run time if it covers this share of
# the run: the run time includes the start and the report of the end.
MIN_SEEN_PERCENT = 30


class Key(NamedTuple):
    """Identifies tasks that are expected to take about the same time."""

    queue: str
    step: int
    image: str


class Expectation(NamedTuple):
    """Expected logarithm of a task's work in seconds."""

    mean: float
    variance: float


@dataclasses.dataclass
class _Figure:
    """Mean and variance of observations, of which older ones decay.

    Attributes:
        weight: number of observations, the older ones weighted less.
        mean: their mean.
        squares: sum of their squared deviations from the mean.
    """

    weight: float = 0.0
    mean: float = 0.0
    squares: float = 0.0

    def add(self, value: float) -> None:
        decay = 1 - 1 / MEMORY_JOBS
        self.weight = self.weight * decay + 1
        self.squares *= decay
        before = value - self.mean
        self.mean += before / self.weight
        self.squares += before * (value - self.mean)

    @property
    def variance(self) -> float:
        """Variance of one observation."""
        prior = PRIOR_JOBS * PRIOR_VARIANCE
        return (self.squares + prior) / (self.weight + PRIOR_JOBS)


@dataclasses.dataclass
class _Learned:
    """What runs of one key have shown.

    Attributes:
        work: logarithm of the work.
        error: logarithm of the caller's estimate relative to the work.
    """

    work: _Figure = dataclasses.field(default_factory=_Figure)
    error: _Figure = dataclasses.field(default_factory=_Figure)

    def expectation(self, estimate_s: float) -> Expectation | None:
        if self.work.weight < MIN_JOBS:
            return None
        work = Expectation(self.work.mean, self.work.variance)
        if not estimate_s or self.error.weight < MIN_JOBS:
            return work
        estimated = Expectation(
            math.log(estimate_s) - self.error.mean, self.error.variance
        )
        return _combined(work, estimated)


class Durations:
    """Expected work of tasks, from runs that ended as done.

    The tasks of one step have the same work, so a step of a job counts once.
    """

    def __init__(self) -> None:
        self._learned_by_key: dict[Key, _Learned] = {}
        self._counted_by_job: dict[types.JobId, set[int]] = {}
        # Number of observations so far, and the number when each job's expected
        # times were last computed.
        self._changes = 0
        self._seen_by_job: dict[types.JobId, int] = {}

    def on_done(
        self, entry: ledger.RunEntry, *, speed: float, now_s: float
    ) -> None:
        """Learns from a run that has ended as done.

        Args:
            entry: the run.
            speed: speed of its worker, of the slowest one for a gang.
            now_s: current monotonic time.
        """
        tracked, number = entry.tracked, entry.name.step
        counted = self._counted_by_job.setdefault(tracked.id, set())
        run_s = _run_time_s(entry, now_s)
        if number in counted or entry.step.long_running or run_s is None:
            return
        work_s = run_s * speed
        if not MIN_WORK_S <= work_s <= MAX_WORK_S:
            return
        counted.add(number)
        learned = self._learned_by_key.setdefault(
            _key_of(tracked, number), _Learned()
        )
        learned.work.add(math.log(work_s))
        if entry.step.estimate_s:
            learned.error.add(math.log(entry.step.estimate_s / work_s))
        self._changes += 1

    def forget_job(self, job: types.JobId) -> None:
        """Drops what is kept for a job that is no longer tracked."""
        self._counted_by_job.pop(job, None)
        self._seen_by_job.pop(job, None)

    def expectation(
        self, tracked: ledger.TrackedJob, step_number: int
    ) -> Expectation | None:
        """Returns the expected work of a step's tasks; None if not learned."""
        learned = self._learned_by_key.get(_key_of(tracked, step_number))
        if learned is None:
            return None
        return learned.expectation(tracked.step_of(step_number).estimate_s)

    def update_jobs(self, jobs: Iterable[ledger.TrackedJob]) -> None:
        """Sets the expected run times of jobs, where any have changed."""
        if not self._changes:
            return
        for tracked in jobs:
            if self._seen_by_job.get(tracked.id) == self._changes:
                continue
            self._seen_by_job[tracked.id] = self._changes
            tracked.expected_s_by_step = {
                number: math.exp(expected.mean)
                for number in range(len(tracked.job.steps))
                if (expected := self.expectation(tracked, number)) is not None
            }

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of what is learned, by metric name."""
        return {
            "learned_durations": sum(
                learned.work.weight >= MIN_JOBS
                for learned in self._learned_by_key.values()
            )
        }


def _key_of(tracked: ledger.TrackedJob, step_number: int) -> Key:
    return Key(
        tracked.job.queue.name, step_number, tracked.step_of(step_number).image
    )


def _run_time_s(entry: ledger.RunEntry, now_s: float) -> float | None:
    """Returns the time that the whole task takes on its worker, in seconds.

    None if too little of the run was seen.
    """
    observed = entry.observed
    if observed.started_s is None or observed.percent is None:
        return None
    seen_percent = observed.percent - observed.first_percent
    if seen_percent >= MIN_SEEN_PERCENT and observed.worked_s > 0:
        return observed.worked_s * 100 / seen_percent
    if observed.first_percent:
        return None
    return now_s - observed.started_s


def _combined(first: Expectation, second: Expectation) -> Expectation:
    """Returns two independent expectations weighted by their precision."""
    weights = 1 / first.variance, 1 / second.variance
    mean = (first.mean * weights[0] + second.mean * weights[1]) / sum(weights)
    return Expectation(mean, 1 / sum(weights))
