"""Execution records and slots of one backend server, managed by its agent.

The agent is the only process that starts work on its machine. Whatever state it
has reported for a request - accepted, not run, finished - remains true for the
agent's incarnation.
"""

from __future__ import annotations

import dataclasses
import functools
import math
from typing import TYPE_CHECKING

from pimentobridge.core import fairness
from pimentobridge.core import transfer
from pimentobridge.core import types
from pimentobridge.protocol import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Hashable
    from collections.abc import Mapping

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import request as request_lib
    from pimentobridge.protocol import transport

ANSWER_RETENTION_S = 60.0
RUN_ONCE_RETENTION_S = 300.0
TOMBSTONE_RETENTION_S = 120.0
ANSWER_GONE_STATUS = 410
# Time constant of the exponential decay of the measured urgent load.
URGENT_LOAD_DECAY_S = 5.0


@dataclasses.dataclass
class Record:
    """Execution record of one request. Times are seconds of the agent's clock.

    Attributes:
        listeners: entries that have not acknowledged the answer yet.
    """

    request: request_lib.Request
    state: types.ExecutionState
    accepted_s: float
    listeners: set[types.Address]
    started_s: float = 0.0
    finished_s: float = 0.0
    status: int = 0
    body: bytes = b""
    digest: bytes = b""


class UrgentReserve:
    """Number of slots reserved for urgent work.

    The size follows the measured load of urgent work: its mean number of busy
    slots plus two standard deviations of a Poisson arrival process. It is at
    least 1, unless `max_size` is 0.

    Args:
        slots: slots of the backend server.
        max_size: upper limit of the reserve.
    """

    def __init__(self, *, slots: int, max_size: int) -> None:
        self._slots = slots
        self._max_size = max_size
        self._load = 0.0
        self._updated_s = 0.0
        self._has_samples = False

    def on_finished(self, run_s: float, now_s: float) -> None:
        """Records an urgent run of `run_s` seconds."""
        self._decay(now_s)
        self._load += run_s / URGENT_LOAD_DECAY_S
        self._has_samples = True

    def size(self, now_s: float) -> int:
        """Returns the number of slots to reserve."""
        self._decay(now_s)
        if not self._has_samples:
            return min(1, self._max_size)
        target = math.ceil(self._load + 2 * math.sqrt(self._load))
        return max(min(target, self._max_size), min(1, self._max_size))

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        self._load *= math.exp(-elapsed_s / URGENT_LOAD_DECAY_S)
        self._updated_s = now_s


