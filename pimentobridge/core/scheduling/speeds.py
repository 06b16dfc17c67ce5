"""Learns the speed of each worker's machine from the progress of its runs.

The tasks of one step have the same work, so their rates of progress on several
workers compare directly. Steps of different jobs compare only through learned
durations. A gang moves at the pace of its slowest member: the progress of a
member bounds the speed of its worker from below, and tells how fast the slowest
of them is.

Speeds, work and rates are logarithms here: the rate of a task is the speed of
its worker less the task's work. The speeds are estimated by least squares with
outliers weighted down.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from pimentobridge.core.scheduling import durations as durations_lib
from pimentobridge.core.scheduling import remoteness

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from pimentobridge.core import types
    from pimentobridge.core.jobs import observed_progress
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import ledger

HALF_LIFE_S = 60.0
# Speeds are estimated anew at most this often.
UPDATE_INTERVAL_S = 1.0
# Number of passes over the observations in one update. The result of the last
# update is the start of the next one.
SWEEPS = 3
# Variance of speeds among workers before any observation.
PRIOR_VARIANCE = 0.16
# Parts of the error of a rate of progress: rounding of the percentages to whole
# numbers, the times of the reports that name them, and all other causes.
PERCENT_ERROR = 0.6
REPORT_TIME_ERROR_S = 0.15
RATE_ERROR = 0.05
# Maximum precision of the observations of one step on one worker together:
# whatever else slows its tasks there is common to all of them.
MAX_PRECISION = 100.0
# An observation counts less in proportion once it is off by more than this.
OUTLIER = 0.3
# Members whose estimated speeds differ by this much are weighted e to 1 as the
# cause of a slow gang.
MEMBER_SCALE = 0.15
# Smaller differences from the average speed (as logarithms) count as none, as
# they may be due to chance.
MIN_DIFFERENCE = 0.1
# Observations with less weight than this are dropped.
MIN_PRECISION = 0.5
# Limit on the observations that are kept, the steps first seen longest ago
# dropped first. It bounds the time of an update.
MAX_OBSERVATIONS = 1000


@dataclasses.dataclass
class _Observation:
    """Rate of progress of a step's tasks on one worker.

    Attributes:
        rate: logarithm of the share of the task done per second.
        precision: inverse of its variance.
        at_s: monotonic time for which `precision` is.
    """

    rate: float = 0.0
    precision: float = 0.0
    at_s: float = 0.0

    def decay(self, now_s: float) -> None:
        self.precision *= 0.5 ** ((now_s - self.at_s) / HALF_LIFE_S)
        self.at_s = now_s

    def add(self, rate: float, precision: float, now_s: float) -> None:
        self.decay(now_s)
        total = self.precision + precision
        self.rate += (rate - self.rate) * precision / total
        self.precision = min(MAX_PRECISION, total)


@dataclasses.dataclass
class _Group:
    """Workers that move at a common pace: those of a gang, or a single one.

    Attributes:
        outlier_weight: weight from 0 to 1, low for an outlier.
        rate: common rate, a logarithm like those of the observations.
        precision: inverse of the variance of `rate`.
    """

    by_agent: dict[types.Address, _Observation] = dataclasses.field(
        default_factory=dict
    )
    outlier_weight: float = 1.0
    rate: float = 0.0
    precision: float = 0.0

    def summarize(self, now_s: float) -> None:
        """Computes the common rate from the members' observations."""
        for agent, observation in list(self.by_agent.items()):
            observation.decay(now_s)
            if observation.precision < MIN_PRECISION:
                del self.by_agent[agent]
        known = self.by_agent.values()
        self.precision = max((one.precision for one in known), default=0.0)
        self.rate = min(
            (one.rate for one in known if one.precision * 2 >= self.precision),
            default=0.0,
        )

    def slowest(self, speeds: Mapping[types.Address, float]) -> float:
        """Returns the lowest speed of the members' workers."""
        return min(speeds.get(agent, 0.0) for agent in self.by_agent)


# A step of an occurrence of a job: its tasks have the same work.
_StepKey = tuple[str, int, int]


