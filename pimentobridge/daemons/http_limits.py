"""Limits on what the HTTP clients of a process can make it hold.

Clients may be untrusted, so that the memory and the file descriptors that all
of them take together are bounded. The bounds follow from the machine's memory
and from the limit on file descriptors. When one is reached, the clients that
make the least progress are refused first.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
import math
import re
from typing import TYPE_CHECKING
from typing import NewType

import msgspec

from pimentobridge.daemons import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from pimentobridge.core import clock as clock_lib

ConnectionId = NewType("ConnectionId", int)

MIB = 1024 * 1024
# Resident memory of an entry without load is 41 MiB.
PROCESS_MB = 48
# Lower limits, for settings that leave next to nothing for clients.
MIN_CLIENT_MB = 16
MIN_CONNECTIONS = 16
# Parts of the memory that the process itself doesn't need: for the bytes of
# requests, for connections, and for records of accepted jobs. A request takes
# about 1.5 times its bytes, and a record in a scheduler 2.5 times.
REQUEST_SHARE = 0.2
CONNECTION_SHARE = 0.25
RECORD_SHARE = 0.15
# Part for the tasks of accepted jobs in a scheduler.
TASK_SHARE = 0.25
# Memory of a task that waits.
TASK_BYTES = 340
# A connection without a request takes 18 KiB; the rest is for the buffers of
# its socket, which are rarely full.
CONNECTION_BYTES = 64 * 1024
# File descriptors that are left for files and for the process's own calls.
RESERVED_FDS = 200
# Share of the connections that may wait for clients to read responses.
UNREAD_SHARE = 0.25
# Sizes of a socket's buffers; the kernel may use twice as much.
SOCKET_BUFFER_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
# Fields of a request; each takes about 250 bytes however short it is.
MAX_FIELDS = 128
# Callers wait about three seconds; a body of the largest legal size takes 21 s
# at 100 kbit/s.
HEAD_S = 10.0
BODY_S = 30.0
UNREAD_S = 30.0
# Time after which a response that isn't sent yet counts as unread.
UNREAD_GRACE_S = 1.0
# Time in which a refused client is sent the response.
REFUSED_S = 5.0
# Bytes received this long ago count half as progress.
PROGRESS_HALF_LIFE_S = 0.25
LOG_INTERVAL_S = 1.0
_HEAD_END = re.compile(rb"\n\r?\n")


class Reason(enum.Enum):
    """Reason why a client is refused or its connection closed."""

    REQUEST_BYTES = "request bytes"
    SLOW_BODY = "slow body"
    SLOW_HEAD = "slow head"
    HEAD = "head too large"
    UNREAD_RESPONSE = "unread response"
    CONNECTIONS = "connections"
    RECORD_BYTES = "record bytes"
    TASKS = "tasks"


# Reasons for which the request is answered before the connection is closed.
ANSWERED_REASONS = (Reason.REQUEST_BYTES, Reason.SLOW_BODY)


class Phase(enum.Enum):
    """State of a connection: which side has to act next."""

    # No part of a request has arrived.
    IDLE = "idle"
    # The client has to send the rest of a request's head.
    HEAD = "head"
    # The client has to send the rest of a request's body.
    BODY = "body"
    # The server has to handle what it received.
    ACTIVE = "active"
    # The request is refused, and the connection is about to be closed.
    REFUSED = "refused"


class Limits(msgspec.Struct, frozen=True):
    """Limits of one process.

    Attributes:
        request_bytes: total bytes of requests that aren't answered yet.
        connections: connections of clients.
        unread: connections on which a response waits for its client to read.
        record_bytes: bytes of the records that the store holds.
        tasks: tasks of the jobs that the store holds.
        head_s: time for the head of a request, in seconds.
        body_s: time for a whole request, in seconds.
        unread_s: time for a client to accept a response, in seconds.
    """

    request_bytes: int
    connections: int
    unread: int
    record_bytes: int
    tasks: int
    head_s: float = HEAD_S
    body_s: float = BODY_S
    unread_s: float = UNREAD_S


def for_machine(memory_mb: float, max_fds: int) -> Limits:
    """Returns the limits of a process.

    Args:
        memory_mb: memory of its machine in MiB.
        max_fds: limit on its file descriptors.
    """
    client_bytes = int(max(MIN_CLIENT_MB, memory_mb - PROCESS_MB) * MIB)
    connections = max(
        MIN_CONNECTIONS,
        min(
            int(client_bytes * CONNECTION_SHARE) // CONNECTION_BYTES,
            max_fds - RESERVED_FDS,
        ),
    )
    return Limits(
        request_bytes=int(client_bytes * REQUEST_SHARE),
        connections=connections,
        unread=max(1, int(connections * UNREAD_SHARE)),
        record_bytes=int(client_bytes * RECORD_SHARE),
        tasks=int(client_bytes * TASK_SHARE) // TASK_BYTES,
    )


def accepts_head(received: bytes) -> bool:
    """Returns whether a request's head is within the limits.

    Args:
        received: bytes from the start of the head; may be incomplete, or go on
            after the head.
    """
    end = _HEAD_END.search(received)
    size = len(received) if end is None else end.start()
    if size > MAX_HEAD_BYTES:
        return False
    return received.count(b"\n", 0, size) <= MAX_FIELDS


class RefusalLog:
    """Counts refusals by reason, and logs each reason once a second at most.

    Args:
        clock: source of time.

    Attributes:
        count_by_reason: refusals since the start.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._logged_s_by_reason: dict[Reason, float] = {}
        self._logged_by_reason: collections.Counter[Reason] = (
            collections.Counter()
        )
        self.count_by_reason: collections.Counter[Reason] = (
            collections.Counter()
        )

    def record(self, reason: Reason) -> None:
        """Records one refusal."""
        self.count_by_reason[reason] += 1
        now_s = self._clock.monotonic()
        logged_s = self._logged_s_by_reason.get(reason, -LOG_INTERVAL_S)
        if now_s - logged_s < LOG_INTERVAL_S:
            return
        self._logged_s_by_reason[reason] = now_s
        total = self.count_by_reason[reason]
        logs.event(
            "client refused",
            cause=reason.value,
            since_last_line=total - self._logged_by_reason[reason],
        )
        self._logged_by_reason[reason] = total

    def gauges(self) -> dict[str, float]:
        """Returns the number of refusals for each reason by metric name."""
        return {
            f"refused_{reason.name.lower()}_total": self.count_by_reason[reason]
            for reason in Reason
        }


