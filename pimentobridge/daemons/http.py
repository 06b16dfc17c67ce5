"""Helpers for the ASGI applications."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
import urllib.parse

import msgspec

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_BODY_BYTES = 8 * 1024 * 1024
# Type of the event that ends a request's body when the request is refused; an
# extension of ASGI by `http_connection`.
REFUSED = "pimentobridge.refused"

Scope = dict[str, Any]


class BodyTooLargeError(Exception):
    """Raised when a request's body is longer than the limit."""


class RequestRefusedError(Exception):
    """Raised when the server refuses a request before its body is complete."""


class DisconnectedError(Exception):
    """Raised when the client leaves before its request is complete."""


class Response(msgspec.Struct, frozen=True):
    """An HTTP response with its complete body."""

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: list[tuple[bytes, bytes]] = []


def header(scope: Scope, name: str) -> str:
    """Returns a request header's value, or an empty string."""
    encoded_name = name.lower().encode()
    for key, value in scope["headers"]:
        if key.lower() == encoded_name:
            return bytes(value).decode("latin-1")
    return ""


def query_value(scope: Scope, name: str) -> str:
    """Returns a query parameter's value, or an empty string."""
    query = urllib.parse.parse_qs(
        bytes(scope.get("query_string", b"")).decode("latin-1")
    )
    return query.get(name, [""])[0]


async def read_body(receive: Any, limit: int = MAX_BODY_BYTES) -> bytes:
    """Returns the complete body of a request.

    Raises:
        BodyTooLargeError: it is longer than `limit` bytes.
        RequestRefusedError: the server needs the memory for other requests, or
            the client is too slow.
        DisconnectedError: the client has left before the end of the body.
    """
    # One buffer, as a body in parts of a byte each would take many times its
    # size as a list.
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] == REFUSED:
            raise RequestRefusedError
        if event["type"] == "http.disconnect":
            raise DisconnectedError
        body += event.get("body", b"")
        if len(body) > limit:
            raise BodyTooLargeError
        if not event.get("more_body", False):
            return bytes(body)


async def serve(
    scope: Scope,
    receive: Any,
    send: Any,
    respond: Callable[[Scope, Any], Awaitable[Response]],
) -> None:
    """Serves one HTTP request or the server's lifespan events.

    Args:
        scope: ASGI scope of the request or the lifespan.
        receive: returns the events that carry the request's body.
        send: sends the events of the response.
        respond: returns the response to a request.
    """
    if scope["type"] == "lifespan":
        await accept_lifespan(receive, send)
    elif scope["type"] == "http":
        try:
            response = await respond(scope, receive)
        except DisconnectedError:
            return
        except RequestRefusedError:
            response = overloaded()
        except BodyTooLargeError:
            response = Response(413, b'{"error": "the body is too long."}')
        await send_response(send, response)


def overloaded() -> Response:
    """Returns the response to a request that was refused and hasn't run."""
    return Response(
        503,
        b'{"error": "not run: the server is overloaded."}',
        headers=[(b"retry-after", b"1")],
    )


async def send_response(send: Any, response: Response) -> None:
    """Sends a response."""
    headers = [
        (b"content-type", response.content_type.encode()),
        (b"content-length", str(len(response.body)).encode()),
        *response.headers,
    ]
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": response.body})


async def accept_lifespan(receive: Any, send: Any) -> None:
    """Acknowledges the server's start-up and shutdown events."""
    while True:
        event = await receive()
        if event["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif event["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return
