"""Metrics of the daemons, in Prometheus' text format.

Callers are never a label, so the number of series is bounded by classes,
accounts and outcomes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import collectors
from aioprometheus.formats import text

from pimentobridge.core import request as request_lib
from pimentobridge.core import types

if TYPE_CHECKING:
    from pimentobridge.daemons import agent as agent_lib
    from pimentobridge.daemons import entry as entry_lib

LATENCY_BUCKETS_S = [
    0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 3.4, 5.0, 10.0, 30.0, 60.0, 120.0,
]  # fmt: skip


def outcome_name(outcome: request_lib.Outcome) -> str:
    """Returns the value of the outcome label."""
    if outcome.ran is types.Ran.NO:
        return "refused"
    if outcome.ran is types.Ran.UNKNOWN:
        return "unknown"
    return "failed" if outcome.status >= 500 else "answered"


class EntryMetrics:
    """Metrics of an entry."""

    def __init__(self, entry: entry_lib.Entry) -> None:
        self._entry = entry
        self._registry = collectors.Registry()
        self._requests = collectors.Counter(
            "pimentobridge_requests_total",
            "Requests by their outcome.",
            registry=self._registry,
        )
        self._durations = collectors.Histogram(
            "pimentobridge_request_duration_seconds",
            "Seconds from submission to outcome of answered requests.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._gauges = _Gauges(self._registry)
        entry.dispatcher.on_outcome = self._on_outcome

    def render(self) -> bytes:
        """Returns the metrics in Prometheus' text format."""
        entry = self._entry
        gauges = self._gauges
        gauges.set("configuration_sequence", entry.replica.sequence)
        gauges.set("pending_requests", entry.dispatcher.pending_count)
        gauges.set("retries_total", entry.dispatcher.counters.retried)
        gauges.set("remote_bytes_total", entry.dispatcher.counters.remote_bytes)
        gauges.set("backend_servers", len(entry.dispatcher.pool.by_address))
        gauges.set("gang_conflicts_total", entry.jobs.coordinator.conflicts)
        gauges.set("unhandled_messages_total", entry.unhandled_messages)
        for work_class in entry.dispatcher.backlog.ordered_classes:
            queue = entry.dispatcher.backlog.queue_of(work_class.name)
            gauges.set(
                "queued_requests", len(queue), {"work_class": work_class.name}
            )
        return _render(self._registry)

    def _on_outcome(
        self,
        request: request_lib.Request,
        outcome: request_lib.Outcome,
        elapsed_s: float,
    ) -> None:
        labels = {
            "work_class": request.work_class,
            "account": request.account,
        }
        name = outcome_name(outcome)
        self._requests.inc({**labels, "outcome": name})
        if name == "answered":
            self._durations.observe(labels, elapsed_s)


class AgentMetrics:
    """Metrics of an agent."""

    def __init__(self, agent: agent_lib.Agent) -> None:
        self._agent = agent
        self._registry = collectors.Registry()
        self._gauges = _Gauges(self._registry)

    def render(self) -> bytes:
        """Returns the metrics in Prometheus' text format."""
        agent = self._agent
        gauges = self._gauges
        gauges.set("configuration_sequence", agent.replica.sequence)
        gauges.set("slots", agent.executor.slots)
        gauges.set("running_requests", agent.executor.running)
        gauges.set("execution_records", agent.executor.record_count)
        gauges.set("unhandled_messages_total", agent.unhandled_messages)
        if agent.gangs is not None:
            gauges.set("gangs", len(agent.gangs.members_by_gang))
        return _render(self._registry)


class _Gauges:
    """Gauges that are registered when they are first set."""

    def __init__(self, registry: collectors.Registry) -> None:
        self._registry = registry
        self._by_name: dict[str, collectors.Gauge] = {}

    def set(
        self, name: str, value: float, labels: dict[str, str] | None = None
    ) -> None:
        gauge = self._by_name.get(name)
        if gauge is None:
            gauge = collectors.Gauge(
                f"pimentobridge_{name}",
                name.replace("_", " ").capitalize() + ".",
                registry=self._registry,
            )
            self._by_name[name] = gauge
        gauge.set(labels or {}, value)


def _render(registry: collectors.Registry) -> bytes:
    rendered: bytes = text.TextFormatter().marshall(registry)
    return rendered
