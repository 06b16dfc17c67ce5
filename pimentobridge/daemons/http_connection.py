"""Connections of hypercorn's HTTP/1.1 server within the limits of a process.

Subclasses of hypercorn's classes, because it has no settings for these:

- Upgrades are ignored. hypercorn would accept HTTP/2 and WebSockets, whose
  buffers aren't bounded here, and malformed HTTP/2 settings end the server.
- Received bytes and phases are reported to the process's `http_limits.Ledger`,
  which refuses clients.
- The sending of a response can be cancelled, so that a client that doesn't read
  holds up neither a close nor the end of the process.
- A connection ends as soon as the client has closed it, and not only after the
  keep-alive time-out.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING
from typing import Any

import h11
from hypercorn import events
from hypercorn import typing as hypercorn_typing
from hypercorn import utils
import hypercorn.protocol.events
import hypercorn.protocol.h11
import hypercorn.protocol.http_stream
import hypercorn.trio.task_group
import hypercorn.trio.tcp_server
import trio

from pimentobridge.daemons import containment
from pimentobridge.daemons import http_limits
from pimentobridge.daemons import request_queue

if TYPE_CHECKING:
    from collections.abc import Callable

    from hypercorn import config as hypercorn_config
    from hypercorn.trio import worker_context

# All connections may receive in the same pass of the scheduler, and each needs
# about three times as much for the handling.
RECEIVE_BYTES = 16 * 1024
HEAD_TOO_LARGE_STATUS = 431


class Connection(hypercorn.trio.tcp_server.TCPServer):
    """Serves the requests on one connection.

    Args:
        app: ASGI application.
        config: settings of hypercorn.
        context: state of hypercorn's server.
        ledger: connections of the process.
        stream: the accepted connection.
    """

    def __init__(
        self,
        app: Any,
        config: hypercorn_config.Config,
        context: worker_context.WorkerContext,
        ledger: http_limits.Ledger,
        stream: Any,
    ) -> None:
        super().__init__(
            app,
            config,
            context,
            hypercorn_typing.ConnectionState({}),
            stream,
        )
        self._ledger = ledger
        self._scope = trio.CancelScope()
        self._reader = trio.CancelScope()
        self._receiving = True
        self._key: http_limits.ConnectionId
        self._protocol: Protocol
        self.queue: request_queue.RequestQueue | None = None

    async def run(self) -> None:
        """Serves until the connection is closed."""
        key = self._ledger.open(self._refuse)
        try:
            if key is not None:
                self._key = key
                with containment.contained("serving a client"), self._scope:
                    await self._serve()
        finally:
            if key is not None:
                self._ledger.close(key)
            # Unlike a stream's, this close isn't a checkpoint, which would be
            # skipped after a cancellation.
            self.stream.socket.close()

    def settle(self, phase: http_limits.Phase) -> None:
        """Reports the phase after the received bytes have been handled."""
        self._ledger.settle(self._key, phase)

    def answered(self, left_bytes: int) -> None:
        """Reports the end of a request."""
        self._ledger.answered(self._key, left_bytes)

    def count_refusal(self, reason: http_limits.Reason) -> None:
        """Reports a refusal that the ledger hasn't decided."""
        self._ledger.refusals.record(reason)

    def on_full(self) -> None:
        """Reports that the client may send no more for the moment."""
        self.settle(http_limits.Phase.BODY)

    def on_room(self) -> None:
        """Reports that received bytes are handled again.

        Otherwise a request that is complete by then could be refused while it
        runs.
        """
        self.settle(http_limits.Phase.ACTIVE)

    def stop_receiving(self) -> None:
        """Ends the reader of a connection that serves no further request."""
        self._reader.cancel()

    async def protocol_send(self, event: events.Event) -> None:
        """Sends bytes, closes the connection, or starts or stops its timer."""
        if isinstance(event, events.RawData):
            await self._send(event.data)
        elif isinstance(event, events.Updated) and event.idle:
            if self._receiving:
                await super().protocol_send(event)
        else:
            await super().protocol_send(event)

    async def _serve(self) -> None:
        socket = self.stream.socket
        try:
            client = utils.parse_socket_addr(
                socket.family, socket.getpeername()
            )
        except OSError:
            # The client has left already.
            return
        server = utils.parse_socket_addr(socket.family, socket.getsockname())
        async with TaskGroup(self) as task_group:
            self._task_group = task_group
            self._protocol = Protocol(
                self,
                self.app,
                self.config,
                self.context,
                task_group,
                hypercorn_typing.ConnectionState(self.state),
                False,
                client,
                server,
                self.protocol_send,
            )
            self.protocol = self._protocol  # type: ignore[assignment]
            await self.idle_task.restart(task_group, self._idle_timeout)
            with self._reader:
                await self._read_data()
            self._receiving = False
            await self.idle_task.stop()
        await self._close()

    async def _read_data(self) -> None:
        with contextlib.suppress(
            trio.ClosedResourceError, trio.BrokenResourceError
        ):
            while True:
                data = await self.stream.receive_some(RECEIVE_BYTES)
                if self._ledger.phase(self._key) is http_limits.Phase.REFUSED:
                    # Drops the rest of the request while the client is sent
                    # the response.
                    if data:
                        continue
                    break
                self._ledger.received(self._key, len(data))
                await self.protocol.handle(events.RawData(bytes(data)))
                self.settle(self._protocol.phase)
                if not data:
                    break
        await self.protocol.handle(events.Closed())

    async def _send(self, data: bytes) -> None:
        async with self.send_lock:
            self._ledger.begin_send(self._key)
            try:
                await self.stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                await self.protocol.handle(events.Closed())
            finally:
                self._ledger.end_send(self._key)

    def _refuse(self, reason: http_limits.Reason) -> None:
        if reason in http_limits.ANSWERED_REASONS and self.queue is not None:
            self.queue.refuse()
        else:
            self._scope.cancel()


