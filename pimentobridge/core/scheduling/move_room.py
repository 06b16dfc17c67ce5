"""Room for runs that are moved off departing workers."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import advice as advice_lib
from pimentobridge.core.scheduling import placement
from pimentobridge.core.scheduling import reclaim

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core.jobs import progress as progress_lib
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import ledger
    from pimentobridge.core.scheduling import move_verdicts

    DemandOf = Callable[
        [
            ledger.TrackedJob,
            advice_lib.StepName,
            progress_lib.Unit,
            float,
        ],
        placement.Demand,
    ]


class RoomElsewhere:
    """Room on the workers that stay, for the runs that are moved in one pass.

    Args:
        candidates: workers that accept tasks, with the resources that are free.
        is_unfit: returns whether a unit isn't to be moved to a worker.
        demand_of: returns the requirements of a unit at a time.
        now_s: current monotonic time.
    """

    def __init__(
        self,
        candidates: placement.Candidates,
        is_unfit: Callable[[fleet.TrackedWorker, placement.Demand], bool],
        demand_of: DemandOf,
        now_s: float,
    ) -> None:
        self._candidates = candidates
        self._is_unfit = is_unfit
        self._demand_of = demand_of
        self._now_s = now_s
        # Steps of single tasks of which one hasn't found room; another one has
        # the same requirements, and a worker may hold hundreds of them.
        self._without_room: set[advice_lib.StepName] = set()
        self._saved_by_priority: dict[int, placement.FreeResources] = {}

    def find(
        self, run: move_verdicts.DepartingRun, *, anywhere: bool = False
    ) -> list[runs.IncarnationKey] | None:
        """Returns a worker for each member, or None if there is no room.

        Args:
            run: the run.
            anywhere: whether to include the workers that are unfit.
        """
        name = advice_lib.StepName(*run.first.name[:3])
        if name in self._without_room:
            return None
        demand = self._demand_of(
            run.first.tracked, name, run.first.unit, self._now_s
        )
        free_by_key = dict(self._candidates.free_by_key)
        _add_members(run, free_by_key)
        if not run.step.checkpointing:
            for key, amount in self._saved_runs(demand.priority).items():
                free_by_key[key] += amount
        for key, worker in self._candidates.workers_by_key.items():
            if not anywhere and self._is_unfit(worker, demand):
                free_by_key[key] = model.NO_RESOURCES
        assigned = placement.place(
            self._candidates, demand, free_by_key=free_by_key
        )
        if assigned is None and not run.step.gang:
            self._without_room.add(name)
        return assigned

    def _saved_runs(self, priority: int) -> placement.FreeResources:
        """Returns what runs reserve that the queue may preempt without loss.

        A run without checkpoints is moved into their room as well: it would
        preempt them anyway after its worker has departed.
        """
        if priority not in self._saved_by_priority:
            freed: placement.FreeResources = collections.defaultdict(
                model.Resources
            )
            for victim in reclaim.possible_victims(
                self._candidates.workers_by_key.values(),
                set(),
                priority=priority,
                guaranteed=False,
                now_s=self._now_s,
            ):
                if victim.entries[0][1].step.checkpointing:
                    for key, amount in victim.freed().items():
                        freed[key] += amount
            self._saved_by_priority[priority] = freed
        return self._saved_by_priority[priority]

    def reserve(
        self,
        run: move_verdicts.DepartingRun,
        assigned: list[runs.IncarnationKey],
    ) -> None:
        """Reserves room for a run for the rest of the pass."""
        _add_members(run, self._candidates.free_by_key)
        for key in assigned:
            self._candidates.reserve(key, run.step.footprint)


def _add_members(
    run: move_verdicts.DepartingRun, free_by_key: placement.FreeResources
) -> None:
    """Adds what the members on workers that stay will free by their stop."""
    for member in run.members:
        key = worker_of(member)
        if key in free_by_key:
            free_by_key[key] += run.step.footprint


def worker_of(member: ledger.RunEntry) -> runs.IncarnationKey:
    """Returns the worker that a member of a run is placed on."""
    placed = member.unit.placements[member.member]
    return runs.IncarnationKey(placed.worker, placed.started_ms)
