"""Holds resources for waiting units, so that less urgent jobs don't take them.

Without a hold, the tasks of less urgent jobs that fit in what is free at the
moment would keep a wide unit waiting until all of them have ended.
"""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING
from typing import NamedTuple

from pimentobridge.core.scheduling import ledger
from pimentobridge.core.scheduling import placement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentobridge.core import types
    from pimentobridge.core.jobs import model
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet


class Hold(NamedTuple):
    """Resources held for a unit, on the workers of its members.

    Attributes:
        job: the unit's job.
        priority: priority of the unit's queue.
        keys: worker of each member.
        footprint: resources that a member reserves.
        fits_in_s: time in which the unit is expected to fit, in seconds.
    """

    job: types.JobId
    priority: int
    keys: list[runs.IncarnationKey]
    footprint: model.Resources
    fits_in_s: float


class Holds:
    """The holds of a scheduling pass.

    Args:
        candidates: workers that accept tasks, and their free resources.
    """

    def __init__(self, candidates: placement.Candidates) -> None:
        self._candidates = candidates
        self._pending: list[Hold] = []
        self._claims: list[Hold] = []
        self._in_force: list[Hold] = []
        self._reserved_pools: set[tuple[str, int]] = set()

    def add(self, hold: Hold) -> None:
        """Adds a hold, which takes effect for less urgent jobs."""
        self._pending.append(hold)

    def add_claim(self, hold: Hold) -> None:
        """Adds a hold that takes effect for all other jobs of its priority."""
        known = self._candidates.workers_by_key
        keys = [key for key in hold.keys if key in known]
        self._claims.append(hold._replace(keys=keys))

    def release(self, job: types.JobId) -> None:
        """Gives a job's holds back to it, before its first unit is tried."""
        for hold in [one for one in self._in_force if one.job == job]:
            self._in_force.remove(hold)
            for key in hold.keys:
                self._candidates.give_back(key, hold.footprint)

    def reserve(self, hold: Hold, service: str) -> None:
        """Adds a hold that binds all units of a service after this one."""
        self._reserved_pools.add((service, hold.priority))
        self._apply(hold)

    def is_reserved(self, service: str, priority: int) -> bool:
        """Returns whether a unit of that priority has a reservation."""
        return (service, priority) in self._reserved_pools

    def binding_on(self, priority: int) -> list[Hold]:
        """Returns the holds that are in force for queues with `priority`."""
        return [hold for hold in self._in_force if hold.priority <= priority]

    def free_with(self, opened: Iterable[Hold]) -> placement.FreeResources:
        """Returns the free resources with those of some holds given back."""
        free_by_key = dict(self._candidates.free_by_key)
        for hold in opened:
            for key in hold.keys:
                free_by_key[key] += hold.footprint
        return free_by_key

    def apply_to(self, priority: int, *, guaranteed: bool) -> None:
        """Reserves the holds that bind jobs of queues with `priority`.

        A pass visits the queues in the order of their priorities, so a hold
        that binds one job binds all that follow. Claims don't bind jobs that
        are guaranteed, which come first.
        """
        claimed = [] if guaranteed else self._claims
        for hold in claimed:
            if hold.priority <= priority:
                self._apply(hold)
        self._claims = [
            hold
            for hold in self._claims
            if guaranteed or hold.priority > priority
        ]
        remaining = []
        for hold in self._pending:
            if hold.priority >= priority:
                remaining.append(hold)
                continue
            self._apply(hold)
        self._pending = remaining

    def _apply(self, hold: Hold) -> None:
        for key in hold.keys:
            self._candidates.reserve(key, hold.footprint)
        self._in_force.append(hold)


class Expected(NamedTuple):
    """Where and when a unit is expected to fit first.

    Attributes:
        assigned: a worker for each member.
        in_s: time until then, in seconds.
    """

    assigned: list[runs.IncarnationKey]
    in_s: float


def earliest_assignment(
    candidates: placement.Candidates,
    demand: placement.Demand,
    ends: ExpectedEnds,
) -> Expected | None:
    """Returns where and when a unit is expected to fit first.

    Args:
        candidates: workers that accept tasks, and their free resources.
        demand: requirements of the unit.
        ends: the ends that are expected on these workers.

    Returns:
        None if the unit wouldn't fit even after the end of all runs.
    """
    free_by_key = dict(candidates.free_by_key)
    footprint = demand.step.footprint
    slots_by_key = {
        worker.key: footprint.copies_in(free_by_key[worker.key])
        for worker in candidates.eligible(demand)
    }
    slots = sum(slots_by_key.values())
    for remaining_s, worker, entry in ends.in_order():
        if worker.key not in slots_by_key:
            continue
        before = slots_by_key[worker.key]
        free_by_key[worker.key] += entry.step.footprint
        slots_by_key[worker.key] = footprint.copies_in(free_by_key[worker.key])
        gained = slots_by_key[worker.key] - before
        slots += gained
        if not gained or slots < demand.size:
            continue
        assigned = placement.place(candidates, demand, free_by_key=free_by_key)
        if assigned is not None:
            return Expected(assigned, remaining_s)
    return None


class ExpectedEnds:
    """The runs that end by themselves, in the order of their expected ends.

    Of runs that end at the same time, those on less used workers come first.

    Args:
        candidates: the workers of the runs.
        now_s: current monotonic time.
    """

    def __init__(self, candidates: placement.Candidates, now_s: float) -> None:
        self._workers = candidates.workers_by_key.values()
        self._now_s = now_s
        self._in_order: (
            list[tuple[float, fleet.TrackedWorker, ledger.RunEntry]] | None
        ) = None

    def invalidate(self) -> None:
        """Notes that runs were stopped."""
        self._in_order = None

    def add(
        self, started: list[tuple[fleet.TrackedWorker, ledger.RunEntry]]
    ) -> None:
        """Adds the members of a unit that was placed.

        Args:
            started: the runs and their workers, at least one.
        """
        if self._in_order is None:
            return
        members = [entry for _, entry in started]
        remaining_s = ledger.remaining_s(members, self._now_s)
        if remaining_s == float("inf"):
            return
        at = bisect.bisect_right(
            self._in_order, remaining_s, key=lambda row: row[0]
        )
        self._in_order[at:at] = [
            (remaining_s, worker, entry) for worker, entry in started
        ]

    def in_order(
        self,
    ) -> list[tuple[float, fleet.TrackedWorker, ledger.RunEntry]]:
        """Returns the time until each run ends, its worker and the run."""
        if self._in_order is None:
            self._in_order = self._find()
        return self._in_order

    def _find(
        self,
    ) -> list[tuple[float, fleet.TrackedWorker, ledger.RunEntry]]:
        members_by_unit: dict[int, list[ledger.RunEntry]] = (
            collections.defaultdict(list)
        )
        for worker in self._workers:
            for entry in worker.entries_by_key.values():
                members_by_unit[id(entry.unit)].append(entry)
        remaining_s_by_unit = {
            unit: ledger.remaining_s(members, self._now_s)
            for unit, members in members_by_unit.items()
        }
        timed = [
            (remaining_s_by_unit[id(entry.unit)], worker, entry)
            for worker in self._workers
            for entry in worker.entries_by_key.values()
        ]
        ending = [row for row in timed if row[0] < float("inf")]
        ending.sort(
            key=lambda row: (
                row[0],
                len(row[1].entries_by_key),
                row[1].key.worker,
            )
        )
        return ending
