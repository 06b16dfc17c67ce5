"""Plan that keeps every guarantee claimable at any time.

Each instance of a guaranteed shape is a unit, which is bound to cells: those
its job runs on, or those reserved for it. Only jobs that can be preempted may
borrow reserved cells. As long as every unit is bound, every guarantee can be
claimed, so a claim needs no search over the fleet to be sure to succeed.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core import cell_index
from pimentobridge.core import cells

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentobridge.core import account as account_lib
    from pimentobridge.core import fleet
    from pimentobridge.core import types


@dataclasses.dataclass
class Unit:
    """One instance of a guaranteed shape, claimed by at most one job.

    Attributes:
        cells: cells bound to it; empty if they don't fit the remaining fleet.
        job: the job that has claimed it, or None if it is idle.
    """

    account: types.AccountName
    shape: account_lib.Shape
    cells: list[cells.Cell] = dataclasses.field(default_factory=list)
    job: types.JobId | None = None


class GuaranteePlan:
    """Units of all accounts and the cells bound to them.

    Attributes:
        bound: index in which the cells of all units are taken.
        units: all units; those that are hardest to place come first.
    """

    def __init__(
        self, workers: Iterable[fleet.Worker], demands: Iterable[cells.Demand]
    ) -> None:
        self.bound = cell_index.CellIndex(workers)
        self.units: list[Unit] = [
            Unit(demand.account, demand.shape)
            for demand in sorted(
                demands, key=lambda d: cells.placement_difficulty(d.shape)
            )
            for _ in range(demand.count)
        ]
        self._units_by_account: dict[types.AccountName, list[Unit]] = {}
        for unit in self.units:
            self._units_by_account.setdefault(unit.account, []).append(unit)
            self._bind(unit)

    def idle_unit(
        self, account: types.AccountName, shape: account_lib.Shape
    ) -> Unit | None:
        """Returns the smallest idle unit that can hold `shape`, or None."""
        candidates = [
            unit
            for unit in self._units_by_account.get(account, [])
            if unit.job is None and _holds(unit.shape, shape)
        ]
        return min(
            candidates, key=lambda u: u.shape.total_accelerators, default=None
        )

    def could_ever_hold(
        self, account: types.AccountName, shape: account_lib.Shape
    ) -> bool:
        """Returns whether any unit of the account can hold `shape`."""
        units = self._units_by_account.get(account, [])
        return any(_holds(unit.shape, shape) for unit in units)

    def rebind(self, unit: Unit, chosen_cells: list[cells.Cell]) -> None:
        """Binds a unit to cells that no other unit is bound to."""
        self.unbind(unit)
        for cell in chosen_cells:
            self.bound.take(cell)
        unit.cells = chosen_cells

    def unbind(self, unit: Unit) -> None:
        """Releases the cells that a unit is bound to."""
        for cell in unit.cells:
            self.bound.release(cell)
        unit.cells = []

    def remove_worker(self, worker_id: types.WorkerId) -> list[Unit]:
        """Removes a worker; unbinds and returns the units with cells on it."""
        self.bound.remove_worker(worker_id)
        affected_units = [
            unit
            for unit in self.units
            if any(cell.worker == worker_id for cell in unit.cells)
        ]
        for unit in affected_units:
            self.unbind(unit)
        return affected_units

    def add_worker(self, worker: fleet.Worker) -> None:
        """Adds a worker and binds units that have no cells, where possible."""
        self.bound.add_worker(worker)
        for unit in self.units:
            if not unit.cells:
                self._bind(unit)

    def replan(self, units: Iterable[Unit]) -> list[Unit]:
        """Binds unbound units to cells; returns those that don't fit."""
        return [
            unit
            for unit in sorted(
                units, key=lambda u: cells.placement_difficulty(u.shape)
            )
            if not unit.cells and not self._bind(unit)
        ]

    def replan_idle(self) -> list[Unit]:
        """Binds all idle units to new cells; returns those that don't fit."""
        idle = [unit for unit in self.units if unit.job is None]
        for unit in idle:
            self.unbind(unit)
        return self.replan(idle)

    def _bind(self, unit: Unit) -> bool:
        """Binds a unit to any free cells; returns whether it fits."""
        chosen_cells = self.bound.find(unit.shape)
        if chosen_cells is None:
            return False
        self.rebind(unit, chosen_cells)
        return True


def _holds(outer: account_lib.Shape, inner: account_lib.Shape) -> bool:
    """Returns whether a unit of shape `outer` can run a job of `inner`."""
    same_accelerators = outer.accelerators == inner.accelerators
    if same_accelerators and outer.workers == inner.workers:
        return outer.scope == inner.scope or inner.workers == 1
    fits_in_worker = (
        inner.workers == 1 and inner.accelerators <= outer.accelerators
    )
    return fits_in_worker and outer.workers == 1
