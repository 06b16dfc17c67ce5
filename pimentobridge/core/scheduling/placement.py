"""Assigns the members of a unit to workers."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import packing
from pimentobridge.core.scheduling import preferences as preferences_lib

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from pimentobridge.core import types
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import kinds

# Limits on the runs on a worker. Its agent reports all of them in one message,
# and tasks may request next to nothing. Urgent ones find room after the others.
MAX_RUNS_PER_WORKER = 4096
MAX_RUNS_WITH_URGENT = MAX_RUNS_PER_WORKER + 512
URGENT_PRIORITY = 0

FreeResources = dict[runs.IncarnationKey, model.Resources]


@dataclasses.dataclass(frozen=True)
class Demand:
    """Requirements of a unit.

    Attributes:
        step: requirements of each member.
        size: number of members.
        service: name of the worker pool that runs the queue's tasks.
        tasks_by_worker: number of the step's tasks that each worker has
            already; needed only for a step with `max_per_worker`.
        allowed: the workers that the external policy allows; None if the queue
            has no policy.
        failed_on: workers on which the unit has failed; it goes to others, if
            there are any that could hold it.
        crashed_on: agents of the machines on which the worker crashed under
            the unit; a unit with any isn't placed beside another such unit.
        priority: priority of the job's queue.
        expected_s: expected run time of a member on a worker of average speed,
            in seconds.
        due_in_s: time until the completion that the queue promises, in
            seconds; infinite for a job without such a time.
        job: the unit's job.
        kind: kind of its tasks; None if that doesn't matter.
    """

    step: model.Step
    size: int
    service: str
    tasks_by_worker: Mapping[runs.IncarnationKey, int] = dataclasses.field(
        default_factory=dict
    )
    allowed: Collection[runs.IncarnationKey] | None = None
    crashed_on: Collection[types.Address] = ()
    failed_on: Collection[types.WorkerId] = ()
    priority: int = 0
    expected_s: float = 0.0
    due_in_s: float = float("inf")
    job: types.JobId | None = None
    kind: kinds.Kind | None = None

    def may_run_on(self, worker: fleet.TrackedWorker) -> bool:
        """Returns whether a worker may run the step, given enough capacity."""
        return (
            worker.incarnation is not None
            and worker.incarnation.service == self.service
            and (
                not self.step.required_label
                or self.step.required_label in worker.incarnation.labels
            )
            and (self.allowed is None or worker.key in self.allowed)
            and not (self.crashed_on and worker.holds_suspect)
        )


class Candidates:
    """Workers that accept tasks, with their free resources during a pass.

    Args:
        workers: workers that accept new tasks.
        preferences: order the workers that can hold a unit.
        owner_by_key: jobs with reservations, by worker; others are placed
            elsewhere if they fit there as well.

    Attributes:
        free_by_key: free resources that the pass hasn't reserved yet.
        racks_in_use: racks with runs, or where the pass has reserved resources.
    """

    def __init__(
        self,
        workers: Iterable[fleet.TrackedWorker],
        preferences: Sequence[preferences_lib.Preference] = (),
        owner_by_key: Mapping[runs.IncarnationKey, types.JobId] | None = None,
    ) -> None:
        self._preferences = preferences
        self._costed: Demand | None = None
        self._costs_by_key: dict[runs.IncarnationKey, tuple[float, ...]] = {}
        self._owner_by_key = owner_by_key or {}
        self.workers_by_key = {worker.key: worker for worker in workers}
        self.free_by_key: FreeResources = {
            key: worker.free for key, worker in self.workers_by_key.items()
        }
        self.racks_in_use = {
            worker.incarnation.rack
            for worker in self.workers_by_key.values()
            if worker.incarnation is not None
            and worker.used != model.NO_RESOURCES
        }
        self._eligible_by_requirement: dict[
            tuple[str, str], list[fleet.TrackedWorker]
        ] = {}

    def reserve(
        self, key: runs.IncarnationKey, amount: model.Resources
    ) -> None:
        """Reserves resources of a worker for the rest of the pass."""
        self.free_by_key[key] -= amount
        incarnation = self.workers_by_key[key].incarnation
        if incarnation is not None:
            self.racks_in_use.add(incarnation.rack)

    def give_back(
        self, key: runs.IncarnationKey, amount: model.Resources
    ) -> None:
        """Makes resources that were reserved free again."""
        self.free_by_key[key] += amount

    def reserved_for_other(
        self, key: runs.IncarnationKey, demand: Demand
    ) -> bool:
        """Returns whether another job has a reservation on a worker.

        It may have to wait longer if the unit is placed there.
        """
        owner = self._owner_by_key.get(key)
        return owner is not None and owner != demand.job

    def costs(
        self, key: runs.IncarnationKey, demand: Demand
    ) -> tuple[float, ...]:
        """Returns what a placement on a worker costs, by preference."""
        # Kept for the latest unit, which is tried several times if it doesn't
        # fit at once.
        if self._costed is not demand:
            self._costed = demand
            self._costs_by_key = {}
        found = self._costs_by_key.get(key)
        if found is None:
            found = self._costs_by_key[key] = preferences_lib.costs(
                self._preferences, self.workers_by_key[key], demand
            )
        return found

    @property
    def slowest_member_decides(self) -> bool:
        """Whether the last cost of a gang is that of its most costly member."""
        return bool(self._preferences) and isinstance(
            self._preferences[-1], preferences_lib.SlowestMemberPreference
        )

    def eligible(self, demand: Demand) -> list[fleet.TrackedWorker]:
        """Returns the workers that may run a unit, given enough capacity."""
        if demand.failed_on:
            return _without_failed(self._find_eligible(demand), demand)
        if demand.allowed is not None or demand.crashed_on:
            return self._find_eligible(demand)
        # Only the service and the label decide, and they don't change.
        requirement = (demand.service, demand.step.required_label)
        found = self._eligible_by_requirement.get(requirement)
        if found is None:
            found = self._find_eligible(demand)
            self._eligible_by_requirement[requirement] = found
        return found

    def _find_eligible(self, demand: Demand) -> list[fleet.TrackedWorker]:
        return [
            worker
            for worker in self.workers_by_key.values()
            if demand.may_run_on(worker)
        ]


def _without_failed(
    workers: list[fleet.TrackedWorker], demand: Demand
) -> list[fleet.TrackedWorker]:
    """Returns the workers on which a unit hasn't failed.

    A worker that fails what it starts is free again at once, while the others
    are busy. A unit that went back to it would use up its attempts there.
    Returns all workers if the others couldn't hold the unit even when idle.
    """
    others = [
        worker
        for worker in workers
        if worker.key.worker not in demand.failed_on
    ]
    slots = sum(
        demand.step.footprint.copies_in(worker.incarnation.capacity)
        for worker in others
        if worker.incarnation is not None
    )
    return others if slots >= demand.size else workers


def place(
    candidates: Candidates,
    demand: Demand,
    *,
    free_by_key: FreeResources | None = None,
) -> list[runs.IncarnationKey] | None:
    """Returns a worker for each member, or None if the unit doesn't fit.

    Args:
        candidates: workers and their free resources.
        demand: requirements of the unit.
        free_by_key: free resources by worker to use instead of the
            candidates' own.
    """
    step, size = demand.step, demand.size
    available_by_key = (
        candidates.free_by_key if free_by_key is None else free_by_key
    )
    slots = _slots_by_worker(candidates, demand, available_by_key)
    if not slots:
        return None
    if step.same_rack and size > 1:
        chosen = _place_within_rack(candidates, demand, slots)
        if chosen is not None or _any_rack_could_hold(candidates, demand):
            return chosen
    options = [
        packing.Option(
            cost=(
                _is_suspect(candidates, key),
                _crash_risk(candidates.workers_by_key[key], demand),
                candidates.costs(key, demand),
                not _matches_affinity(candidates, step, key),
                candidates.reserved_for_other(key, demand),
            ),
            idle_rack=_rack_of(candidates, key) not in candidates.racks_in_use,
            slots=slots[key],
            unused_share=_unused_share(
                candidates, step, available_by_key[key], key
            ),
            worker=key.worker,
            key=key,
        )
        for key in slots
    ]
    if size == 1:
        return [packing.best_fit(options)]
    chosen = packing.fill(options, size)
    if chosen is None:
        return None
    return _with_similar_workers(candidates, demand, options, chosen)


def _slots_by_worker(
    candidates: Candidates, demand: Demand, free_by_key: FreeResources
) -> dict[runs.IncarnationKey, int]:
    """Returns how many members fit on each worker, without those with none."""
    slots = {}
    step, footprint = demand.step, demand.step.footprint
    cpu, memory = footprint.cpu_millicores, footprint.memory_mib
    accelerators = footprint.accelerators
    max_runs = (
        MAX_RUNS_WITH_URGENT
        if demand.priority == URGENT_PRIORITY
        else MAX_RUNS_PER_WORKER
    )
    for worker in candidates.eligible(demand):
        free = free_by_key[worker.key]
        # A fast check, as most workers of a crowded fleet have no room. What
        # isn't requested may be overcommitted.
        if (
            (accelerators and free.accelerators < accelerators)
            or (cpu and free.cpu_millicores < cpu)
            or (memory and free.memory_mib < memory)
        ):
            continue
        count = min(
            footprint.copies_in(free), max_runs - len(worker.entries_by_key)
        )
        if step.max_per_worker:
            remaining = step.max_per_worker - demand.tasks_by_worker.get(
                worker.key, 0
            )
            count = min(count, remaining)
        if count > 0:
            slots[worker.key] = count
    return slots


def _place_within_rack(
    candidates: Candidates,
    demand: Demand,
    slots: dict[runs.IncarnationKey, int],
) -> list[runs.IncarnationKey] | None:
    """Places all members in one rack, if any has enough slots.

    It is the affine rack if that has, or else the one where the most costly
    member costs least, of these the one where the members differ least in pace,
    and of these the one with the fewest slots.
    """
    step, size = demand.step, demand.size
    costs_by_key = {key: candidates.costs(key, demand) for key in slots}
    keys_by_rack: dict[str, list[runs.IncarnationKey]] = (
        collections.defaultdict(list)
    )
    for key in slots:
        keys_by_rack[_rack_of(candidates, key)].append(key)
    options = []
    for rack, keys in keys_by_rack.items():
        in_rack = [
            packing.Option(
                cost=(_is_suspect(candidates, key), costs_by_key[key]),
                idle_rack=False,
                slots=slots[key],
                unused_share=0.0,
                worker=key.worker,
                key=key,
            )
            for key in keys
        ]
        chosen = packing.fill(in_rack, size)
        if chosen is not None:
            chosen = _with_similar_workers(candidates, demand, in_rack, chosen)
            rank = (
                rack != step.affinity_rack if step.affinity_rack else False,
                max(costs_by_key[key] for key in chosen),
                _last_cost_spread(candidates, costs_by_key, chosen),
                sum(slots[key] for key in keys),
                rack,
            )
            options.append((rank, chosen))
    return min(options)[1] if options else None


def _any_rack_could_hold(candidates: Candidates, demand: Demand) -> bool:
    """Returns whether any rack could hold all members if it were empty."""
    slots_by_rack: collections.Counter[str] = collections.Counter()
    step = demand.step
    for worker in candidates.eligible(demand):
        if worker.incarnation is None:
            continue
        count = step.footprint.copies_in(worker.incarnation.capacity)
        if step.max_per_worker:
            count = min(count, step.max_per_worker)
        slots_by_rack[worker.incarnation.rack] += count
    return any(count >= demand.size for count in slots_by_rack.values())


def _with_similar_workers(
    candidates: Candidates,
    demand: Demand,
    options: list[packing.Option],
    chosen: list[runs.IncarnationKey],
) -> list[runs.IncarnationKey]:
    """Returns workers for a gang that cost about as much as its costliest one.

    A gang runs at the pace of its slowest member, so a better worker for
    another member gains nothing and is left to others. In all other respects
    the workers are as good as the ones chosen first.
    """
    if not candidates.slowest_member_decides:
        return chosen

    def grade(key: runs.IncarnationKey) -> tuple[float, ...]:
        return (
            _is_suspect(candidates, key),
            _crash_risk(candidates.workers_by_key[key], demand),
            *candidates.costs(key, demand),
        )

    grades = {key: grade(key) for key in chosen}
    worst = max(grades.values())
    if min(grades.values()) == worst or any(
        one[:-1] != worst[:-1] for one in grades.values()
    ):
        return chosen
    similar = [
        option._replace(
            cost=(-candidates.costs(option.key, demand)[-1], option.cost)
        )
        for option in options
        if worst[:-1] <= grade(option.key) <= worst
    ]
    return packing.fill(similar, len(chosen)) or chosen


def _last_cost_spread(
    candidates: Candidates,
    costs_by_key: Mapping[runs.IncarnationKey, tuple[float, ...]],
    chosen: list[runs.IncarnationKey],
) -> float:
    """Returns how much the last costs of a gang's members differ."""
    if not candidates.slowest_member_decides:
        return 0.0
    last = [costs_by_key[key][-1] for key in chosen]
    return max(last) - min(last)


