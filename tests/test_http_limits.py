"""Limits on clients, without a network and in manual time."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from pimentobridge.core import clock as clock_lib
from pimentobridge.daemons import http
from pimentobridge.daemons import http_limits
from pimentobridge.daemons import logs
from pimentobridge.daemons import request_queue

BODY = http_limits.Phase.BODY
HEAD = http_limits.Phase.HEAD
IDLE = http_limits.Phase.IDLE
ACTIVE = http_limits.Phase.ACTIVE
REFUSED = http_limits.Phase.REFUSED
MAX_BODY_BYTES = 262_144


class Clients:
    """Clients of a ledger, in the order in which they connect."""

    def __init__(self, limits: http_limits.Limits) -> None:
        self.clock = clock_lib.ManualClock(1000.0)
        self.ledger = http_limits.Ledger(limits, self.clock)
        self.refusals: list[tuple[int, http_limits.Reason]] = []
        self._connected = 0

    def connect(self) -> http_limits.ConnectionId | None:
        number = self._connected
        self._connected += 1
        return self.ledger.open(
            lambda reason: self.refusals.append((number, reason))
        )

    def connected(self) -> http_limits.ConnectionId:
        key = self.connect()
        assert key is not None
        return key

    def send(
        self,
        key: http_limits.ConnectionId,
        size: int,
        phase: http_limits.Phase = BODY,
    ) -> None:
        self.ledger.received(key, size)
        self.ledger.settle(key, phase)


def limits(
    *, request_bytes: int = 1000, connections: int = 100, unread: int = 100
) -> http_limits.Limits:
    return http_limits.Limits(
        request_bytes=request_bytes,
        connections=connections,
        unread=unread,
        record_bytes=1000,
        tasks=1000,
    )


@pytest.mark.parametrize(
    ("memory_mb", "max_fds"),
    [(168, 4096), (200, 4100), (552, 8192), (1024, 4096)],
)
def test_clients_within_the_limits_reach_no_bound(
    memory_mb: int, max_fds: int
) -> None:
    derived = http_limits.for_machine(memory_mb, max_fds)
    clients = Clients(derived)
    polling = [clients.connected() for _ in range(10 * 40)]
    for _ in range(3):
        clients.clock.advance(1.0)
        for key in polling:
            clients.send(key, 200, ACTIVE)
            clients.ledger.answered(key, 0)
    for key in polling[:60]:
        clients.send(key, MAX_BODY_BYTES - 1)
    clients.clock.advance(5.0)
    clients.ledger.refuse_overdue()
    for key in polling[:60]:
        clients.send(key, 1, ACTIVE)
    assert clients.refusals == []


def test_limits_follow_from_the_machine() -> None:
    small = http_limits.for_machine(100, 600)
    large = http_limits.for_machine(200, 600)
    assert small.request_bytes < large.request_bytes
    assert small.record_bytes < large.record_bytes
    assert small.tasks < large.tasks
    assert small.connections < large.connections == 600 - 200
    assert http_limits.for_machine(1, 1).connections > 0


def test_the_least_progress_is_refused_first() -> None:
    clients = Clients(limits())
    stopped, slow, fast = (clients.connected() for _ in range(3))
    clients.send(stopped, 400)
    clients.clock.advance(3.0)
    clients.send(slow, 200)
    clients.send(fast, 300)
    assert clients.refusals == []
    clients.send(fast, 300)
    assert clients.refusals == [(0, http_limits.Reason.REQUEST_BYTES)]
    assert clients.ledger.held_bytes == 800


def test_single_bytes_count_as_little_progress() -> None:
    clients = Clients(limits())
    dribbling = clients.connected()
    clients.send(dribbling, 900)
    for _ in range(30):
        clients.clock.advance(0.1)
        clients.send(dribbling, 1)
    ordinary = clients.connected()
    clients.send(ordinary, 90)
    assert clients.refusals == [(0, http_limits.Reason.REQUEST_BYTES)]


def test_a_complete_request_is_never_refused() -> None:
    clients = Clients(limits())
    served = clients.connected()
    clients.send(served, 2000, ACTIVE)
    clients.clock.advance(1000.0)
    clients.ledger.refuse_overdue()
    assert clients.refusals == []
    assert clients.ledger.held_bytes == 2000
    incomplete = clients.connected()
    clients.send(incomplete, 10)
    assert clients.refusals == [(1, http_limits.Reason.REQUEST_BYTES)]
    small = clients.connected()
    clients.send(small, 10, ACTIVE)
    assert len(clients.refusals) == 1
    clients.ledger.answered(served, 0)
    assert clients.ledger.held_bytes == 10


def test_a_refused_client_holds_nothing() -> None:
    clients = Clients(limits())
    key = clients.connected()
    clients.send(key, 1001)
    assert clients.ledger.phase(key) is REFUSED
    clients.send(key, 5000)
    assert clients.ledger.held_bytes == 0
    clients.ledger.close(key)
    clients.ledger.close(key)
    assert len(clients.ledger) == 0
    assert clients.ledger.held_bytes == 0
    assert clients.ledger.phase(key) is REFUSED


def test_a_refused_client_that_stays_is_closed() -> None:
    clients = Clients(limits())
    clients.send(clients.connected(), 1001)
    clients.clock.advance(http_limits.REFUSED_S + 0.1)
    clients.ledger.refuse_overdue()
    assert clients.refusals[1:] == [(0, http_limits.Reason.UNREAD_RESPONSE)]


def test_an_idle_connection_is_closed_for_a_new_one() -> None:
    clients = Clients(limits(connections=3))
    served, idle, recent = (clients.connected() for _ in range(3))
    clients.clock.advance(10.0)
    clients.send(served, 10, ACTIVE)
    clients.send(recent, 10, ACTIVE)
    clients.ledger.answered(recent, 0)
    assert clients.connect() is not None
    assert clients.refusals == [(1, http_limits.Reason.CONNECTIONS)]
    assert clients.ledger.phase(idle) is REFUSED
    assert len(clients.ledger) == 3


def test_a_connection_is_refused_while_all_others_are_served() -> None:
    clients = Clients(limits(connections=2))
    for _ in range(2):
        clients.send(clients.connected(), 10, ACTIVE)
    assert clients.connect() is None
    assert clients.refusals == []
    gauges = clients.ledger.gauges()
    assert gauges["refused_connections_total"] == 1
    assert gauges["client_connections"] == 2


@pytest.mark.parametrize(
    ("phase", "time_s", "reason"),
    [
        (HEAD, http_limits.HEAD_S, http_limits.Reason.SLOW_HEAD),
        (BODY, http_limits.BODY_S, http_limits.Reason.SLOW_BODY),
    ],
)
def test_an_incomplete_request_has_a_time_limit(
    phase: http_limits.Phase, time_s: float, reason: http_limits.Reason
) -> None:
    clients = Clients(limits())
    key = clients.connected()
    clients.clock.advance(100.0)
    for _ in range(10):
        clients.send(key, 1, phase)
        clients.ledger.refuse_overdue()
        assert clients.refusals == []
        clients.clock.advance(time_s / 10)
    clients.clock.advance(0.1)
    clients.ledger.refuse_overdue()
    assert clients.refusals == [(0, reason)]


def test_a_client_that_does_not_read_is_closed() -> None:
    clients = Clients(limits())
    key = clients.connected()
    clients.send(key, 10, ACTIVE)
    clients.ledger.begin_send(key)
    clients.clock.advance(http_limits.UNREAD_S - 1)
    clients.ledger.refuse_overdue()
    assert clients.refusals == []
    clients.clock.advance(2.0)
    clients.ledger.refuse_overdue()
    assert clients.refusals == [(0, http_limits.Reason.UNREAD_RESPONSE)]


def test_only_some_connections_wait_for_clients_to_read() -> None:
    clients = Clients(limits(unread=2))
    for _ in range(4):
        key = clients.connected()
        clients.send(key, 10, ACTIVE)
        clients.ledger.begin_send(key)
        clients.clock.advance(0.1)
    read = clients.connected()
    clients.ledger.begin_send(read)
    clients.ledger.end_send(read)
    clients.ledger.refuse_overdue()
    assert clients.refusals == []
    clients.clock.advance(http_limits.UNREAD_GRACE_S + 0.1)
    clients.ledger.refuse_overdue()
    assert [number for number, _ in clients.refusals] == [0, 1]


def test_each_reason_is_logged_once_a_second() -> None:
    clock = clock_lib.ManualClock()
    refusals = http_limits.RefusalLog(clock)
    reason = http_limits.Reason.SLOW_BODY
    key = ("client refused", reason.value)
    before = logs.event_counts[key]
    for _ in range(50):
        refusals.record(reason)
        refusals.record(http_limits.Reason.HEAD)
    assert logs.event_counts[key] == before + 1
    clock.advance(1.0)
    refusals.record(reason)
    assert logs.event_counts[key] == before + 2
    assert refusals.gauges()["refused_slow_body_total"] == 51


@pytest.mark.parametrize(
    ("received", "accepted"),
    [
        (b"", True),
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", True),
        (b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 127, True),
        (b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 200, False),
        (b"GET / HTTP/1.1\n" + b"a:\n" * 200, False),
        (b"GET / HTTP/1.1\r\n\r\n" + b"\r\n" * 200, True),
        (b"GET /" + b"a" * 16_000, True),
        (b"GET /" + b"a" * 17_000, False),
        (b"GET / HTTP/1.1\r\n\r\n" + b"a" * 60_000, True),
    ],
)
def test_heads_are_bounded(received: bytes, accepted: bool) -> None:
    assert http_limits.accepts_head(received) is accepted


def _queue() -> request_queue.RequestQueue:
    return request_queue.RequestQueue(lambda: None, lambda: None)


def _body_event(size: int, *, more: bool = True) -> dict[str, object]:
    return {"type": "http.request", "body": b"b" * size, "more_body": more}


def test_a_full_queue_blocks_nobody_after_the_application_has_ended() -> None:
    # With hypercorn's own queue the connection was never released.
    async def scenario() -> list[str]:
        waits: list[str] = []
        queue = request_queue.RequestQueue(
            lambda: waits.append("full"), lambda: waits.append("room")
        )
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(
                        queue.put, _body_event(request_queue.MAX_BYTES)
                    )
                await trio.testing.wait_all_tasks_blocked()
                queue.finish()
            await queue.put({"type": "http.disconnect"})
        return waits

    assert trio.run(scenario) == ["full", "full", "room", "room"]


def test_a_body_is_read_in_order() -> None:
    async def scenario() -> bytes:
        queue = _queue()

        async def send() -> None:
            for _ in range(50):
                await queue.put(_body_event(2))
            await queue.put(_body_event(0, more=False))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            return await http.read_body(queue.get)

    assert trio.run(scenario) == b"b" * 100


@pytest.mark.parametrize(
    ("ended_by", "error"),
    [
        ("refuse", http.RequestRefusedError),
        ("finish", http.DisconnectedError),
    ],
)
def test_an_incomplete_body_is_not_returned(
    ended_by: str, error: type[Exception]
) -> None:
    async def scenario() -> None:
        queue = _queue()
        await queue.put(_body_event(10))
        getattr(queue, ended_by)()
        await http.read_body(queue.get)

    with pytest.raises(error):
        trio.run(scenario)


def test_a_refused_request_is_answered_as_not_run() -> None:
    sent: list[dict[str, object]] = []

    async def respond(scope: http.Scope, receive: object) -> http.Response:
        await http.read_body(receive)
        raise AssertionError("the request was run")

    async def receive() -> dict[str, object]:
        return {"type": http.REFUSED}

    async def send(event: dict[str, object]) -> None:
        sent.append(event)

    trio.run(http.serve, {"type": "http"}, receive, send, respond)
    assert sent[0]["status"] == 503
    assert (b"retry-after", b"1") in sent[0]["headers"]  # type: ignore[operator]
