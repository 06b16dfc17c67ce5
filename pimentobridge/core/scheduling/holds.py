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
    candidates: placement.Candidates, demand: placement.Demand, now_s: float
) -> list[runs.IncarnationKey] | None:
    """Returns the workers on which a unit is expected to fit first.

    Args:
        candidates: workers that accept tasks, and their free resources.
        demand: requirements of the unit.
        now_s: current monotonic time.

    Returns:
        A worker for each member, or None if the unit wouldn't fit even after
        the end of all runs.
    """
    eligible = candidates.eligible(demand)
    free_by_key = dict(candidates.free_by_key)
    footprint = demand.step.footprint
    slots = sum(footprint.copies_in(free_by_key[w.key]) for w in eligible)
    for worker, entry in _by_expected_end(eligible, now_s):
        before = footprint.copies_in(free_by_key[worker.key])
        free_by_key[worker.key] += entry.step.footprint
        gained = footprint.copies_in(free_by_key[worker.key]) - before
        slots += gained
        if not gained or slots < demand.size:
            continue
        assigned = placement.place(candidates, demand, free_by_key=free_by_key)
        if assigned is not None:
            return assigned
    return None


def _by_expected_end(
    workers: list[fleet.TrackedWorker], now_s: float
) -> list[tuple[fleet.TrackedWorker, ledger.RunEntry]]:
    """Returns the runs that end by themselves, in the order of their ends.

    Of runs that end at the same time, those on less used workers come first.
    """
    members_by_unit: dict[int, list[ledger.RunEntry]] = collections.defaultdict(
        list
    )
    for worker in workers:
        for entry in worker.entries_by_key.values():
            members_by_unit[id(entry.unit)].append(entry)
    remaining_s_by_unit = {
        unit: ledger.remaining_s(members, now_s)
        for unit, members in members_by_unit.items()
    }
    timed = [
        (remaining_s_by_unit[id(entry.unit)], worker, entry)
        for worker in workers
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
