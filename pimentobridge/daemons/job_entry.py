"""Entry on the platform: accepts jobs, and schedules while it is the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pimentobridge.core import decoding
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import record_size
from pimentobridge.daemons import configuration_follower
from pimentobridge.daemons import containment
from pimentobridge.daemons import evacuation_watch
from pimentobridge.daemons import fleet_record
from pimentobridge.daemons import handover
from pimentobridge.daemons import job_states
from pimentobridge.daemons import job_writer
from pimentobridge.daemons import keys
from pimentobridge.daemons import leadership as leadership_lib
from pimentobridge.daemons import logs
from pimentobridge.daemons import mirror_sharing
from pimentobridge.daemons import scheduling
from pimentobridge.daemons import store_mirror
from pimentobridge.daemons import stored_jobs
from pimentobridge.daemons import unreadable
from pimentobridge.daemons import write_relay
from pimentobridge.platform import kv_store
from pimentobridge.platform import operator_configuration
from pimentobridge.platform import operator_requests
from pimentobridge.protocol import control
from pimentobridge.protocol import documents

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.core.jobs import configuration
    from pimentobridge.platform import advice as advice_service
    from pimentobridge.platform import boot_settings
    from pimentobridge.protocol import transport

ANNOUNCE_INTERVAL_S = 1.0


class JobEntry:
    """Handles callers' requests, and runs the scheduler while it is the leader.

    A job is accepted only once it is in the store, so no job is lost with an
    entry.

    Args:
        settings: this process's settings.
        endpoint: transport to the agents and the other entries.
        store: the platform's store.
        clock: source of time; its monotonic time must include time in which
            the machine was suspended.
        nonce: unique to this process.
        policy_service: decides which workers may run a step; None if the
            settings name none.
    """

    def __init__(
        self,
        *,
        settings: boot_settings.ProcessSettings,
        endpoint: transport.Endpoint,
        store: kv_store.KvStore,
        clock: clock_lib.Clock,
        nonce: str,
        policy_service: advice_service.AdviceService | None = None,
    ) -> None:
        self.settings = settings
        self._endpoint = endpoint
        self._store = store
        self._clock = clock
        self._policy_service = policy_service
        self.configuration: configuration.JobConfiguration | None = None
        self._configured = trio.Event()
        self._created_s = clock.monotonic()
        self.scheduler: scheduling.Scheduler | None = None
        self.draining = False
        self.stored_jobs = stored_jobs.StoredJobs(
            clock, max_value_bytes=settings.max_value_bytes
        )
        self.mirror = store_mirror.StoreMirror(
            store=store,
            prefix=keys.PREFIX,
            clock=clock,
            on_change=self._handle_item,
        )
        self.evacuations = evacuation_watch.EvacuationWatch(
            store=store, clock=clock, on_change=self._apply_evacuations
        )
        self._follower = configuration_follower.ConfigurationFollower(
            settings=settings,
            endpoint=endpoint,
            store=store,
            clock=clock,
            items_by_key=lambda: self.mirror.items_by_key,
            on_version=self._on_configuration_item,
        )
        self.sharing = mirror_sharing.MirrorSharing(
            mirrors={
                keys.PREFIX: self.mirror,
                operator_requests.EVACUATE: self.evacuations.mirror,
            },
            whole=frozenset({operator_requests.EVACUATE}),
            endpoint=endpoint,
            peers=self._peers,
            clock=clock,
        )
        self._handover = handover.Handover(
            endpoint=endpoint, store=store, peers=self._relay_peers
        )
        self.leadership = leadership_lib.Leadership(
            store=store,
            mirror=self.mirror,
            key=keys.LEADER,
            address=endpoint.address,
            nonce=nonce,
            clock=clock,
            deputies=self._handover,
        )
        self._relay = write_relay.Relay(
            endpoint=endpoint, peers=self._relay_peers
        )
        self._states = job_states.JobStates(
            store=store, mirror=self.mirror, clock=clock
        )
        self._writer = job_writer.JobWriter(
            store=store,
            mirror=self.mirror,
            relay=self._relay,
            stored_jobs=self.stored_jobs,
            clock=clock,
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.mirror.run)
            nursery.start_soon(self.evacuations.run)
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self.leadership.run)
            nursery.start_soon(self._announce)
            nursery.start_soon(self._receive_messages, nursery)
            nursery.start_soon(self._run_terms)
            nursery.start_soon(self.sharing.run)

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers' connections here."""
        return (
            not self.draining
            and self.configuration is not None
            and self.mirror.loaded
            and not self.sharing.isolated
        )

    @property
    def store_unreachable(self) -> bool:
        """Whether this entry can't reach the store at the moment."""
        return self._store.unavailable

    @property
    def mirror_age_s(self) -> float:
        """Seconds since the store last answered a read or watch."""
        return self._clock.monotonic() - self.mirror.synchronised_s

    def entries(self) -> tuple[types.Address, ...]:
        """Returns the addresses of all announced entries."""
        return tuple(
            sorted(keys.addresses_in(self.mirror.items_by_key, keys.ENTRIES))
        )

    def _peers(self) -> list[types.Address]:
        """Returns the addresses of the other announced entries."""
        own = self._endpoint.address
        return [peer for peer in self.entries() if peer != own]

    def _relay_peers(self) -> list[types.Address]:
        """Returns the entries to relay writes to, the likeliest first.

        That is the one that has just supplied items of the store, and then the
        scheduler, as it renews a lease there.
        """
        preferred = (self.sharing.working_source, self.leadership.holder)
        away = self.sharing.away_peers()
        peers = [peer for peer in self._peers() if peer not in away]
        peers.sort(key=lambda peer: peer not in preferred)
        peers.sort(key=lambda peer: peer != preferred[0])
        return peers

    def gauges(self) -> dict[str, float]:
        """Returns this entry's gauges by metric name."""
        version = self.configuration.version if self.configuration else 0
        values: dict[str, float] = {
            "scheduling": float(self.leadership.is_leader),
            "ready": float(self.ready),
            "store_away": float(self._store.unavailable),
            "store_calls_total": self._store.calls,
            "mirror_age_seconds": self.mirror_age_s,
            "configuration_version": version,
            "stored_tasks": self.stored_jobs.tasks,
            "tombstones": len(self.stored_jobs.seen_s_by_tombstone),
            "log_lines_left_out_total": logs.dropped_lines(),
        }
        if self.scheduler is not None:
            values |= self.scheduler.gauges()
        return values

    # Requests of callers.

    async def first_configuration(
        self, wait_s: float
    ) -> configuration.JobConfiguration | None:
        """Returns the configuration; an entry that has just started waits.

        Args:
            wait_s: time from this entry's start after which it no longer
                waits, in seconds.
        """
        age_s = self._clock.monotonic() - self._created_s
        with trio.move_on_after(max(0.0, wait_s - age_s)):
            await self._configured.wait()
        return self.configuration

    async def submit(
        self, job: model.Job, deadline_s: float
    ) -> control.WriteOutcome:
        """Stores a job; one whose id exists counts as written too.

        Args:
            job: the job to store.
            deadline_s: monotonic time by which the caller needs an answer.
        """
        return await self._writer.write(
            job.id, progress_lib.encode_job(job), deadline_s
        )

    def may_be_accepted(self, job_id: types.JobId) -> bool:
        """Returns whether an earlier request may have submitted a job."""
        return self._writer.may_be_written(job_id)

    def size_problem(self, job: model.Job) -> str:
        """Returns why a job could never run, by its size, or no text."""
        if keys.job(job.id) in self.mirror.items_by_key:
            # An earlier call was accepted.
            return ""
        return record_size.problem_in(
            job, self.settings.max_value_bytes
        ) or self._capacity_problem(job)

    def _capacity_problem(self, job: model.Job) -> str:
        """Returns why no fleet known so far could run a job, or no text."""
        if self.configuration is None:
            return ""
        service = self.configuration.services_by_name.get(job.queue.service)
        if service is None or service.standby:
            # Machines that are off may be started for it.
            return ""
        largest = fleet_record.read(self.mirror.items_by_key)
        return largest.problem_in(job) if largest is not None else ""

    async def cancel(
        self, job_id: types.JobId, deadline_s: float
    ) -> control.WriteOutcome:
        """Marks a job as cancelled in the store."""
        return await self._writer.write(job_id, None, deadline_s)

    async def state_of(
        self, job_id: types.JobId, deadline_s: float
    ) -> progress_lib.JobState | control.WriteOutcome:
        """Returns a job's state, `ABSENT` or `UNKNOWN`."""
        return await self._states.state_of(job_id, deadline_s)

    def pending_of(self, queue: str) -> int:
        """Returns the number of jobs in a queue that haven't started."""
        if self.scheduler is not None and self.leadership.is_leader:
            return self.scheduler.pending_by_queue().get(queue, 0)
        return self._states.pending_of(queue)

    # Messages from agents and other entries.

    async def _receive_messages(self, nursery: trio.Nursery) -> None:
        while True:
            envelope = await self._endpoint.receive()
            with containment.contained(
                "handling a message",
                type=type(envelope.message).__name__,
                sender=envelope.sender,
            ):
                self._handle(envelope, nursery)

    def _handle(
        self, envelope: transport.Envelope, nursery: trio.Nursery
    ) -> None:
        message = envelope.message
        if isinstance(message, control.WorkerReport):
            self._on_report(message)
        elif isinstance(message, control.WriteRelay):
            self._spawn(nursery, self._serve_relay, envelope.sender, message)
        elif isinstance(message, control.WriteRelayed):
            self._relay.on_outcome(message)
        elif isinstance(message, control.StoreProbe):
            self._spawn(nursery, self._handover.on_probe, envelope.sender)
        elif isinstance(message, control.StoreProbed):
            self._handover.on_probed(envelope.sender)
        elif isinstance(message, control.LeaseRelease):
            self._spawn(nursery, self._store.revoke_lease, message.lease)
        elif isinstance(message, control.MirrorQuery):
            self.sharing.on_query(envelope.sender, message)
        elif isinstance(message, control.MirrorCopy):
            self.sharing.on_copy(envelope.sender, message)
        elif isinstance(message, documents.DocumentQuery):
            self._follower.server.on_query(envelope.sender, message)
        elif isinstance(message, documents.DocumentPart):
            self._follower.client.on_part(envelope.sender, message)
        else:
            logs.event(
                "unexpected message",
                type=type(message).__name__,
                sender=envelope.sender,
            )

    def _spawn(
        self,
        nursery: trio.Nursery,
        handler: Callable[..., Awaitable[object]],
        *args: object,
    ) -> None:
        """Answers a message in the background."""
        nursery.start_soon(
            containment.run_contained, "answering a message", handler, *args
        )

    def _on_report(self, report: control.WorkerReport) -> None:
        if self.scheduler is not None:
            self.scheduler.on_report(report)
            return
        # An agent whose scheduler is silent sends its report to every entry. An
        # entry that isn't the leader forwards it.
        holder = self.leadership.holder
        if holder is not None and holder != self._endpoint.address:
            self._endpoint.send(holder, report)

    async def _serve_relay(
        self, sender: types.Address, message: control.WriteRelay
    ) -> None:
        outcome = await self._writer.write_directly(message.job, message.value)
        self._endpoint.send(
            sender, control.WriteRelayed(message.sequence, outcome)
        )

    # Changes in the store.

    def _handle_item(self, item: kv_store.Item) -> None:
        """Handles a changed item, which every entry and each term may meet."""
        with containment.contained("handling a change", key=item.key):
            self.stored_jobs.on_item(item)
            self._on_item(item)

    def _on_item(self, item: kv_store.Item) -> None:
        scheduler = self.scheduler
        if scheduler is None:
            return
        if item.key.startswith(keys.JOBS):
            if item.value is None:
                scheduler.engine.forget_job(keys.job_id_of(item.key))
            else:
                scheduling.load_job(scheduler, item, self.mirror.items_by_key)
        elif item.key.startswith(keys.AGENTS) and item.value is not None:
            scheduler.add_agent_of(item.key)

    def _on_configuration_item(self, item: kv_store.Item) -> None:
        if item.value is None:
            return
        try:
            document = operator_configuration.decode(item.value)
        except decoding.MalformedError as error:
            unreadable.log_skipped(item.key, error)
            return
        current = self.configuration
        if current is not None and current.version >= document.version:
            return
        self.configuration = document
        self._configured.set()
        logs.event(
            "configuration in force",
            version=document.version,
            revision=item.revision,
        )
        if self.scheduler is not None:
            self.scheduler.set_configuration(document)

    def _apply_evacuations(self) -> None:
        if self.scheduler is not None:
            self.scheduler.set_evacuations(
                self.evacuations.revision_by_data_centre
            )

    async def _announce(self) -> None:
        """Keeps this entry's address in the store, for the other processes."""
        key = keys.entry(self._endpoint.address)
        while True:
            if self.mirror.loaded and key not in self.mirror.items_by_key:
                await self._store.transact(
                    expected={}, puts=[kv_store.Put(key, b"1")]
                )
            await trio.sleep(ANNOUNCE_INTERVAL_S)

    # Scheduling.

    async def _run_terms(self) -> None:
        while True:
            token = self.leadership.token
            if token is None:
                await self.leadership.changed.wait()
                continue
            # The token is the revision at which this entry acquired the key. A
            # mirror at that revision has all writes of earlier schedulers.
            with trio.CancelScope() as term:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._cancel_when_term_ends, token, term)
                    await self.mirror.wait_for_revision(token)
                    # Without them, a start could violate an evacuation.
                    await self.evacuations.wait_until_read()
                    with containment.contained("scheduling", token=token):
                        await self._run_term()
                    # Only an error ends the scheduler before its term.
                    await self._give_up_term()
            self.scheduler = None

    async def _give_up_term(self) -> None:
        """Leaves the scheduling to another entry after an unexpected error."""
        self.scheduler = None
        # The end of the term cancels this task; the key is released first.
        with trio.CancelScope(shield=True):
            await self.leadership.resign()

    async def _run_term(self) -> None:
        scheduler = scheduling.Scheduler(
            endpoint=self._endpoint,
            address=self._endpoint.address,
            clock=self._clock,
            store=self._store,
            leadership=self.leadership,
            settings=self.settings,
            entries=self.entries,
            items_by_key=self.mirror.items_by_key,
            policy_service=self._policy_service,
            stored_jobs=self.stored_jobs,
        )
        scheduling.load_snapshot(scheduler, self.mirror.items_by_key)
        if self.configuration is not None:
            scheduler.set_configuration(self.configuration)
        self.scheduler = scheduler
        self._apply_evacuations()
        await scheduler.run()

    async def _cancel_when_term_ends(
        self, token: int, term: trio.CancelScope
    ) -> None:
        while self.leadership.token == token:
            await self.leadership.changed.wait()
        term.cancel()
