"""Chooses which of the possible victims to stop, so that a unit fits."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core.scheduling import placement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentobridge.core.jobs import model
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import reclaim


@dataclasses.dataclass(frozen=True)
class Choice:
    """Victims to stop, and where the unit fits then.

    Attributes:
        assigned: a worker for each member of the unit.
        lost_work: work that the stops discard, in core-seconds.
    """

    victims: list[reclaim.Victim]
    assigned: list[runs.IncarnationKey]
    lost_work: float

    @property
    def rank(self) -> tuple[bool, float]:
        """Sort key; the lowest is preferred.

        Runs of urgent jobs are stopped only if nothing else makes room.
        """
        return any(victim.is_urgent for victim in self.victims), self.lost_work


def choose(
    candidates: placement.Candidates,
    demand: placement.Demand,
    *,
    free_by_key: placement.FreeResources,
    victims: list[reclaim.Victim],
    now_s: float,
) -> Choice | None:
    """Returns the victims to stop and a worker for each member of the unit.

    Returns None if the unit wouldn't fit even if all victims were stopped.

    Args:
        candidates: workers that accept tasks.
        demand: requirements of the unit to place.
        free_by_key: free resources by worker, including those of runs that are
            being stopped.
        victims: units that may be stopped, in the order of preference.
        now_s: current monotonic time.
    """
    room = ProjectedRoom(candidates, demand, free_by_key)
    first = _in_order(room, victims, now_s)
    if first is None or not first.lost_work:
        return first
    # The order looks at each victim alone. What it picks on many workers may
    # cost more than to empty a few workers.
    options = [first]
    for workers in _groups(candidates, demand):
        option = _by_worker(
            ProjectedRoom(candidates, demand, free_by_key),
            workers,
            victims,
            now_s,
        )
        if option is not None:
            options.append(option)
    return min(options, key=lambda option: option.rank)


def _in_order(
    room: ProjectedRoom, victims: list[reclaim.Victim], now_s: float
) -> Choice | None:
    """Stops victims in the order of preference until the unit fits."""
    picked: list[reclaim.Victim] = []
    for victim in victims:
        picked.append(victim)
        if room.add(victim) and room.place() is not None:
            return _without_unneeded(room, picked, now_s)
    return None


def _without_unneeded(
    room: ProjectedRoom, picked: list[reclaim.Victim], now_s: float
) -> Choice | None:
    """Drops the victims that needn't be stopped, the last picked first."""
    kept = list(picked)
    for victim in reversed(picked):
        room.remove(victim)
        if room.place() is None:
            room.add(victim)
        else:
            kept.remove(victim)
    assigned = room.place()
    if assigned is None:
        return None
    lost_work = sum(victim.lost_work(now_s) for victim in kept)
    return Choice(kept, assigned, lost_work)


def _groups(
    candidates: placement.Candidates, demand: placement.Demand
) -> list[list[fleet.TrackedWorker]]:
    """Returns the groups of workers within which a unit may be placed."""
    eligible = candidates.eligible(demand)
    if not demand.step.same_rack or demand.size == 1:
        return [eligible]
    by_rack: dict[str, list[fleet.TrackedWorker]] = collections.defaultdict(
        list
    )
    for worker in eligible:
        if worker.incarnation is not None:
            by_rack[worker.incarnation.rack].append(worker)
    return list(by_rack.values())


def _by_worker(
    room: ProjectedRoom,
    workers: Iterable[fleet.TrackedWorker],
    victims: list[reclaim.Victim],
    now_s: float,
) -> Choice | None:
    """Makes room on the workers where a member costs least until all fit."""
    victims_by_key: dict[runs.IncarnationKey, list[reclaim.Victim]] = (
        collections.defaultdict(list)
    )
    for victim in victims:
        for key in victim.freed():
            victims_by_key[key].append(victim)
    picked: list[reclaim.Victim] = []
    costs: list[tuple[bool, float, str, runs.IncarnationKey]] = []
    for worker in workers:
        found = room.cheapest_on(worker.key, victims_by_key[worker.key])
        if found:
            urgent = any(victim.is_urgent for victim in found)
            cost = sum(victim.lost_work(now_s) for victim in found)
            costs.append((urgent, cost, worker.key.worker, worker.key))
    costs.sort(key=lambda row: row[:-1])
    for *_, key in costs:
        # A gang that was picked for another worker frees this one as well.
        left = [one for one in victims_by_key[key] if one not in picked]
        for victim in room.cheapest_on(key, left):
            room.add(victim)
            picked.append(victim)
        if room.place() is not None:
            return _without_unneeded(room, picked, now_s)
    return None


class ProjectedRoom:
    """Room for a unit on its workers, once some victims have stopped.

    Args:
        candidates: workers that accept tasks.
        demand: requirements of the unit.
        free_by_key: resources by worker that are free without the victims.
    """

    def __init__(
        self,
        candidates: placement.Candidates,
        demand: placement.Demand,
        free_by_key: placement.FreeResources,
    ) -> None:
        self._candidates = candidates
        self._demand = demand
        self._free_by_key = dict(free_by_key)
        footprint = demand.step.footprint
        # How many members fit, by worker that may run them.
        self._slots_by_key = {
            worker.key: footprint.copies_in(self._free_by_key[worker.key])
            for worker in candidates.eligible(demand)
        }
        self._slots = sum(self._slots_by_key.values())

    def add(self, victim: reclaim.Victim) -> bool:
        """Adds what a victim frees; returns whether more members fit."""
        before = self._slots
        for key, amount in victim.freed().items():
            if key in self._free_by_key:
                self._set_free(key, self._free_by_key[key] + amount)
        return self._slots > before

    def remove(self, victim: reclaim.Victim) -> None:
        """Takes back what `add` of the victim has added."""
        for key, amount in victim.freed().items():
            if key in self._free_by_key:
                self._set_free(key, self._free_by_key[key] - amount)

    def cheapest_on(
        self, key: runs.IncarnationKey, victims: list[reclaim.Victim]
    ) -> list[reclaim.Victim]:
        """Returns victims that make room for one more member on a worker.

        They are taken in the order of preference; those that aren't needed are
        left out. Returns none if the worker has no room even without all.
        """
        footprint = self._demand.step.footprint
        free = self._free_by_key.get(key)
        if free is None or key not in self._slots_by_key:
            return []
        wanted = self._slots_by_key[key] + 1
        chosen: list[reclaim.Victim] = []
        for victim in victims:
            chosen.append(victim)
            free += victim.freed()[key]
            if footprint.copies_in(free) >= wanted:
                break
        else:
            return []
        for victim in reversed(chosen[:-1]):
            without = free - victim.freed()[key]
            if footprint.copies_in(without) >= wanted:
                free = without
                chosen.remove(victim)
        return chosen

    def place(self) -> list[runs.IncarnationKey] | None:
        """Returns a worker for each member, or None if the unit doesn't fit."""
        if self._slots < self._demand.size:
            return None
        return placement.place(
            self._candidates, self._demand, free_by_key=self._free_by_key
        )

    def _set_free(
        self, key: runs.IncarnationKey, amount: model.Resources
    ) -> None:
        self._free_by_key[key] = amount
        if key in self._slots_by_key:
            slots = self._demand.step.footprint.copies_in(amount)
            self._slots += slots - self._slots_by_key[key]
            self._slots_by_key[key] = slots
