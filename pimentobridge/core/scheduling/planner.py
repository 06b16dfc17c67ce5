"""One pass over the waiting jobs: who starts where, and who makes room."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import msgspec

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import advice as advice_lib
from pimentobridge.core.scheduling import guarantees
from pimentobridge.core.scheduling import ledger
from pimentobridge.core.scheduling import placement
from pimentobridge.core.scheduling import ranking
from pimentobridge.core.scheduling import reclaim

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.jobs import configuration
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
            for worker in engine.workers_by_incarnation.values()
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
            key=lambda tracked: ranking.rank(
                tracked, entitled=tracked.id in entitled, whole=whole
            )
        )
        engine.advice.start_pass()
        for tracked in waiting:
            for name, unit in _ready_units(tracked):
                demand = self._demand(tracked, name, unit, now_s)
                if self._start(candidates, tracked, name, unit, demand):
                    continue
                room_is_coming = guarantees.is_urgent(
                    tracked
                ) and self._reclaim(candidates, tracked, demand, entitled)
                if not room_is_coming and not demand.step.gang:
                    # The step's other tasks have the same shape.
                    break

    def _demand(
        self,
        tracked: ledger.TrackedJob,
        name: advice_lib.StepName,
        unit: progress_lib.Unit,
        now_s: float,
    ) -> placement.Demand:
        queue = self._queue_of(tracked)
        return placement.Demand(
            tracked.step_of(name.step),
            unit.size,
            queue.service,
            on_step=self._tasks_of_step(tracked, name),
            allowed=(
                self._engine.advice.tickets(name, now_s)
                if queue.advice is not None
                else None
            ),
        )

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
                worker.incarnation.capacity
                for worker in self._engine.workers_by_incarnation.values()
                if worker.incarnation is not None
            ),
            key=lambda room: (room.accelerators, room.cpu_millicores),
            default=model.NOTHING,
        )

    def _start(
        self,
        candidates: placement.Candidates,
        tracked: ledger.TrackedJob,
        step_name: advice_lib.StepName,
        unit: progress_lib.Unit,
        demand: placement.Demand,
    ) -> bool:
        places = placement.place(candidates, demand)
        if places is None:
            self._note_misfit(candidates, tracked, step_name, demand)
            self._ask_for_advice(candidates, tracked, step_name, demand)
            return False
        step = demand.step
        tickets = self._engine.advice.tickets(
            step_name, self._clock.monotonic()
        )
        engine = self._engine
        unit.run += 1
        unit.status = progress_lib.UnitStatus.ACTIVE
        unit.placements = [
            progress_lib.Placement(
                key.worker,
                key.started_ms,
                engine.workers_by_incarnation[key].agent or types.Address(""),
                ticket=tickets.get(key, ""),
            )
            for key in places
        ]
        if tracked.progress.state is progress_lib.JobState.QUEUED:
            tracked.progress.state = progress_lib.JobState.RUNNING
        engine.mark_changed(tracked)
        for member, key in enumerate(places):
            name = model.TaskName(*step_name, unit.first + member)
            engine.workers_by_incarnation[key].add(
                ledger.RunEntry(
                    tracked, name, unit, unit.run, member, tracked.changes
                )
            )
            candidates.take(key, step.footprint)
        self._log(
            "unit placed",
            job=tracked.id,
            step=step_name.step,
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

    def _note_misfit(
        self,
        candidates: placement.Candidates,
        tracked: ledger.TrackedJob,
        step_name: advice_lib.StepName,
        demand: placement.Demand,
    ) -> None:
        """Logs once that a task is larger than any worker of its service."""
        capacities = [
            worker.incarnation.capacity
            for worker in candidates.workers_by_key.values()
            if worker.incarnation is not None
            and worker.incarnation.service == demand.service
        ]
        if tracked.misfit_noted or not capacities:
            return
        if any(demand.step.footprint.copies_in(room) for room in capacities):
            return
        tracked.misfit_noted = True
        largest = max(capacities, key=lambda room: room.accelerators)
        self._log(
            "task fits no worker",
            job=tracked.id,
            step=step_name.step,
            request=list(msgspec.structs.astuple(demand.step.footprint)),
            largest_worker=list(msgspec.structs.astuple(largest)),
            workers=len(capacities),
        )

    def _ask_for_advice(
        self,
        candidates: placement.Candidates,
        tracked: ledger.TrackedJob,
        step_name: advice_lib.StepName,
        demand: placement.Demand,
    ) -> None:
        """Has the policy asked about workers that could be of use.

        An urgent unit may displace others, so that any worker is of use to it.
        """
        policy = self._queue_of(tracked).advice
        if policy is not None:
            rooms = None if guarantees.is_urgent(tracked) else candidates.rooms
            self._engine.advice.want(
                step_name,
                dataclasses.replace(demand, allowed=None),
                policy,
                rooms=rooms,
            )

    def _queue_of(self, tracked: ledger.TrackedJob) -> configuration.Queue:
        """Returns the queue as it is now, or as it was last."""
        queue = tracked.job.queue
        current = self._engine.configuration
        if current is not None:
            queue = current.queues_by_name.get(queue.name, queue)
        return queue

    def _tasks_of_step(
        self, tracked: ledger.TrackedJob, step_name: advice_lib.StepName
    ) -> dict[runs.IncarnationKey, int]:
        if not tracked.step_of(step_name.step).max_per_worker:
            return {}
        counts: collections.Counter[runs.IncarnationKey] = collections.Counter()
        for key, worker in self._engine.workers_by_incarnation.items():
            for entry in worker.entries_by_key.values():
                if (
                    entry.tracked is tracked
                    and entry.name.occurrence == step_name.occurrence
                    and entry.name.step == step_name.step
                ):
                    counts[key] += 1
        return counts

    def _reclaim(
        self,
        candidates: placement.Candidates,
        tracked: ledger.TrackedJob,
        demand: placement.Demand,
        entitled: set[types.JobId],
    ) -> bool:
        """Stops what stands in the way of an urgent unit.

        Returns:
            Whether room is kept for the unit.
        """
        now_s = self._clock.monotonic()
        guaranteed = tracked.id in entitled
        workers = list(candidates.workers_by_key.values())
        hoped = dict(candidates.rooms)
        for worker in workers:
            hoped[worker.key] += model.total(worker.strangers_by_key.values())
            for entry in worker.entries_by_key.values():
                if entry.stop or not entry.is_current:
                    hoped[worker.key] += entry.step.footprint
        places = placement.place(candidates, demand, rooms=hoped)
        if places is None:
            chosen = reclaim.choose(
                candidates,
                demand,
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
            candidates.take(key, demand.step.footprint)
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
) -> Iterator[tuple[advice_lib.StepName, progress_lib.Unit]]:
    """Yields the waiting units whose earlier steps are done."""
    for number, occurrence in tracked.progress.occurrences_by_number.items():
        for step_number, units in enumerate(occurrence.steps):
            step = tracked.step_of(step_number)
            if not all(occurrence.step_done(other) for other in step.after):
                continue
            for unit in units:
                if unit.status is progress_lib.UnitStatus.WAITING:
                    name = advice_lib.StepName(tracked.id, number, step_number)
                    yield name, unit