def _is_suspect(candidates: Candidates, key: runs.IncarnationKey) -> bool:
    """Returns whether runs have failed on the worker since its last success.

    Whether the worker or the job was at fault isn't known then.
    """
    return bool(candidates.workers_by_key[key].health.failed_jobs)


def _crash_risk(worker: fleet.TrackedWorker, demand: Demand) -> int:
    """Returns how much a crash on the worker would cost; lower is better.

    A unit that may crash workers is kept from the machines on which it did,
    and from other units where a worker is empty.
    """
    if demand.crashed_on:
        return 2 * (worker.agent in demand.crashed_on) + bool(
            worker.entries_by_key
        )
    return int(worker.holds_suspect)


def _matches_affinity(
    candidates: Candidates, step: model.Step, key: runs.IncarnationKey
) -> bool:
    if not step.affinity_rack:
        return True
    return _rack_of(candidates, key) == step.affinity_rack


def _rack_of(candidates: Candidates, key: runs.IncarnationKey) -> str:
    incarnation = candidates.workers_by_key[key].incarnation
    return incarnation.rack if incarnation is not None else ""


def _unused_share(
    candidates: Candidates,
    step: model.Step,
    free: model.Resources,
    key: runs.IncarnationKey,
) -> float:
    """Returns the dominant share of a worker that one more task leaves unused.

    The worker with the smallest share is the best fit.
    """
    incarnation = candidates.workers_by_key[key].incarnation
    if incarnation is None:
        return 1.0
    return (free - step.footprint).dominant_share(incarnation.capacity)