class Executor:
    """State machine of one backend server's slots and execution records.

    Args:
        incarnation: incarnation number of the agent; grows with each restart.
        slots: maximum number of concurrent requests.
        clock: source of time.
        outbox: sends messages to entries.
        start_work: starts the backend server's work on a record.
        cancel_work: cancels that work.
        weight_of: fair-queueing weight of a client account.
        first_come: whether to use one queue for all classes, without floors and
            without a reserve for urgent work.
    """

    def __init__(
        self,
        *,
        incarnation: types.Incarnation,
        slots: int,
        clock: clock_lib.Clock,
        outbox: transport.Outbox,
        start_work: Callable[[Record], None],
        cancel_work: Callable[[Record], None],
        weight_of: Callable[[Hashable], float] = lambda account: 1.0,
        first_come: bool = False,
    ) -> None:
        self._incarnation = incarnation
        self._slots = slots
        self._clock = clock
        self._outbox = outbox
        self._start_work = start_work
        self._cancel_work = cancel_work
        self._weight_of = weight_of
        self._first_come = first_come
        self._records_by_id: dict[types.RequestId, Record] = {}
        self._tombstones_by_id: dict[types.RequestId, tuple[int, float]] = {}
        self._running_by_class: dict[types.ClassName, int] = {}
        self._queues_by_class: dict[
            types.ClassName, fairness.FlowQueue[types.RequestId]
        ] = {}
        self._running = 0
        self._queued = 0
        self.draining = False
        self.set_classes({})

    def set_classes(
        self, classes_by_name: Mapping[types.ClassName, request_lib.WorkClass]
    ) -> None:
        """Applies the classes of a newer configuration."""
        self._classes_by_name = dict(classes_by_name)
        self._ordered_classes = sorted(
            self._classes_by_name.values(), key=lambda c: c.urgency.rank
        )
        floor_slots = sum(
            math.ceil(c.floor * self._slots)
            for c in self._ordered_classes
            if c.urgency is not types.Urgency.URGENT
        )
        self._reserve = UrgentReserve(
            slots=self._slots,
            max_size=max(0, self._slots - max(floor_slots, 1)),
        )

    @property
    def load(self) -> messages.Load:
        """Free slots and queued requests, as reported to the entries."""
        return messages.Load(self._slots - self._running, self._queued)

    @property
    def slots(self) -> int:
        """Maximum number of concurrent requests."""
        return self._slots

    @property
    def running(self) -> int:
        """Number of running requests."""
        return self._running

    @property
    def unacknowledged(self) -> int:
        """Number of requests queued, running, or with an unfetched answer."""
        return sum(
            record.state is not types.ExecutionState.FINISHED
            or bool(record.listeners)
            for record in self._records_by_id.values()
        )

    @property
    def record_count(self) -> int:
        """Number of execution records and tombstones."""
        return len(self._records_by_id) + len(self._tombstones_by_id)

    @functools.singledispatchmethod
    def handle(self, message: object, sender: types.Address) -> bool:
        """Handles a message; returns False if it isn't for the executor."""
        return False

    @handle.register(messages.Dispatch)
    def _on_dispatch(
        self, message: messages.Dispatch, sender: types.Address
    ) -> bool:
        request = message.request
        record = self._records_by_id.get(request.id)
        if message.incarnation != self._incarnation:
            reason = messages.NotRunReason.WRONG_INCARNATION
            self._send_not_run(sender, request.id, request.attempt, reason)
        elif record is not None:
            record.listeners.add(sender)
            self._report(record, sender)
        elif request.attempt <= self._tombstoned_attempt(request.id):
            reason = messages.NotRunReason.TOMBSTONED
            self._send_not_run(sender, request.id, request.attempt, reason)
        elif self.draining:
            self._refuse(sender, request, messages.NotRunReason.DRAINING)
        elif request.work_class not in self._classes_by_name:
            self._refuse(sender, request, messages.NotRunReason.FULL)
        else:
            self._accept(request, sender)
        return True

    @handle.register(messages.Withdraw)
    def _on_withdraw(
        self, message: messages.Withdraw, sender: types.Address
    ) -> bool:
        record = self._records_by_id.get(message.id)
        if record is None:
            self._add_tombstone(message.id, message.attempt)
        elif self._may_withdraw(record, sender):
            self._drop_queued(record)
        else:
            self._report(record, sender)
            if message.abort:
                self._abort(record, sender)
            return True
        reason = messages.NotRunReason.WITHDRAWN
        self._send_not_run(sender, message.id, message.attempt, reason)
        return True

    @handle.register(messages.Query)
    def _on_query(self, message: messages.Query, sender: types.Address) -> bool:
        record = self._records_by_id.get(message.id)
        if record is not None:
            record.listeners.add(sender)
            self._report(record, sender)
            return True
        tombstoned = message.attempt <= self._tombstoned_attempt(message.id)
        state = (
            types.ExecutionState.TOMBSTONED
            if tombstoned
            else types.ExecutionState.ABSENT
        )
        self._outbox.send(
            sender,
            messages.ExecutionReport(message.id, self._incarnation, state),
        )
        return True

    @handle.register(messages.ChunkRequest)
    def _on_chunk_request(
        self, message: messages.ChunkRequest, sender: types.Address
    ) -> bool:
        record = self._records_by_id.get(message.id)
        if record is not None:
            end = message.offset + min(message.length, transfer.CHUNK_BYTES)
            data = record.body[message.offset : end]
            chunk = messages.Chunk(message.id, message.offset, data)
            self._outbox.send(sender, chunk)
        return True

    @handle.register(messages.AnswerAck)
    def _on_ack(
        self, message: messages.AnswerAck, sender: types.Address
    ) -> bool:
        record = self._records_by_id.get(message.id)
        if record is not None:
            record.listeners.discard(sender)
        return True

    def finish(self, record: Record, status: int, body: bytes) -> None:
        """Records the backend server's complete answer and sends it."""
        if record.state is not types.ExecutionState.RUNNING:
            return
        now_s = self._clock.monotonic()
        record.state = types.ExecutionState.FINISHED
        record.finished_s = now_s
        record.status = status
        record.body = body
        record.digest = transfer.digest_of(body)
        work_class = record.request.work_class
        self._free_slot(record)
        if self._is_urgent(work_class):
            self._reserve.on_finished(now_s - record.started_s, now_s)
        self._start_queued()
        for listener in record.listeners:
            self._report(record, listener)

    def forget_listener(self, entry: types.Address) -> None:
        """Stops keeping answers for an entry that has been lost."""
        for record in self._records_by_id.values():
            record.listeners.discard(entry)

    def start_draining(self) -> None:
        """Refuses new work and returns queued requests to their entries."""
        self.draining = True
        queued = [
            record
            for record in self._records_by_id.values()
            if record.state is types.ExecutionState.QUEUED
        ]
        for record in queued:
            self._drop_queued(record)
            for listener in record.listeners:
                self._send_not_run(
                    listener,
                    record.request.id,
                    record.request.attempt,
                    messages.NotRunReason.DRAINING,
                )

    def evict_expired(self) -> None:
        """Drops records and tombstones past retention, and expired requests."""
        now_s = self._clock.monotonic()
        for record in list(self._records_by_id.values()):
            age_s = now_s - record.accepted_s
            if record.state is types.ExecutionState.FINISHED:
                self._evict_finished(record, now_s)
            elif (
                record.state is types.ExecutionState.QUEUED
                and age_s > record.request.remaining_s
            ):
                self._expire(record)
        for request_id, (_, created_s) in list(self._tombstones_by_id.items()):
            if now_s - created_s > TOMBSTONE_RETENTION_S:
                del self._tombstones_by_id[request_id]

    def _evict_finished(self, record: Record, now_s: float) -> None:
        age_s = now_s - record.finished_s
        run_once = not record.request.idempotent
        if age_s > (RUN_ONCE_RETENTION_S if run_once else ANSWER_RETENTION_S):
            del self._records_by_id[record.request.id]
        elif age_s > ANSWER_RETENTION_S and record.body:
            # Only the answer is dropped. The record still prevents a repeated
            # request from running.
            record.status = ANSWER_GONE_STATUS
            record.body = b""
            record.digest = transfer.digest_of(b"")

    def _accept(
        self, request: request_lib.Request, sender: types.Address
    ) -> None:
        record = Record(
            request=request,
            state=types.ExecutionState.QUEUED,
            accepted_s=self._clock.monotonic(),
            listeners={sender},
        )
        self._records_by_id[request.id] = record
        self._queue_of(request.work_class).push(
            (request.account, request.caller), request.id
        )
        self._queued += 1
        self._start_queued()
        self._report(record, sender)

    def _queue_of(
        self, name: types.ClassName
    ) -> fairness.FlowQueue[types.RequestId]:
        if self._first_come:
            name = types.ClassName("")
        queue = self._queues_by_class.get(name)
        if queue is None:
            queue = fairness.FlowQueue(levels=2, weight_of=self._weight_of)
            self._queues_by_class[name] = queue
        return queue

    def _start_queued(self) -> None:
        while self._running < self._slots and self._queued:
            record = self._next_record()
            if record is None:
                return
            self._start(record)

    def _next_record(self) -> Record | None:
        """Returns the next record to start, or None if none may start now."""
        if self._first_come:
            return self._pop(types.ClassName(""))
        below_floor = (
            c for c in self._ordered_classes if self._is_below_floor(c)
        )
        for work_class in (*below_floor, *self._ordered_classes):
            if not self._may_start(work_class):
                continue
            record = self._pop(work_class.name)
            if record is not None:
                return record
        return None

    def _pop(self, name: types.ClassName) -> Record | None:
        queue = self._queue_of(name)
        while len(queue):
            request_id = queue.pop(lambda _: 1.0)
            record = self._records_by_id.get(request_id)
            if (
                record is not None
                and record.state is types.ExecutionState.QUEUED
            ):
                return record
        return None

    def _is_urgent(self, name: types.ClassName) -> bool:
        work_class = self._classes_by_name.get(name)
        return (
            work_class is not None
            and work_class.urgency is types.Urgency.URGENT
        )

    def _is_below_floor(self, work_class: request_lib.WorkClass) -> bool:
        running = self._running_by_class.get(work_class.name, 0)
        return running < math.ceil(work_class.floor * self._slots)

    def _may_start(self, work_class: request_lib.WorkClass) -> bool:
        if work_class.urgency is types.Urgency.URGENT:
            return True
        urgent_running = sum(
            count
            for name, count in self._running_by_class.items()
            if self._is_urgent(name)
        )
        reserve = self._reserve.size(self._clock.monotonic())
        reserved = max(0, reserve - urgent_running)
        return self._slots - self._running > reserved

    def _start(self, record: Record) -> None:
        name = record.request.work_class
        record.state = types.ExecutionState.RUNNING
        record.started_s = self._clock.monotonic()
        self._queued -= 1
        self._running += 1
        self._running_by_class[name] = self._running_by_class.get(name, 0) + 1
        for listener in record.listeners:
            self._report(record, listener)
        self._start_work(record)

    def _abort(self, record: Record, sender: types.Address) -> None:
        """Cancels running idempotent work that no other entry waits for."""
        record.listeners.discard(sender)
        running = record.state is types.ExecutionState.RUNNING
        if not running or not record.request.idempotent or record.listeners:
            return
        record.state = types.ExecutionState.TOMBSTONED
        del self._records_by_id[record.request.id]
        self._add_tombstone(record.request.id, record.request.attempt)
        self._cancel_work(record)
        self._free_slot(record)
        self._start_queued()

    def _free_slot(self, record: Record) -> None:
        self._running -= 1
        self._running_by_class[record.request.work_class] -= 1

    def _may_withdraw(self, record: Record, sender: types.Address) -> bool:
        waiting = record.state is types.ExecutionState.QUEUED
        return waiting and not record.listeners - {sender}

    def _refuse(
        self,
        sender: types.Address,
        request: request_lib.Request,
        reason: messages.NotRunReason,
    ) -> None:
        # The tombstone prevents a copy of the dispatch that is still in transit
        # from starting the refused attempt later.
        self._add_tombstone(request.id, request.attempt)
        self._send_not_run(sender, request.id, request.attempt, reason)

    def _expire(self, record: Record) -> None:
        self._drop_queued(record)
        for listener in record.listeners:
            self._send_not_run(
                listener,
                record.request.id,
                record.request.attempt,
                messages.NotRunReason.EXPIRED,
            )

    def _drop_queued(self, record: Record) -> None:
        record.state = types.ExecutionState.TOMBSTONED
        del self._records_by_id[record.request.id]
        self._queued -= 1
        self._add_tombstone(record.request.id, record.request.attempt)

    def _add_tombstone(self, request_id: types.RequestId, attempt: int) -> None:
        attempt = max(attempt, self._tombstoned_attempt(request_id))
        created_s = self._clock.monotonic()
        self._tombstones_by_id[request_id] = (attempt, created_s)

    def _tombstoned_attempt(self, request_id: types.RequestId) -> int:
        return self._tombstones_by_id.get(request_id, (0, 0.0))[0]

    def _send_not_run(
        self,
        to: types.Address,
        request_id: types.RequestId,
        attempt: int,
        reason: messages.NotRunReason,
    ) -> None:
        self._outbox.send(
            to,
            messages.NotRun(
                request_id, attempt, self._incarnation, reason, self.load
            ),
        )

    def _report(self, record: Record, to: types.Address) -> None:
        if record.state is not types.ExecutionState.FINISHED:
            self._outbox.send(
                to,
                messages.Accepted(
                    record.request.id,
                    self._incarnation,
                    record.state,
                    self.load,
                ),
            )
            return
        self._outbox.send(
            to,
            messages.AnswerHead(
                record.request.id,
                self._incarnation,
                record.status,
                len(record.body),
                record.digest,
                record.body[: record.request.inline_bytes],
                record.finished_s - record.started_s,
                self.load,
            ),
        )
