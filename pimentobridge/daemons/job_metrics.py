"""Metrics of the entries and agents on the platform, as Prometheus text.

The event counters also count events whose log line was dropped. The labels are
events, outcomes, methods and status codes: a few dozen series.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from aioprometheus import collectors
from aioprometheus.formats import text

from pimentobridge.daemons import http
from pimentobridge.daemons import logs

if TYPE_CHECKING:
    from collections.abc import Callable

PATH = "/metrics"
LATENCY_BUCKETS_S = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.4, 5.0, 10.0, 30.0,
]  # fmt: skip


class Metrics:
    """Metrics of one process.

    Args:
        gauges: returns the current value of each gauge by name.
    """

    def __init__(self, gauges: Callable[[], dict[str, float]]) -> None:
        self._read_gauges = gauges
        self._registry = collectors.Registry()
        self._events = collectors.Counter(
            "pimentobridge_events_total",
            "Logged events by message and outcome.",
            registry=self._registry,
        )
        self._requests = collectors.Histogram(
            "pimentobridge_request_seconds",
            "Seconds from a caller's request to its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._gauges_by_name: dict[str, collectors.Gauge] = {}

    def observe_request(self, method: str, status: int, seconds: float) -> None:
        """Records an answered request and its duration."""
        labels = {"method": method, "status": str(status)}
        self._requests.observe(labels, seconds)

    def render(self) -> bytes:
        """Returns the metrics in Prometheus' text format."""
        for (event, outcome), count in logs.event_counts.items():
            self._events.set({"event": event, "outcome": outcome}, count)
        for name, value in self._read_gauges().items():
            self._gauge(name).set({}, value)
        rendered: bytes = text.TextFormatter().marshall(self._registry)
        return rendered

    def _gauge(self, name: str) -> collectors.Gauge:
        gauge = self._gauges_by_name.get(name)
        if gauge is None:
            gauge = collectors.Gauge(
                f"pimentobridge_{name}",
                f"{name.replace('_', ' ').capitalize()}.",
                registry=self._registry,
            )
            self._gauges_by_name[name] = gauge
        return gauge

    async def __call__(
        self, scope: http.Scope, receive: Any, send: Any
    ) -> None:
        """Serves the metrics as an ASGI application."""
        await http.serve(scope, receive, send, self._respond)

    async def _respond(self, scope: http.Scope, receive: Any) -> http.Response:
        del receive
        if scope["path"] != PATH:
            return http.Response(404, b"")
        return http.Response(200, self.render(), content_type=http.METRICS_TYPE)
