"""Detection of silent connections to peers, by heartbeats with echoes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.protocol import messages

HEARTBEAT_INTERVAL_S = 0.4
SILENCE_TIMEOUT_S = 1.2
RESET_INTERVAL_S = 1.0


@dataclasses.dataclass
class Link:
    """State of the connection to one peer, in seconds of the local clock.

    Attributes:
        last_heard_s: when the peer's last heartbeat arrived.
        echoed_sent_s: when the newest heartbeat that the peer echoed was sent.
        sequence: sequence number of the last heartbeat sent.
        peer_sequence: highest sequence number received from the peer.
        last_reset_s: when the connection was last reported for a reset.
        incarnation: incarnation of the peer that sent its last heartbeat.
        sent_s_by_sequence: send times of the latest heartbeats.
    """

    last_heard_s: float
    echoed_sent_s: float
    sequence: int = 0
    peer_sequence: int = 0
    last_reset_s: float = -1e9
    incarnation: int = 0
    sent_s_by_sequence: dict[int, float] = dataclasses.field(
        default_factory=dict
    )


class LinkMonitor:
    """Monitors the connections of one node in both directions.

    A heartbeat echoes the highest sequence number received from the other end,
    so each end detects when its own outgoing messages no longer arrive.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._links_by_peer: dict[types.Address, Link] = {}

    @property
    def peers(self) -> list[types.Address]:
        """Addresses of the monitored peers."""
        return list(self._links_by_peer)

    def add(self, peer: types.Address) -> None:
        """Starts monitoring the connection to `peer`."""
        now_s = self._clock.monotonic()
        self._links_by_peer.setdefault(peer, Link(now_s, now_s))

    def remove(self, peer: types.Address) -> None:
        """Stops monitoring the connection to `peer`."""
        self._links_by_peer.pop(peer, None)

    def next_sequence(self, peer: types.Address) -> tuple[int, int]:
        """Returns the sequence number and echo for the next heartbeat."""
        link = self._links_by_peer[peer]
        link.sequence += 1
        link.sent_s_by_sequence[link.sequence] = self._clock.monotonic()
        if len(link.sent_s_by_sequence) > 64:
            del link.sent_s_by_sequence[min(link.sent_s_by_sequence)]
        return link.sequence, link.peer_sequence

    def on_heartbeat(
        self, peer: types.Address, heartbeat: messages.Heartbeat
    ) -> None:
        """Records a heartbeat and the sequence number that it echoes."""
        self.add(peer)
        link = self._links_by_peer[peer]
        if heartbeat.incarnation != link.incarnation:
            link.incarnation = heartbeat.incarnation
            link.peer_sequence = 0
        link.last_heard_s = self._clock.monotonic()
        link.peer_sequence = max(link.peer_sequence, heartbeat.sequence)
        sent_s = link.sent_s_by_sequence.get(heartbeat.echo)
        if sent_s is not None:
            link.echoed_sent_s = max(link.echoed_sent_s, sent_s)

    def silence_s(self, peer: types.Address) -> float:
        """Returns the seconds since the last heartbeat from `peer`."""
        link = self._links_by_peer.get(peer)
        if link is None:
            return float("inf")
        return self._clock.monotonic() - link.last_heard_s

    def due_resets(self) -> list[types.Address]:
        """Returns the peers to reconnect to, and records the reset time."""
        now_s = self._clock.monotonic()
        due = []
        for peer, link in self._links_by_peer.items():
            silent = (
                now_s - min(link.last_heard_s, link.echoed_sent_s)
                > SILENCE_TIMEOUT_S
            )
            if silent and now_s - link.last_reset_s >= RESET_INTERVAL_S:
                link.last_reset_s = now_s
                due.append(peer)
        return due
