"""Packs units so that whole workers and racks remain for gangs and large tasks.

Small tasks spread over the fleet would leave a little capacity on each worker,
and neither a task that takes a whole worker nor a gang that has to be in one
rack would fit before many of them have ended.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentobridge.core.jobs import runs


class Option(NamedTuple):
    """A worker with room for members of a unit.

    Attributes:
        cost: what decides before the packing; the lowest is preferred.
        idle_rack: the rack has no runs, so that it could be left empty.
        slots: number of members that fit.
        unused_share: share of the worker's capacity that a member leaves.
        worker: id that makes the order unique.
    """

    cost: tuple[object, ...]
    idle_rack: bool
    slots: int
    unused_share: float
    worker: str
    key: runs.IncarnationKey


def best_fit(options: Iterable[Option]) -> runs.IncarnationKey:
    """Returns the worker for a unit of one member.

    It is on a rack that is in use, if any has room, and there it is the worker
    that is left with the least room.

    Args:
        options: workers with room, at least one.
    """
    return min(options, key=lambda option: option[:-1]).key


def fill(
    options: Iterable[Option], size: int
) -> list[runs.IncarnationKey] | None:
    """Returns a worker for each member of a gang, on as few as possible.

    The last worker is the one that is left with the least room. Returns None
    if there is room for fewer members.

    Args:
        options: workers with room.
        size: number of members.
    """
    ordered = sorted(options, key=_order_in_gang)
    chosen: list[runs.IncarnationKey] = []
    for _, group in itertools.groupby(ordered, key=lambda option: option.cost):
        _fill_from(list(group), chosen, size)
        if len(chosen) == size:
            return chosen
    return None


def _order_in_gang(option: Option) -> tuple[object, ...]:
    return (
        option.cost,
        -option.slots,
        option.idle_rack,
        option.unused_share,
        option.worker,
    )


def _fill_from(
    options: list[Option], chosen: list[runs.IncarnationKey], size: int
) -> None:
    """Adds workers of equal cost, those with the most room first."""
    for position, option in enumerate(options):
        missing = size - len(chosen)
        if option.slots >= missing:
            last = _tightest(options[position:], missing)
            chosen.extend([last.key] * missing)
            return
        chosen.extend([option.key] * option.slots)


def _tightest(options: list[Option], missing: int) -> Option:
    """Returns the first option with the least room that is enough."""
    return min(
        (option for option in options if option.slots >= missing),
        key=lambda option: option.slots,
    )
