"""Load of clients that send requests without end or read no responses."""

from __future__ import annotations

import itertools
import math
import socket
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    Parts = Iterable[bytes]

# Limits how long a client waits to be connected, or to send one part.
STEP_TIMEOUT_S = 8.0
# Bytes that one part of an unfinished body has.
PART_BYTES = 32_768
TRAILER_LINE = b"X-Trailer: " + b"t" * 1000 + b"\r\n"


def head(
    method: str, path: str, host: str, fields: dict[str, str] | None = None
) -> bytes:
    """Returns the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode()


def whole_body(request_head: bytes, body: bytes) -> Iterator[bytes]:
    """Yields a request in one part."""
    yield request_head + body


def unfinished_body(request_head: bytes, body: bytes) -> Iterator[bytes]:
    """Yields a request in parts, without the last 100 bytes of its body."""
    yield request_head
    kept = body[:-100]
    for start in range(0, len(kept), PART_BYTES):
        yield kept[start : start + PART_BYTES]


def unfinished_trailers(
    request_head: bytes, body: bytes, lines: int
) -> Iterator[bytes]:
    """Yields a chunked request with trailers whose end isn't sent."""
    yield request_head
    yield b"%x\r\n%b\r\n0\r\n" % (len(body), body)
    yield from itertools.repeat(TRAILER_LINE, lines)


class Crowd:
    """Clients on connections of their own, which stay open.

    Args:
        address: address `IP:PORT` of the server.
        nursery: runs the clients; they close their connections when it is
            cancelled.
    """

    def __init__(self, address: str, nursery: trio.Nursery) -> None:
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._nursery = nursery
        self._busy = 0
        self._all_sent = trio.Event()

    async def send(self, requests: Iterable[Parts]) -> None:
        """Sends each request on its own connection, and reads no response.

        Returns when each client has sent its request, or can send no more
        because the server has closed the connection or reads no longer.
        """
        self._all_sent = trio.Event()
        for parts in requests:
            self._busy += 1
            self._nursery.start_soon(self._run_client, parts)
        await self._all_sent.wait()

    async def _run_client(self, parts: Parts) -> None:
        with trio.socket.socket() as connection:
            try:
                await self._send_parts(connection, parts)
            except (OSError, trio.BrokenResourceError):
                # The server has refused the request.
                pass
            finally:
                self._busy -= 1
                if not self._busy:
                    self._all_sent.set()
            await trio.sleep(math.inf)

    async def _send_parts(
        self, connection: trio.socket.SocketType, parts: Parts
    ) -> None:
        # A small window makes unread responses stay in the server.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        with trio.move_on_after(STEP_TIMEOUT_S):
            await connection.connect(self._address)
            stream = trio.SocketStream(connection)
            for part in parts:
                await stream.send_all(part)
