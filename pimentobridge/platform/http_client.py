"""JSON over HTTP calls to the platform, with pooled connections."""

from __future__ import annotations

import enum
from typing import Any
from typing import Protocol

from absl import logging
import httpcore
import msgspec
import trio

from pimentobridge.core import decoding

KEEP_ALIVE_S = 20.0
CONNECT_TIMEOUT_S = 0.7
MAX_CONNECTIONS = 16
# An answer that has begun to arrive is abandoned only after this time without
# any of it, as its size and so its time on a slow link have no limit here.
PROGRESS_TIMEOUT_S = 1.0


class Failure(enum.Enum):
    """Why a call has no response.

    `REFUSED`: nothing accepts connections at the address. `NOT_SENT`: the call
    was not sent for another reason. In both cases the server can't have acted
    on it. In the other cases the server may have acted on the call or may still
    do so. `NO_ANSWER`: the connection has ended. `TIMED_OUT`: nothing was
    heard.
    """

    REFUSED = "refused"
    NOT_SENT = "not-sent"
    NO_ANSWER = "no-answer"
    TIMED_OUT = "timed-out"


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
            timeout_s: seconds until the call is abandoned, unless its
                response has begun to arrive and goes on to.
            body: object to send as JSON; None for no body.
            headers: additional headers.
        """


class Connection(Client, Protocol):
    """HTTP client that makes all its calls on one connection.

    The first call opens the connection, which is never replaced.
    """

    @property
    def reusable(self) -> bool:
        """Whether the connection is open and waits for another call."""

    async def close(self) -> None:
        """Closes the connection."""


class _JsonCaller:
    """Makes calls over connections of httpcore.

    Args:
        address: `IP:PORT`.
        sender: the pool or the connection that sends the requests.

    Attributes:
        sent_bytes: bytes of the bodies of all calls.
        received_bytes: bytes of the bodies of all answers.
    """

    def __init__(
        self,
        address: str,
        sender: httpcore.AsyncConnectionPool | httpcore.AsyncHTTPConnection,
    ) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self._base = f"http://{address}"
        self._sender = sender

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
                closed, unless its response has begun to arrive and goes on to.
            body: object to send as JSON; None for no body.
            headers: additional headers.

        Returns:
            The response, or why there is none.
        """
        content = b"" if body is None else msgspec.json.encode(body)
        self.sent_bytes += len(content)
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
            with trio.fail_after(timeout_s) as scope:
                async with self._sender.stream(
                    method,
                    self._base + path,
                    headers=list(sent_headers.items()),
                    content=content,
                    extensions={"timeout": timeouts},
                ) as response:
                    received = await self._received(response, scope)
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.ConnectionNotAvailable,
            httpcore.PoolTimeout,
        ) as error:
            return Failure.REFUSED if _is_refusal(error) else Failure.NOT_SENT
        except (httpcore.TimeoutException, trio.TooSlowError):
            return Failure.TIMED_OUT
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return Failure.NO_ANSWER
        return Answer(response.status, _decoded(received))

    async def _received(
        self, response: httpcore.Response, scope: trio.CancelScope
    ) -> bytes:
        """Returns the body; each part of it extends the scope's deadline."""
        parts = []
        async for part in response.aiter_stream():
            parts.append(part)
            self.received_bytes += len(part)
            scope.deadline = max(
                scope.deadline, trio.current_time() + PROGRESS_TIMEOUT_S
            )
        return b"".join(parts)


class HttpClient(_JsonCaller):
    """HTTP client of one address that keeps connections open for reuse.

    Args:
        address: `IP:PORT`.
        max_connections: limit on concurrent connections.
        network: opens the connections; None for the operating system's.
    """

    def __init__(
        self,
        address: str,
        *,
        max_connections: int = MAX_CONNECTIONS,
        network: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
            keepalive_expiry=KEEP_ALIVE_S,
            network_backend=network,
        )
        super().__init__(address, pool)


class HttpConnection(_JsonCaller):
    """HTTP client that makes all its calls on one connection.

    Args:
        address: `IP:PORT`.
        network: opens the connection; None for the operating system's.
    """

    def __init__(
        self,
        address: str,
        *,
        network: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self._connection = httpcore.AsyncHTTPConnection(
            httpcore.URL(f"http://{address}").origin,
            keepalive_expiry=KEEP_ALIVE_S,
            network_backend=network,
        )
        super().__init__(address, self._connection)

    @property
    def reusable(self) -> bool:
        """Whether the connection is open and waits for another call."""
        return (
            self._connection.is_available()
            and not self._connection.has_expired()
        )

    async def close(self) -> None:
        """Closes the connection."""
        await self._connection.aclose()


def _is_refusal(error: BaseException) -> bool:
    """Whether all attempts to connect were refused, as by a closed port."""
    if isinstance(error, ConnectionRefusedError):
        return True
    if isinstance(error, BaseExceptionGroup):
        return all(_is_refusal(attempt) for attempt in error.exceptions)
    return error.__cause__ is not None and _is_refusal(error.__cause__)


_decoder = msgspec.json.Decoder(Any)


def _decoded(content: bytes) -> dict[str, Any]:
    """Returns the JSON object in `content`, or an empty one if none."""
    try:
        body = decoding.decode(_decoder, content) if content else {}
    except decoding.MalformedError as error:
        logging.warning("an answer was taken as empty: %s", error)
        return {}
    return body if isinstance(body, dict) else {}
