"""Base class of the daemons: a task that owns state, messages and timers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Protocol

import trio

from pimentobridge.core import links
from pimentobridge.core import membership as membership_lib
from pimentobridge.core import replica as replica_lib
from pimentobridge.core import types
from pimentobridge.protocol import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import random

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import configuration
    from pimentobridge.protocol import transport

HOUSEKEEPING_INTERVAL_S = 1.0
TIMER_RESOLUTION_S = 0.001
PEER_LOST_AFTER_S = 4.0


@dataclasses.dataclass(frozen=True)
class Identity:
    """Identity of a node, made from its settings."""

    node: types.NodeId
    region: types.RegionName
    data_centre: types.DataCentreName
    incarnation: types.Incarnation
    group: str


class Component(Protocol):
    """A part of a node's state that handles messages and timers."""

    def handle(self, message: object, sender: types.Address) -> bool:
        """Handles a message; returns whether it belongs to this component."""

    def on_timer(self) -> None:
        """Performs the actions that are due."""

    def next_wakeup_s(self) -> float:
        """Returns when `on_timer` is due, in seconds of the clock."""


class Node:
    """Runs the components of one process in a single task.

    Subclasses add their components and the contents of their heartbeats.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        endpoint: transport.Endpoint,
        clock: clock_lib.Clock,
        rng: random.Random,
        trusted: Sequence[configuration.Owner],
        entries: Sequence[types.Address],
        accelerators: int = 0,
    ) -> None:
        self.identity = identity
        self.trusted = list(trusted)
        self.endpoint = endpoint
        self.clock = clock
        self.links = links.LinkMonitor(clock)
        self.replica = replica_lib.Replica(
            clock=clock,
            outbox=endpoint,
            trusted=trusted,
            on_change=self._on_document,
        )
        self.membership = membership_lib.Membership(
            clock=clock,
            outbox=endpoint,
            rng=rng,
            address=endpoint.address,
            incarnation=identity.incarnation,
            group=identity.group,
            region=identity.region,
            data_centre=identity.data_centre,
            seeds=entries,
            replica=self.replica,
            accelerators=accelerators,
            seeds_are_group=endpoint.address in entries,
        )
        self.components: list[Component] = [self.replica, self.membership]
        self.unhandled_messages = 0
        self._next_heartbeat_s = clock.monotonic()
        self._next_housekeeping_s = clock.monotonic()
        send, receive = trio.open_memory_channel["Callable[[], None]"](
            float("inf")
        )
        self._call_sender = send
        self._call_receiver = receive
        self._wake = trio.Event()
        self._sleeping_until_s = 0.0
        self.state = types.NodeState.ACTIVE

    @property
    def address(self) -> types.Address:
        """Address that peers send messages to."""
        return self.endpoint.address

    def call_soon(self, call: Callable[[], None]) -> None:
        """Runs `call` in the task that owns the node's state."""
        self._call_sender.send_nowait(call)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_messages)
            nursery.start_soon(self._run_timers)
            async for call in self._call_receiver:
                call()
                self._wake_if_earlier()

    def on_message(
        self, sender: types.Address, message: messages.Message
    ) -> None:
        """Passes a message to the component it belongs to."""
        if isinstance(message, messages.Heartbeat):
            self.links.on_heartbeat(sender, message)
            self.on_heartbeat(sender, message)
            return
        for component in self.components:
            if component.handle(message, sender):
                return
        self.unhandled_messages += 1

    def on_heartbeat(
        self, sender: types.Address, heartbeat: messages.Heartbeat
    ) -> None:
        """Processes a peer's heartbeat."""

    def on_peer_lost(self, peer: types.Address) -> None:
        """Called when a peer has been silent for too long."""

    def on_link_reset(self, peer: types.Address) -> None:
        """Called when the connection to a peer has been replaced."""

    def on_configuration(self, document: configuration.Document) -> None:
        """Called when a newer configuration has come into force."""

    def on_housekeeping(self) -> None:
        """Called regularly to delete data whose retention has ended."""

    def current_load(self) -> messages.Load:
        """Returns the load for heartbeats."""
        return messages.Load(0, 0)

    def slots(self) -> int:
        """Returns the number of slots for heartbeats."""
        return 0

    def heartbeat_peers(self) -> list[types.Address]:
        """Returns the peers that heartbeats are sent to."""
        return self.links.peers

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to each peer."""
        for peer in self.heartbeat_peers():
            self.links.add(peer)
            sequence, echo = self.links.next_sequence(peer)
            identity = self.identity
            self.endpoint.send(
                peer,
                messages.Heartbeat(
                    identity.node,
                    identity.incarnation,
                    identity.region,
                    identity.data_centre,
                    self.state,
                    sequence,
                    echo,
                    self.slots(),
                    self.current_load(),
                ),
            )

    def _on_document(self, document: configuration.Document) -> None:
        self.on_configuration(document)
        self.membership.on_new_configuration()

    async def _receive_messages(self) -> None:
        while True:
            envelope = await self.endpoint.receive()
            self.on_message(envelope.sender, envelope.message)
            self._wake_if_earlier()

    async def _run_timers(self) -> None:
        while True:
            self._on_timers()
            self._wake = trio.Event()
            # Rounding can wake the loop just before a component considers
            # itself due; the minimum sleep keeps the loop from spinning.
            soonest_s = self.clock.monotonic() + TIMER_RESOLUTION_S
            self._sleeping_until_s = max(self._next_wakeup_s(), soonest_s)
            with trio.move_on_at(self._sleeping_until_s):
                await self._wake.wait()

    def _wake_if_earlier(self) -> None:
        if self._next_wakeup_s() < self._sleeping_until_s:
            self._wake.set()

    def _next_wakeup_s(self) -> float:
        wakeups_s = [component.next_wakeup_s() for component in self.components]
        return min(
            *wakeups_s,
            self._next_heartbeat_s,
            self._next_housekeeping_s,
        )

    def _on_timers(self) -> None:
        now_s = self.clock.monotonic()
        if now_s >= self._next_heartbeat_s:
            self._next_heartbeat_s = now_s + links.HEARTBEAT_INTERVAL_S
            self.send_heartbeats()
            self._check_links()
        if now_s >= self._next_housekeeping_s:
            self._next_housekeeping_s = now_s + HOUSEKEEPING_INTERVAL_S
            self.on_housekeeping()
        for component in self.components:
            if component.next_wakeup_s() <= now_s:
                component.on_timer()

    def _check_links(self) -> None:
        for peer in self.links.due_resets():
            self.endpoint.reset(peer)
            self.on_link_reset(peer)
        for peer in self.links.peers:
            if self.links.silence_s(peer) > PEER_LOST_AFTER_S:
                self.on_peer_lost(peer)
