"""Network backend that lets an HTTP client call a fake service over a link.

The real client runs on it in virtual time: its timeouts, its connections and
what becomes of an answer that arrives slowly are those of the product.
"""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

import h11
import httpcore
import trio

from pimentobridge.platform import http_client

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from pimentobridge.testing import links

    Handler = Callable[
        [str, str, object], Awaitable[http_client.Answer | http_client.Failure]
    ]

# Bytes that a connection has in transit at most, so that an answer that its
# receiver has abandoned soon stops.
WINDOW_BYTES = 64 * 1024
# Bytes that are put on the link at a time; concurrent answers share it so.
SEGMENT_BYTES = 4 * 1024


class LinkBackend(httpcore.AsyncNetworkBackend):
    """Connects to a fake service at the end of a machine's link.

    Args:
        handler: carries out a call, given its method, path and JSON body; a
            failure closes the connection without an answer.
        incoming: the machine's link for what it receives.
        delay_s: time from the last byte of a call to the first of its answer.
    """

    def __init__(
        self, *, handler: Handler, incoming: links.Link, delay_s: float
    ) -> None:
        self._handler = handler
        self._incoming = incoming
        self._delay_s = delay_s

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,  # noqa: ASYNC109  httpcore's interface
        local_address: str | None = None,
        socket_options: Iterable[object] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Returns a connection to the service."""
        del host, port, timeout, local_address, socket_options
        return _Stream(self._handler, self._incoming, self._delay_s)

    async def sleep(self, seconds: float) -> None:
        """Waits."""
        await trio.sleep(seconds)


class _Stream(httpcore.AsyncNetworkStream):
    """A connection whose other end is the fake service."""

    def __init__(
        self, handler: Handler, incoming: links.Link, delay_s: float
    ) -> None:
        self._handler = handler
        self._incoming = incoming
        self._delay_s = delay_s
        self._server = h11.Connection(h11.SERVER)
        self._unsent = b""
        # Segments on the link, each with the time of its arrival.
        self._in_transit: list[tuple[float, bytes]] = []
        self._closed = False

    async def write(
        self,
        buffer: bytes,
        timeout: float | None = None,  # noqa: ASYNC109  httpcore's interface
    ) -> None:
        """Passes bytes of a call to the service."""
        del timeout
        await trio.lowlevel.checkpoint()
        if buffer:
            self._server.receive_data(buffer)

    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,  # noqa: ASYNC109  httpcore's interface
    ) -> bytes:
        """Returns the bytes of the answer that arrive next."""
        with trio.move_on_after(math.inf if timeout is None else timeout):
            if not self._unsent and not self._in_transit:
                await self._answer()
            return await self._arrived(max_bytes)
        raise httpcore.ReadTimeout

    async def aclose(self) -> None:
        """Closes the connection; what isn't in transit is never sent."""
        self._closed = True
        self._unsent = b""

    def get_extra_info(self, info: str) -> object:
        """Returns what httpcore asks to find out whether it can be reused."""
        return self._closed if info == "is_readable" else None

    async def _arrived(self, max_bytes: int) -> bytes:
        self._fill_window()
        if not self._in_transit:
            return b""
        arrival_s, data = self._in_transit.pop(0)
        if len(data) > max_bytes:
            self._in_transit.insert(0, (arrival_s, data[max_bytes:]))
            data = data[:max_bytes]
        await trio.sleep_until(arrival_s)
        return data

    def _fill_window(self) -> None:
        while self._unsent and (
            len(self._in_transit) * SEGMENT_BYTES < WINDOW_BYTES
        ):
            data = self._unsent[:SEGMENT_BYTES]
            self._unsent = self._unsent[SEGMENT_BYTES:]
            self._in_transit.append((self._incoming.reserve(len(data)), data))

    async def _answer(self) -> None:
        """Has the service carry out the call that was written."""
        request = self._server.next_event()
        if not isinstance(request, h11.Request):
            return
        body = b""
        while isinstance(event := self._server.next_event(), h11.Data):
            body += event.data
        await trio.sleep(self._delay_s)
        answer = await self._handler(
            request.method.decode(),
            request.target.decode(),
            json.loads(body) if body else None,
        )
        if isinstance(answer, http_client.Failure):
            return
        content = json.dumps(answer.body).encode()
        response = h11.Response(
            status_code=answer.status,
            headers=[("Content-Length", str(len(content)))],
        )
        for event_to_send in (
            response,
            h11.Data(content),
            h11.EndOfMessage(),
        ):
            self._unsent += self._server.send(event_to_send) or b""
        self._server.start_next_cycle()
