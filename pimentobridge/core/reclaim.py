"""Selection of jobs to preempt when a guaranteed shape is claimed."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core import account
from pimentobridge.core import cells
from pimentobridge.core import types

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from pimentobridge.core import cell_index
    from pimentobridge.core import fleet
    from pimentobridge.core import guarantee
    from pimentobridge.core import job as job_lib

MAX_SAMPLED_WORKERS = 64
MAX_CANDIDATES = 256

_WEIGHT_BY_URGENCY = {
    types.Urgency.URGENT: 4.0,
    types.Urgency.NORMAL: 2.0,
    types.Urgency.BATCH: 1.0,
}


@dataclasses.dataclass(frozen=True)
class FleetView:
    """View of the fleet from which victims are selected.

    Attributes:
        workers: workers that are present.
        bound: index in which the cells bound to guaranteed units are taken;
            such cells are never candidates.
        borrowers_on: returns the jobs that run on a cell without a claim.
    """

    workers: list[fleet.Worker]
    bound: cell_index.CellIndex
    borrowers_on: Callable[[cells.Cell], list[job_lib.Job]]
    now_s: float


class VictimSelector:
    """Finds the cells whose borrowers lose the least work if preempted.

    Args:
        random_victims: picks candidate cells at random for claims; a baseline
            for benchmarks.
    """

    def __init__(
        self, *, rng: random.Random, random_victims: bool = False
    ) -> None:
        self._rng = rng
        self._random_victims = random_victims

    def cells_for_claim(
        self, unit: guarantee.Unit, view: FleetView
    ) -> list[cells.Cell]:
        """Returns the cells to use for a claim.

        These are the cells that the unit is bound to, or unbound cells where
        less work is lost.
        """
        candidates = [unit.cells, *self._candidates(unit.shape, view)]
        if self._random_victims:
            return self._rng.choice(candidates)
        return min(
            candidates, key=lambda chosen_cells: _lost_work(chosen_cells, view)
        )

    def cheapest_cells(
        self, shape: account.Shape, view: FleetView
    ) -> list[cells.Cell] | None:
        """Returns the unbound cells whose borrowers lose the least, or None."""
        return min(
            self._candidates(shape, view),
            key=lambda chosen_cells: _lost_work(chosen_cells, view),
            default=None,
        )

    def _candidates(
        self, shape: account.Shape, view: FleetView
    ) -> list[list[cells.Cell]]:
        size = cells.cell_size_for(shape.accelerators)
        if size is None:
            return []
        if shape.workers == 1:
            workers = self._sample_workers(view.workers)
            single_cells = [
                [cell] for cell in _unbound_cells(workers, size, view)
            ]
            return single_cells[:MAX_CANDIDATES]
        candidates = []
        for group in self._worker_groups(shape, view):
            unbound = _unbound_cells(group, size, view)
            unbound.sort(key=lambda cell: _lost_work([cell], view))
            if len(unbound) >= shape.workers:
                candidates.append(unbound[: shape.workers])
        return candidates

    def _worker_groups(
        self, shape: account.Shape, view: FleetView
    ) -> list[list[fleet.Worker]]:
        """Returns groups of workers that satisfy the scope of a shape.

        If there are many groups, a random sample of them is returned.
        """
        workers_by_domain: dict[object, list[fleet.Worker]] = (
            collections.defaultdict(list)
        )
        for worker in view.workers:
            workers_by_domain[_domain_of(worker, shape.scope)].append(worker)
        groups = list(workers_by_domain.values())
        limit = max(1, MAX_SAMPLED_WORKERS // max(1, shape.workers))
        if len(groups) > limit:
            groups = self._rng.sample(groups, limit)
        return groups

    def _sample_workers(
        self, workers: list[fleet.Worker]
    ) -> list[fleet.Worker]:
        if len(workers) <= MAX_SAMPLED_WORKERS:
            return workers
        return self._rng.sample(workers, MAX_SAMPLED_WORKERS)


def _domain_of(worker: fleet.Worker, scope: account.Scope) -> object:
    """Returns the worker, rack or data centre that a scope confines to."""
    if scope is account.Scope.WORKER:
        return worker.id
    if scope is account.Scope.RACK:
        return worker.data_centre, worker.rack
    return worker.data_centre


def _unbound_cells(
    workers: Iterable[fleet.Worker], size: int, view: FleetView
) -> list[cells.Cell]:
    unbound = []
    for worker in workers:
        for start in range(0, worker.accelerators - size + 1, size):
            cell = cells.Cell(worker.id, start, size)
            if view.bound.is_free(cell):
                unbound.append(cell)
    return unbound


def _lost_work(chosen_cells: list[cells.Cell], view: FleetView) -> float:
    """Returns the work lost if the cells' borrowers are preempted.

    The unit is accelerator seconds, weighted by the jobs' urgency.
    """
    victims = {
        job.id: job for cell in chosen_cells for job in view.borrowers_on(cell)
    }
    return sum(
        job.unsaved_s(view.now_s) * _WEIGHT_BY_URGENCY[job.urgency]
        for job in victims.values()
    )
