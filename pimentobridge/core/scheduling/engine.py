"""The scheduler's state, and what each event changes in it.

The engine does no I/O. A change of a job is recorded in the store before an
order that follows from it leaves, and an end is recorded before the worker may
forget it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import advice as advice_lib
from pimentobridge.core.scheduling import fleet
from pimentobridge.core.scheduling import ledger

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.core.jobs import configuration

# How long an agent acts on one set of orders, by its boot-time clock.
ORDER_VALIDITY_S = 2.0
# A worker's steady clock may be this much slow.
CLOCK_RATE_ERROR = 0.02
# Work that a loss of the whole system may throw away.
CHECKPOINT_RECORD_INTERVAL_S = 2.0
# Room for rounding and for calls on their way within a machine.
LEASE_SLACK_S = 0.5


class Engine:
    """Jobs, workers and the runs between them.

    Args:
        clock: source of time; monotonic time must count suspended time.
        max_lease_s: longest lease that a worker may hold.
        log: takes a message and its fields, one line for each decision.
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
        self._lost_after_s = (
            ORDER_VALIDITY_S
            + max_lease_s * (1 + CLOCK_RATE_ERROR)
            + LEASE_SLACK_S
        )
        self.jobs_by_id: dict[types.JobId, ledger.TrackedJob] = {}
        self.workers_by_incarnation: dict[
            runs.IncarnationKey, fleet.TrackedWorker
        ] = {}
        self.incarnation_by_agent: dict[types.Address, runs.IncarnationKey] = {}
        self.dirty_by_id: dict[types.JobId, ledger.TrackedJob] = {}
        self.configuration: configuration.JobConfiguration | None = None
        self.needs_pass = True
        self.advice = advice_lib.AdviceBook()
        self._placeable: frozenset[runs.IncarnationKey] = frozenset()

    # Jobs.

    def put_job(
        self,
        job: model.Job,
        progress: progress_lib.Progress | None = None,
        *,
        revision: int = 0,
    ) -> None:
        """Takes a job from the store, or a newer form of its submission.

        Args:
            job: the submission.
            progress: its record, for one that this scheduler takes over.
            revision: the record's revision.
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
            self._adopt_runs(tracked)
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
        """Drops a job whose record was deleted."""
        self.jobs_by_id.pop(job, None)
        self.dirty_by_id.pop(job, None)
        self.advice.forget_job(job)

    def _adopt_runs(self, tracked: ledger.TrackedJob) -> None:
        for number, step, unit in tracked.progress.units():
            if unit.status not in (
                progress_lib.UnitStatus.ACTIVE,
                progress_lib.UnitStatus.ENDING,
            ):
                continue
            for member, place in enumerate(unit.placements):
                if not place.over:
                    name = model.TaskName(
                        tracked.id, number, step, unit.first + member
                    )
                    key = runs.IncarnationKey(place.worker, place.started_ms)
                    worker = self._worker(key)
                    worker.agent = place.agent
                    worker.add(
                        ledger.RunEntry(
                            tracked, name, unit, unit.run, member, 0
                        )
                    )

    def _worker(self, key: runs.IncarnationKey) -> fleet.TrackedWorker:
        worker = self.workers_by_incarnation.get(key)
        if worker is None:
            worker = fleet.TrackedWorker(key, self._clock.monotonic())
            self.workers_by_incarnation[key] = worker
        return worker

    def mark_changed(self, tracked: ledger.TrackedJob) -> None:
        """Notes that a job's record must be written."""
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
                    entry.stop = True
        self.mark_changed(tracked)
        self._log("job ended", job=tracked.id, state=state.value)

    # Workers.

    def observe(self, agent: types.Address, seen: runs.Observation) -> None:
        """Takes in an agent's report of its worker."""
        key = seen.incarnation.key
        earlier = self.incarnation_by_agent.get(agent)
        if earlier is not None and earlier.started_ms > key.started_ms:
            return
        self._bury_earlier_lives(agent, key)
        if seen.terminated and key not in self.workers_by_incarnation:
            return
        worker = self._worker(key)
        self._take_life(worker, agent, seen.incarnation)
        self._take_lists(worker, seen)
        if seen.terminated:
            self._bury(key, "left")
        elif seen.incarnation.draining:
            self._evacuate(worker)

    def _take_life(
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
            )
            self.needs_pass = True
        self.incarnation_by_agent[agent] = incarnation.key
        worker.agent, worker.incarnation = agent, incarnation
        worker.heard_s = self._clock.monotonic()

    def _take_lists(
        self, worker: fleet.TrackedWorker, seen: runs.Observation
    ) -> None:
        # Ends go first: a run that has ended is refused and sealed, too.
        for end in sorted(seen.ended, key=lambda end: end.number):
            if end.number > worker.processed:
                worker.processed = end.number
                self._on_end(worker, end)
        self._take_running(worker, seen)
        for refused in seen.refused:
            self._take_refusal(worker, refused)
        ended = {end.key for end in seen.ended}
        for sealed in seen.stop_confirmed:
            if sealed not in ended and sealed not in worker.listed:
                self._resolve(worker, sealed, "stopped before it ran")
        worker.advance_seen()

    def _take_refusal(
        self, worker: fleet.TrackedWorker, refused: runs.RunKey
    ) -> None:
        entry = worker.entries_by_key.get(refused)
        if entry is not None:
            worker.health.on_refused(self._clock.monotonic())
            step = advice_lib.StepName(
                entry.name.job, entry.name.occurrence, entry.name.step
            )
            self.advice.drop_ticket(step, worker.key)
        self._resolve(worker, refused, "refused")

    def _evacuate(self, worker: fleet.TrackedWorker) -> None:
        """Stops what saves its work, so that it goes on elsewhere.

        What doesn't save may still end by itself before the worker leaves.
        """
        for entry in worker.entries_by_key.values():
            if entry.step.checkpointing and entry.is_current and not entry.stop:
                entry.stop = True
                self._log(
                    "run moved",
                    job=entry.tracked.id,
                    task=str(entry.name),
                    run=entry.run,
                    worker=worker.key.worker,
                    leaves_in_s=worker.incarnation
                    and worker.incarnation.leaves_in_s,
                )

    def _bury_earlier_lives(
        self, agent: types.Address, key: runs.IncarnationKey
    ) -> None:
        """Ends the lives that a new one on the same machine has replaced."""
        for other, worker in list(self.workers_by_incarnation.items()):
            same = other.worker == key.worker or worker.agent == agent
            if same and other.started_ms < key.started_ms:
                self._bury(other, "replaced by a new life")

    def _bury(self, key: runs.IncarnationKey, reason: str) -> None:
        """Ends all runs of a life that is surely over."""
        worker = self.workers_by_incarnation.pop(key, None)
        if worker is None:
            return
        self._log("worker lost", worker=key.worker, reason=reason)
        for run in list(worker.entries_by_key):
            self._resolve(worker, run, reason)
        self.needs_pass = True

    def _take_running(
        self, worker: fleet.TrackedWorker, seen: runs.Observation
    ) -> None:
        strangers: dict[runs.RunKey, model.Resources] = {}
        ended = {end.key for end in seen.ended}
        for row in seen.running:
            entry = worker.entries_by_key.get(row.key)
            if entry is not None:
                entry.note_progress(row.percent, self._clock.monotonic())
                self._take_checkpoint(entry, row.checkpoint)
            elif row.key not in ended:
                strangers[row.key] = self._footprint_of(row.key)
        if strangers.keys() != worker.strangers_by_key.keys():
            self.needs_pass = True
        worker.set_strangers(strangers)
        worker.listed = frozenset(row.key for row in seen.running)

    def _take_checkpoint(self, entry: ledger.RunEntry, value: str) -> None:
        if value and entry.is_current and value != entry.unit.checkpoint:
            entry.unit.checkpoint = value
            entry.tracked.new_checkpoints = True

    def record_checkpoints(self) -> None:
        """Has new checkpoints recorded, so that a loss of all keeps them."""
        now_s = self._clock.monotonic()
        for tracked in self.jobs_by_id.values():
            due = now_s - tracked.changed_s >= CHECKPOINT_RECORD_INTERVAL_S
            if tracked.new_checkpoints and due and not tracked.state.ended:
                self.mark_changed(tracked)

    def _footprint_of(self, key: runs.RunKey) -> model.Resources:
        try:
            name = model.TaskName.parse(key.task)
        except ValueError:
            return model.NOTHING
        tracked = self.jobs_by_id.get(name.job)
        if tracked is None or name.step >= len(tracked.job.steps):
            return model.NOTHING
        return tracked.step_of(name.step).footprint

    # Ends.

    def _on_end(self, worker: fleet.TrackedWorker, end: runs.EndedRun) -> None:
        entry = worker.remove(end.key)
        if entry is None:
            worker.unrecorded.append((end.number, None, 0))
            return
        self.needs_pass = True
        tracked, unit = entry.tracked, entry.unit
        self._log(
            "run ended",
            job=tracked.id,
            task=end.key.task,
            run=end.key.run,
            worker=worker.key.worker,
            cause=end.cause.value,
        )
        if unit.run == entry.run:
            unit.placements[entry.member].over = True
            self._apply_end(worker, entry, end)
            self.mark_changed(tracked)
        worker.unrecorded.append((end.number, tracked, tracked.changes))

    def _apply_end(
        self,
        worker: fleet.TrackedWorker,
        entry: ledger.RunEntry,
        end: runs.EndedRun,
    ) -> None:
        tracked, unit = entry.tracked, entry.unit
        if end.cause is runs.EndCause.DONE:
            worker.health.on_done()
            if not entry.step.long_running:
                unit.status = progress_lib.UnitStatus.DONE
                self._finish_if_done(tracked, entry.name.occurrence)
                return
        if unit.status is progress_lib.UnitStatus.DONE:
            return
        if end.checkpoint:
            unit.checkpoint = end.checkpoint
        if end.cause is runs.EndCause.FAILED:
            if worker.health.on_failed(tracked.id, self._clock.monotonic()):
                self._log(
                    "worker ejected",
                    worker=worker.key.worker,
                    until_s=worker.health.ejected_until_s,
                )
            if unit.counted_run < entry.run:
                unit.counted_run = entry.run
                unit.failures += 1
        unit.status = progress_lib.UnitStatus.ENDING
        self._fail_if_exhausted(tracked, entry)
        self._settle(tracked, unit)

    def _fail_if_exhausted(
        self, tracked: ledger.TrackedJob, entry: ledger.RunEntry
    ) -> None:
        if (
            entry.unit.failures >= tracked.job.queue.max_attempts
            and not entry.step.long_running
            and not tracked.state.ended
        ):
            self._end_job(tracked, progress_lib.JobState.FAILED)

    def _finish_if_done(self, tracked: ledger.TrackedJob, number: int) -> None:
        progress = tracked.progress
        occurrence = progress.occurrences_by_number.get(number)
        if progress.state.ended or occurrence is None or not occurrence.done:
            return
        if tracked.job.occurrences:
            del progress.occurrences_by_number[number]
        progress.finished_occurrences += 1
        if progress.finished_occurrences >= max(1, tracked.job.occurrences):
            self._end_job(tracked, progress_lib.JobState.COMPLETED)

    def _resolve(
        self, worker: fleet.TrackedWorker, key: runs.RunKey, reason: str
    ) -> None:
        """Ends a run that surely isn't at work and never will be."""
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
            reason=reason,
        )
        if unit.run != entry.run or (
            unit.status is progress_lib.UnitStatus.DONE
        ):
            return
        unit.placements[entry.member].over = True
        unit.status = progress_lib.UnitStatus.ENDING
        self._settle(entry.tracked, unit)
        self.mark_changed(entry.tracked)

    def _settle(
        self, tracked: ledger.TrackedJob, unit: progress_lib.Unit
    ) -> None:
        """Lets a unit wait again once no member can be at work."""
        if unit.status is progress_lib.UnitStatus.ENDING and all(
            place.over for place in unit.placements
        ):
            unit.status = progress_lib.UnitStatus.WAITING
            unit.placements = []

    # Time.

    def declare_lost(self) -> None:
        """Gives up the workers whose leases must have run out."""
        now_s = self._clock.monotonic()
        for key, worker in list(self.workers_by_incarnation.items()):
            if now_s - worker.heard_s > self._lost_after_s:
                self._bury(key, "silent past its lease")
                if worker.agent is not None:
                    self.incarnation_by_agent.pop(worker.agent, None)

    def detect_placeable_changes(self) -> None:
        """Asks for a pass when time alone has changed who takes tasks."""
        now_s = self._clock.monotonic()
        placeable = frozenset(
            key
            for key, worker in self.workers_by_incarnation.items()
            if worker.takes_tasks(now_s)
        )
        if placeable != self._placeable:
            self._placeable = placeable
            self.needs_pass = True

    def open_due_occurrences(self, early_s: float) -> None:
        """Opens the occurrences whose time has come."""
        now_ms = self._clock.now().timestamp() * 1000
        for tracked in self.jobs_by_id.values():
            if tracked.state.ended:
                continue
            job, progress = tracked.job, tracked.progress
            while True:
                number = progress.finished_occurrences + len(
                    progress.occurrences_by_number
                )
                if number >= max(1, job.occurrences):
                    break
                due_ms = job.first_due_ms + number * job.interval_ms
                if job.occurrences and now_ms < due_ms - early_s * 1000 / 2:
                    break
                progress.occurrences_by_number[number] = (
                    progress_lib.new_occurrence(job)
                )
                self.needs_pass = True

    # The policy's advice.

    def next_question(self) -> advice_lib.Question | None:
        """Returns the next call to the policy's service, if any."""
        now_s = self._clock.monotonic()
        return self.advice.next_question(
            (
                worker
                for worker in self.workers_by_incarnation.values()
                if worker.takes_tasks(now_s)
            ),
            now_s,
        )

    def on_advice(
        self,
        question: advice_lib.Question,
        answer: advice_lib.Answer,
        asked_s: float,
    ) -> None:
        """Takes the policy's answer to a question of `asked_s`."""
        self.advice.on_answer(question, answer, asked_s)
        self.needs_pass = True

    # Records and orders.

    def on_recorded(self, job: types.JobId, change: int, revision: int) -> None:
        """Notes that the store has a job's record as of a change."""
        tracked = self.jobs_by_id.get(job)
        if tracked is None:
            return
        tracked.recorded = max(tracked.recorded, change)
        tracked.revision = revision
        if tracked.recorded >= tracked.changes:
            self.dirty_by_id.pop(job, None)
