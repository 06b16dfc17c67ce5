"""Index of free cells; a lookup's cost doesn't depend on the fleet's size."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from pimentobridge.core import account
from pimentobridge.core import cells
from pimentobridge.core import types

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentobridge.core import fleet

Rack = tuple[types.DataCentreName, types.RackName]


class _LevelIndex:
    """Keys grouped by an integer level, in insertion order at each level."""

    def __init__(self) -> None:
        self._keys_by_level: dict[int, dict[object, None]] = {}
        self._level_by_key: dict[object, int] = {}

    def put(self, key: object, level: int) -> None:
        previous_level = self._level_by_key.get(key)
        if previous_level == level:
            return
        self.discard(key)
        self._level_by_key[key] = level
        self._keys_by_level.setdefault(level, {})[key] = None

    def discard(self, key: object) -> None:
        level = self._level_by_key.pop(key, None)
        if level is not None:
            bucket = self._keys_by_level[level]
            del bucket[key]
            if not bucket:
                del self._keys_by_level[level]

    def first_at_least(self, min_level: int) -> object | None:
        """Returns a key of the lowest level from `min_level` on, or None."""
        levels = [level for level in self._keys_by_level if level >= min_level]
        if not levels:
            return None
        return next(iter(self._keys_by_level[min(levels)]))

    def levels(self) -> list[int]:
        return list(self._keys_by_level)

    def keys_at(self, level: int) -> Iterable[object]:
        return self._keys_by_level.get(level, {})


class CellIndex:
    """Free and taken cells of a set of workers.

    The caller decides what counts as taken, such as cells that run a job or
    cells that a guarantee is bound to.

    Attributes:
        visits: number of data centres, racks and workers that searches have
            examined so far, for benchmarks.
    """

    def __init__(self, workers: Iterable[fleet.Worker]) -> None:
        self._workers_by_id: dict[types.WorkerId, fleet.Worker] = {}
        self._used_by_id: dict[types.WorkerId, int] = {}
        self._blocked_by_id: dict[types.WorkerId, int] = {}
        self._workers_by_rack: dict[Rack, dict[types.WorkerId, None]] = {}
        self._workers_by_data_centre: dict[
            types.DataCentreName, _LevelIndex
        ] = {}
        self._racks_by_size: dict[int, _LevelIndex] = {
            size: _LevelIndex() for size in cells.CELL_SIZES
        }
        self._free_cells_by_rack: collections.Counter[tuple[Rack, int]] = (
            collections.Counter()
        )
        self._free_cells_by_data_centre: collections.Counter[
            tuple[types.DataCentreName, int]
        ] = collections.Counter()
        self.visits = 0
        for worker in workers:
            self.add_worker(worker)

    def add_worker(self, worker: fleet.Worker, used: int = 0) -> None:
        """Adds a worker; `used` is the bit mask of its taken accelerators."""
        self._workers_by_id[worker.id] = worker
        self._used_by_id[worker.id] = used
        self._blocked_by_id[worker.id] = 0
        rack = (worker.data_centre, worker.rack)
        self._workers_by_rack.setdefault(rack, {})[worker.id] = None
        self._count(worker, used, 1)
        self._reindex(worker)

    def remove_worker(self, worker_id: types.WorkerId) -> None:
        """Removes a worker and all its cells."""
        worker = self._workers_by_id.pop(worker_id, None)
        if worker is None:
            return
        self._count(worker, self._unavailable_mask(worker_id), -1)
        del self._used_by_id[worker_id]
        del self._blocked_by_id[worker_id]
        rack = (worker.data_centre, worker.rack)
        del self._workers_by_rack[rack][worker_id]
        self._workers_by_data_centre[worker.data_centre].discard(worker_id)
        self._reindex_rack(rack)

    def used(self, worker_id: types.WorkerId) -> int:
        """Returns the mask of taken accelerators; all bits if not indexed."""
        return self._used_by_id.get(worker_id, -1)

    def is_free(self, cell: cells.Cell) -> bool:
        """Returns whether no accelerator of a cell is taken."""
        return not self.used(cell.worker) & cell.mask

    def take(self, cell: cells.Cell) -> None:
        """Marks a cell as taken."""
        used = self._used_by_id[cell.worker] | cell.mask
        self._set(cell.worker, used, self._blocked_by_id[cell.worker])

    def release(self, cell: cells.Cell) -> None:
        """Marks a cell as free; does nothing if its worker was removed."""
        if cell.worker in self._used_by_id:
            used = self._used_by_id[cell.worker] & ~cell.mask
            self._set(cell.worker, used, self._blocked_by_id[cell.worker])

    def set_used(self, worker_id: types.WorkerId, used: int) -> None:
        """Replaces a worker's mask of taken accelerators."""
        if self._used_by_id[worker_id] != used:
            self._set(worker_id, used, self._blocked_by_id[worker_id])

    def block(self, cell: cells.Cell) -> None:
        """Excludes a cell from searches, whether it is taken or not."""
        if cell.worker in self._used_by_id:
            blocked = self._blocked_by_id[cell.worker] | cell.mask
            self._set(cell.worker, self._used_by_id[cell.worker], blocked)

    def unblock(self, cell: cells.Cell) -> None:
        """Includes a cell in searches again, as far as it is free."""
        if cell.worker in self._used_by_id:
            blocked = self._blocked_by_id[cell.worker] & ~cell.mask
            self._set(cell.worker, self._used_by_id[cell.worker], blocked)

    def find(
        self,
        shape: account.Shape,
        data_centres: Iterable[types.DataCentreName] | None = None,
    ) -> list[cells.Cell] | None:
        """Returns the free cells that a shape needs, or None if they don't fit.

        Args:
            shape: the shape to place.
            data_centres: data centres to search; None means all.
        """
        size = cells.cell_size_for(shape.accelerators)
        if size is None:
            return None
        names = list(data_centres or self._workers_by_data_centre)
        if shape.workers == 1:
            cell = self._find_single(size, names)
            return None if cell is None else [cell]
        if shape.scope is account.Scope.DATA_CENTRE:
            return self._find_in_data_centre(size, shape.workers, names)
        if shape.scope is account.Scope.RACK:
            return self._find_in_rack(size, shape.workers, names)
        return self._find_in_worker(size, shape.workers, names)

    def count_free_cells(
        self, data_centre: types.DataCentreName, size: int
    ) -> int:
        """Returns how many cells of a size are free in a data centre."""
        return self._free_cells_by_data_centre[(data_centre, size)]

    def _find_single(
        self, size: int, names: list[types.DataCentreName]
    ) -> cells.Cell | None:
        best: types.WorkerId | None = None
        best_level = max(cells.CELL_SIZES) + 1
        for name in names:
            level_index = self._workers_by_data_centre.get(name)
            if level_index is None:
                continue
            self.visits += 1
            worker = level_index.first_at_least(size)
            if worker is None:
                continue
            worker_id = types.WorkerId(str(worker))
            level = self._largest_free_size(worker_id)
            if level < best_level:
                best, best_level = worker_id, level
        return None if best is None else self._best_cell_in(best, size)

    def _find_in_data_centre(
        self, size: int, count: int, names: list[types.DataCentreName]
    ) -> list[cells.Cell] | None:
        fitting = [
            name for name in names if self.count_free_cells(name, size) >= count
        ]
        if not fitting:
            return None
        tightest_name = min(
            fitting, key=lambda name: self.count_free_cells(name, size)
        )
        return self._collect(
            size, count, lambda: self._find_single(size, [tightest_name])
        )

    def _find_in_rack(
        self, size: int, count: int, names: list[types.DataCentreName]
    ) -> list[cells.Cell] | None:
        rack = self._tightest_rack(size, count, set(names))
        if rack is None:
            return None
        return self._collect(
            size, count, lambda: self._find_in_members(size, rack)
        )

    def _find_in_worker(
        self, size: int, count: int, names: list[types.DataCentreName]
    ) -> list[cells.Cell] | None:
        outer_size = cells.cell_size_for(size * count)
        if outer_size is None:
            return None
        outer_cell = self._find_single(outer_size, names)
        if outer_cell is None:
            return None
        return [
            cells.Cell(outer_cell.worker, outer_cell.start + index * size, size)
            for index in range(count)
        ]

    def _tightest_rack(
        self, size: int, count: int, names: set[types.DataCentreName]
    ) -> Rack | None:
        level_index = self._racks_by_size[size]
        for level in sorted(
            level for level in level_index.levels() if level >= count
        ):
            for key in level_index.keys_at(level):
                self.visits += 1
                rack: Rack = key  # type: ignore[assignment]
                if rack[0] in names:
                    return rack
        return None

    def _find_in_members(self, size: int, rack: Rack) -> cells.Cell | None:
        fitting = [
            worker_id
            for worker_id in self._workers_by_rack[rack]
            if self._largest_free_size(worker_id) >= size
        ]
        self.visits += len(self._workers_by_rack[rack])
        best = min(fitting, key=self._largest_free_size, default=None)
        return None if best is None else self._best_cell_in(best, size)

    def _collect(
        self,
        size: int,
        count: int,
        find_one: collections.abc.Callable[[], cells.Cell | None],
    ) -> list[cells.Cell] | None:
        """Returns `count` distinct cells from a search, or None.

        Each found cell is taken, so that the next search skips it; all are
        released again before the method returns.
        """
        found_cells: list[cells.Cell] = []
        while len(found_cells) < count:
            cell = find_one()
            if cell is None:
                break
            self.take(cell)
            found_cells.append(cell)
        for cell in found_cells:
            self.release(cell)
        return found_cells if len(found_cells) == count else None

    def _best_cell_in(
        self, worker_id: types.WorkerId, size: int
    ) -> cells.Cell | None:
        worker = self._workers_by_id[worker_id]
        start = cells.best_start(
            self._unavailable_mask(worker_id), worker.accelerators, size
        )
        return None if start is None else cells.Cell(worker_id, start, size)

    def _largest_free_size(self, worker_id: types.WorkerId) -> int:
        worker = self._workers_by_id[worker_id]
        unavailable_mask = self._unavailable_mask(worker_id)
        return cells.largest_free_size(unavailable_mask, worker.accelerators)

    def _unavailable_mask(self, worker_id: types.WorkerId) -> int:
        return self._used_by_id[worker_id] | self._blocked_by_id[worker_id]

    def _set(self, worker_id: types.WorkerId, used: int, blocked: int) -> None:
        worker = self._workers_by_id[worker_id]
        self._count(worker, self._unavailable_mask(worker_id), -1)
        self._used_by_id[worker_id] = used
        self._blocked_by_id[worker_id] = blocked
        self._count(worker, used | blocked, 1)
        self._reindex(worker)

    def _count(self, worker: fleet.Worker, used: int, sign: int) -> None:
        rack = (worker.data_centre, worker.rack)
        for size in cells.CELL_SIZES:
            free_cells = cells.count_free_cells(used, worker.accelerators, size)
            if free_cells:
                self._free_cells_by_rack[(rack, size)] += sign * free_cells
                self._free_cells_by_data_centre[(worker.data_centre, size)] += (
                    sign * free_cells
                )

    def _reindex(self, worker: fleet.Worker) -> None:
        level_index = self._workers_by_data_centre.setdefault(
            worker.data_centre, _LevelIndex()
        )
        level_index.put(worker.id, self._largest_free_size(worker.id))
        self._reindex_rack((worker.data_centre, worker.rack))

    def _reindex_rack(self, rack: Rack) -> None:
        for size in cells.CELL_SIZES:
            free_cells = self._free_cells_by_rack[(rack, size)]
            if free_cells:
                self._racks_by_size[size].put(rack, free_cells)
            else:
                self._racks_by_size[size].discard(rack)


def unplaced(
    demands: Iterable[cells.Demand], workers: Iterable[fleet.Worker]
) -> dict[cells.Demand, int]:
    """Returns how many instances of each demand don't fit with the others."""
    index = CellIndex(workers)
    unplaced_counts: dict[cells.Demand, int] = {}
    for demand in sorted(
        demands, key=lambda d: cells.placement_difficulty(d.shape)
    ):
        for placed_count in range(demand.count):
            found_cells = index.find(demand.shape)
            if found_cells is None:
                unplaced_counts[demand] = demand.count - placed_count
                break
            for cell in found_cells:
                index.take(cell)
    return unplaced_counts
