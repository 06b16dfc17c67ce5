"""Infers that the workers of a service are replaced one after the other.

A rolling update that doesn't change the workers' version, such as one of their
configuration, shows only in that some workers drain while others join. The
workers that were there before are then expected to drain next.
"""

from __future__ import annotations

import collections
import dataclasses

# Drains and joins within this time belong together. The replacement of a worker
# joins first, and a drain begins once it is ready.
WINDOW_S = 10.0
JOIN_LEAD_S = 5.0
# Fewer drains or joins than this are single workers that leave or restart.
MIN_WORKERS = 3
# Workers that a new scheduler hears of within this time were there before.
SETTLE_S = 3.0


@dataclasses.dataclass
class _Service:
    """Drains and joins of one service's workers.

    Attributes:
        drains_s: monotonic times of the latest drains.
        joins_s: monotonic times of the latest joins.
        notice_s: minimum time until the departure, as last reported by a worker
            that drains.
        replaced_before_s: workers that joined before this time are expected to
            drain; None without a replacement.
    """

    drains_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    joins_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    notice_s: float | None = None
    replaced_before_s: float | None = None


class Replacements:
    """The services whose workers are being replaced.

    Args:
        started_s: monotonic time at which this scheduler began to learn of
            workers.
    """

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._services_by_name: dict[str, _Service] = {}

    def on_join(self, service: str, now_s: float) -> None:
        """Notes that a worker has joined."""
        if now_s - self._started_s >= SETTLE_S:
            self._get_or_add(service).joins_s.append(now_s)
            self._infer(service, now_s)

    def on_drain(
        self, service: str, notice_s: float | None, now_s: float
    ) -> None:
        """Notes that a worker has begun to drain.

        Args:
            service: the worker's service.
            notice_s: minimum time until its departure, in seconds.
            now_s: current monotonic time.
        """
        state = self._get_or_add(service)
        state.drains_s.append(now_s)
        state.notice_s = notice_s
        self._infer(service, now_s)

    def notice_s(self, service: str) -> float | None:
        """Returns the notice that workers of a service get; None if unknown."""
        state = self._services_by_name.get(service)
        return state.notice_s if state is not None else None

    def replaced_before_s(self, service: str, now_s: float) -> float | None:
        """Returns since when the workers that aren't replaced have joined.

        Returns None if the workers of the service aren't being replaced.
        """
        state = self._services_by_name.get(service)
        if state is None or not state.drains_s:
            return None
        if now_s - state.drains_s[-1] > WINDOW_S:
            state.replaced_before_s = None
        return state.replaced_before_s

    def _get_or_add(self, service: str) -> _Service:
        return self._services_by_name.setdefault(service, _Service())

    def _infer(self, service: str, now_s: float) -> None:
        state = self._services_by_name[service]
        known = self.replaced_before_s(service, now_s) is not None
        _drop_before(state.drains_s, now_s - WINDOW_S)
        _drop_before(state.joins_s, now_s - WINDOW_S - JOIN_LEAD_S)
        if known:
            # The first replacements stay known until the end.
            return
        if min(len(state.drains_s), len(state.joins_s)) >= MIN_WORKERS:
            state.replaced_before_s = state.joins_s[0]


def _drop_before(times_s: collections.deque[float], limit_s: float) -> None:
    while times_s and times_s[0] < limit_s:
        times_s.popleft()
