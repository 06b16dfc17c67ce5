"""Connections to a worker's runner, each bound to one incarnation of it.

A runner that starts again keeps its id, and a call names only that. But a
connection ends with the process that has accepted it. What is sent on a
connection on which an incarnation has identified itself reaches that
incarnation or none.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from pimentobridge.platform import http_client
from pimentobridge.platform import runner_status

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pimentobridge.core.jobs import runs

    Verify = Callable[
        [http_client.Connection], Awaitable[runner_status.PollFailure | None]
    ]


class VerifiedConnections:
    """Opens connections, and keeps them open for reuse by one incarnation.

    Args:
        open_connection: returns a new connection to the runner's address.
        max_connections: limit on connections in use at the same time.
    """

    def __init__(
        self,
        open_connection: Callable[[], http_client.Connection],
        *,
        max_connections: int = http_client.MAX_CONNECTIONS,
    ) -> None:
        self._open_connection = open_connection
        self._limiter = trio.CapacityLimiter(max_connections)
        self._idle: list[
            tuple[runs.IncarnationKey, http_client.Connection]
        ] = []

    @contextlib.asynccontextmanager
    async def use(
        self,
        incarnation: runs.IncarnationKey,
        *,
        verify: Verify,
        timeout_s: float,
    ) -> AsyncIterator[http_client.Connection | runner_status.PollFailure]:
        """Provides a connection to an incarnation, or why there is none.

        Args:
            incarnation: the one to reach.
            verify: polls over a new connection, before its first use, whether
                the incarnation is at its other end.
            timeout_s: longest wait while too many connections are in use, in
                seconds.
        """
        with trio.move_on_after(timeout_s) as waiting:
            await self._limiter.acquire()
        if waiting.cancelled_caught:
            yield runner_status.PollFailure.UNKNOWN
            return
        try:
            connection = await self._take_idle(incarnation)
            if connection is None:
                connection = self._open_connection()
                failure = await verify(connection)
                if failure is not None:
                    await connection.close()
                    yield failure
                    return
            yield connection
            self._idle.append((incarnation, connection))
        finally:
            self._limiter.release()

    async def _take_idle(
        self, incarnation: runs.IncarnationKey
    ) -> http_client.Connection | None:
        """Returns a connection to an incarnation, and closes ended ones."""
        ended = [row for row in self._idle if not row[1].reusable]
        self._idle = [row for row in self._idle if row not in ended]
        taken = next((row for row in self._idle if row[0] == incarnation), None)
        if taken is not None:
            self._idle.remove(taken)
        for _, connection in ended:
            await connection.close()
        return taken[1] if taken is not None else None