@dataclasses.dataclass
class _Step:
    """Observations of one step's tasks.

    Attributes:
        prior: the work by learned durations; None while none are.
        groups_by_key: by run for a gang, or else by agent.
    """

    tracked: ledger.TrackedJob
    number: int
    prior: durations_lib.Expectation | None = None
    groups_by_key: dict[object, _Group] = dataclasses.field(
        default_factory=dict
    )

    @property
    def size(self) -> int:
        """Number of observations."""
        return sum(len(group.by_agent) for group in self.groups_by_key.values())


class Speeds:
    """Speeds of the workers' machines, of which 1.0 is the average.

    Args:
        workers_by_incarnation: the workers, to tell which runs are slow for
            other reasons.
        durations: expected work of tasks.
        log: writes a log line, given an event text and fields.
    """

    def __init__(
        self,
        workers_by_incarnation: Mapping[
            runs.IncarnationKey, fleet.TrackedWorker
        ],
        durations: durations_lib.Durations,
        log: Callable[..., None],
    ) -> None:
        self._workers_by_incarnation = workers_by_incarnation
        self._durations = durations
        self._log = log
        self._steps_by_key: dict[_StepKey, _Step] = {}
        self._log_speeds: dict[types.Address, float] = {}
        self._logged_by_agent: dict[types.Address, float] = {}
        self._updated_s = float("-inf")

    def on_progress(
        self,
        worker: fleet.TrackedWorker,
        entry: ledger.RunEntry,
        segment: observed_progress.Segment,
        slowdown: float,
        now_s: float,
    ) -> None:
        """Learns from the progress of a run that its worker has reported.

        Args:
            worker: the worker.
            entry: the run.
            segment: its progress since the segment before.
            slowdown: factor by which co-located tasks are known to slow it.
            now_s: current monotonic time.
        """
        if (
            worker.agent is None
            or not entry.is_current
            or entry.step.long_running
            or remoteness.is_slowed(entry, self._workers_by_incarnation)
        ):
            return
        name = entry.name
        key = (str(name.job), name.occurrence, name.step)
        step = self._steps_by_key.get(key)
        if step is None:
            step = self._steps_by_key[key] = _Step(entry.tracked, name.step)
        group_key = entry.run if entry.step.gang else worker.agent
        group = step.groups_by_key.setdefault(group_key, _Group())
        observation = group.by_agent.setdefault(
            worker.agent, _Observation(at_s=now_s)
        )
        rate = math.log(segment.percent / 100 / segment.seconds * slowdown)
        observation.add(rate, precision_of(segment), now_s)

    def on_new_incarnation(self, agent: types.Address) -> None:
        """Halves the weight of what is known of a machine.

        The worker on it has restarted, and may have changed.
        """
        for step in self._steps_by_key.values():
            for group in step.groups_by_key.values():
                if agent in group.by_agent:
                    group.by_agent[agent].precision /= 2

    def update(self, now_s: float) -> None:
        """Estimates the speeds anew, if that is due."""
        known = self._steps_by_key or self._log_speeds
        if not known or now_s - self._updated_s < UPDATE_INTERVAL_S:
            return
        self._updated_s = now_s
        self._summarize(now_s)
        for _ in range(SWEEPS):
            self._sweep()
        self._log_changes()

    def speed_of(self, agent: types.Address | None) -> float:
        """Returns the speed of a machine; 1.0 if it isn't known to differ."""
        if agent is None:
            return 1.0
        difference = self._log_speeds.get(agent, 0.0)
        return math.exp(difference) if abs(difference) > MIN_DIFFERENCE else 1.0

    def speed_of_run(self, entry: ledger.RunEntry) -> float | None:
        """Returns the speed at which a run moves; that of its slowest worker.

        None if other causes slow it as well.
        """
        if remoteness.is_slowed(entry, self._workers_by_incarnation):
            return None
        return min(
            (self.speed_of(place.agent) for place in entry.unit.placements),
            default=1.0,
        )

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the speeds, by metric name."""
        speeds = [self.speed_of(agent) for agent in self._log_speeds]
        return {
            "workers_of_known_speed": len(speeds),
            "slowest_worker_speed": min(speeds, default=1.0),
            "fastest_worker_speed": max(speeds, default=1.0),
        }

    def _summarize(self, now_s: float) -> None:
        for step_key, step in list(self._steps_by_key.items()):
            step.prior = self._durations.expectation(step.tracked, step.number)
            for key, group in list(step.groups_by_key.items()):
                group.summarize(now_s)
                if not group.by_agent:
                    del step.groups_by_key[key]
            if not step.groups_by_key:
                del self._steps_by_key[step_key]
        kept = sum(step.size for step in self._steps_by_key.values())
        while kept > MAX_OBSERVATIONS:
            step_key = next(iter(self._steps_by_key))
            kept -= self._steps_by_key.pop(step_key).size

    def _sweep(self) -> None:
        """Improves the speeds by one pass over all observations."""
        sums: dict[types.Address, list[float]] = {}
        for step in self._steps_by_key.values():
            for agent, speed, weight in _evidence(step, self._log_speeds):
                total = sums.setdefault(agent, [1 / PRIOR_VARIANCE, 0.0])
                total[0] += weight
                total[1] += weight * speed
        speeds = {agent: total[1] / total[0] for agent, total in sums.items()}
        average = sum(speeds.values()) / max(1, len(speeds))
        self._log_speeds = {
            agent: speed - average for agent, speed in speeds.items()
        }

    def _log_changes(self) -> None:
        """Logs the speeds that have changed by more than chance explains."""
        for agent, value in self._log_speeds.items():
            logged = self._logged_by_agent.get(agent, 0.0)
            if abs(value - logged) > 2 * MIN_DIFFERENCE:
                self._logged_by_agent[agent] = value
                self._log(
                    "worker speed learned",
                    agent=agent,
                    speed=round(math.exp(value), 2),
                    before=round(math.exp(logged), 2),
                )


def precision_of(segment: observed_progress.Segment) -> float:
    """Returns the precision of the logarithm of a segment's rate."""
    variance = (
        (PERCENT_ERROR / segment.percent) ** 2
        + (REPORT_TIME_ERROR_S / segment.seconds) ** 2
        + RATE_ERROR**2
    )
    return 1 / variance