@dataclasses.dataclass
class _Connection:
    """What is known of a connection.

    Attributes:
        refuse: refuses its request or closes it.
        request_s: time at which its request began, or it became idle.
        held_bytes: received bytes of its request.
        sending_s: time at which the sending of a response began.
    """

    refuse: Callable[[Reason], None]
    request_s: float
    phase: Phase = Phase.IDLE
    held_bytes: int = 0
    sending_s: float | None = None
    progress_bytes: float = 0.0
    progress_s: float = 0.0

    def add_progress(self, size: int, now_s: float) -> None:
        self.progress_bytes = self.progress_at(now_s) + size
        self.progress_s = now_s

    def progress_at(self, now_s: float) -> float:
        """Returns the received bytes, the older ones weighted less."""
        age_s = now_s - self.progress_s
        return self.progress_bytes * math.exp2(-age_s / PROGRESS_HALF_LIFE_S)


class Ledger:
    """Connections of a process, and what they hold.

    A client is refused only if the server waits for it. So a request that has
    arrived completely is always handled.

    Args:
        limits: limits of the process.
        clock: source of time.

    Attributes:
        refusals: refusals by reason.
    """

    def __init__(self, limits: Limits, clock: clock_lib.Clock) -> None:
        self.limits = limits
        self._clock = clock
        self._ids = itertools.count()
        self._connections_by_id: dict[ConnectionId, _Connection] = {}
        self._held_bytes = 0
        self.refusals = RefusalLog(clock)

    def __len__(self) -> int:
        return len(self._connections_by_id)

    @property
    def held_bytes(self) -> int:
        """Bytes of requests that aren't answered yet."""
        return self._held_bytes

    def open(self, refuse: Callable[[Reason], None]) -> ConnectionId | None:
        """Adds a connection, for which another one is closed if necessary.

        Args:
            refuse: refuses the incomplete request for a reason in
                `ANSWERED_REASONS`, and closes the connection for any other.

        Returns:
            The connection's id, or None if it has to be closed.
        """
        if len(self) >= self.limits.connections:
            waiting = [
                key
                for key, connection in self._connections_by_id.items()
                if _waits_for_client(connection)
            ]
            if not waiting:
                self.refusals.record(Reason.CONNECTIONS)
                return None
            oldest = self._least_progress(waiting)
            self._refuse(oldest, Reason.CONNECTIONS)
            self.close(oldest)
        key = ConnectionId(next(self._ids))
        self._connections_by_id[key] = _Connection(
            refuse, self._clock.monotonic()
        )
        return key

    def close(self, key: ConnectionId) -> None:
        """Removes a connection; one that was removed before changes nothing."""
        connection = self._connections_by_id.pop(key, None)
        if connection is not None:
            self._held_bytes -= connection.held_bytes

    def phase(self, key: ConnectionId) -> Phase:
        """Returns a connection's phase, `REFUSED` for one that was removed."""
        connection = self._connections_by_id.get(key)
        return Phase.REFUSED if connection is None else connection.phase

    def received(self, key: ConnectionId, size: int) -> None:
        """Adds bytes that have arrived and are handled next."""
        connection = self._unrefused(key)
        if connection is None:
            return
        now_s = self._clock.monotonic()
        if connection.phase is Phase.IDLE:
            connection.request_s = now_s
        connection.phase = Phase.ACTIVE
        connection.add_progress(size, now_s)
        self._hold(connection, connection.held_bytes + size)

    def settle(self, key: ConnectionId, phase: Phase) -> None:
        """Sets the phase after the handling of all received bytes.

        Refuses incomplete requests if the total is exceeded.
        """
        connection = self._unrefused(key)
        if connection is not None:
            connection.phase = phase
            self._enforce_total()

    def answered(self, key: ConnectionId, left_bytes: int) -> None:
        """Ends a request.

        Args:
            key: the connection.
            left_bytes: received bytes of the requests after it.
        """
        connection = self._unrefused(key)
        if connection is None:
            return
        connection.phase = Phase.ACTIVE if left_bytes else Phase.IDLE
        connection.request_s = self._clock.monotonic()
        self._hold(connection, left_bytes)

    def begin_send(self, key: ConnectionId) -> None:
        """Notes that a response is being sent."""
        connection = self._connections_by_id.get(key)
        if connection is not None:
            connection.sending_s = self._clock.monotonic()

    def end_send(self, key: ConnectionId) -> None:
        """Notes that the client's machine has accepted a response."""
        connection = self._connections_by_id.get(key)
        if connection is not None:
            connection.sending_s = None

    def refuse_overdue(self) -> None:
        """Refuses clients that have exceeded a time limit."""
        now_s = self._clock.monotonic()
        for key, connection in list(self._connections_by_id.items()):
            reason = self._overdue_reason(connection, now_s)
            if reason is not None:
                self._refuse(key, reason)
        self._enforce_unread(now_s)

    def gauges(self) -> dict[str, float]:
        """Returns the gauges by metric name."""
        return {
            "client_connections": len(self),
            "client_request_bytes": self._held_bytes,
        } | self.refusals.gauges()

    def _overdue_reason(
        self, connection: _Connection, now_s: float
    ) -> Reason | None:
        age_s = now_s - connection.request_s
        if (
            connection.sending_s is not None
            and now_s - connection.sending_s > self.limits.unread_s
        ):
            return Reason.UNREAD_RESPONSE
        if connection.phase is Phase.HEAD and age_s > self.limits.head_s:
            return Reason.SLOW_HEAD
        if connection.phase is Phase.BODY and age_s > self.limits.body_s:
            return Reason.SLOW_BODY
        if connection.phase is Phase.REFUSED and age_s > REFUSED_S:
            return Reason.UNREAD_RESPONSE
        return None

    def _enforce_total(self) -> None:
        while self._held_bytes > self.limits.request_bytes:
            incomplete = [
                key
                for key, connection in self._connections_by_id.items()
                if connection.phase is Phase.BODY and connection.held_bytes
            ]
            if not incomplete:
                return
            self._refuse(self._least_progress(incomplete), Reason.REQUEST_BYTES)

    def _enforce_unread(self, now_s: float) -> None:
        since_s_by_id = {
            key: connection.sending_s
            for key, connection in self._connections_by_id.items()
            if connection.sending_s is not None
            and now_s - connection.sending_s > UNREAD_GRACE_S
        }
        excess = max(0, len(since_s_by_id) - self.limits.unread)
        longest = sorted(since_s_by_id, key=since_s_by_id.__getitem__)
        for key in longest[:excess]:
            self._refuse(key, Reason.UNREAD_RESPONSE)

    def _least_progress(self, keys: Iterable[ConnectionId]) -> ConnectionId:
        now_s = self._clock.monotonic()

        def rank(key: ConnectionId) -> tuple[float, float]:
            connection = self._connections_by_id[key]
            return connection.progress_at(now_s), connection.request_s

        return min(keys, key=rank)

    def _refuse(self, key: ConnectionId, reason: Reason) -> None:
        connection = self._connections_by_id[key]
        connection.phase = Phase.REFUSED
        connection.request_s = self._clock.monotonic()
        connection.sending_s = None
        self._hold(connection, 0)
        self.refusals.record(reason)
        connection.refuse(reason)

    def _hold(self, connection: _Connection, size: int) -> None:
        self._held_bytes += size - connection.held_bytes
        connection.held_bytes = size

    def _unrefused(self, key: ConnectionId) -> _Connection | None:
        connection = self._connections_by_id.get(key)
        if connection is None or connection.phase is Phase.REFUSED:
            return None
        return connection


def _waits_for_client(connection: _Connection) -> bool:
    return (
        connection.phase is not Phase.ACTIVE or connection.sending_s is not None
    )
