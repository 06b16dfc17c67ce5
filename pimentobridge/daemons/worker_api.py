"""HTTP API of an agent for the worker beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from pimentobridge.core import decoding
from pimentobridge.daemons import http
from pimentobridge.daemons import unreadable
from pimentobridge.platform import heartbeats

if TYPE_CHECKING:
    from pimentobridge.daemons import worker_agent

INSTANCES_PREFIX = "/v1/instances/"
HEARTBEAT = "heartbeat"
DEREGISTER = "deregister"


class WorkerApi:
    """ASGI application for the heartbeats and deregistration of a worker."""

    def __init__(self, agent: worker_agent.WorkerAgent) -> None:
        self._agent = agent

    async def __call__(
        self, scope: http.Scope, receive: Any, send: Any
    ) -> None:
        """Serves one HTTP request or the server's lifespan events."""
        await http.serve(scope, receive, send, self._respond)

    async def _respond(self, scope: http.Scope, receive: Any) -> http.Response:
        status = await self._status_of(scope, receive)
        return http.Response(status, b"{}")

    async def _status_of(self, scope: http.Scope, receive: Any) -> int:
        path: str = scope["path"]
        if scope["method"] != "POST" or not path.startswith(INSTANCES_PREFIX):
            return 404
        worker, _, call = path[len(INSTANCES_PREFIX) :].partition("/")
        body = await http.read_body(receive)
        if call == HEARTBEAT:
            try:
                heartbeat = heartbeats.decode(worker, body)
            except decoding.MalformedError as error:
                unreadable.log_skipped(f"heartbeat/{worker}", error)
                return 400
            self._agent.on_heartbeat(heartbeat)
            return 200
        if call == DEREGISTER:
            self._agent.on_deregistered(worker)
            return 200
        return 404