def _evidence(
    step: _Step, speeds: Mapping[types.Address, float]
) -> Iterable[tuple[types.Address, float, float]]:
    """Yields what a step's observations say of speeds: agent, speed, weight.

    Each group is compared with the step's work by the other groups and by the
    learned durations.
    """
    prior = step.prior
    weight = 1 / prior.variance if prior is not None else 0.0
    work = weight * prior.mean if prior is not None else 0.0
    rows = []
    for group in step.groups_by_key.values():
        slowest = group.slowest(speeds)
        precision = group.precision * group.outlier_weight
        rows.append((group, slowest, precision))
        weight += precision
        work += precision * (slowest - group.rate)
    for group, slowest, precision in rows:
        others = weight - precision
        if others < MIN_PRECISION:
            continue
        others_work = (work - precision * (slowest - group.rate)) / others
        error = others_work + group.rate - slowest
        group.outlier_weight = min(1.0, OUTLIER / abs(error)) if error else 1.0
        for agent, speed, share in _shares(group, others_work, speeds):
            yield agent, speed, share / (1 / precision + 1 / others)


def _shares(
    group: _Group, work: float, speeds: Mapping[types.Address, float]
) -> Iterable[tuple[types.Address, float, float]]:
    """Yields what a group's rate says of its members: agent, speed, weight.

    A member that seems slower than the rate allows is faster. Of the others,
    the slowest ones are as fast as the group.
    """
    if len(group.by_agent) == 1:
        yield next(iter(group.by_agent)), work + group.rate, 1.0
        return
    slowest = group.slowest(speeds)
    weights = {
        agent: math.exp((slowest - speeds.get(agent, 0.0)) / MEMBER_SCALE)
        for agent in group.by_agent
    }
    total = sum(weights.values())
    for agent, observation in group.by_agent.items():
        least = work + observation.rate
        if speeds.get(agent, 0.0) < least:
            yield agent, least, 1.0
        else:
            yield agent, work + group.rate, weights[agent] / total
