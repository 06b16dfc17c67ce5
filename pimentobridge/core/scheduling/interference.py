"""Learns which tasks slow each other down on one worker.

Tasks contend for more than the resources that they request. For each ordered
pair of kinds of tasks (the slowed one, the co-located one) the slowdown is the
factor by which the first is slower beside the second.

Observations are logarithms of slowness: of the time that a step's task takes
for a share of its work, or, for a serving task, of its tail latency relative to
its target if that is exceeded. An observation is explained as the sum of the
step's own figure, the slowness of the worker, and the slowdowns by all kinds
there. These are estimated together by least squares. The speeds in `speeds`
aren't used for it: they are learned from the same progress, so that a worker
with an interfering neighbour counts as slow there until the pair is known.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from pimentobridge.core.scheduling import kinds
from pimentobridge.core.scheduling import remoteness
from pimentobridge.core.scheduling import slowdown_errors
from pimentobridge.core.scheduling import speeds
from pimentobridge.core.scheduling import throttling

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from pimentobridge.core import types
    from pimentobridge.core.jobs import observed_progress
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import ledger
    from pimentobridge.core.scheduling import placement

HALF_LIFE_S = 60.0
# Slowdowns are estimated anew at most this often.
UPDATE_INTERVAL_S = 1.0
# Passes over the observations in one update. The result of the last update is
# the start of the next one.
SWEEPS = 3
# Variance of slowdowns, of the slowness of workers, and of the latency of a
# serving task beyond its target without co-located tasks, before observations.
SLOWDOWN_VARIANCE = 0.25
WORKER_VARIANCE = 0.16
SERVING_VARIANCE = 0.04
# Variance of the logarithm of one reported tail latency, which is a rough
# figure for half a second.
LATENCY_VARIANCE = 0.1
# Time that a reported tail latency covers.
LATENCY_WINDOW_S = 0.5
# Observations that a pair needs, and the least slowdown that counts, also in
# standard errors. Smaller slowdowns cost less than what separation displaces.
MIN_OBSERVATIONS = 3.0
MIN_SLOWDOWN = 1.15
MIN_STANDARD_ERRORS = 3.0
# Slowdowns above this aren't told apart.
MAX_SLOWDOWN = 10.0
# Factor between two steps of cost, so that small errors don't decide.
STEP_FACTOR = 1.25
# Observations with less weight than this are dropped.
MIN_PRECISION = 0.5
# Beside more kinds than this an observation doesn't tell which of them slows.
MAX_NEIGHBOURS = 12
# Limit on the observations that are kept, each counted once and once for each
# co-located kind, the steps first seen longest ago dropped first. It bounds the
# time of an update.
MAX_TERMS = 2000

# The slowed kind and the co-located one.
Pair = tuple[kinds.Kind, kinds.Kind]
# A step of an occurrence of a job: its tasks have the same work.
_StepKey = tuple[str, int, int]


class Effect(NamedTuple):
    """How a unit and the runs on a worker would interfere.

    Attributes:
        slowdown: factor by which the runs would slow the unit.
        steps: coarse measure of the slowdowns in both directions.
    """

    slowdown: float
    steps: int


NO_EFFECT = Effect(1.0, 0)


@dataclasses.dataclass
class _Observation:
    """Slowness of a step's tasks on a worker beside the same kinds.

    Attributes:
        slowness: logarithm, see the module.
        precision: inverse of its variance.
        count: number of observations that it combines.
        at_s: monotonic time for which `precision` and `count` are.
        slowdown: logarithm of the estimated slowdown by all neighbours.
    """

    agent: types.Address
    neighbours: frozenset[kinds.Kind]
    slowness: float = 0.0
    precision: float = 0.0
    count: float = 0.0
    at_s: float = 0.0
    slowdown: float = 0.0

    def decay(self, now_s: float) -> None:
        factor = 0.5 ** ((now_s - self.at_s) / HALF_LIFE_S)
        self.precision *= factor
        self.count *= factor
        self.at_s = now_s

    def add(self, slowness: float, precision: float, now_s: float) -> None:
        self.decay(now_s)
        total = self.precision + precision
        self.slowness += (slowness - self.slowness) * precision / total
        self.precision = min(speeds.MAX_PRECISION, total)
        self.count += 1


@dataclasses.dataclass
class _Step:
    """Observations of one step's tasks.

    Attributes:
        kind: kind of the tasks.
        serving: whether they serve requests, so that latency is observed.
        own: logarithm of the slowness without neighbours; None before it is
            estimated.
    """

    kind: kinds.Kind
    serving: bool
    own: float | None = None
    by_place: dict[
        tuple[types.Address, frozenset[kinds.Kind]], _Observation
    ] = dataclasses.field(default_factory=dict)

    @property
    def terms(self) -> int:
        """Number of terms, see `MAX_TERMS`."""
        return sum(1 + len(neighbours) for _, neighbours in self.by_place)


_Rows = list[tuple[_Step, _Observation]]


class Interference:
    """Slowdowns between kinds of tasks.

    Args:
        workers_by_incarnation: the workers, to tell which runs are slow for
            other reasons.
        log: writes a log line, given an event text and fields.
    """

    def __init__(
        self,
        workers_by_incarnation: Mapping[
            runs.IncarnationKey, fleet.TrackedWorker
        ],
        log: Callable[..., None],
    ) -> None:
        self._workers_by_incarnation = workers_by_incarnation
        self._log = log
        self._steps_by_key: dict[_StepKey, _Step] = {}
        # Estimates, as logarithms.
        self._slowdowns: dict[Pair, float] = {}
        self._slowness_by_agent: dict[types.Address, float] = {}
        self._precision_by_agent: dict[types.Address, float] = {}
        # The estimates that are certain enough, as logarithms. By kind and
        # neighbour: the slowdown of the kind, and the sum of both directions.
        self._known: dict[Pair, float] = {}
        self._effects_by_kind: dict[
            kinds.Kind, dict[kinds.Kind, tuple[float, float]]
        ] = {}
        self._logged: dict[Pair, float] = {}
        self._updated_s = float("-inf")
        self._placements = 0

    def on_running(
        self,
        worker: fleet.TrackedWorker,
        entry: ledger.RunEntry,
        *,
        segment: observed_progress.Segment | None,
        metric: int | None,
        now_s: float,
    ) -> None:
        """Learns from a run that its worker lists as running.

        Args:
            worker: the worker.
            entry: the run.
            segment: progress since the segment before, if there is any.
            metric: figure that the worker reports of the run; None for none.
            now_s: current monotonic time.
        """
        neighbours = worker.neighbours_of(entry.kind)
        if neighbours != entry.neighbours:
            entry.neighbours, entry.neighbours_since_s = neighbours, now_s
        if (
            not entry.is_current
            or worker.agent is None
            or not worker.reachable
            or len(neighbours) > MAX_NEIGHBOURS
        ):
            return
        step = entry.step
        if step.target_ms > 0:
            if (
                metric is not None
                and worker.throttle.percent == throttling.FULL_PERCENT
                and now_s - entry.neighbours_since_s >= LATENCY_WINDOW_S
            ):
                excess = math.log(max(1.0, metric / step.target_ms))
                slowness = min(excess, math.log(MAX_SLOWDOWN))
                self._add(worker, entry, slowness, 1 / LATENCY_VARIANCE, now_s)
            return
        if segment is not None and self._counts(entry, segment):
            slowness = math.log(segment.seconds * 100 / segment.percent)
            precision = speeds.precision_of(segment)
            self._add(worker, entry, slowness, precision, now_s)

    def _counts(
        self, entry: ledger.RunEntry, segment: observed_progress.Segment
    ) -> bool:
        """Returns whether progress may show a slowdown by neighbours.

        A member of a gang moves at the pace of the slowest one, and a task that
        uses spare CPU at that of what others leave. The neighbours must have
        been the same throughout.
        """
        step = entry.step
        began_s = entry.observed.progressed_s - segment.seconds
        return (
            not step.gang
            and not step.long_running
            and not step.uses_spare_cpu
            and entry.neighbours_since_s <= began_s
            and not remoteness.is_slowed(entry, self._workers_by_incarnation)
        )

    def _add(
        self,
        worker: fleet.TrackedWorker,
        entry: ledger.RunEntry,
        slowness: float,
        precision: float,
        now_s: float,
    ) -> None:
        if worker.agent is None or entry.neighbours is None:
            return
        name = entry.name
        key = (str(name.job), name.occurrence, name.step)
        step = self._steps_by_key.get(key)
        if step is None:
            step = self._steps_by_key[key] = _Step(
                entry.kind, entry.step.target_ms > 0
            )
        place = (worker.agent, entry.neighbours)
        observation = step.by_place.get(place)
        if observation is None:
            observation = step.by_place[place] = _Observation(
                *place, at_s=now_s
            )
        observation.add(slowness, precision, now_s)

    def update(self, now_s: float) -> None:
        """Estimates the slowdowns anew, if that is due."""
        known = self._steps_by_key or self._known
        if not known or now_s - self._updated_s < UPDATE_INTERVAL_S:
            return
        self._updated_s = now_s
        self._drop_old(now_s)
        rows_by_pair = self._rows_by_pair()
        self._slowdowns = {
            pair: self._slowdowns.get(pair, 0.0) for pair in rows_by_pair
        }
        for step in self._steps_by_key.values():
            for observation in step.by_place.values():
                observation.slowdown = sum(
                    self._slowdowns[step.kind, neighbour]
                    for neighbour in observation.neighbours
                )
            if step.own is None:
                step.own = 0.0 if step.serving else self._own_slowness(step)
        for _ in range(SWEEPS):
            self._sweep(rows_by_pair)
        self._use(self._certain(rows_by_pair))
        self._log_changes()

    def _certain(self, rows_by_pair: Mapping[Pair, _Rows]) -> dict[Pair, float]:
        """Returns the slowdowns that are certain and large enough."""
        large = {
            pair: slowdown
            for pair, slowdown in self._slowdowns.items()
            if slowdown >= math.log(MIN_SLOWDOWN)
            and sum(observation.count for _, observation in rows_by_pair[pair])
            >= MIN_OBSERVATIONS
        }
        variances_by_kind = {
            kind: slowdown_errors.variances(
                self._rows_of(kind), prior=SLOWDOWN_VARIANCE
            )
            for kind in {slowed for slowed, _ in large}
        }
        return {
            (slowed, neighbour): slowdown
            for (slowed, neighbour), slowdown in large.items()
            if slowdown
            >= MIN_STANDARD_ERRORS
            * math.sqrt(variances_by_kind[slowed][neighbour])
        }

    def _rows_of(self, kind: kinds.Kind) -> list[slowdown_errors.StepRows]:
        return [
            slowdown_errors.StepRows(
                1 / SERVING_VARIANCE if step.serving else 0.0,
                [
                    (
                        observation.neighbours,
                        self._precision_of(step, observation),
                    )
                    for observation in step.by_place.values()
                ],
            )
            for step in self._steps_by_key.values()
            if step.kind == kind
        ]

    def _precision_of(self, step: _Step, observation: _Observation) -> float:
        """Returns the precision, less what is unknown of the worker's speed.

        The other observations there determine that.
        """
        precision = observation.precision
        if step.serving:
            return precision
        others = self._precision_by_agent[observation.agent] - precision
        return 1 / (1 / precision + 1 / others)

    def _use(self, known: dict[Pair, float]) -> None:
        """Puts the slowdowns that are certain enough into use."""
        self._known = known
        self._effects_by_kind = {}
        for slowed, beside in known:
            for kind, neighbour in ((slowed, beside), (beside, slowed)):
                own = known.get((kind, neighbour), 0.0)
                both = own + known.get((neighbour, kind), 0.0)
                effects = self._effects_by_kind.setdefault(kind, {})
                effects[neighbour] = own, both

    def _drop_old(self, now_s: float) -> None:
        for key, step in list(self._steps_by_key.items()):
            for place, observation in list(step.by_place.items()):
                observation.decay(now_s)
                if observation.precision < MIN_PRECISION:
                    del step.by_place[place]
            if not step.by_place:
                del self._steps_by_key[key]
        kept = sum(step.terms for step in self._steps_by_key.values())
        while kept > MAX_TERMS:
            key = next(iter(self._steps_by_key))
            kept -= self._steps_by_key.pop(key).terms

    def _rows_by_pair(self) -> dict[Pair, _Rows]:
        rows_by_pair: dict[Pair, _Rows] = {}
        for step in self._steps_by_key.values():
            for observation in step.by_place.values():
                for neighbour in observation.neighbours:
                    pair = (step.kind, neighbour)
                    rows_by_pair.setdefault(pair, []).append(
                        (step, observation)
                    )
        return rows_by_pair

    def _sweep(self, rows_by_pair: Mapping[Pair, _Rows]) -> None:
        """Improves the estimates by one pass over all observations."""
        for pair, rows in rows_by_pair.items():
            self._improve_slowdown(pair, rows)
        sums: dict[types.Address, list[float]] = {}
        for step in self._steps_by_key.values():
            if step.serving:
                continue
            for observation in step.by_place.values():
                total = sums.setdefault(
                    observation.agent, [1 / WORKER_VARIANCE, 0.0]
                )
                rest = (
                    observation.slowness
                    - (step.own or 0.0)
                    - observation.slowdown
                )
                total[0] += observation.precision
                total[1] += observation.precision * rest
        self._slowness_by_agent = {
            agent: total[1] / total[0] for agent, total in sums.items()
        }
        self._precision_by_agent = {
            agent: total[0] for agent, total in sums.items()
        }
        for step in self._steps_by_key.values():
            step.own = self._own_slowness(step)

    def _improve_slowdown(self, pair: Pair, rows: _Rows) -> None:
        before = self._slowdowns[pair]
        weight, total = 1 / SLOWDOWN_VARIANCE, 0.0
        for step, observation in rows:
            others = observation.slowdown - before
            expected = self._worker_slowness(step, observation) + others
            rest = observation.slowness - (step.own or 0.0) - expected
            weight += observation.precision
            total += observation.precision * rest
        after = min(math.log(MAX_SLOWDOWN), max(0.0, total / weight))
        self._slowdowns[pair] = after
        for _, observation in rows:
            observation.slowdown += after - before

    def _own_slowness(self, step: _Step) -> float:
        weight = 1 / SERVING_VARIANCE if step.serving else 0.0
        total = 0.0
        for observation in step.by_place.values():
            weight += observation.precision
            total += observation.precision * (
                observation.slowness
                - observation.slowdown
                - self._worker_slowness(step, observation)
            )
        return total / weight

    def _worker_slowness(self, step: _Step, observation: _Observation) -> float:
        if step.serving:
            return 0.0
        return self._slowness_by_agent.get(observation.agent, 0.0)

    def _log_changes(self) -> None:
        """Logs the slowdowns that have changed by more than chance explains."""
        for pair in self._known.keys() | self._logged.keys():
            value = self._known.get(pair, 0.0)
            logged = self._logged.get(pair, 0.0)
            change = abs(value - logged)
            if value and logged and change <= 2 * math.log(MIN_SLOWDOWN):
                continue
            slowed, neighbour = pair
            if value:
                self._logged[pair] = value
            else:
                del self._logged[pair]
            self._log(
                "interference learned" if value else "interference forgotten",
                slowed=str(slowed),
                beside=str(neighbour),
                slowdown=round(math.exp(value), 2),
                before=round(math.exp(logged), 2),
            )

    def slowdown_of(
        self, worker: fleet.TrackedWorker, entry: ledger.RunEntry
    ) -> float:
        """Returns the factor by which its neighbours slow a run; 1.0 if none.

        Args:
            worker: the run's worker.
            entry: the run.
        """
        kind = entry.kind
        if kind not in self._effects_by_kind:
            return 1.0
        return math.exp(
            sum(
                self._known.get((kind, neighbour), 0.0)
                for neighbour in worker.neighbours_of(kind)
            )
        )

    def concerns(self, demand: placement.Demand) -> bool:
        """Returns whether any slowdown by or of a unit's kind is known."""
        return demand.kind in self._effects_by_kind

    def effect(
        self, worker: fleet.TrackedWorker, demand: placement.Demand
    ) -> Effect:
        """Returns how a unit and the runs on a worker would interfere.

        Args:
            worker: the worker.
            demand: requirements of the unit.
        """
        neighbours = (
            self._effects_by_kind.get(demand.kind) if demand.kind else None
        )
        if not neighbours:
            return NO_EFFECT
        runs_by_kind = worker.runs_by_kind
        own = total = 0.0
        for neighbour, (slowed, both) in neighbours.items():
            if neighbour in runs_by_kind:
                own += slowed
                total += both
        if not total:
            return NO_EFFECT
        return Effect(math.exp(own), round(total / math.log(STEP_FACTOR)))

    def on_placed(self, steps: int) -> None:
        """Counts a placed unit, by how much it interferes there."""
        self._placements += steps > 0

    def gauges(self) -> dict[str, float]:
        """Returns the gauges by metric name."""
        strongest = max(self._known.values(), default=0.0)
        return {
            "interfering_pairs": len(self._known),
            "strongest_interference": math.exp(strongest),
            "units_placed_beside_interference": self._placements,
        }