class TaskGroup(hypercorn.trio.task_group.TaskGroup):
    """Runs the application for each request of a connection."""

    def __init__(self, connection: Connection) -> None:
        super().__init__()
        self._connection = connection

    async def spawn_app(
        self, app: Any, config: Any, scope: Any, send: Any
    ) -> Any:
        """Starts the application; returns what passes it events."""
        del config
        queue = request_queue.RequestQueue(
            self._connection.on_full, self._connection.on_room
        )
        self._connection.queue = queue
        self.spawn(_run_app, app, scope, queue, send)
        return queue.put


async def _run_app(
    app: Any, scope: Any, queue: request_queue.RequestQueue, send: Any
) -> None:
    with containment.contained("serving a request", path=scope["path"][:200]):
        await app(scope, queue.get, send)
    queue.finish()
    await send(None)


class Parser(h11.Connection):
    """Parser of requests whose heads and trailers are bounded.

    h11 checks the size of a head only while it is incomplete, and its objects
    take many times the size of short fields.

    Args:
        on_refused: called when a head is refused.
    """

    def __init__(self, on_refused: Callable[[], None]) -> None:
        super().__init__(
            h11.SERVER, max_incomplete_event_size=http_limits.MAX_HEAD_BYTES
        )
        self._on_refused = on_refused

    def next_event(self) -> Any:
        """Returns the next event, without the fields of trailers.

        Raises:
            h11.RemoteProtocolError: the request is malformed or its head is
                too large.
        """
        if self.their_state is h11.IDLE and not http_limits.accepts_head(
            self.trailing_data[0]
        ):
            self._on_refused()
            raise h11.RemoteProtocolError(
                "head too large", error_status_hint=HEAD_TOO_LARGE_STATUS
            )
        event = super().next_event()
        return h11.EndOfMessage() if type(event) is h11.EndOfMessage else event


class Protocol(hypercorn.protocol.h11.H11Protocol):
    """HTTP/1.1 without upgrades to other protocols.

    Args:
        owner: the connection.
        *arguments: arguments of the class that is extended.
    """

    def __init__(self, owner: Connection, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._owner = owner
        self.connection: Parser = Parser(
            lambda: owner.count_refusal(http_limits.Reason.HEAD)
        )

    @property
    def phase(self) -> http_limits.Phase:
        """Which side has to act once all received bytes are handled."""
        state = self.connection.their_state
        if state is h11.SEND_BODY:
            return http_limits.Phase.BODY
        if state is not h11.IDLE:
            return http_limits.Phase.ACTIVE
        if self.connection.trailing_data[0]:
            return http_limits.Phase.HEAD
        return http_limits.Phase.IDLE

    async def _check_protocol(self, event: h11.Request) -> None:
        """Accepts no other protocol."""

    async def _create_stream(self, request: h11.Request) -> None:
        self.stream = hypercorn.protocol.http_stream.HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            hypercorn.protocol.h11.STREAM_ID,
        )
        await self.stream.handle(
            hypercorn.protocol.events.Request(
                stream_id=hypercorn.protocol.h11.STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii").upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1
        await self.context.mark_request()

    async def _maybe_recycle(self) -> None:
        left_bytes = len(self.connection.trailing_data[0])
        self._owner.answered(left_bytes)
        is_last = not (
            self.connection.our_state is h11.DONE
            and self.connection.their_state is h11.DONE
        )
        await super()._maybe_recycle()
        if is_last:
            # hypercorn's reader would wait for ever after an accepted CONNECT.
            self._owner.stop_receiving()
