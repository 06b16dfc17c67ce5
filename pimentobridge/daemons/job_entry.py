"""Entry on the platform: takes jobs, and schedules while it holds the key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import result
import trio

from pimentobridge.core import types
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.daemons import keys
from pimentobridge.daemons import leadership as leadership_lib
from pimentobridge.daemons import logs
from pimentobridge.daemons import scheduling
from pimentobridge.daemons import store_mirror
from pimentobridge.platform import kv_store
from pimentobridge.platform import operator_configuration
from pimentobridge.protocol import control

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.jobs import configuration
    from pimentobridge.core.jobs import model
    from pimentobridge.platform import advice as advice_service
    from pimentobridge.platform import boot_settings
    from pimentobridge.protocol import transport

WRITE_RETRY_PAUSE_S = 0.05
RELAY_TIMEOUT_S = 0.6
# Jobs whose writes may still take effect; the oldest are forgotten first.
MAX_UNSETTLED = 10_000
ANNOUNCE_PAUSE_S = 1.0
CONFIGURATION_QUERY_INTERVAL_S = 0.5


class JobEntry:
    """Holds no truth: every accepted job is in the store.

    Args:
        settings: this process's settings.
        endpoint: transport to the agents and the other entries.
        store: the platform's store.
        clock: monotonic time must count suspended time.
        nonce: unique to this process.
        policy: says which workers may run a step; None where there is none.
    """

    def __init__(
        self,
        *,
        settings: boot_settings.ProcessSettings,
        endpoint: transport.Endpoint,
        store: kv_store.KvStore,
        clock: clock_lib.Clock,
        nonce: str,
        policy: advice_service.AdviceService | None = None,
    ) -> None:
        self.settings = settings
        self._endpoint = endpoint
        self._store = store
        self._clock = clock
        self._policy = policy
        self.configuration: configuration.JobConfiguration | None = None
        self._configuration_item: kv_store.Item | None = None
        self.scheduler: scheduling.Scheduler | None = None
        self.draining = False
        self._relays: dict[int, trio.Event] = {}
        self._relayed: dict[int, control.Written] = {}
        self._relay_sequence = 0
        self._unsettled: dict[types.JobId, None] = {}
        self._nursery: trio.Nursery | None = None
        self.mirror = store_mirror.StoreMirror(
            store=store,
            prefix=keys.PREFIX,
            clock=clock,
            on_change=self._on_item,
        )
        self.configuration_mirror = store_mirror.StoreMirror(
            store=store,
            prefix=operator_configuration.KEY,
            clock=clock,
            on_change=self._on_configuration_item,
        )
        self.leadership = leadership_lib.Leadership(
            store=store,
            mirror=self.mirror,
            key=keys.LEADER,
            address=endpoint.address,
            nonce=nonce,
            clock=clock,
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.mirror.run)
            nursery.start_soon(self.configuration_mirror.run)
            nursery.start_soon(self.leadership.run)
            nursery.start_soon(self._announce)
            nursery.start_soon(self._receive)
            nursery.start_soon(self._schedule)
            nursery.start_soon(self._ask_for_configuration)

    @property
    def ready(self) -> bool:
        """Whether new connections of callers are welcome."""
        return (
            not self.draining
            and self.configuration is not None
            and self.mirror.loaded
        )

    @property
    def store_away(self) -> bool:
        """Whether this entry doesn't reach the store."""
        return self._store.away

    def entries(self) -> tuple[types.Address, ...]:
        """Returns the addresses of all announced entries."""
        return tuple(
            sorted(
                keys.address_of(key)
                for key in self.mirror.items_by_key
                if key.startswith(keys.ENTRIES)
            )
        )

    def gauges(self) -> dict[str, float]:
        """Returns what the metrics show of this entry."""
        now_s = self._clock.monotonic()
        version = self.configuration.version if self.configuration else 0
        values: dict[str, float] = {
            "scheduling": float(self.leadership.is_leader),
            "ready": float(self.ready),
            "store_away": float(self._store.away),
            "store_calls_total": self._store.calls,
            "mirror_age_seconds": now_s - self.mirror.heard_s,
            "configuration_version": version,
            "log_lines_left_out_total": logs.left_out(),
        }
        if self.scheduler is not None:
            values |= self.scheduler.gauges()
        return values

    # Callers' requests.

    async def submit(
        self, job: model.Job, deadline_s: float
    ) -> control.Written:
        """Stores a job unless its id is taken; that counts as written too.

        Args:
            job: what to store.
            deadline_s: monotonic time after which the caller is gone.
        """
        return await self._write(
            job.id, progress_lib.encode_job(job), deadline_s
        )

    async def cancel(
        self, job_id: types.JobId, deadline_s: float
    ) -> control.Written:
        """Stores that a job is cancelled."""
        return await self._write(job_id, None, deadline_s)

    async def _write(
        self, job_id: types.JobId, value: bytes | None, deadline_s: float
    ) -> control.Written:
        """Writes directly, or through another entry, until it is settled.

        While neither reaches the store the caller is told so at once, and can
        come back before its own time is up.
        """
        # A write of an earlier attempt may still take effect: no "not written".
        maybe_written = job_id in self._unsettled
        while self._clock.monotonic() < deadline_s:
            for attempt in (self._write_directly, self._relay):
                written = await attempt(job_id, value)
                if written in (control.Written.WRITTEN, control.Written.ABSENT):
                    self._unsettled.pop(job_id, None)
                    return written
                if written is control.Written.UNKNOWN:
                    maybe_written = True
            if self._store.away:
                break
            await trio.sleep(WRITE_RETRY_PAUSE_S)
        if maybe_written:
            self._note_unsettled(job_id)
            return control.Written.UNKNOWN
        return control.Written.NOT_WRITTEN

    def _note_unsettled(self, job_id: types.JobId) -> None:
        self._unsettled[job_id] = None
        if len(self._unsettled) > MAX_UNSETTLED:
            self._unsettled.pop(next(iter(self._unsettled)))

    async def _write_directly(
        self, job_id: types.JobId, value: bytes | None
    ) -> control.Written:
        if value is not None and keys.job(job_id) in self.mirror.items_by_key:
            return control.Written.WRITTEN
        if self._store.away:
            return control.Written.NOT_WRITTEN
        if value is None:
            return await self._cancel_directly(job_id)
        return await self._put_job(job_id, value, kv_store.ABSENT)

    async def _put_job(
        self, job_id: types.JobId, value: bytes, revision: int
    ) -> control.Written:
        """Writes a submission over a revision; a newer one counts as ours."""
        key = keys.job(job_id)
        written = await self._store.transact(
            expected={key: revision}, puts=[kv_store.Put(key, value)]
        )
        if isinstance(written, result.Ok):
            if isinstance(written.ok_value, int):
                self.mirror.offer(kv_store.Item(key, value, written.ok_value))
            return control.Written.WRITTEN
        if written.err_value is kv_store.StoreError.REFUSED:
            return control.Written.NOT_WRITTEN
        return control.Written.UNKNOWN

    async def _cancel_directly(self, job_id: types.JobId) -> control.Written:
        found = await self._store.get(keys.job(job_id))
        if isinstance(found, result.Err):
            return control.Written.NOT_WRITTEN
        item = found.ok_value
        if item is None or item.value is None:
            return control.Written.ABSENT
        job = progress_lib.decode_job(item.value)
        if job.cancelled:
            return control.Written.WRITTEN
        cancelled = msgspec.structs.replace(job, cancelled=True)
        # The only change of a submission is its cancelling, so that a conflict
        # means that somebody else has just cancelled it.
        return await self._put_job(
            job_id, progress_lib.encode_job(cancelled), item.revision
        )

    async def state_of(
        self, job_id: types.JobId, deadline_s: float
    ) -> progress_lib.JobState | control.Written:
        """Returns a job's state, `ABSENT`, or `UNKNOWN`.

        That a job doesn't exist is only said on the store's own word.
        """
        item = self.mirror.items_by_key.get(keys.job(job_id))
        while item is None or item.value is None:
            found = await self._store.get(keys.job(job_id))
            if isinstance(found, result.Ok):
                item = found.ok_value
                if item is None:
                    return control.Written.ABSENT
                break
            if self._clock.monotonic() > deadline_s:
                return control.Written.UNKNOWN
            await trio.sleep(WRITE_RETRY_PAUSE_S)
        if item.value is None:
            return control.Written.ABSENT
        job = progress_lib.decode_job(item.value)
        record = self.mirror.items_by_key.get(keys.progress(job_id))
        state = progress_lib.JobState.QUEUED
        if record is not None and record.value is not None:
            state = progress_lib.decode_progress(record.value).state
        if job.cancelled and not state.ended:
            return progress_lib.JobState.CANCELLED
        return state

    def pending_of(self, queue: str) -> int:
        """Returns how many jobs of a queue haven't started."""
        if self.scheduler is not None and self.leadership.is_leader:
            return self.scheduler.pending_by_queue().get(queue, 0)
        count = 0
        for key, item in self.mirror.items_by_key.items():
            if not key.startswith(keys.JOBS) or item.value is None:
                continue
            job = progress_lib.decode_job(item.value)
            if job.queue.name != queue or job.cancelled:
                continue
            record = self.mirror.items_by_key.get(keys.progress(job.id))
            if record is None or record.value is None:
                count += 1
                continue
            progress = progress_lib.decode_progress(record.value)
            count += progress.state is progress_lib.JobState.QUEUED
        return count

    async def _relay(
        self, job_id: types.JobId, value: bytes | None
    ) -> control.Written:
        """Has another entry make a write."""
        peers = [
            peer for peer in self.entries() if peer != self._endpoint.address
        ]
        if not peers:
            return control.Written.NOT_WRITTEN
        # The scheduler reaches the store, if anybody does.
        holder = self.leadership.holder
        peer = holder if holder in peers else peers[0]
        self._relay_sequence += 1
        sequence = self._relay_sequence
        answered = self._relays[sequence] = trio.Event()
        self._endpoint.send(
            types.Address(peer or peers[0]),
            control.WriteRelay(sequence, job_id, value),
        )
        with trio.move_on_after(RELAY_TIMEOUT_S):
            await answered.wait()
        del self._relays[sequence]
        return self._relayed.pop(sequence, control.Written.UNKNOWN)

    # Messages.

    async def _receive(self) -> None:
        while True:
            envelope = await self._endpoint.receive()
            message = envelope.message
            if isinstance(message, control.WorkerReport):
                self._on_report(message)
            elif isinstance(message, control.WriteRelay):
                self._spawn_relay(envelope.sender, message)
            elif isinstance(message, control.WriteRelayed):
                waiting = self._relays.get(message.sequence)
                if waiting is not None:
                    self._relayed[message.sequence] = message.written
                    waiting.set()
            elif isinstance(message, control.ConfigurationQuery):
                self._on_configuration_query(envelope.sender, message)
            elif isinstance(message, control.ConfigurationCopy):
                self.configuration_mirror.offer(
                    kv_store.Item(
                        operator_configuration.KEY,
                        message.value,
                        message.revision,
                    )
                )
            else:
                logs.event(
                    "unexpected message",
                    type=type(message).__name__,
                    sender=envelope.sender,
                )

    def _on_report(self, report: control.WorkerReport) -> None:
        if self.scheduler is not None:
            self.scheduler.on_report(report)
            return
        # An agent that lost its scheduler asks every entry.
        holder = self.leadership.holder
        if holder is not None and holder != self._endpoint.address:
            self._endpoint.send(holder, report)

    def _spawn_relay(
        self, sender: types.Address, message: control.WriteRelay
    ) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._write_for, sender, message)

    async def _write_for(
        self, sender: types.Address, message: control.WriteRelay
    ) -> None:
        written = await self._write_directly(message.job, message.value)
        self._endpoint.send(
            sender, control.WriteRelayed(message.sequence, written)
        )

    # The store's changes.

    def _on_item(self, item: kv_store.Item) -> None:
        scheduler = self.scheduler
        if scheduler is None:
            return
        if item.key.startswith(keys.JOBS):
            if item.value is None:
                scheduler.engine.forget_job(keys.job_id_of(item.key))
            else:
                scheduler.put_job(progress_lib.decode_job(item.value))
        elif item.key.startswith(keys.AGENTS) and item.value is not None:
            scheduler.know_agent(keys.address_of(item.key))

    def _on_configuration_item(self, item: kv_store.Item) -> None:
        if item.key != operator_configuration.KEY or item.value is None:
            return
        document = operator_configuration.decode(item.value)
        if document is None:
            logs.event("configuration unreadable", revision=item.revision)
            return
        held = self.configuration
        if held is not None and held.version >= document.version:
            return
        self.configuration = document
        self._configuration_item = item
        logs.event(
            "configuration in force",
            version=document.version,
            revision=item.revision,
        )
        if self.scheduler is not None:
            self.scheduler.set_configuration(document)

    async def _ask_for_configuration(self) -> None:
        """Asks the other entries while the store refuses this one."""
        while True:
            await trio.sleep(CONFIGURATION_QUERY_INTERVAL_S)
            if self.configuration_mirror.reachable:
                continue
            item = self._configuration_item
            query = control.ConfigurationQuery(item.revision if item else 0)
            for peer in self.entries():
                if peer != self._endpoint.address:
                    self._endpoint.send(peer, query)

    def _on_configuration_query(
        self, sender: types.Address, query: control.ConfigurationQuery
    ) -> None:
        item = self._configuration_item
        if (
            item is None
            or item.value is None
            or item.revision <= query.revision
        ):
            return
        self._endpoint.send(
            sender, control.ConfigurationCopy(item.revision, item.value)
        )

    async def _announce(self) -> None:
        """Tells the other processes where this entry listens."""
        key = keys.entry(self._endpoint.address)
        while True:
            if self.mirror.loaded and key not in self.mirror.items_by_key:
                await self._store.transact(
                    expected={}, puts=[kv_store.Put(key, b"1")]
                )
            await trio.sleep(ANNOUNCE_PAUSE_S)

    # Scheduling.

    async def _schedule(self) -> None:
        while True:
            token = self.leadership.token
            if token is None:
                await self.leadership.changed.wait()
                continue
            # Seeing the key means having seen all that earlier holders wrote.
            with trio.CancelScope() as term:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._cancel_when_deposed, token, term)
                    await self.mirror.wait_for_revision(token)
                    await self._serve_term()
            self.scheduler = None

    async def _serve_term(self) -> None:
        scheduler = scheduling.Scheduler(
            endpoint=self._endpoint,
            address=self._endpoint.address,
            clock=self._clock,
            store=self._store,
            leadership=self.leadership,
            settings=self.settings,
            entries=self.entries,
            policy=self._policy,
        )
        scheduling.load(scheduler, self.mirror.items_by_key)
        if self.configuration is not None:
            scheduler.set_configuration(self.configuration)
        self.scheduler = scheduler
        await scheduler.run()

    async def _cancel_when_deposed(
        self, token: int, term: trio.CancelScope
    ) -> None:
        while self.leadership.token == token:
            await self.leadership.changed.wait()
        term.cancel()
