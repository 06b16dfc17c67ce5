"""Calls an ASGI application of this project without a network."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
import urllib.parse

if TYPE_CHECKING:
    from collections.abc import Mapping


async def call(
    app: Any,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    headers: Mapping[str, str] | None = None,
) -> tuple[int, bytes] | None:
    """Returns the status and body of a response; None if there is none.

    Args:
        app: the application.
        method: HTTP method.
        path: path as the request holds it, with percent-encoded bytes.
        body: body of the request.
        headers: headers by name.
    """
    scope = {
        "type": "http",
        "method": method,
        # Servers replace what isn't UTF-8.
        "path": urllib.parse.unquote(path),
        "headers": [
            (name.lower().encode(), value.encode())
            for name, value in (headers or {}).items()
        ],
    }
    events: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(event: dict[str, Any]) -> None:
        events.append(event)

    await app(scope, receive, send)
    if len(events) < 2:
        return None
    return int(events[0]["status"]), bytes(events[1]["body"])
