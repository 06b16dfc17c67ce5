"""A proxy on loopback that can cut a link silently, as a partition does."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import wire

CHUNK_BYTES = 65536
# The kernel drops the opening packets of further connections when the queue of
# those that aren't accepted yet is full.
BACKLOG = 0
FILL_TIMEOUT_S = 0.1
MAX_FILLERS = 4
# Time for what was written last to leave before a connection is reset.
CLOSE_DELAY_S = 0.01


class Link:
    """Forwards connections to `listen` to the address `target`.

    While it is cut, nothing passes on open connections, what was sent waits
    until the cut has healed or its sender has given up, and the opening packets
    of new connections get no answer.
    """

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(wire.host_and_port(listen))
        self._socket.listen(BACKLOG)
        self._socket.setblocking(False)
        self._whole = asyncio.Event()
        self._whole.set()
        self._accepting: asyncio.Task[None] | None = None
        self._forwards: set[asyncio.Task[None]] = set()
        self._fillers: list[socket.socket] = []

    def start(self) -> None:
        """Starts to accept connections."""
        self._accepting = asyncio.create_task(self._accept())

    async def cut(self) -> None:
        """Cuts the link, in both directions."""
        self._whole.clear()
        if self._accepting is not None:
            self._accepting.cancel()
        for _ in range(MAX_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            self._fillers.append(filler)
            connecting = asyncio.get_running_loop().sock_connect(
                filler, wire.host_and_port(self._listen)
            )
            try:
                await asyncio.wait_for(connecting, FILL_TIMEOUT_S)
            except TimeoutError:
                return

    def heal(self) -> None:
        """Lets everything pass again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._whole.set()
        self.start()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            caller, _ = await loop.sock_accept(self._socket)
            task = asyncio.create_task(self._forward(caller))
            self._forwards.add(task)
            task.add_done_callback(self._forwards.discard)

    async def _forward(self, caller: socket.socket) -> None:
        with contextlib.suppress(OSError, EOFError):
            reader, writer = await asyncio.open_connection(sock=caller)
            try:
                await self._exchange(reader, writer)
            finally:
                # Either end may have ended the connection.
                writer.transport.abort()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copies both ways until one end has closed the connection."""
        server_reader, server_writer = await asyncio.open_connection(
            *wire.host_and_port(self._target)
        )
        copies = [
            asyncio.create_task(self._copy(reader, server_writer)),
            asyncio.create_task(self._copy(server_reader, writer)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(CLOSE_DELAY_S)
        finally:
            for copy in copies:
                copy.cancel()
            server_writer.transport.abort()

    async def _copy(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK_BYTES):
                await self._whole.wait()
                sink.write(data)
                await sink.drain()
            await self._whole.wait()
