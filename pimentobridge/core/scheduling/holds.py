"""Holds resources for waiting units, so that less urgent jobs don't take them.

Without a hold, the tasks of less urgent jobs that fit in what is free at the
moment would keep a wide unit waiting until all of them have ended.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
from typing import NamedTuple

from pimentobridge.core.scheduling import ledger
from pimentobridge.core.scheduling import placement

if TYPE_CHECKING:
    from pimentobridge.core.jobs import model
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet


class Hold(NamedTuple):
    """Resources held for a unit, on the workers of its members.

    Attributes:
        priority: priority of the unit's queue; only jobs of queues with a
            higher number, which are less urgent, don't get the resources.
        keys: worker of each member.
        footprint: resources that a member reserves.
    """

    priority: int
    keys: list[runs.IncarnationKey]
    footprint: model.Resources


class Holds:
    """The holds of a scheduling pass.

    Args:
        candidates: workers that accept tasks, and their free resources.
    """

    def __init__(self, candidates: placement.Candidates) -> None:
        self._candidates = candidates
        self._pending: list[Hold] = []

    def add(self, hold: Hold) -> None:
        """Adds a hold, which takes effect for less urgent jobs."""
        self._pending.append(hold)

    def apply_to(self, priority: int) -> None:
        """Reserves the holds that bind jobs of queues with `priority`.

        A pass visits the queues in the order of their priorities, so a hold
        that binds one job binds all that follow.
        """
        remaining = []
        for hold in self._pending:
            if hold.priority >= priority:
                remaining.append(hold)
                continue
            for key in hold.keys:
                self._candidates.reserve(key, hold.footprint)
        self._pending = remaining


def earliest_assignment(
    candidates: placement.Candidates,
    demand: placement.Demand,
    ends: ExpectedEnds,
) -> list[runs.IncarnationKey] | None:
    """Returns the workers on which a unit is expected to fit first.

    Args:
        candidates: workers that accept tasks, and their free resources.
        demand: requirements of the unit.
        ends: the ends that are expected on these workers.

    Returns:
        A worker for each member, or None if the unit wouldn't fit even after
        the end of all runs.
    """
    free_by_key = dict(candidates.free_by_key)
    footprint = demand.step.footprint
    slots_by_key = {
        worker.key: footprint.copies_in(free_by_key[worker.key])
        for worker in candidates.eligible(demand)
    }
    slots = sum(slots_by_key.values())
    for worker, entry in ends.in_order():
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
            return assigned
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
            list[tuple[fleet.TrackedWorker, ledger.RunEntry]] | None
        ) = None

    def invalidate(self) -> None:
        """Notes that a run was placed or stopped."""
        self._in_order = None

    def in_order(self) -> list[tuple[fleet.TrackedWorker, ledger.RunEntry]]:
        """Returns the runs, each with its worker."""
        if self._in_order is None:
            self._in_order = self._find()
        return self._in_order

    def _find(self) -> list[tuple[fleet.TrackedWorker, ledger.RunEntry]]:
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
        return [(worker, entry) for _, worker, entry in ending]
