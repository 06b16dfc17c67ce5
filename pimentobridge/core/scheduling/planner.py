"""Scheduling pass: places waiting units and preempts runs for urgent jobs."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import dataclasses
from typing import TYPE_CHECKING

import msgspec

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import advice as advice_lib
from pimentobridge.core.scheduling import data_centre_evacuation
from pimentobridge.core.scheduling import faster_workers
from pimentobridge.core.scheduling import guarantees
from pimentobridge.core.scheduling import holds
from pimentobridge.core.scheduling import kinds
from pimentobridge.core.scheduling import ledger
from pimentobridge.core.scheduling import pace as pace_lib
from pimentobridge.core.scheduling import placement
from pimentobridge.core.scheduling import preemption
from pimentobridge.core.scheduling import preferences
from pimentobridge.core.scheduling import ranking
from pimentobridge.core.scheduling import separation
from pimentobridge.core.scheduling import shares as shares_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import contained_error
    from pimentobridge.core.jobs import configuration
    from pimentobridge.core.scheduling import backfill as backfill_lib
    from pimentobridge.core.scheduling import engine as engine_lib


# Waiting units are tried again after this time even without an event, as
# expected ends and what is held change with time.
RETRY_INTERVAL_S = 0.5
# Factor of tasks away from their rack where the settings don't state one.
DEFAULT_REMOTE_FACTOR = 3.0
# Limit on the jobs named in a log line.
MAX_LOGGED_JOBS = 8

_Units = Iterator[tuple[advice_lib.StepName, progress_lib.Unit]]


@dataclasses.dataclass(frozen=True)
class _Pass:
    """State of one scheduling pass.

    Attributes:
        candidates: the workers that take tasks, with their free resources.
        ranked: the jobs that haven't ended, in order of rank.
        shares: what the client accounts hold.
        turns: the order in which the jobs place their units.
        units_by_id: the waiting units of jobs that have had a turn, without
            those that were tried.
        entitled: jobs that their accounts' guarantees cover.
        held: resources held for units that are still waiting.
        ends: when the runs on the workers are expected to end.
    """

    candidates: placement.Candidates
    ranked: list[ledger.TrackedJob]
    shares: shares_lib.Shares
    turns: shares_lib.Turns
    units_by_id: dict[types.JobId, _Units]
    entitled: set[types.JobId]
    held: holds.Holds
    ends: holds.ExpectedEnds
    now_s: float


class Planner:
    """Places waiting units on free resources and preempts for urgent jobs.

    Args:
        engine: the state that a pass reads and changes.
        clock: source of time.
        log: writes a log line, given an event text and fields.
        contain: keeps an unexpected error about one job from the others.
        remote_factor: how many times as long a task takes away from the rack
            that its step names.
    """

    def __init__(
        self,
        engine: engine_lib.Engine,
        *,
        clock: clock_lib.Clock,
        log: Callable[..., None],
        contain: contained_error.Contain,
        remote_factor: float = DEFAULT_REMOTE_FACTOR,
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._log = log
        self._contain = contain
        self._preemptor = preemption.Preemptor(engine, clock=clock, log=log)
        self._pace = pace_lib.Pace(engine.speeds, remote_factor=remote_factor)
        self._faster_workers = faster_workers.FasterWorkers(
            self._pace, self._preemptor, clock=clock, log=log
        )
        # In the order of their importance, see `preferences`.
        self._preferences: tuple[preferences.Preference, ...] = (
            engine.departures,
            separation.Separation(engine.interference, self._pace),
            self._pace,
        )
        # Jobs with units that didn't fit in the current pass.
        self._waiting: list[tuple[ledger.TrackedJob, placement.Demand]] = []

    def run(self) -> None:
        """Runs one scheduling pass over the waiting units, in order of rank."""
        engine = self._engine
        now_s = self._clock.monotonic()
        engine.needs_pass = False
        current = self._start_pass(now_s)
        for tracked in current.turns:
            with self._contain("placing a job", job=tracked.id) as error:
                self._place_job(tracked, current)
            if error.occurred:
                engine.incomplete = True
                current.turns.finish(tracked)
        with self._contain("moving runs off departing workers") as error:
            engine.migration.run(current.candidates, self._demand)
        engine.incomplete |= error.occurred
        with self._contain("evacuating data centres") as error:
            self._migrate_evacuated(current.candidates, now_s)
        engine.incomplete |= error.occurred
        if self._waiting:
            engine.passes.request_at(now_s + RETRY_INTERVAL_S)

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the decisions, by metric name."""
        return self._faster_workers.gauges()

    def _start_pass(self, now_s: float) -> _Pass:
        """Updates what is learned, ranks the jobs and holds resources."""
        engine = self._engine
        candidates = placement.Candidates(
            engine.placeable_workers(),
            self._preferences,
            engine.backfill.owner_by_key,
        )
        engine.interference.update(now_s)
        self._pace.start_pass(candidates.workers_by_key.values(), now_s)
        entitled = self._entitled_jobs()
        capacity = self._largest_worker()
        open_jobs = [
            tracked
            for tracked in engine.jobs_by_id.values()
            if not tracked.state.ended
        ]
        engine.durations.update_jobs(open_jobs)
        ranked = sorted(
            (
                ranking.rank(
                    tracked,
                    entitled=tracked.id in entitled,
                    capacity=capacity,
                    now_s=now_s,
                ),
                tracked,
            )
            for tracked in open_jobs
        )
        shares = shares_lib.Shares(engine.workers_by_incarnation.values())
        turns = shares_lib.Turns(
            ranked, shares, set(engine.backfill.owner_by_key.values())
        )
        engine.advice.start_pass()
        held = holds.Holds(candidates)
        engine.backfill.start_pass(held, {tracked.id for _, tracked in ranked})
        self._waiting.clear()
        self._preemptor.start_pass(candidates)
        current = _Pass(
            candidates=candidates,
            ranked=[tracked for _, tracked in ranked],
            shares=shares,
            turns=turns,
            units_by_id={},
            entitled=entitled,
            held=held,
            ends=holds.ExpectedEnds(candidates, now_s),
            now_s=now_s,
        )
        engine.migration.hold_room(current.held, candidates)
        return current

    def _migrate_evacuated(
        self, candidates: placement.Candidates, now_s: float
    ) -> None:
        """Stops runs in evacuated data centres for which others have room."""

        def demand_of(entry: ledger.RunEntry) -> placement.Demand:
            name = advice_lib.StepName(*entry.name[:3])
            return self._demand(entry.tracked, name, entry.unit, now_s)

        def on_no_room(
            entry: ledger.RunEntry, demand: placement.Demand
        ) -> None:
            name = advice_lib.StepName(*entry.name[:3])
            self._request_advice(candidates, entry.tracked, name, demand)

        data_centre_evacuation.migrate(
            self._engine.evacuations,
            self._engine.workers_by_incarnation,
            candidates,
            demand_of=demand_of,
            is_unfit=self._engine.departures.is_avoided,
            on_moved=self._engine.migration.hold_for,
            on_no_room=on_no_room,
            log=self._log,
        )

    def _place_job(self, tracked: ledger.TrackedJob, current: _Pass) -> None:
        """Places a job's next waiting unit, makes room for it or holds some."""
        candidates = current.candidates
        units = current.units_by_id.get(tracked.id)
        if units is None:
            units = current.units_by_id[tracked.id] = _ready_units(tracked)
            current.held.apply_to(
                tracked.job.queue.priority,
                guaranteed=tracked.id in current.entitled,
            )
            current.held.release(tracked.id)
        following = next(units, None)
        if following is None:
            current.turns.finish(tracked)
            return
        name, unit = following
        demand = self._demand(tracked, name, unit, current.now_s)
        if self._faster_workers.make_room(
            candidates,
            tracked,
            demand,
            guaranteed=tracked.id in current.entitled,
        ):
            self._waiting.append((tracked, demand))
            current.ends.invalidate()
            self._on_reserved(tracked, demand, current)
            return
        if self._start(tracked, name, unit, demand, current):
            self._engine.backfill.drop_claim(tracked.id)
            self._on_reserved(tracked, demand, current)
            return
        self._waiting.append((tracked, demand))
        if self._preemptor.make_room(
            candidates, tracked, demand, current.entitled
        ):
            current.ends.invalidate()
            self._on_reserved(tracked, demand, current)
            return
        self._engine.backfill.drop_claim(tracked.id)
        self._hold(tracked, demand, current)
        if not demand.step.gang:
            # The step's other tasks have the same requirements, so they don't
            # fit either.
            current.turns.finish(tracked)

    def _on_reserved(
        self,
        tracked: ledger.TrackedJob,
        demand: placement.Demand,
        current: _Pass,
    ) -> None:
        """Notes that resources are reserved for a unit."""
        current.shares.add(
            tracked.job.account, demand.step.footprint, demand.size
        )

    def _hold(
        self,
        tracked: ledger.TrackedJob,
        demand: placement.Demand,
        current: _Pass,
    ) -> None:
        """Holds the resources that a unit is expected to get first.

        The first unit of a priority has them reserved from all units after it,
        and the others from less urgent queues. A guaranteed job doesn't reserve
        them from other guaranteed jobs, whose starts are bounded.
        """
        held, service = current.held, demand.service
        priority = tracked.job.queue.priority
        reserves = tracked.id not in current.entitled and not (
            held.is_reserved(service, priority)
        )
        if not reserves and not _any_less_urgent(current.ranked, tracked):
            return
        expected = holds.earliest_assignment(
            current.candidates, demand, current.ends
        )
        if expected is None:
            return
        hold = holds.Hold(
            tracked.id,
            priority,
            expected.assigned,
            demand.step.footprint,
            expected.in_s,
        )
        if reserves:
            held.reserve(hold, service)
            self._engine.backfill.on_reserved(hold, service)
        else:
            held.add(hold)

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
            tasks_by_worker=self._tasks_of_step(tracked, name),
            allowed=(
                self._engine.advice.tickets(name, now_s)
                if queue.advice is not None
                else None
            ),
            crashed_on=unit.crashed_on,
            failed_on=unit.failed_on,
            priority=queue.priority,
            expected_s=ranking.expected_s(tracked, name.step),
            due_in_s=ranking.due_in_s(tracked, now_s),
            job=tracked.id,
            kind=kinds.kind_of(tracked.job, name.step),
        )

    def _entitled_jobs(self) -> set[types.JobId]:
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
            key=lambda capacity: (
                capacity.accelerators,
                capacity.cpu_millicores,
            ),
            default=model.NO_RESOURCES,
        )

    def _start(
        self,
        tracked: ledger.TrackedJob,
        step_name: advice_lib.StepName,
        unit: progress_lib.Unit,
        demand: placement.Demand,
        current: _Pass,
    ) -> bool:
        candidates = current.candidates
        placed = self._engine.backfill.place(
            candidates, current.held, tracked, demand, current.now_s
        )
        if placed is None:
            self._log_oversized_task(candidates, tracked, step_name, demand)
            self._request_advice(candidates, tracked, step_name, demand)
            return False
        assigned, step = placed.assigned, demand.step
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
            for key in assigned
        ]
        if tracked.progress.state is progress_lib.JobState.QUEUED:
            tracked.progress.state = progress_lib.JobState.RUNNING
        engine.mark_changed(tracked)
        workers = [engine.workers_by_incarnation[key] for key in set(assigned)]
        expected_s = self._pace.expected_on(workers, demand)
        interference = max(
            engine.interference.effect(worker, demand).steps
            for worker in workers
        )
        engine.interference.on_placed(interference)
        self._add_runs(tracked, step_name, unit, placed, expected_s, current)
        self._log(
            "unit placed",
            job=tracked.id,
            step=step_name.step,
            first=unit.first,
            size=unit.size,
            run=unit.run,
            workers=sorted({key.worker for key in assigned}),
            request=list(msgspec.structs.astuple(step.request)),
            estimate_s=step.estimate_s,
            expected_s=round(expected_s, 2),
            interference=interference,
            checkpointing=step.checkpointing,
            waited_s=round(self._clock.monotonic() - tracked.first_seen_s, 3),
            past=self._jobs_passed(tracked, assigned),
            account=tracked.job.account,
            account_share=round(current.shares.of(tracked.job.account), 3),
        )
        return True

    def _add_runs(
        self,
        tracked: ledger.TrackedJob,
        step_name: advice_lib.StepName,
        unit: progress_lib.Unit,
        placed: backfill_lib.Placed,
        expected_s: float,
        current: _Pass,
    ) -> None:
        """Adds the runs of a unit that was placed to their workers."""
        started = []
        for member, key in enumerate(placed.assigned):
            name = model.TaskName(*step_name, unit.first + member)
            entry = ledger.RunEntry(
                tracked,
                name,
                unit,
                unit.run,
                member,
                tracked.changes,
                expected_s=expected_s,
                backfilled_for=placed.owner,
            )
            worker = self._engine.workers_by_incarnation[key]
            worker.add(entry)
            started.append((worker, entry))
            current.candidates.reserve(key, entry.step.footprint)
        current.ends.add(started)

    def _jobs_passed(
        self, tracked: ledger.TrackedJob, assigned: list[runs.IncarnationKey]
    ) -> list[types.JobId]:
        """Returns the waiting jobs of more urgent queues that may run there.

        Args:
            tracked: the job that was placed.
            assigned: the workers that it was placed on.
        """
        workers = [
            self._engine.workers_by_incarnation[key] for key in set(assigned)
        ]
        passed = {
            waiting.id
            for waiting, demand in self._waiting
            if waiting.job.queue.priority < tracked.job.queue.priority
            and any(demand.may_run_on(worker) for worker in workers)
        }
        return sorted(passed)[:MAX_LOGGED_JOBS]

    def _log_oversized_task(
        self,
        candidates: placement.Candidates,
        tracked: ledger.TrackedJob,
        step_name: advice_lib.StepName,
        demand: placement.Demand,
    ) -> None:
        """Logs once per job that no worker of its service can hold a task."""
        capacities = [
            worker.incarnation.capacity
            for worker in candidates.workers_by_key.values()
            if worker.incarnation is not None
            and worker.incarnation.service == demand.service
        ]
        if tracked.oversize_logged or not capacities:
            return
        if any(
            demand.step.footprint.copies_in(capacity) for capacity in capacities
        ):
            return
        tracked.oversize_logged = True
        largest = max(capacities, key=lambda capacity: capacity.accelerators)
        self._log(
            "task fits no worker",
            job=tracked.id,
            step=step_name.step,
            request=list(msgspec.structs.astuple(demand.step.footprint)),
            largest_worker=list(msgspec.structs.astuple(largest)),
            workers=len(capacities),
        )

    def _request_advice(
        self,
        candidates: placement.Candidates,
        tracked: ledger.TrackedJob,
        step_name: advice_lib.StepName,
        demand: placement.Demand,
    ) -> None:
        """Queues a question to the policy about more workers for a step.

        For an urgent job the question isn't limited to workers with enough free
        resources, because the job may preempt other runs.
        """
        policy = self._queue_of(tracked).advice
        if policy is not None:
            free_by_key = (
                None
                if guarantees.is_urgent(tracked)
                else candidates.free_by_key
            )
            self._engine.advice.enqueue(
                step_name,
                dataclasses.replace(demand, allowed=None),
                policy,
                free_by_key=free_by_key,
            )

    def _queue_of(self, tracked: ledger.TrackedJob) -> configuration.Queue:
        """Returns the current configuration of a job's queue.

        If the queue no longer exists, returns its configuration at the time
        when the job was accepted.
        """
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


def _any_less_urgent(
    ranked: list[ledger.TrackedJob], tracked: ledger.TrackedJob
) -> bool:
    """Returns whether a job in the order of rank is less urgent."""
    return ranked[-1].job.queue.priority > tracked.job.queue.priority


def _ready_units(
    tracked: ledger.TrackedJob,
) -> Iterator[tuple[advice_lib.StepName, progress_lib.Unit]]:
    """Yields the waiting units of steps whose prerequisite steps are done."""
    for number, occurrence in tracked.progress.occurrences_by_number.items():
        for step_number, units in enumerate(occurrence.steps):
            step = tracked.step_of(step_number)
            if not all(occurrence.step_done(earlier) for earlier in step.after):
                continue
            for unit in units:
                if unit.status is progress_lib.UnitStatus.WAITING:
                    name = advice_lib.StepName(tracked.id, number, step_number)
                    yield name, unit
