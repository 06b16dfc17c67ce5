"""Cells: aligned blocks of adjacent accelerators in one worker.

A cell's size is a power of two and its start a multiple of the size, as in a
buddy allocator. Cells split into halves and merge again, so the free cells of
an empty worker always merge into the whole worker.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from pimentobridge.core import account as account_lib
from pimentobridge.core import types

if TYPE_CHECKING:
    from collections.abc import Iterable

CELL_SIZES = (1, 2, 4, 8, 16)


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """`size` adjacent accelerators of a worker, from index `start` on."""

    worker: types.WorkerId
    start: int
    size: int

    @property
    def mask(self) -> int:
        """Bits of the accelerators in the cell."""
        return ((1 << self.size) - 1) << self.start


@dataclasses.dataclass(frozen=True)
class Demand:
    """A guaranteed shape and how often it can be claimed at once."""

    account: types.AccountName
    shape: account_lib.Shape
    count: int


def cell_size_for(accelerators: int) -> int | None:
    """Returns the smallest cell size that holds `accelerators`, or None."""
    return next((s for s in CELL_SIZES if s >= accelerators > 0), None)


@functools.lru_cache(maxsize=65536)
def largest_free_size(used: int, accelerators: int) -> int:
    """Returns the size of the largest free cell of a worker, or 0."""
    for size in reversed(CELL_SIZES):
        if count_free_cells(used, accelerators, size):
            return size
    return 0


@functools.lru_cache(maxsize=65536)
def count_free_cells(used: int, accelerators: int, size: int) -> int:
    """Returns how many cells of a size are free in a worker."""
    return sum(
        not used & _mask_of(start, size)
        for start in range(0, accelerators - size + 1, size)
    )


@functools.lru_cache(maxsize=65536)
def best_start(used: int, accelerators: int, size: int) -> int | None:
    """Returns the start of the free cell that splits the smallest free block.

    This best fit keeps the largest free cells whole. Returns None if no cell of
    the size is free.
    """
    starts = [
        start
        for start in range(0, accelerators - size + 1, size)
        if not used & _mask_of(start, size)
    ]
    return min(
        starts,
        key=lambda start: _free_block_around(used, accelerators, start, size),
        default=None,
    )


def demands_of(
    accounts: Iterable[account_lib.ClientAccount],
) -> list[Demand]:
    """Returns the guaranteed shapes of the accounts."""
    return [
        Demand(client.name, guarantee.shape, guarantee.count)
        for client in accounts
        for guarantee in client.guarantees
    ]


def placement_difficulty(shape: account_lib.Shape) -> tuple[int, int, int]:
    """Returns a sort key that orders shapes that are hard to place first.

    Shapes of several cells that must lie in one rack or in one worker come
    first; then those with more accelerators per worker, then more workers.
    """
    keeps_workers_close = shape.workers > 1 and shape.scope is not (
        account_lib.Scope.DATA_CENTRE
    )
    return (-int(keeps_workers_close), -shape.accelerators, -shape.workers)


def _mask_of(start: int, size: int) -> int:
    return ((1 << size) - 1) << start


def _free_block_around(
    used: int, accelerators: int, start: int, size: int
) -> tuple[int, int]:
    """Returns a key by which `best_start` ranks free cells.

    The key is the size of the largest free aligned block around the cell, then
    the cell's start.
    """
    block_size = size
    while block_size * 2 <= accelerators:
        doubled_size = block_size * 2
        doubled_start = start - start % doubled_size
        fits = doubled_start + doubled_size <= accelerators
        if not fits or used & _mask_of(doubled_start, doubled_size):
            break
        block_size = doubled_size
    return block_size, start
