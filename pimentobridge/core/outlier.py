"""Temporary ejection of backend servers that fail or run slowly."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types

DECAY_S = 5.0  # time constant of the exponential decay of the statistics
MIN_WEIGHT = 3.0  # decayed number of outcomes needed to eject a server
FAILURE_LIMIT = 0.35  # fraction of outcomes
SLOWNESS_LIMIT = 3.0  # multiple of the expected run time
MAX_EJECTED_FRACTION = 0.5  # a third left one of three bad servers in use
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0


@dataclasses.dataclass
class _Statistics:
    """Decayed outcome statistics of one backend server.

    Attributes:
        weight: decayed number of outcomes.
        slowness: decayed sum of the slowness of all outcomes.
        ejections: ejections so far; the duration doubles with each.
        probing: whether the server is ejected, or readmitted for one request at
            a time until one succeeds.
    """

    updated_s: float = 0.0
    weight: float = 0.0
    failures: float = 0.0
    slowness: float = 0.0
    ejected_until_s: float = 0.0
    ejections: int = 0
    probing: bool = False

    def decay(self, now_s: float) -> None:
        factor = math.exp(-(now_s - self.updated_s) / DECAY_S)
        self.weight *= factor
        self.failures *= factor
        self.slowness *= factor
        self.updated_s = now_s


class OutlierDetector:
    """Ejects and probes backend servers by their outcome statistics.

    Run times are compared with the expected run time for the class and account,
    so a server that happens to receive long work isn't mistaken for a slow one.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._statistics_by_peer: dict[types.Address, _Statistics] = {}
        self.ejections_by_peer: dict[types.Address, int] = {}

    def observe(
        self, peer: types.Address, *, failed: bool, slowness: float
    ) -> None:
        """Records one outcome.

        Args:
            peer: agent of the backend server.
            failed: whether the backend server failed the work.
            slowness: run time as a multiple of the expected run time.
        """
        now_s = self._clock.monotonic()
        stats = self._statistics_by_peer.setdefault(peer, _Statistics(now_s))
        stats.decay(now_s)
        stats.weight += 1.0
        stats.failures += float(failed)
        stats.slowness += min(slowness, 20.0)
        healthy = not failed and slowness < SLOWNESS_LIMIT
        if stats.probing:
            self._on_probe(peer, stats, healthy=healthy)
        elif self._is_outlier(stats):
            self._eject(peer, stats)

    def may_use(self, peer: types.Address) -> bool:
        """Returns whether new work may be sent to `peer` now."""
        stats = self._statistics_by_peer.get(peer)
        if stats is None or not stats.ejections:
            return True
        return self._clock.monotonic() >= stats.ejected_until_s

    def on_dispatch(self, peer: types.Address) -> None:
        """Ejects a probed peer again until its probe request has completed.

        The ejection lasts `BASE_EJECTION_S`, after which a peer whose probe has
        no outcome may receive another.
        """
        stats = self._statistics_by_peer.get(peer)
        if stats is not None and stats.probing:
            stats.ejected_until_s = self._clock.monotonic() + BASE_EJECTION_S

    def remove_absent(self, present: Iterable[types.Address]) -> None:
        """Drops the statistics of peers that are not in `present`."""
        present_peers = set(present)
        for peer in list(self._statistics_by_peer):
            if peer not in present_peers:
                del self._statistics_by_peer[peer]

    def _is_outlier(self, stats: _Statistics) -> bool:
        if stats.weight < MIN_WEIGHT:
            return False
        failing = stats.failures / stats.weight > FAILURE_LIMIT
        slow = stats.slowness / stats.weight > SLOWNESS_LIMIT
        if not failing and not slow:
            return False
        # When most peers look equally bad, the cause is the work rather than a
        # server, so the fraction of ejected peers is limited.
        peer_count = len(self._statistics_by_peer)
        now_s = self._clock.monotonic()
        ejected_count = sum(
            other.probing or other.ejected_until_s > now_s
            for other in self._statistics_by_peer.values()
        )
        return ejected_count + 1 <= max(1, peer_count * MAX_EJECTED_FRACTION)

    def _eject(self, peer: types.Address, stats: _Statistics) -> None:
        duration_s = min(BASE_EJECTION_S * 2**stats.ejections, MAX_EJECTION_S)
        stats.ejections += 1
        stats.probing = True
        stats.ejected_until_s = self._clock.monotonic() + duration_s
        self.ejections_by_peer[peer] = self.ejections_by_peer.get(peer, 0) + 1

    def _on_probe(
        self, peer: types.Address, stats: _Statistics, *, healthy: bool
    ) -> None:
        if healthy and self._clock.monotonic() >= stats.ejected_until_s - (
            BASE_EJECTION_S
        ):
            stats.probing = False
            stats.weight = stats.failures = stats.slowness = 0.0
            stats.ejected_until_s = 0.0
        elif not healthy:
            self._eject(peer, stats)
