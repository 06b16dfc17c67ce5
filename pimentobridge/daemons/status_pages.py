"""HTTP endpoints of an entry: health, metrics and status."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from pimentobridge.core import types
from pimentobridge.daemons import http
from pimentobridge.daemons import status

if TYPE_CHECKING:
    from pimentobridge.daemons import entry as entry_lib
    from pimentobridge.daemons import metrics


class StatusPages:
    """Serves health, metrics and status of an entry."""

    def __init__(
        self, entry: entry_lib.Entry, entry_metrics: metrics.EntryMetrics
    ) -> None:
        self._entry = entry
        self._metrics = entry_metrics

    async def respond(
        self, scope: http.Scope, receive: Any
    ) -> http.Response | None:
        """Returns the response for the scope's path, or None if it has none."""
        path = scope["path"]
        if path == "/healthz":
            return self._health()
        if path == "/metrics":
            return http.Response(200, self._metrics.render(), http.METRICS_TYPE)
        if path == "/v1/status":
            body = msgspec.json.encode(status.status_of(self._entry))
            return http.Response(200, body)
        return None

    def _health(self) -> http.Response:
        """Returns 200 if the balancer should send requests here, else 503."""
        active = self._entry.state is types.NodeState.ACTIVE
        configured = self._entry.replica.document is not None
        if active and configured:
            return http.Response(200, b"ok\n", "text/plain")
        return http.Response(503, b"not ready\n", "text/plain")
