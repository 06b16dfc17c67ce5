"""HTTP endpoint for the metrics of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from pimentobridge.daemons import http

if TYPE_CHECKING:
    from pimentobridge.daemons import metrics


class AgentApp:
    """ASGI application that serves an agent's metrics."""

    def __init__(self, agent_metrics: metrics.AgentMetrics) -> None:
        self._metrics = agent_metrics

    async def __call__(
        self, scope: http.Scope, receive: Any, send: Any
    ) -> None:
        """Serves one HTTP request or the server's lifespan events."""
        if scope["type"] == "lifespan":
            await http.accept_lifespan(receive, send)
        elif scope["type"] == "http" and scope["path"] == "/metrics":
            response = http.Response(
                200, self._metrics.render(), http.METRICS_TYPE
            )
            await http.send_response(send, response)
        elif scope["type"] == "http":
            response = http.Response(404, b"see /metrics\n", "text/plain")
            await http.send_response(send, response)
