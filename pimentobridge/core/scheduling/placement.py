"""Chooses workers for the members of a unit."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from pimentobridge.core.scheduling import fleet

Rooms = dict[runs.IncarnationKey, model.Resources]


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a unit needs of the workers.

    Attributes:
        step: what each member needs.
        size: number of members.
        service: pool that the queue belongs to.
        on_step: tasks of the step that each worker runs already.
        allowed: the only lives that may run it; None for all.
    """

    step: model.Step
    size: int
    service: str
    on_step: Mapping[runs.IncarnationKey, int] = dataclasses.field(
        default_factory=dict
    )
    allowed: Collection[runs.IncarnationKey] | None = None

    def may_run_on(self, worker: fleet.TrackedWorker) -> bool:
        """Returns whether a worker may run the step at all."""
        return (
            worker.incarnation is not None
            and worker.incarnation.service == self.service
            and (
                not self.step.required_label
                or self.step.required_label in worker.incarnation.labels
            )
            and (self.allowed is None or worker.key in self.allowed)
        )


class Candidates:
    """Workers that may get tasks, with the room that a pass leaves them.

    Args:
        workers: those that take new tasks.
    """

    def __init__(self, workers: Iterable[fleet.TrackedWorker]) -> None:
        self.workers_by_key = {worker.key: worker for worker in workers}
        self.rooms: Rooms = {
            key: worker.free for key, worker in self.workers_by_key.items()
        }

    def take(self, key: runs.IncarnationKey, amount: model.Resources) -> None:
        """Uses up room."""
        self.rooms[key] -= amount

    def eligible(self, demand: Demand) -> list[fleet.TrackedWorker]:
        """Returns the workers that may run a step at all."""
        return [
            worker
            for worker in self.workers_by_key.values()
            if demand.may_run_on(worker)
        ]


def place(
    candidates: Candidates, demand: Demand, *, rooms: Rooms | None = None
) -> list[runs.IncarnationKey] | None:
    """Returns a worker for each member, or None if there is no room.

    Args:
        candidates: workers and their room.
        demand: what is to be placed.
        rooms: room by worker, in place of the candidates' own.
    """
    step, size = demand.step, demand.size
    room_by_key = candidates.rooms if rooms is None else rooms
    slots = _slots(candidates, demand, room_by_key)
    if not slots:
        return None
    if step.same_rack and size > 1:
        chosen = _within_rack(candidates, step, slots, size)
        if chosen is not None or _rack_could_hold(candidates, demand):
            return chosen
    order = sorted(
        slots,
        key=lambda key: (
            not _near(candidates, step, key),
            slots[key] if size == 1 else -slots[key],
            _spare(candidates, step, room_by_key[key], key),
            key.worker,
        ),
    )
    return _fill(order, slots, size)


def _slots(
    candidates: Candidates, demand: Demand, rooms: Rooms
) -> dict[runs.IncarnationKey, int]:
    slots = {}
    step = demand.step
    for worker in candidates.eligible(demand):
        count = step.footprint.copies_in(rooms[worker.key])
        if step.max_per_worker:
            left = step.max_per_worker - demand.on_step.get(worker.key, 0)
            count = min(count, left)
        if count > 0:
            slots[worker.key] = count
    return slots


def _within_rack(
    candidates: Candidates,
    step: model.Step,
    slots: dict[runs.IncarnationKey, int],
    size: int,
) -> list[runs.IncarnationKey] | None:
    by_rack: dict[str, list[runs.IncarnationKey]] = collections.defaultdict(
        list
    )
    for key in slots:
        by_rack[_rack(candidates, key)].append(key)
    fitting = [
        (
            rack != step.affinity_rack if step.affinity_rack else False,
            sum(slots[key] for key in keys),
            rack,
        )
        for rack, keys in by_rack.items()
        if sum(slots[key] for key in keys) >= size
    ]
    if not fitting:
        return None
    keys = by_rack[min(fitting)[2]]
    order = sorted(keys, key=lambda key: (-slots[key], key.worker))
    return _fill(order, slots, size)


def _rack_could_hold(candidates: Candidates, demand: Demand) -> bool:
    """Returns whether some rack would hold all members if it were empty."""
    held: collections.Counter[str] = collections.Counter()
    step = demand.step
    for worker in candidates.eligible(demand):
        if worker.incarnation is None:
            continue
        count = step.footprint.copies_in(worker.incarnation.capacity)
        if step.max_per_worker:
            count = min(count, step.max_per_worker)
        held[worker.incarnation.rack] += count
    return any(count >= demand.size for count in held.values())


def _fill(
    order: list[runs.IncarnationKey],
    slots: dict[runs.IncarnationKey, int],
    size: int,
) -> list[runs.IncarnationKey] | None:
    chosen: list[runs.IncarnationKey] = []
    for key in order:
        chosen.extend([key] * min(slots[key], size - len(chosen)))
        if len(chosen) == size:
            return chosen
    return None


def _near(
    candidates: Candidates, step: model.Step, key: runs.IncarnationKey
) -> bool:
    if not step.affinity_rack:
        return True
    return _rack(candidates, key) == step.affinity_rack


def _rack(candidates: Candidates, key: runs.IncarnationKey) -> str:
    incarnation = candidates.workers_by_key[key].incarnation
    return incarnation.rack if incarnation is not None else ""


def _spare(
    candidates: Candidates,
    step: model.Step,
    room: model.Resources,
    key: runs.IncarnationKey,
) -> float:
    """Returns the share of the worker that stays free; the least fits best."""
    incarnation = candidates.workers_by_key[key].incarnation
    if incarnation is None:
        return 1.0
    return (room - step.footprint).dominant_share(incarnation.capacity)
