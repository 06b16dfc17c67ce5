"""State of the scheduler and the transitions that events cause in it.

The engine does no I/O. A change of a job is recorded in the store before any
order that results from it is sent, and the end of a run is recorded before it
is acknowledged to the worker, which may discard it then.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import advice as advice_lib
from pimentobridge.core.scheduling import backfill as backfill_lib
from pimentobridge.core.scheduling import crashes
from pimentobridge.core.scheduling import data_centre_evacuation
from pimentobridge.core.scheduling import departures
from pimentobridge.core.scheduling import durations as durations_lib
from pimentobridge.core.scheduling import fleet
from pimentobridge.core.scheduling import gangs
from pimentobridge.core.scheduling import interference as interference_lib
from pimentobridge.core.scheduling import lease_expiry
from pimentobridge.core.scheduling import ledger
from pimentobridge.core.scheduling import lost_work
from pimentobridge.core.scheduling import migration
from pimentobridge.core.scheduling import pass_requests
from pimentobridge.core.scheduling import run_ends
from pimentobridge.core.scheduling import speeds as speeds_lib
from pimentobridge.core.scheduling import throttling as throttling_lib

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.core.jobs import configuration

# Time for which an agent acts on a set of orders, measured by its boot-time
# clock.
ORDER_VALIDITY_S = 2.0
# Maximum relative error by which a worker's monotonic clock may run slow.
CLOCK_RATE_ERROR = 0.02
# Interval at which new checkpoints are recorded: a failure of the whole system
# loses at most this much of the work that checkpoints have saved.
CHECKPOINT_RECORD_INTERVAL_S = 2.0
# Margin for rounding and for calls in transit between an agent and its worker,
# which are on the same machine.
LEASE_SLACK_S = 0.5


class Engine:
    """Tracks jobs, workers and the runs that assign jobs to workers.

    Args:
        clock: source of time; its monotonic time must include time in which
            the machine was suspended.
        max_lease_s: longest lease that a worker may hold, in seconds.
        log: writes a log line for each decision, given an event text and
            fields.

    Attributes:
        incarnation_by_agent: the incarnation that each agent last reported.
        dirty_by_id: jobs with changes that aren't recorded in the store yet.
        needs_pass: a scheduling pass of the planner is due.
        passes: requests for passes at a time.
        evacuations: the data centres in which nothing may start.
        incomplete: an error has ended the processing of a worker's report.
        departures: workers that depart or are expected to.
        migration: moves runs off departing workers.
        lost_work: counters of the work that runs have lost.
        durations: expected run times of tasks.
        speeds: speeds of the workers.
        interference: slowdowns of tasks by co-located ones.
        throttling: throttles tasks that use spare CPU.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        max_lease_s: float,
        log: Callable[..., None],
    ) -> None:
        self._clock = clock
        self._log = log
        self._started_s = clock.monotonic()
        self._leases = lease_expiry.LeaseExpiry(
            orders_valid_s=ORDER_VALIDITY_S,
            lease_s=max_lease_s * (1 + CLOCK_RATE_ERROR) + LEASE_SLACK_S,
        )
        self._run_ends = run_ends.RunEnds(
            clock=clock, log=log, end_job=self._end_job
        )
        self.jobs_by_id: dict[types.JobId, ledger.TrackedJob] = {}
        self.workers_by_incarnation: dict[
            runs.IncarnationKey, fleet.TrackedWorker
        ] = {}
        self.incarnation_by_agent: dict[types.Address, runs.IncarnationKey] = {}
        self.dirty_by_id: dict[types.JobId, ledger.TrackedJob] = {}
        self.configuration: configuration.JobConfiguration | None = None
        self.passes = pass_requests.PassRequests(clock)
        self.needs_pass = True
        self.incomplete = False
        self.advice = advice_lib.AdviceCache()
        self.departures = departures.Departures(
            self.workers_by_incarnation, clock=clock, log=log
        )
        self.migration = migration.Migration(
            self.workers_by_incarnation,
            self.departures,
            self.passes,
            clock=clock,
            log=log,
        )
        self.lost_work = lost_work.LostWork()
        self.durations = durations_lib.Durations()
        self.speeds = speeds_lib.Speeds(
            self.workers_by_incarnation, self.durations, log
        )
        self.interference = interference_lib.Interference(
            self.workers_by_incarnation, log
        )
        self.throttling = throttling_lib.Throttling(
            self.workers_by_incarnation, log
        )
        self.backfill = backfill_lib.Backfill(log)
        self.evacuations = data_centre_evacuation.Evacuations(
            clock=clock, log=log
        )
        self._placeable: frozenset[runs.IncarnationKey] = frozenset()

    # Jobs.

    def put_job(
        self,
        job: model.Job,
        progress: progress_lib.Progress | None = None,
        *,
        revision: int = 0,
    ) -> None:
        """Adds a job, or replaces the submission of a tracked job.

        Args:
            job: the submission.
            progress: the job's recorded progress, if it has any; ignored for
                a job that is tracked already.
            revision: store revision of the progress record.
        """
        tracked = self.jobs_by_id.get(job.id)
        if tracked is None:
            tracked = ledger.TrackedJob(
                job=job,
                progress=progress or progress_lib.Progress(),
                first_seen_s=self._clock.monotonic(),
                revision=revision,
            )
            if tracked.progress.state.ended:
                tracked.ended_s = tracked.first_seen_s
            self.jobs_by_id[job.id] = tracked
            self._add_recorded_runs(tracked)
            self._log(
                "job known",
                job=job.id,
                queue=job.queue.name,
                account=job.account,
                state=tracked.state.value,
            )
        tracked.job = job
        if job.cancelled and not tracked.progress.state.ended:
            self._end_job(tracked, progress_lib.JobState.CANCELLED)
        self.needs_pass = True

    def forget_job(self, job: types.JobId) -> None:
        """Stops tracking a job whose record was deleted from the store."""
        self.jobs_by_id.pop(job, None)
        self.dirty_by_id.pop(job, None)
        self.advice.forget_job(job)
        self.durations.forget_job(job)

    def _add_recorded_runs(self, tracked: ledger.TrackedJob) -> None:
        """Adds the runs in a job's recorded progress to their workers."""
        for number, step, unit in tracked.progress.units():
            if unit.status not in (
                progress_lib.UnitStatus.ACTIVE,
                progress_lib.UnitStatus.ENDING,
            ):
                continue
            for member, placement in enumerate(unit.placements):
                if not placement.released:
                    name = model.TaskName(
                        tracked.id, number, step, unit.first + member
                    )
                    key = runs.IncarnationKey(
                        placement.worker, placement.started_ms
                    )
                    worker = self._get_or_add_worker(key)
                    worker.agent = placement.agent
                    worker.add(
                        ledger.RunEntry(
                            tracked, name, unit, unit.run, member, 0
                        )
                    )

    def _get_or_add_worker(
        self, key: runs.IncarnationKey
    ) -> fleet.TrackedWorker:
        worker = self.workers_by_incarnation.get(key)
        if worker is None:
            worker = fleet.TrackedWorker(key, self._clock.monotonic())
            self.workers_by_incarnation[key] = worker
        return worker

    def mark_changed(self, tracked: ledger.TrackedJob) -> None:
        """Marks a job's progress as changed, so that it will be recorded."""
        tracked.changes += 1
        tracked.changed_s = self._clock.monotonic()
        tracked.new_checkpoints = False
        self.dirty_by_id[tracked.id] = tracked

    def _end_job(
        self, tracked: ledger.TrackedJob, state: progress_lib.JobState
    ) -> None:
        tracked.progress.state = state
        tracked.ended_s = self._clock.monotonic()
        for worker in self.workers_by_incarnation.values():
            for entry in worker.entries_by_key.values():
                if entry.tracked is tracked and (
                    entry.unit.status is not progress_lib.UnitStatus.DONE
                ):
                    entry.stop_requested = True
        self.mark_changed(tracked)
        self._log("job ended", job=tracked.id, state=state.value)

    def fail_unrecordable(
        self, tracked: ledger.TrackedJob, *, record_bytes: int
    ) -> None:
        """Ends a job whose progress is larger than the store can hold.

        No task of it could start or end any more.

        Args:
            tracked: the job.
            record_bytes: size of its record.
        """
        self._log(
            "job can't be recorded", job=tracked.id, record_bytes=record_bytes
        )
        if not tracked.state.ended:
            self._end_job(tracked, progress_lib.JobState.FAILED)
        # The workers list what still runs, and are ordered to stop it.
        tracked.progress.occurrences_by_number = {}

    # Workers.

    def observe(
        self, agent: types.Address, observation: runs.Observation
    ) -> None:
        """Processes an agent's report on its worker, newer than those before.

        After an unexpected error, which is raised, nothing that the worker says
        of its runs is processed or acknowledged any more: what is known of them
        may be incomplete, and another scheduler can still read it all. Orders
        answer the report all the same, so that the agent renews the lease.
        """
        try:
            self._process_report(agent, observation)
        except Exception:
            self.incomplete = True
            self.on_answered(agent)
            key = observation.incarnation.key
            if key in self.workers_by_incarnation:
                worker = self.workers_by_incarnation[key]
                worker.distrusted = True
                worker.add_listed(observation.running)
            raise

    def _process_report(
        self, agent: types.Address, observation: runs.Observation
    ) -> None:
        key = observation.incarnation.key
        self._remove_replaced_incarnations(agent, observation)
        if observation.terminated and key not in self.workers_by_incarnation:
            return
        worker = self._get_or_add_worker(key)
        self._update_incarnation(worker, agent, observation.incarnation)
        worker.reachable = observation.reachable
        worker.agent_state = observation.agent_state
        self.departures.on_report(worker)
        if worker.distrusted:
            worker.add_listed(observation.running)
        else:
            self._apply_reported_runs(worker, observation)
        self.evacuations.stop_unstarted(worker, self.workers_by_incarnation)
        if not worker.reachable:
            gangs.stop_incomplete(
                worker, self.workers_by_incarnation, self._log
            )
        if observation.terminated:
            self._count_crashes(worker, agent, observation)
            self._remove_incarnation(key, "incarnation ended")

    def _update_incarnation(
        self,
        worker: fleet.TrackedWorker,
        agent: types.Address,
        incarnation: runs.WorkerIncarnation,
    ) -> None:
        if worker.incarnation is None or worker.incarnation != incarnation:
            self._log(
                "worker known",
                worker=incarnation.key.worker,
                born_ms=incarnation.key.started_ms,
                draining=incarnation.draining,
                leaves_in_s=incarnation.leaves_in_s,
                version=incarnation.version,
            )
            self.needs_pass = True
        if worker.incarnation is None:
            self.speeds.on_new_incarnation(agent)
        self.incarnation_by_agent[agent] = incarnation.key
        worker.agent, worker.incarnation = agent, incarnation
        worker.last_report_s = self._clock.monotonic()

    def _apply_reported_runs(
        self, worker: fleet.TrackedWorker, observation: runs.Observation
    ) -> None:
        # Ends are processed first, because the worker may also list a run that
        # has ended as refused or as stopped.
        for end in sorted(observation.ended, key=lambda end: end.number):
            if end.number > worker.processed_end:
                worker.processed_end = end.number
                self._on_end(worker, end)
        self._update_running(worker, observation)
        self.throttling.on_report(
            worker, observation.running, self._clock.monotonic()
        )
        for refused in observation.refused:
            self._on_refusal(worker, refused)
        self._release_unlisted(worker, observation.refused, "start refused")
        self._release_unlisted(
            worker, observation.stop_confirmed, "stop confirmed"
        )
        worker.acknowledge_ends()

    def _on_refusal(
        self, worker: fleet.TrackedWorker, refused: runs.RunKey
    ) -> None:
        entry = worker.entries_by_key.get(refused)
        if entry is None:
            return
        worker.health.on_refused(self._clock.monotonic())
        step = advice_lib.StepName(
            entry.name.job, entry.name.occurrence, entry.name.step
        )
        self.advice.drop_ticket(step, worker.key)

    def _release_unlisted(
        self,
        worker: fleet.TrackedWorker,
        keys: Iterable[runs.RunKey],
        reason: str,
    ) -> None:
        """Releases runs that the worker will never start again.

        One that it lists may be stopping and is over only at its listed end.
        """
        for key in keys:
            if key not in worker.running_keys:
                self._release_run(
                    worker, key, reason, self.lost_work.on_stop_confirmed
                )

    def _remove_replaced_incarnations(
        self, agent: types.Address, observation: runs.Observation
    ) -> None:
        """Removes the incarnations before the one that an agent reports.

        An agent reports the incarnation that is on its machine, and its reports
        are in order. The times of day at which two incarnations of a machine
        started may not be.
        """
        key = observation.incarnation.key
        for old_key, worker in list(self.workers_by_incarnation.items()):
            if old_key == key:
                continue
            moved = (
                old_key.worker == key.worker
                and old_key.started_ms < key.started_ms
            )
            if worker.agent == agent or moved:
                self._count_crashes(worker, agent, observation)
                self._remove_incarnation(
                    old_key, "replaced by a newer incarnation"
                )

    def _count_crashes(
        self,
        worker: fleet.TrackedWorker,
        agent: types.Address,
        observation: runs.Observation,
    ) -> None:
        """Counts a crash of `worker` under the runs that may have caused it."""
        for entry, machines in crashes.count_under(
            worker, agent, observation.crashes, self._log
        ):
            self.mark_changed(entry.tracked)
            if crashes.is_hopeless(machines) and not entry.tracked.state.ended:
                self._end_job(entry.tracked, progress_lib.JobState.FAILED)

    def _remove_incarnation(
        self, key: runs.IncarnationKey, reason: str
    ) -> None:
        """Removes an incarnation that has certainly ended, and its runs."""
        worker = self.workers_by_incarnation.pop(key, None)
        if worker is None:
            return
        self.departures.on_removed(worker)
        self._log(
            "worker lost",
            worker=key.worker,
            born_ms=key.started_ms,
            reason=reason,
        )
        for run in list(worker.entries_by_key):
            self._release_run(
                worker, run, reason, self.lost_work.on_worker_lost
            )
        self.needs_pass = True

    def _update_running(
        self, worker: fleet.TrackedWorker, observation: runs.Observation
    ) -> None:
        untracked: dict[runs.RunKey, model.Resources] = {}
        ended = {end.key for end in observation.ended}
        for task in observation.running:
            entry = worker.entries_by_key.get(task.key)
            if entry is not None:
                now_s = self._clock.monotonic()
                entry.observed.update(task.percent, now_s)
                entry.observed.update_checkpoint(task.checkpoint, now_s)
                self._learn_pace(worker, entry, task.metric)
                self._update_checkpoint(entry, task.checkpoint)
            elif task.key not in ended:
                untracked[task.key] = ledger.footprint_of(
                    task.key, self.jobs_by_id
                )
        if untracked.keys() != worker.untracked_by_key.keys():
            self.needs_pass = True
            for run in untracked.keys() - worker.untracked_by_key.keys():
                latest = ledger.unit_of(run, self.jobs_by_id)
                self._log(
                    "untracked run listed",
                    task=run.task,
                    run=run.run,
                    worker=worker.key.worker,
                    born_ms=worker.key.started_ms,
                    latest_run=latest and latest.run,
                    latest_status=latest and latest.status.value,
                )
        worker.set_untracked(untracked)
        worker.running_keys = frozenset(
            task.key for task in observation.running
        )

    def _learn_pace(
        self,
        worker: fleet.TrackedWorker,
        entry: ledger.RunEntry,
        metric: int | None,
    ) -> None:
        now_s = self._clock.monotonic()
        segment = entry.observed.take_segment()
        if segment is not None and entry.throttled_s is None:
            slowdown = self.interference.slowdown_of(worker, entry)
            self.speeds.on_progress(worker, entry, segment, slowdown, now_s)
        self.interference.on_running(
            worker, entry, segment=segment, metric=metric, now_s=now_s
        )

    def _update_checkpoint(self, entry: ledger.RunEntry, value: str) -> None:
        if value and entry.is_current and value != entry.unit.checkpoint:
            entry.unit.checkpoint = value
            entry.tracked.new_checkpoints = True

    def record_checkpoints(self) -> None:
        """Marks jobs with new checkpoints to be recorded.

        The checkpoints then survive a failure of the whole system.
        """
        now_s = self._clock.monotonic()
        for tracked in self.jobs_by_id.values():
            due = now_s - tracked.changed_s >= CHECKPOINT_RECORD_INTERVAL_S
            if tracked.new_checkpoints and due and not tracked.state.ended:
                self.mark_changed(tracked)

    # Ends of runs.

    def _on_end(self, worker: fleet.TrackedWorker, end: runs.EndedRun) -> None:
        entry = worker.remove(end.key)
        if entry is None:
            self._on_end_of_untracked_run(worker, end)
            return
        self.needs_pass = True
        tracked, unit = entry.tracked, entry.unit
        now_s = self._clock.monotonic()
        self._log(
            "run ended",
            job=tracked.id,
            task=end.key.task,
            run=end.key.run,
            worker=worker.key.worker,
            cause=end.cause.value,
            ran_s=round(entry.execution_time_s(now_s), 2),
            lost_core_s=round(self.lost_work.on_end(entry, end, now_s), 1),
        )
        if unit.run == entry.run:
            if end.cause is runs.EndCause.DONE:
                self._learn_duration(entry)
            unit.placements[entry.member].released = True
            self._run_ends.apply(worker, entry, end)
            self.mark_changed(tracked)
        worker.unacknowledged_ends.append(
            (end.number, tracked, tracked.changes)
        )

    def _learn_duration(self, entry: ledger.RunEntry) -> None:
        if entry.throttled_s is not None:
            return
        speed = self.speeds.speed_of_run(entry)
        if speed is not None:
            self.durations.on_done(
                entry, speed=speed, now_s=self._clock.monotonic()
            )

    def _on_end_of_untracked_run(
        self, worker: fleet.TrackedWorker, end: runs.EndedRun
    ) -> None:
        completed = self._run_ends.complete_released(
            worker, end, self.jobs_by_id
        )
        if completed is not None:
            self.mark_changed(completed)
            self.needs_pass = True
        change = completed.changes if completed is not None else 0
        worker.unacknowledged_ends.append((end.number, completed, change))

    def _release_run(
        self,
        worker: fleet.TrackedWorker,
        key: runs.RunKey,
        reason: str,
        count_lost_work: Callable[
            [ledger.RunEntry, fleet.TrackedWorker], float
        ],
    ) -> None:
        """Releases a run that certainly doesn't execute and never will."""
        entry = worker.remove(key)
        if entry is None:
            return
        self.needs_pass = True
        unit = entry.unit
        self._log(
            "run over",
            job=entry.tracked.id,
            task=key.task,
            run=key.run,
            worker=worker.key.worker,
            born_ms=worker.key.started_ms,
            reason=reason,
            listed=key in worker.running_keys,
            report_age_s=round(
                self._clock.monotonic() - worker.last_report_s, 3
            ),
            lost_core_s=round(count_lost_work(entry, worker), 1),
        )
        if unit.run != entry.run or (
            unit.status is progress_lib.UnitStatus.DONE
        ):
            return
        unit.placements[entry.member].released = True
        unit.status = progress_lib.UnitStatus.ENDING
        unit.requeue_if_released()
        self.mark_changed(entry.tracked)

    # Evacuations of data centres.

    def set_evacuations(
        self, revision_by_data_centre: Mapping[types.DataCentreName, int]
    ) -> None:
        """Replaces the evacuations in force.

        Args:
            revision_by_data_centre: the evacuated data centres, with the
                store's revision of each request.
        """
        workers = self.workers_by_incarnation.values()
        self.evacuations.replace(revision_by_data_centre, workers)
        for worker in workers:
            self.evacuations.stop_unstarted(worker, self.workers_by_incarnation)
        self.needs_pass = True

    def log_unmatched_evacuations(self) -> None:
        """Logs the evacuations of data centres without workers."""
        self.evacuations.log_unmatched(self.workers_by_incarnation.values())

    # Timeouts and due times.

    def declare_lost(self) -> None:
        """Removes the workers whose leases must have expired."""
        now_s = self._clock.monotonic()
        for key, worker in list(self.workers_by_incarnation.items()):
            if now_s > self._leases.expired_by_s(worker):
                self._remove_incarnation(
                    key, "no report until its lease expired"
                )
                if worker.agent is not None:
                    self.incarnation_by_agent.pop(worker.agent, None)

    def on_answered(self, agent: types.Address) -> None:
        """Notes that orders answer a report from which nothing is learnt.

        The agent may renew the lease of its worker all the same. A report names
        no worker if the agent has just started, and its processing may fail.
        """
        for worker in self.workers_by_incarnation.values():
            if worker.agent == agent:
                self._leases.on_answered(worker, self._clock.monotonic())

    def request_due_pass(self) -> None:
        """Requests the pass that is due by now, if any."""
        if self.passes.take_due():
            self.needs_pass = True

    def detect_placeable_changes(self) -> None:
        """Requests a scheduling pass if the set of placeable workers changed.

        Time alone can change it: a worker's reports stop, or its ejection
        ends.
        """
        placeable = frozenset(worker.key for worker in self.placeable_workers())
        if placeable != self._placeable:
            self._placeable = placeable
            self.needs_pass = True

    def placeable_workers(self) -> list[fleet.TrackedWorker]:
        """Returns the workers that take new tasks at the moment."""
        now_s = self._clock.monotonic()
        return [
            worker
            for worker in self.workers_by_incarnation.values()
            if worker.takes_tasks(now_s) and not self.evacuations.covers(worker)
        ]

    # Records.

    def on_recorded(self, job: types.JobId, change: int, revision: int) -> None:
        """Notes that the store holds a job's progress as of a change.

        Args:
            job: the job.
            change: number of the latest change in the stored record.
            revision: store revision of the record.
        """
        tracked = self.jobs_by_id.get(job)
        if tracked is None:
            return
        tracked.recorded_change = max(tracked.recorded_change, change)
        tracked.revision = revision
        if tracked.recorded_change >= tracked.changes:
            self.dirty_by_id.pop(job, None)
