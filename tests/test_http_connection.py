"""Connections of the HTTP server, over pairs of connected sockets."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING
from typing import Any

import hypercorn.config
import hypercorn.trio.worker_context
import pytest
import trio
import trio.testing

from pimentobridge.core import clock as clock_lib
from pimentobridge.daemons import http
from pimentobridge.daemons import http_connection
from pimentobridge.daemons import http_limits

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HANG_LIMIT_S = 20.0
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"


class Server:
    """A server that answers each request with the length of its body."""

    def __init__(self, **limits: Any) -> None:
        self.clock = clock_lib.ManualClock(100.0)
        self.ledger = http_limits.Ledger(
            http_limits.Limits(
                **{
                    "request_bytes": 100_000,
                    "connections": 10,
                    "unread": 10,
                    "record_bytes": 1,
                    "tasks": 1,
                }
                | limits
            ),
            self.clock,
        )
        self.bodies: list[int] = []
        self.answer = b""
        self._config = hypercorn.config.Config()
        self._context = hypercorn.trio.worker_context.WorkerContext(None)

    async def __call__(
        self, scope: http.Scope, receive: Any, send: Any
    ) -> None:
        await http.serve(scope, receive, send, self._respond)

    async def _respond(self, scope: http.Scope, receive: Any) -> http.Response:
        if scope["path"] == "/early":
            return http.Response(401, b"")
        body = await http.read_body(receive)
        self.bodies.append(len(body))
        return http.Response(200, self.answer or b"%d" % len(body))

    @contextlib.asynccontextmanager
    async def connected(self) -> AsyncIterator[trio.SocketStream]:
        """Yields a client's end; the server's must end with it."""
        ends = [
            trio.SocketStream(trio.socket.from_stdlib_socket(end))
            for end in socket.socketpair()
        ]
        connection = http_connection.Connection(
            self, self._config, self._context, self.ledger, ends[0]
        )
        with trio.fail_after(HANG_LIMIT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.run)
                yield ends[1]
                await ends[1].aclose()


async def _read(client: trio.SocketStream, count: int = 1) -> bytes:
    """Reads until a number of heads have arrived, or the end."""
    received = b""
    while received.count(b"\r\n\r\n") < count:
        part = await client.receive_some()
        if not part:
            break
        received += part
    return received


def _run(server: Server, *parts: bytes, responses: int = 1) -> bytes:
    async def scenario() -> bytes:
        async with server.connected() as client:
            with contextlib.suppress(trio.BrokenResourceError):
                for part in parts:
                    await client.send_all(part)
            return await _read(client, responses)

    return trio.run(scenario)


@pytest.mark.parametrize(
    "fields",
    [
        b"",
        b"Connection: Upgrade\r\nUpgrade: websocket\r\n"
        b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: !\r\n",
        b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
        b"HTTP2-Settings: !\r\n",
    ],
    ids=["none", "websocket", "h2c"],
)
def test_upgrades_are_ignored(fields: bytes) -> None:
    request = b"GET / HTTP/1.1\r\nHost: a\r\n" + fields + b"\r\n"
    answer = _run(Server(), request)
    assert answer.startswith(b"HTTP/1.1 200")


def test_pipelined_requests_are_answered_in_order() -> None:
    server = Server()
    request = HEAD + b"Content-Length: 5\r\n\r\nabcde"
    answer = _run(server, request * 20, responses=20)
    assert answer.count(b"HTTP/1.1 200") == 20
    assert server.bodies == [5] * 20
    assert len(server.ledger) == server.ledger.held_bytes == 0


def test_trailers_are_dropped() -> None:
    server = Server()
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
    answer = _run(server, chunked, b"X-Trailer: t\r\n" * 200 + b"\r\n")
    assert answer.startswith(b"HTTP/1.1 200")
    assert server.bodies == [3]


def test_unfinished_trailers_are_refused() -> None:
    server = Server()
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
    answer = _run(server, chunked, b"X-Trailer: t\r\n" * 5000)
    assert not answer.startswith(b"HTTP/1.1 200")
    assert server.bodies == []


@pytest.mark.parametrize(
    "fields", [b"a:\r\n" * 200, b"a: " + b"b" * 20_000 + b"\r\n"]
)
def test_large_heads_are_refused(fields: bytes) -> None:
    server = Server()
    answer = _run(server, HEAD + fields + b"\r\n")
    assert answer.startswith(b"HTTP/1.1 431")
    assert server.ledger.gauges()["refused_head_total"] == 1


def test_a_body_beyond_the_total_is_answered_as_not_run() -> None:
    server = Server(request_bytes=50_000)
    answer = _run(
        server, HEAD + b"Content-Length: 90000\r\n\r\n", b"b" * 60_000
    )
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 1" in answer
    assert server.bodies == []


def test_a_slow_body_is_answered_as_not_run() -> None:
    server = Server()

    async def scenario() -> bytes:
        async with server.connected() as client:
            await client.send_all(HEAD + b"Content-Length: 9\r\n\r\nb")
            while not server.ledger.held_bytes:
                await trio.sleep(0)
            await trio.testing.wait_all_tasks_blocked()
            server.clock.advance(http_limits.BODY_S + 1)
            server.ledger.refuse_overdue()
            return await _read(client)

    assert trio.run(scenario).startswith(b"HTTP/1.1 503")
    assert server.bodies == []


def test_an_answer_before_the_end_of_the_body_releases_the_connection() -> None:
    # The connection and the application waited for each other for ever.
    server = Server(request_bytes=10_000_000)
    head = b"POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n"
    _run(server, head, b"b" * 8_000_000)
    assert len(server.ledger) == 0


def test_a_client_that_does_not_read_is_closed() -> None:
    server = Server()
    server.answer = b"r" * 10_000_000

    async def scenario() -> None:
        async with server.connected() as client:
            await client.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            while not server.bodies:
                await trio.sleep(0)
            await trio.testing.wait_all_tasks_blocked()
            server.clock.advance(http_limits.UNREAD_S + 1)
            server.ledger.refuse_overdue()
            while len(server.ledger):
                await trio.sleep(0)

    trio.run(scenario)
    assert server.ledger.gauges()["refused_unread_response_total"] == 1


def test_a_connection_ends_when_its_client_has_closed_it() -> None:
    # It was kept until the idle time-out, 20 s later.
    server = Server()

    async def scenario() -> int:
        async with server.connected() as client:
            await client.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await _read(client)
        return len(server.ledger)

    server._config.keep_alive_timeout = 10 * HANG_LIMIT_S
    assert trio.run(scenario) == 0


def test_an_accepted_connect_releases_the_connection() -> None:
    # The reader waited for ever for the end of the other protocol.
    server = Server()
    answer = _run(
        server, b"CONNECT /a HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1"
    )
    assert answer.startswith(b"HTTP/1.1 200")
    assert len(server.ledger) == 0


def test_a_complete_request_is_not_refused_while_it_runs() -> None:
    """Guards against a refusal of a request that has begun to run.

    The body fills the queue, and the next request is pipelined behind it.
    """
    server = Server(request_bytes=1_000_000)
    phases: list[http_limits.Phase] = []

    async def respond(scope: http.Scope, receive: Any) -> http.Response:
        await trio.testing.wait_all_tasks_blocked()
        await http.read_body(receive)
        await trio.testing.wait_all_tasks_blocked()
        phases.append(server.ledger.phase(http_limits.ConnectionId(0)))
        return http.Response(200, b"")

    server._respond = respond  # type: ignore[method-assign]
    # The last part of the body is the one that has to wait for room.
    head = HEAD + b"Content-Length: 82000\r\n\r\n"
    body = b"b" * 82_000
    answer = _run(server, head + body + b"GET / HTTP/1.1\r\n")
    assert answer.startswith(b"HTTP/1.1 200")
    assert phases == [http_limits.Phase.ACTIVE]
