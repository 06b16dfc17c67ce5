"""Measures what a process sends and receives, and logs when that is much."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import trio

from pimentobridge.daemons import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

INTERVAL_S = 1.0
# Share of the link's rate, in one direction, from which an interval is logged.
# Queues of a tenth of a second and more form from about there, as messages come
# in groups.
BUSY_SHARE = 0.4
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class Traffic(NamedTuple):
    """Bytes since the start, without the headers of the protocols."""

    sent: int
    received: int


class LinkUse:
    """Logs the intervals in which the machine's link is busy.

    Args:
        link_mbps: rate of the link in each direction, in Mbit/s.
        counters: functions that return the traffic so far, by its other end.
    """

    def __init__(
        self,
        *,
        link_mbps: float,
        counters: Mapping[str, Callable[[], Traffic]],
    ) -> None:
        self._bytes_per_s = link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
        self._counters = counters
        self._previous_by_end = self._read()

    def _read(self) -> dict[str, Traffic]:
        return {end: counter() for end, counter in self._counters.items()}

    async def run(self) -> None:
        """Measures until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            self._measure()

    def _measure(self) -> None:
        traffic_by_end = self._read()
        previous_by_end = self._previous_by_end
        self._previous_by_end = traffic_by_end
        sent_by_end = {
            end: traffic.sent - previous_by_end[end].sent
            for end, traffic in traffic_by_end.items()
        }
        received_by_end = {
            end: traffic.received - previous_by_end[end].received
            for end, traffic in traffic_by_end.items()
        }
        most = max(sum(sent_by_end.values()), sum(received_by_end.values()))
        share = most / (self._bytes_per_s * INTERVAL_S)
        if share >= BUSY_SHARE:
            logs.event(
                "link busy",
                share=round(share, 2),
                sent_bytes=sent_by_end,
                received_bytes=received_by_end,
            )
