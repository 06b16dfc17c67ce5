"""TCP proxy on loopback that injects faults into its connections."""

from __future__ import annotations

import dataclasses
import enum
import socket
import struct

import trio

CHUNK_BYTES = 65536


class LinkFault(enum.Enum):
    """Fault of the connections through a proxy.

    Attributes:
        ALL: bytes in both directions are lost.
        ANSWERS: bytes to the caller are lost.
        RESET: new connections are reset.
    """

    ALL = "all"
    ANSWERS = "answers"
    RESET = "reset"


@dataclasses.dataclass(eq=False)
class _Connection:
    """A forwarded connection; once it has lost bytes, it forwards no more."""

    caller: trio.SocketStream
    scope: trio.CancelScope
    silent: bool = False


class LoopbackProxy:
    """Listens at one address and forwards connections to another.

    Args:
        listen: IP and port that callers use.
        target: IP and port of the real server.

    Attributes:
        link_fault: current fault; None while there is none.
        delay_s: delay of each forwarded chunk, in seconds.
    """

    def __init__(
        self, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self._listen = listen
        self._target = target
        self._connections: set[_Connection] = set()
        self.link_fault: LinkFault | None = None
        self.delay_s = 0.0

    async def run(self) -> None:
        """Serves until cancelled."""
        host, port = self._listen
        await trio.serve_tcp(self._serve, port, host=host)

    def silence_open_connections(self) -> None:
        """Stops forwarding on the open connections; new connections work."""
        for connection in self._connections:
            connection.silent = True

    def reset_open_connections(self) -> None:
        """Resets the open connections."""
        for connection in list(self._connections):
            _reset_on_close(connection.caller)
            connection.scope.cancel()

    async def _serve(self, caller: trio.SocketStream) -> None:
        if self.link_fault is LinkFault.RESET:
            _reset_on_close(caller)
            return
        with trio.CancelScope() as scope:
            connection = _Connection(caller, scope)
            self._connections.add(connection)
            try:
                await self._forward(connection)
            except* (
                OSError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ):
                # If either end disconnects, the caller's connection is reset.
                _reset_on_close(caller)
            finally:
                self._connections.discard(connection)

    async def _forward(self, connection: _Connection) -> None:
        host, port = self._target
        server = await trio.open_tcp_stream(host, port)
        caller = connection.caller
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, connection, caller, server, False)
            await self._copy(connection, server, caller, True)
            nursery.cancel_scope.cancel()

    async def _copy(
        self,
        connection: _Connection,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        to_caller: bool,
    ) -> None:
        while True:
            data = await source.receive_some(CHUNK_BYTES)
            if not data:
                connection.scope.cancel()
                return
            await trio.sleep(self.delay_s)
            lost = self.link_fault is LinkFault.ALL or (
                self.link_fault is LinkFault.ANSWERS and to_caller
            )
            # A byte stream with a gap can't be continued.
            connection.silent = connection.silent or lost
            if not connection.silent:
                await sink.send_all(data)


def _reset_on_close(stream: trio.SocketStream) -> None:
    stream.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
