"""Minimal HTTP/1.1 server and client for JSON bodies, on asyncio."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import TYPE_CHECKING
from typing import Any
import urllib.parse

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


@dataclasses.dataclass
class Request:
    """A request with its decoded body; None if it has none."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


@dataclasses.dataclass
class Answer:
    """A response. `status` 0 closes the connection without one."""

    status: int
    body: dict[str, Any] = dataclasses.field(default_factory=dict)


class Server:
    """Serves one address; `stop` also resets the open connections.

    Args:
        address: `IP:PORT`.
        handle: returns the answer to a request.
    """

    def __init__(
        self, address: str, handle: Callable[[Request], Awaitable[Answer]]
    ) -> None:
        self._host, _, port = address.partition(":")
        self._port = int(port)
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, reuse_address=True
        )

    async def stop(self) -> None:
        """Closes the port and all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                answer = await self._handle(request)
                if not answer.status:
                    return
                content = json.dumps(answer.body).encode()
                head = (
                    f"HTTP/1.1 {answer.status} X\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n"
                )
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    line = (await reader.readline()).decode().strip()
    if not line:
        return None
    headers: dict[str, str] = {}
    while field := (await reader.readline()).decode().strip():
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await _read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    content = await reader.readexactly(int(headers.get("content-length", 0)))
    parsed = urllib.parse.urlsplit(target)
    return Request(
        method=method,
        path=parsed.path,
        query=dict(urllib.parse.parse_qsl(parsed.query)),
        headers=headers,
        body=json.loads(content) if content else None,
    )


async def call(
    address: str,
    method: str,
    path: str,
    *,
    body: object | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> Answer:
    """Makes a call on a connection of its own.

    Returns:
        The response; one with status 0 if there is none within the timeout.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, method, path, body, headers or {})
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(0)


async def _call(
    address: str,
    method: str,
    path: str,
    body: object | None,
    headers: dict[str, str],
) -> Answer:
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        content = b"" if body is None else json.dumps(body).encode()
        fields = {"Host": address, "Connection": "close"} | headers
        if content:
            fields["Content-Type"] = "application/json"
        fields["Content-Length"] = str(len(content))
        lines = "".join(f"{name}: {text}\r\n" for name, text in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode())
        writer.write(content)
        await writer.drain()
        head = await _read_head(reader)
        if head is None:
            return Answer(0)
        status = int(head[0].split(" ")[1])
        size = int(head[1].get("content-length", 0))
        received = await reader.readexactly(size)
        return Answer(status, json.loads(received) if received else {})
    finally:
        writer.close()
