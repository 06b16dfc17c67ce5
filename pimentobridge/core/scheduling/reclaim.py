"""Chooses runs to stop so that a guaranteed job gets its room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.scheduling import guarantees
from pimentobridge.core.scheduling import placement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentobridge.core import types
    from pimentobridge.core.jobs import progress
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import ledger

# Work that an urgent job may throw away at once, in core-seconds: that of runs
# which save their work or have just begun.
SMALL_LOSS = 50.0
# Work that it may throw away once it has waited.
LARGE_LOSS = 400.0
WAIT_FOR_LARGE_LOSS_S = 1.0
# A guaranteed job waits this long before it throws away any amount: the stops,
# their records and the starts fit in the rest of the platform's bound.
WAIT_FOR_ANY_LOSS_S = 1.7
# Weight of an accelerator beside a core in the work that a stop throws away.
CORES_PER_ACCELERATOR = 8


class Victim:
    """A unit that may be stopped, with the room that this frees."""

    def __init__(self, unit: progress.Unit) -> None:
        self.unit = unit
        self.entries: list[tuple[fleet.TrackedWorker, ledger.RunEntry]] = []

    def lost_work(self, now_s: float) -> float:
        """Returns the core-seconds that a stop would throw away."""
        return sum(_lost(entry, now_s) for _, entry in self.entries)

    @property
    def priority(self) -> int:
        """Priority of the unit's queue."""
        return self.entries[0][1].tracked.job.queue.priority

    def freed(self) -> placement.Rooms:
        """Returns the room that a stop frees, by worker."""
        freed: placement.Rooms = {}
        for worker, entry in self.entries:
            had = freed.get(worker.key, model.NOTHING)
            freed[worker.key] = had + entry.step.footprint
        return freed


def _lost(entry: ledger.RunEntry, now_s: float) -> float:
    step = entry.step
    if step.checkpointing:
        return 0.0
    cores = step.request.cpu_millicores / 1000
    cores += step.request.accelerators * CORES_PER_ACCELERATOR
    return cores * entry.worked_s(now_s)


def loss_limit(*, guaranteed: bool, waited_s: float) -> float:
    """Returns the core-seconds that an urgent job may throw away.

    Args:
        guaranteed: its account's guarantee covers it.
        waited_s: how long it has waited for room to come free by itself.
    """
    if waited_s < WAIT_FOR_LARGE_LOSS_S:
        return SMALL_LOSS
    if guaranteed and waited_s >= WAIT_FOR_ANY_LOSS_S:
        return float("inf")
    return LARGE_LOSS


def possible_victims(
    workers: Iterable[fleet.TrackedWorker],
    entitled: set[types.JobId],
    *,
    guaranteed: bool,
    now_s: float,
) -> list[Victim]:
    """Returns the units that an urgent job may displace, cheapest first.

    Args:
        workers: where the units run.
        entitled: jobs that the guarantees cover.
        guaranteed: the urgent job is one of them. Otherwise it displaces only
            what is less urgent.
        now_s: monotonic time.
    """
    by_unit: dict[int, Victim] = {}
    for worker in workers:
        for entry in worker.entries_by_key.values():
            if (
                entry.stop
                or not entry.is_current
                or _protected(entry, entitled, guaranteed=guaranteed)
            ):
                continue
            victim = by_unit.setdefault(id(entry.unit), Victim(entry.unit))
            victim.entries.append((worker, entry))
    return sorted(
        by_unit.values(),
        key=lambda victim: (
            victim.lost_work(now_s),
            -victim.priority,
            str(victim.entries[0][1].name),
        ),
    )


def _protected(
    entry: ledger.RunEntry, entitled: set[types.JobId], *, guaranteed: bool
) -> bool:
    if entry.step.long_running:
        return True
    if not guarantees.is_urgent(entry.tracked):
        return False
    return not guaranteed or entry.tracked.id in entitled


def choose(
    candidates: placement.Candidates,
    demand: placement.Demand,
    *,
    rooms: placement.Rooms,
    victims: list[Victim],
) -> tuple[list[Victim], list[runs.IncarnationKey]] | None:
    """Returns the victims to stop and the places that they free.

    Args:
        candidates: workers that take tasks.
        demand: what is to be placed.
        rooms: free room, with that of runs which are being stopped.
        victims: units that may be stopped, cheapest first.
    """
    hoped = dict(rooms)
    footprint = demand.step.footprint
    picked: list[Victim] = []
    places = None
    for victim in victims:
        picked.append(victim)
        freed = victim.freed()
        for key, amount in freed.items():
            if key in hoped:
                hoped[key] += amount
        # Only a worker that now holds a member can change the outcome.
        if not any(
            key in hoped and footprint.copies_in(hoped[key]) for key in freed
        ):
            continue
        places = placement.place(candidates, demand, rooms=hoped)
        if places is not None:
            break
    if places is None:
        return None
    return _needed(candidates, demand, rooms, picked)


def _needed(
    candidates: placement.Candidates,
    demand: placement.Demand,
    rooms: placement.Rooms,
    picked: list[Victim],
) -> tuple[list[Victim], list[runs.IncarnationKey]] | None:
    """Drops the victims that aren't needed, dearest first."""
    kept = list(picked)
    places = None
    for victim in reversed(picked):
        trial = [other for other in kept if other is not victim]
        found = placement.place(
            candidates, demand, rooms=_with_freed(rooms, trial)
        )
        if found is not None:
            kept, places = trial, found
    if places is None:
        places = placement.place(
            candidates, demand, rooms=_with_freed(rooms, kept)
        )
    return None if places is None else (kept, places)


def _with_freed(
    rooms: placement.Rooms, victims: list[Victim]
) -> placement.Rooms:
    hoped = dict(rooms)
    for victim in victims:
        for key, amount in victim.freed().items():
            if key in hoped:
                hoped[key] += amount
    return hoped
