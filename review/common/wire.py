"""JSON over HTTP/1.1 on loopback, for the stand-ins of the cases."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import Any


@dataclasses.dataclass
class Request:
    """A request with its decoded JSON body."""

    method: str
    path: str
    headers: dict[str, str]
    body: dict[str, Any]


def host_and_port(address: str) -> tuple[str, int]:
    """Returns the parts of an address IP:PORT."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in rest)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


def _decoded(content: bytes) -> Any:
    return json.loads(content) if content else {}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Returns the next request of a connection; None at its end."""
    head = await _read_head(reader)
    if head is None:
        return None
    method, path, _ = head[0].split(" ", 2)
    size = int(head[1].get("content-length", "0"))
    content = await reader.readexactly(size)
    return Request(method, path, head[1], _decoded(content))


async def write_response(
    writer: asyncio.StreamWriter, status: int, body: object
) -> None:
    """Sends a response and keeps the connection open."""
    content = json.dumps(body).encode()
    head = (
        f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    writer.write(head.encode() + content)
    await writer.drain()


async def call(
    address: str,
    method: str,
    path: str,
    body: object | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Makes a call on a connection of its own; returns status and body.

    Raises:
        OSError: the connection failed.
        EOFError: the connection ended without a whole answer.
    """
    content = b"" if body is None else json.dumps(body).encode()
    fields = {"Host": address} | (headers or {})
    fields |= {"Content-Length": str(len(content)), "Connection": "close"}
    fields |= {"Content-Type": "application/json"}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    reader, writer = await asyncio.open_connection(*host_and_port(address))
    try:
        head = f"{method} {path} HTTP/1.1\r\n{lines}\r\n"
        writer.write(head.encode() + content)
        await writer.drain()
        answer = await _read_head(reader)
        if answer is None:
            raise EOFError("the connection ended without an answer")
        size = int(answer[1].get("content-length", "0"))
        status = int(answer[0].split(" ")[1])
        return status, _decoded(await reader.readexactly(size))
    finally:
        writer.close()
