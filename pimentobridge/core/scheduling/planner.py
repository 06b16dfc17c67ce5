"""One pass over the waiting jobs: who starts where, and who makes room."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import guarantees
from pimentobridge.core.scheduling import ledger
from pimentobridge.core.scheduling import order
from pimentobridge.core.scheduling import placement
from pimentobridge.core.scheduling import reclaim

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.scheduling import engine as engine_lib


class Planner:
    """Starts waiting units on free room and reclaims guaranteed room.

    Args:
        engine: the state that the pass reads and changes.
        clock: source of time.
        log: takes a message and its fields.
    """

    def __init__(
        self,
        engine: engine_lib.Engine,
        *,
        clock: clock_lib.Clock,
        log: Callable[..., None],
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._log = log

    def run(self) -> None:
        """Makes one pass."""
        engine = self._engine
        now_s = self._clock.monotonic()
        engine.needs_pass = False
        candidates = placement.Candidates(
            worker
            for worker in engine.workers_by_life.values()
            if worker.takes_tasks(now_s)
        )
        entitled = self._entitled()
        whole = self._largest_worker()
        waiting = [
            tracked
            for tracked in engine.jobs_by_id.values()
            if not tracked.state.ended
        ]
        waiting.sort(
            key=lambda tracked: order.rank(
                tracked, entitled=tracked.id in entitled, whole=whole
            )
        )
        for tracked in waiting:
            for number, step, unit in _ready_units(tracked):
                if self._start(candidates, tracked, number, step, unit):
                    continue
                room_is_coming = guarantees.is_urgent(
                    tracked
                ) and self._reclaim(candidates, tracked, step, unit, entitled)
                if not room_is_coming and not tracked.step_of(step).gang:
                    # The step's other tasks have the same shape.
                    break

    def _entitled(self) -> set[types.JobId]:
        engine = self._engine
        if engine.configuration is None:
            return set()
        return guarantees.entitled_jobs(
            engine.jobs_by_id.values(), engine.configuration.accounts_by_name
        )

    def _largest_worker(self) -> model.Resources:
        return max(
            (
                worker.life.capacity
                for worker in self._engine.workers_by_life.values()
                if worker.life is not None
            ),
            key=lambda room: (room.accelerators, room.cpu_millicores),
            default=model.NOTHING,
        )

    def _start(
        self,
        candidates: placement.Candidates,
        tracked: ledger.TrackedJob,
        number: int,
        step_number: int,
        unit: progress_lib.Unit,
    ) -> bool:
        step = tracked.step_of(step_number)
        places = placement.place(
            candidates,
            step,
            unit.size,
            service=self._service_of(tracked),
            on_step=self._tasks_of_step(tracked, number, step_number, step),
        )
        if places is None:
            return False
        engine = self._engine
        unit.run += 1
        unit.status = progress_lib.UnitStatus.ACTIVE
        unit.placements = [
            progress_lib.Placement(
                key.worker,
                key.born_ms,
                engine.workers_by_life[key].agent or types.Address(""),
            )
            for key in places
        ]
        if tracked.progress.state is progress_lib.JobState.QUEUED:
            tracked.progress.state = progress_lib.JobState.RUNNING
        engine.mark_changed(tracked)
        for member, key in enumerate(places):
            name = model.TaskName(
                tracked.id, number, step_number, unit.first + member
            )
            engine.workers_by_life[key].add(
                ledger.RunEntry(
                    tracked, name, unit, unit.run, member, tracked.changes
                )
            )
            candidates.take(key, step.footprint)
        self._log(
            "unit placed",
            job=tracked.id,
            step=step_number,
            first=unit.first,
            size=unit.size,
            run=unit.run,
            workers=sorted({key.worker for key in places}),
            request=list(msgspec.structs.astuple(step.request)),
            estimate_s=step.estimate_s,
            checkpointing=step.checkpointing,
            waited_s=round(self._clock.monotonic() - tracked.first_seen_s, 3),
        )
        return True

    def _service_of(self, tracked: ledger.TrackedJob) -> str:
        """Returns the service that the queue has now, or had last."""
        queue = tracked.job.queue
        configuration = self._engine.configuration
        if configuration is not None:
            queue = configuration.queues_by_name.get(queue.name, queue)
        return queue.service

    def _tasks_of_step(
        self,
        tracked: ledger.TrackedJob,
        number: int,
        step_number: int,
        step: model.Step,
    ) -> dict[runs.LifeKey, int]:
        if not step.max_per_worker:
            return {}
        counts: collections.Counter[runs.LifeKey] = collections.Counter()
        for key, worker in self._engine.workers_by_life.items():
            for entry in worker.entries_by_key.values():
                if (
                    entry.tracked is tracked
                    and entry.name.occurrence == number
                    and entry.name.step == step_number
                ):
                    counts[key] += 1
        return counts

    def _reclaim(
        self,
        candidates: placement.Candidates,
        tracked: ledger.TrackedJob,
        step_number: int,
        unit: progress_lib.Unit,
        entitled: set[types.JobId],
    ) -> bool:
        """Stops what stands in the way of an urgent unit.

        Returns:
            Whether room is kept for the unit.
        """
        now_s = self._clock.monotonic()
        guaranteed = tracked.id in entitled
        step = tracked.step_of(step_number)
        workers = list(candidates.workers_by_key.values())
        hoped = dict(candidates.rooms)
        for worker in workers:
            hoped[worker.key] += model.total(worker.strangers_by_key.values())
            for entry in worker.entries_by_key.values():
                if entry.stop or not entry.is_current:
                    hoped[worker.key] += entry.step.footprint
        service = self._service_of(tracked)
        places = placement.place(
            candidates, step, unit.size, service=service, rooms=hoped
        )
        if places is None:
            chosen = reclaim.choose(
                candidates,
                step,
                unit.size,
                service=service,
                rooms=hoped,
                victims=reclaim.possible_victims(
                    workers, entitled, guaranteed=guaranteed, now_s=now_s
                ),
            )
            if chosen is None:
                return False
            victims, places = chosen
            lost = sum(victim.lost_work(now_s) for victim in victims)
            limit = reclaim.loss_limit(
                guaranteed=guaranteed,
                waited_s=now_s - tracked.first_seen_s,
            )
            if lost <= limit:
                for victim in victims:
                    self._stop(victim, tracked, lost)
            else:
                # Time alone will change the limit.
                self._engine.needs_pass = True
                if not guaranteed:
                    return False
        # Keeps what comes free from jobs of lower rank.
        for key in places:
            candidates.take(key, step.footprint)
        return True

    def _stop(
        self,
        victim: reclaim.Victim,
        tracked: ledger.TrackedJob,
        lost_work: float,
    ) -> None:
        for worker, entry in victim.entries:
            entry.stop = True
            self._log(
                "run stopped for an urgent job",
                job=entry.tracked.id,
                task=str(entry.name),
                run=entry.run,
                worker=worker.key.worker,
                for_job=tracked.id,
                waited_s=round(
                    self._clock.monotonic() - tracked.first_seen_s, 3
                ),
                lost_work=round(lost_work, 1),
            )


def _ready_units(
    tracked: ledger.TrackedJob,
) -> Iterator[tuple[int, int, progress_lib.Unit]]:
    """Yields the waiting units whose earlier steps are done."""
    for number, occurrence in tracked.progress.occurrences_by_number.items():
        for step_number, units in enumerate(occurrence.steps):
            step = tracked.step_of(step_number)
            if not all(occurrence.step_done(other) for other in step.after):
                continue
            for unit in units:
                if unit.status is progress_lib.UnitStatus.WAITING:
                    yield number, step_number, unit
