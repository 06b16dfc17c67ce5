"""Interface to a backend server and its HTTP implementation."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import httpcore
import msgspec
import trio

if TYPE_CHECKING:
    from pimentobridge.core import request as request_lib

MAX_CONNECTIONS = 64
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.2
BAD_GATEWAY = 502


class Reply(msgspec.Struct, frozen=True):
    """Complete response of a backend server."""

    status: int
    body: bytes


class Backend(Protocol):
    """The backend server on the same machine as an agent."""

    async def perform(self, request: request_lib.Request) -> Reply:
        """Runs the work of a request and returns its complete response."""


class HttpBackend:
    """Backend server reached over HTTP.

    Each request carries its key as `Idempotency-Key`, so that a retry over a
    new connection doesn't run the work twice.

    Args:
        base_url: URL to which the request paths are appended.
        timeout_s: longest wait for data of the response.
    """

    def __init__(self, base_url: str, *, timeout_s: float = 600.0) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS
        )

    async def perform(self, request: request_lib.Request) -> Reply:
        """Runs the work of a request and returns its complete response.

        Lost connections are retried with exponential backoff. A 502 response
        stands for a backend server that gave no complete response.
        """
        for attempt in range(MAX_ATTEMPTS):
            try:
                return await self._post(request)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                await trio.sleep(RETRY_DELAY_S * 2**attempt)
            except httpcore.TimeoutException:
                break
        return Reply(
            BAD_GATEWAY,
            b"The backend server gave no whole answer. Check that it runs and"
            b" listens on the agent's backend_url.",
        )

    async def _post(self, request: request_lib.Request) -> Reply:
        response = await self._pool.request(
            "POST",
            f"{self._base_url}/work/{request.work_class}",
            headers={
                "Idempotency-Key": request.key,
                "Client-Account": request.account,
                "Content-Type": "application/octet-stream",
            },
            content=request.payload,
            extensions={
                "timeout": {"read": self._timeout_s, "connect": 2.0},
            },
        )
        return Reply(response.status, response.content)
