"""Chooses workers for the members of a unit."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from pimentobridge.core.scheduling import fleet

Rooms = dict[runs.LifeKey, model.Resources]


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

    def take(self, key: runs.LifeKey, amount: model.Resources) -> None:
        """Uses up room."""
        self.rooms[key] -= amount

    def eligible(
        self, step: model.Step, service: str
    ) -> list[fleet.TrackedWorker]:
        """Returns the workers that may run a step at all."""
        return [
            worker
            for worker in self.workers_by_key.values()
            if worker.life is not None
            and worker.life.service == service
            and (
                not step.required_label
                or step.required_label in worker.life.labels
            )
        ]


def place(
    candidates: Candidates,
    step: model.Step,
    size: int,
    *,
    service: str,
    rooms: Rooms | None = None,
    on_step: Mapping[runs.LifeKey, int] | None = None,
    avoid: frozenset[runs.LifeKey] = frozenset(),
) -> list[runs.LifeKey] | None:
    """Returns a worker for each member, or None if there is no room.

    Args:
        candidates: workers and their room.
        step: what each member needs.
        size: number of members.
        service: pool that the queue belongs to.
        rooms: room by worker, in place of the candidates' own.
        on_step: tasks of the step that each worker runs already.
        avoid: workers to use only if no other has room.
    """
    room_by_key = candidates.rooms if rooms is None else rooms
    slots = _slots(candidates, step, service, room_by_key, on_step or {})
    if not slots:
        return None
    if step.same_rack and size > 1:
        chosen = _within_rack(candidates, step, slots, size)
        if chosen is not None or _rack_could_hold(
            candidates, step, service, size
        ):
            return chosen
    order = sorted(
        slots,
        key=lambda key: (
            key in avoid,
            not _near(candidates, step, key),
            slots[key] if size == 1 else -slots[key],
            _spare(candidates, step, room_by_key[key], key),
            key.worker,
        ),
    )
    return _fill(order, slots, size)


def _slots(
    candidates: Candidates,
    step: model.Step,
    service: str,
    rooms: Rooms,
    on_step: Mapping[runs.LifeKey, int],
) -> dict[runs.LifeKey, int]:
    slots = {}
    for worker in candidates.eligible(step, service):
        count = step.footprint.copies_in(rooms[worker.key])
        if step.max_per_worker:
            left = step.max_per_worker - on_step.get(worker.key, 0)
            count = min(count, left)
        if count > 0:
            slots[worker.key] = count
    return slots


def _within_rack(
    candidates: Candidates,
    step: model.Step,
    slots: dict[runs.LifeKey, int],
    size: int,
) -> list[runs.LifeKey] | None:
    by_rack: dict[str, list[runs.LifeKey]] = collections.defaultdict(list)
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


def _rack_could_hold(
    candidates: Candidates, step: model.Step, service: str, size: int
) -> bool:
    """Returns whether some rack would hold all members if it were empty."""
    held: collections.Counter[str] = collections.Counter()
    for worker in candidates.eligible(step, service):
        if worker.life is None:
            continue
        count = step.footprint.copies_in(worker.life.capacity)
        if step.max_per_worker:
            count = min(count, step.max_per_worker)
        held[worker.life.rack] += count
    return any(count >= size for count in held.values())


def _fill(
    order: list[runs.LifeKey], slots: dict[runs.LifeKey, int], size: int
) -> list[runs.LifeKey] | None:
    chosen: list[runs.LifeKey] = []
    for key in order:
        chosen.extend([key] * min(slots[key], size - len(chosen)))
        if len(chosen) == size:
            return chosen
    return None


def _near(candidates: Candidates, step: model.Step, key: runs.LifeKey) -> bool:
    if not step.affinity_rack:
        return True
    return _rack(candidates, key) == step.affinity_rack


def _rack(candidates: Candidates, key: runs.LifeKey) -> str:
    life = candidates.workers_by_key[key].life
    return life.rack if life is not None else ""


def _spare(
    candidates: Candidates,
    step: model.Step,
    room: model.Resources,
    key: runs.LifeKey,
) -> float:
    """Returns the share of the worker that stays free; the least fits best."""
    life = candidates.workers_by_key[key].life
    if life is None:
        return 1.0
    return (room - step.footprint).dominant_share(life.capacity)
