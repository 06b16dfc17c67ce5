"""JSON over HTTP calls to the platform, with pooled connections."""

from __future__ import annotations

import enum
from typing import Any
from typing import Protocol

import httpcore
import msgspec
import trio

KEEP_ALIVE_S = 20.0
CONNECT_TIMEOUT_S = 0.7
MAX_CONNECTIONS = 16


class Failure(enum.Enum):
    """Why a call has no response.

    `NOT_SENT`: the call was not sent, so that the server can't have acted on
    it. `NO_ANSWER`: the server may have acted on the call or may still do so.
    """

    NOT_SENT = "not-sent"
    NO_ANSWER = "no-answer"


class Answer(msgspec.Struct, frozen=True):
    """A response with its decoded JSON body.

    Attributes:
        body: the decoded JSON object; empty if the response holds none.
    """

    status: int
    body: dict[str, Any]


class Client(Protocol):
    """HTTP client of one address."""

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: object | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer | Failure:
        """Makes a call and returns the response, or why there is none.

        Args:
            method: HTTP method.
            path: path and query.
            timeout_s: seconds until the call is abandoned.
            body: object to send as JSON; None for no body.
            headers: additional headers.
        """


class HttpClient:
    """HTTP client of one address that keeps connections open for reuse.

    Args:
        address: `IP:PORT`.
        max_connections: limit on concurrent connections.
    """

    def __init__(
        self, address: str, *, max_connections: int = MAX_CONNECTIONS
    ) -> None:
        self._base = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
            keepalive_expiry=KEEP_ALIVE_S,
        )

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: object | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer | Failure:
        """Makes a call.

        Args:
            method: HTTP method.
            path: path and query.
            timeout_s: seconds until the call is abandoned and its connection
                closed.
            body: object to send as JSON; None for no body.
            headers: additional headers.

        Returns:
            The response, or why there is none.
        """
        content = b"" if body is None else msgspec.json.encode(body)
        sent_headers = dict(headers or {})
        if body is not None:
            sent_headers["Content-Type"] = "application/json"
        timeouts = {
            "connect": min(CONNECT_TIMEOUT_S, timeout_s),
            "pool": timeout_s,
            "read": timeout_s,
            "write": timeout_s,
        }
        try:
            with trio.fail_after(timeout_s):
                response = await self._pool.request(
                    method,
                    self._base + path,
                    headers=list(sent_headers.items()),
                    content=content,
                    extensions={"timeout": timeouts},
                )
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ):
            return Failure.NOT_SENT
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
        ):
            return Failure.NO_ANSWER
        return Answer(response.status, _decoded(response.content))


def _decoded(content: bytes) -> dict[str, Any]:
    """Returns the JSON object in `content`, or an empty one if none."""
    try:
        body = msgspec.json.decode(content) if content else {}
    except (msgspec.DecodeError, UnicodeDecodeError):
        return {}
    return body if isinstance(body, dict) else {}
