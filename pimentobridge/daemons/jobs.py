"""Placement of jobs: a role that one entry holds at a time.

The holder is found by rendezvous hashing over the entries that are alive. Two
holders at once, as in a network partition, are harmless: the agents decide
which of them gets their accelerators.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

import result
import trio

from pimentobridge.core import errors
from pimentobridge.core import fleet
from pimentobridge.core import gang_coordinator
from pimentobridge.core import job as job_lib
from pimentobridge.core import membership
from pimentobridge.core import rendezvous
from pimentobridge.core import scheduler as scheduler_lib
from pimentobridge.core import types
from pimentobridge.daemons import job_records
from pimentobridge.protocol import cluster
from pimentobridge.protocol import gangs
from pimentobridge.protocol import jobs as job_messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import configuration
    from pimentobridge.core import directory as directory_lib
    from pimentobridge.core import guarantee
    from pimentobridge.platform import store as store_lib
    from pimentobridge.protocol import transport

PLACEMENT_ROLE = membership.PLACEMENT_ROLE
PLACEMENT_INTERVAL_S = 0.25
# A new holder places nothing for this long, while the agents report the gangs
# that they anchor.
ADOPTION_WINDOW_S = 2.0
# An entry assumes the role once it has been the holder for this long.
ROLE_DELAY_S = 1.0
# Ended jobs that the holder can still report.
MAX_ENDED_JOBS = 1000


@dataclasses.dataclass
class _Attempt:
    """The latest attempt to run a job's gang.

    Attributes:
        epoch: number of the attempt.
        running: whether the gang has started in this attempt.
        not_before_s: monotonic time before which no other attempt starts.
        conflicts: consecutive attempts that ended in a conflict.
        active: whether the gang may be running or starting.
    """

    epoch: types.Epoch
    running: bool = False
    not_before_s: float = 0.0
    conflicts: int = 0
    active: bool = False


class JobService:
    """Places the fleet's jobs at the holder; elsewhere forwards calls to it."""

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        outbox: transport.Outbox,
        rng: random.Random,
        address: types.Address,
        directory: directory_lib.Directory,
        alive_entries: Callable[[], list[types.Address]],
        store: store_lib.Store,
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._rng = rng
        self._address = address
        self._directory = directory
        self._alive_entries = alive_entries
        self.records = job_records.JobRecords(store)
        self.coordinator = gang_coordinator.GangCoordinator(
            clock=clock, outbox=outbox, rng=rng
        )
        self._configuration: configuration.Document | None = None
        self._scheduler: scheduler_lib.Scheduler | None = None
        self._attempts_by_job: dict[types.JobId, _Attempt] = {}
        self._specs_by_job: dict[types.JobId, job_messages.JobSpec] = {}
        self._ended_by_id: dict[types.JobId, job_messages.JobStatus] = {}
        self._waiters_by_job: dict[
            types.JobId, list[Callable[[job_messages.JobReply], None]]
        ] = {}
        self._holder_since_s = float("inf")
        self._placement_from_s = float("inf")
        self._loading = False
        self._loaded = False
        self._next_tick_s = clock.monotonic()

    @property
    def holder(self) -> types.Address:
        """The entry that places jobs, in this entry's view of the members."""
        owner = rendezvous.owner(PLACEMENT_ROLE, self._alive_entries())
        return owner or self._address

    @property
    def jobs(self) -> Iterable[job_lib.Job]:
        """Jobs that haven't ended, at the holder; elsewhere none."""
        return self._scheduler.jobs_by_id.values() if self._scheduler else ()

    @property
    def units(self) -> list[guarantee.Unit]:
        """Guaranteed units, at the holder; elsewhere none."""
        return self._scheduler.plan.units if self._scheduler else []

    def set_document(self, document: configuration.Document) -> None:
        """Applies a newer configuration and rebuilds the plan."""
        self._configuration = document
        if self._scheduler is not None:
            self._rebuild_scheduler(list(self._scheduler.jobs_by_id.values()))

    def submit(
        self,
        spec: job_messages.JobSpec,
        on_reply: Callable[[job_messages.JobReply], None],
    ) -> None:
        """Submits a job here or to the holder."""
        self._send_or_handle(spec.id, job_messages.JobSubmit(spec), on_reply)

    def cancel(
        self,
        job_id: types.JobId,
        on_reply: Callable[[job_messages.JobReply], None],
    ) -> None:
        """Cancels a job here or at the holder."""
        self._send_or_handle(job_id, job_messages.JobCancel(job_id), on_reply)

    def query(
        self,
        job_id: types.JobId,
        on_reply: Callable[[job_messages.JobReply], None],
    ) -> None:
        """Queries a job here or at the holder."""
        self._send_or_handle(job_id, job_messages.JobQuery(job_id), on_reply)

    def handle(self, message: object, sender: types.Address) -> bool:
        """Handles a message; returns whether it belongs to the service."""
        if self.coordinator.handle(message, sender):
            return True
        return self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: object, sender: types.Address) -> bool:
        return False

    @_handle.register(job_messages.JobSubmit)
    def _on_submit(
        self, message: job_messages.JobSubmit, sender: types.Address
    ) -> bool:
        self._outbox.send(sender, self._submit_here(message.spec))
        return True

    @_handle.register(job_messages.JobCancel)
    def _on_cancel(
        self, message: job_messages.JobCancel, sender: types.Address
    ) -> bool:
        self._outbox.send(sender, self._cancel_here(message.id))
        return True

    @_handle.register(job_messages.JobQuery)
    def _on_query(
        self, message: job_messages.JobQuery, sender: types.Address
    ) -> bool:
        self._outbox.send(sender, self._status_reply(message.id))
        return True

    @_handle.register(job_messages.JobReply)
    def _on_reply(
        self, message: job_messages.JobReply, sender: types.Address
    ) -> bool:
        for waiter in self._waiters_by_job.pop(message.id, []):
            waiter(message)
        return True

    @_handle.register(gangs.AnchorReport)
    def _on_anchor_report(
        self, message: gangs.AnchorReport, sender: types.Address
    ) -> bool:
        attempt = self._attempts_by_job.get(types.JobId(message.gang))
        is_current = attempt is not None and attempt.epoch >= message.epoch
        if is_current and attempt is not None and attempt.active:
            return True
        self._attempts_by_job[types.JobId(message.gang)] = _Attempt(
            message.epoch, active=True
        )
        self.coordinator.adopt(message, self._on_gang_report)
        self._place_reported_gang(message)
        return True

    def on_member(self, member: cluster.Member) -> None:
        """Processes a worker that has joined, returned or died."""
        if self._scheduler is None or not member.accelerators:
            return
        worker = types.WorkerId(member.address)
        if member.state is types.NodeState.DEAD:
            self._scheduler.on_worker_lost(worker)
        elif self._scheduler.has_worker(worker):
            self._scheduler.on_worker_found(worker)
        else:
            self._scheduler.add_worker(self._worker_of(member))

    def on_timer(self) -> None:
        """Assumes or gives up the role, and starts jobs that can be placed."""
        now_s = self._clock.monotonic()
        if self.coordinator.next_wakeup_s() <= now_s:
            self.coordinator.on_timer()
        if now_s < self._next_tick_s:
            return
        self._next_tick_s = now_s + PLACEMENT_INTERVAL_S
        if self.holder != self._address:
            self._holder_since_s = float("inf")
            if self._scheduler is not None:
                self._give_up_role()
        elif self._configuration is not None:
            self._holder_since_s = min(self._holder_since_s, now_s)
            if self._scheduler is None:
                if now_s - self._holder_since_s >= ROLE_DELAY_S:
                    self._assume_role(now_s)
            elif now_s >= self._placement_from_s and self._loaded:
                self._start_placeable_jobs()

    def next_wakeup_s(self) -> float:
        """Returns when `on_timer` is due, in seconds of the clock."""
        return min(self._next_tick_s, self.coordinator.next_wakeup_s())

    async def run(
        self, call_soon: Callable[[Callable[[], None]], None]
    ) -> None:
        """Loads and writes job records until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.records.run)
            while True:
                await trio.sleep(PLACEMENT_INTERVAL_S)
                if self._scheduler is None or self._loaded or self._loading:
                    continue
                self._loading = True
                records = await self.records.load()
                self._loading = False
                if records is not None:
                    call_soon(
                        functools.partial(self._on_records_loaded, records)
                    )

    def _send_or_handle(
        self,
        job_id: types.JobId,
        message: (
            job_messages.JobSubmit
            | job_messages.JobCancel
            | job_messages.JobQuery
        ),
        on_reply: Callable[[job_messages.JobReply], None],
    ) -> None:
        self._waiters_by_job.setdefault(job_id, []).append(on_reply)
        if self.holder != self._address:
            self._outbox.send(self.holder, message)
        elif isinstance(message, job_messages.JobSubmit):
            self._on_reply(self._submit_here(message.spec), self._address)
        elif isinstance(message, job_messages.JobCancel):
            self._on_reply(self._cancel_here(job_id), self._address)
        else:
            self._on_reply(self._status_reply(job_id), self._address)

    def _submit_here(self, spec: job_messages.JobSpec) -> job_messages.JobReply:
        known_job = (
            spec.id in self._specs_by_job or spec.id in self._ended_by_id
        )
        if known_job:
            return self._status_reply(spec.id)
        if self._scheduler is None:
            return _problem_reply(
                spec.id,
                errors.ErrorKind.NOT_RUN,
                "this entry doesn't place jobs yet.",
                "Repeat the request in a few seconds.",
            )
        submitted = self._scheduler.submit(self._job_of(spec))
        if isinstance(submitted, result.Err):
            return job_messages.JobReply(spec.id, None, submitted.err_value)
        self._specs_by_job[spec.id] = spec
        self.records.put(job_records.Record(spec, types.Epoch(0)))
        return self._status_reply(spec.id)

    def _cancel_here(self, job_id: types.JobId) -> job_messages.JobReply:
        scheduler = self._scheduler
        job = scheduler.jobs_by_id.get(job_id) if scheduler else None
        if scheduler is not None and job is not None:
            self.coordinator.stop(
                types.GangId(job_id), gangs.EndReason.CANCELLED
            )
            scheduler.cancel(job)
            self._record_end(job_id, job_lib.JobState.CANCELLED)
        return self._status_reply(job_id)

    def _status_reply(self, job_id: types.JobId) -> job_messages.JobReply:
        ended = self._ended_by_id.get(job_id)
        if ended is not None:
            return job_messages.JobReply(job_id, ended, None)
        scheduler = self._scheduler
        job = scheduler.jobs_by_id.get(job_id) if scheduler else None
        if job is None:
            return _problem_reply(
                job_id,
                errors.ErrorKind.INVALID_REQUEST,
                f"received job id {job_id!r}, which isn't known here.",
                "Check the id; ended jobs are remembered for a while only.",
            )
        attempt = self._attempts_by_job.get(job_id)
        status = job_messages.JobStatus(
            job_id,
            job.state.value,
            self.records.is_durable(job_id),
            attempt.epoch if attempt else types.Epoch(0),
        )
        return job_messages.JobReply(job_id, status, None)

    def _assume_role(self, now_s: float) -> None:
        """Starts to rebuild the state from agents' reports and records."""
        self._loaded = False
        self._placement_from_s = now_s + ADOPTION_WINDOW_S
        self._rebuild_scheduler([])
        for member in self._directory.members:
            if member.accelerators:
                self._outbox.send(member.address, gangs.Adopt())

    def _give_up_role(self) -> None:
        self._scheduler = None
        self._attempts_by_job.clear()
        self._specs_by_job.clear()
        self.coordinator.abandon()

    def _on_records_loaded(self, records: Iterable[job_records.Record]) -> None:
        if self._scheduler is None:
            return
        for record in records:
            job_id = record.spec.id
            if job_id in self._specs_by_job or job_id in self._ended_by_id:
                continue
            self._specs_by_job[job_id] = record.spec
            attempt = self._attempts_by_job.setdefault(
                job_id, _Attempt(record.epoch)
            )
            attempt.epoch = max(attempt.epoch, record.epoch)
            if job_id not in self._scheduler.jobs_by_id:
                self._scheduler.submit(self._job_of(record.spec))
        self._loaded = True

    def _rebuild_scheduler(self, jobs: list[job_lib.Job]) -> None:
        if self._configuration is None:
            return
        members = [
            member
            for member in self._directory.members
            if member.accelerators and member.state is types.NodeState.ACTIVE
        ]
        self._scheduler = scheduler_lib.Scheduler(
            clock=self._clock,
            rng=self._rng,
            workers=[self._worker_of(member) for member in members],
            accounts=self._configuration.client_accounts,
            may_start=self._may_start,
        )
        for job in jobs:
            self._scheduler.restore(job)

    def _worker_of(self, member: cluster.Member) -> fleet.Worker:
        group = self._directory.group_of(member.address)
        return fleet.Worker(
            types.WorkerId(member.address),
            group.data_centre if group else types.DataCentreName(""),
            types.RackName(group.name if group else ""),
            member.accelerators,
            0,
            0,
        )

    def _job_of(self, spec: job_messages.JobSpec) -> job_lib.Job:
        return job_lib.Job(
            id=spec.id,
            account=spec.account,
            team=spec.team,
            shape=spec.shape,
            submitted_s=self._clock.monotonic(),
            guaranteed=spec.guaranteed,
            urgency=spec.urgency,
            declared_run_s=spec.run_s,
        )

    def _may_start(self, job: job_lib.Job) -> bool:
        """Returns whether a job may be started again.

        No earlier attempt may still be running, and the backoff after a
        conflict must have passed.
        """
        attempt = self._attempts_by_job.get(job.id)
        if attempt is None:
            return True
        in_backoff = self._clock.monotonic() < attempt.not_before_s
        return not attempt.active and not in_backoff

    def _start_placeable_jobs(self) -> None:
        if self._scheduler is None:
            return
        self._probe_quarantined(self._scheduler)
        for start in self._scheduler.schedule():
            for victim in start.victims:
                self.coordinator.stop(
                    types.GangId(victim.id), gangs.EndReason.RECLAIMED
                )
            self._start_attempt(start.job)

    def _probe_quarantined(self, scheduler: scheduler_lib.Scheduler) -> None:
        """Readmits workers that are alive and whose quarantine has ended."""
        due_workers = scheduler.quarantine.due_probes()
        if due_workers:
            live_workers = {
                types.WorkerId(member.address)
                for member in self._directory.members
            }
            scheduler.readmit_workers(
                worker for worker in due_workers if worker in live_workers
            )

    def _start_attempt(self, job: job_lib.Job) -> None:
        attempt = self._attempts_by_job.setdefault(
            job.id, _Attempt(types.Epoch(0))
        )
        attempt.epoch = types.Epoch(attempt.epoch + 1)
        attempt.active = True
        self.coordinator.start(
            types.GangId(job.id),
            attempt.epoch,
            shares_of(job),
            self._on_gang_report,
            guaranteed=job.guaranteed,
        )

    def _on_gang_report(self, report: gang_coordinator.Report) -> None:
        job_id = types.JobId(report.gang)
        attempt = self._attempts_by_job.get(job_id)
        scheduler = self._scheduler
        if attempt is None or scheduler is None:
            return
        if report.event is gang_coordinator.GangEvent.STARTED:
            self._on_gang_started(job_id, attempt)
            return
        attempt.active = False
        job = scheduler.jobs_by_id.get(job_id)
        if job is None:
            return
        if report.event is gang_coordinator.GangEvent.CONFLICT:
            attempt.conflicts += 1
            wait_s = self.coordinator.backoff_s(attempt.conflicts)
            attempt.not_before_s = self._clock.monotonic() + wait_s
            scheduler.on_conflict(job)
            return
        self._on_gang_ended(job, report.reason)

    def _on_gang_started(self, job_id: types.JobId, attempt: _Attempt) -> None:
        attempt.running = True
        attempt.conflicts = 0
        scheduler = self._scheduler
        job = scheduler.jobs_by_id.get(job_id) if scheduler else None
        if scheduler is not None and job is not None and job.cells:
            scheduler.on_started(job)
        spec = self._specs_by_job.get(job_id)
        if spec is not None:
            self.records.put(job_records.Record(spec, attempt.epoch))

    def _on_gang_ended(self, job: job_lib.Job, reason: gangs.EndReason) -> None:
        scheduler = self._scheduler
        if scheduler is None:
            return
        if reason is gangs.EndReason.FINISHED:
            scheduler.on_finished(job)
            self._record_end(job.id, job_lib.JobState.FINISHED)
        elif reason is gangs.EndReason.TASK_FAILED and job.cells:
            scheduler.on_failed(job, job.cells[0].worker)
            if job.state is job_lib.JobState.FAILED:
                self._record_end(job.id, job_lib.JobState.FAILED)
        elif job.cells:
            scheduler.on_conflict(job)

    def _place_reported_gang(self, report: gangs.AnchorReport) -> None:
        scheduler = self._scheduler
        job_id = types.JobId(report.gang)
        job = scheduler.jobs_by_id.get(job_id) if scheduler else None
        if scheduler is not None and job is not None and not job.cells:
            scheduler.occupy_as_reported(job, report.shares)

    def _record_end(self, job_id: types.JobId, state: job_lib.JobState) -> None:
        self._specs_by_job.pop(job_id, None)
        self.records.remove(job_id)
        self._ended_by_id[job_id] = job_messages.JobStatus(
            job_id, state.value, True
        )
        if len(self._ended_by_id) > MAX_ENDED_JOBS:
            del self._ended_by_id[next(iter(self._ended_by_id))]


def shares_of(job: job_lib.Job) -> list[gangs.Share]:
    """Returns the accelerator blocks that a job uses on each worker."""
    blocks_by_agent: dict[types.Address, list[gangs.Block]] = {}
    for cell in job.cells:
        blocks = blocks_by_agent.setdefault(types.Address(cell.worker), [])
        blocks.append(gangs.Block(cell.start, cell.size))
    return [
        gangs.Share(agent, blocks) for agent, blocks in blocks_by_agent.items()
    ]


def _problem_reply(
    job_id: types.JobId, kind: errors.ErrorKind, detail: str, remedy: str
) -> job_messages.JobReply:
    problem = errors.Problem(kind, detail, remedy)
    return job_messages.JobReply(job_id, None, problem)
