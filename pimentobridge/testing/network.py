"""In-memory transport in virtual time that simulates network faults."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import math
from typing import TYPE_CHECKING

import trio

from pimentobridge.protocol import codec
from pimentobridge.protocol import transport

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from pimentobridge.core import types
    from pimentobridge.protocol import messages
    from pimentobridge.testing import links

FRAME_OVERHEAD_BYTES = 40
# Each delay is lengthened at random by up to this share.
JITTER = 0.1
# Arrival times are rounded up to multiples of this.
TICK_S = 0.0001


@dataclasses.dataclass(frozen=True)
class Place:
    """Location of an address."""

    region: str
    data_centre: str


@dataclasses.dataclass
class Faults:
    """Current faults of the network.

    Attributes:
        loss: probability that a frame is lost.
        delay_factor: multiplies the delay of each frame.
        reorder: probability that a frame may be overtaken by later ones.
        regions_partitioned: whether frames between regions are lost.
        isolated: addresses whose frames are lost in both directions.
        one_way_loss: pairs of sender and receiver between which frames are
            lost in this direction.
    """

    loss: float = 0.0
    delay_factor: float = 1.0
    reorder: float = 0.0
    regions_partitioned: bool = False
    isolated: set[types.Address] = dataclasses.field(default_factory=set)
    one_way_loss: set[tuple[types.Address, types.Address]] = dataclasses.field(
        default_factory=set
    )


class Network:
    """Carries frames between endpoints and counts the bytes between regions.

    Args:
        local_s: one-way delay between data centres of a region.
        link_s: one-way delay between the regions.
        link_bytes_per_s: bandwidth between the regions, each way; frames wait
            for it in one queue for each sending region, as at a router.

    Attributes:
        local_s: the delay given, which may be changed.
        links_by_address: the machines' own links, outgoing and incoming; an
            address that isn't listed has an unlimited link.
        link_bytes_by_message: bytes sent between regions, by message class.
        sent_bytes_by_address: bytes sent to any region, by sender.
        sent_messages_by_address: messages sent to any region, by sender.
        on_send: called with sender, receiver and message for each message
            that is sent, before faults apply.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        local_s: float,
        link_s: float,
        link_bytes_per_s: float,
    ) -> None:
        self.faults = Faults()
        self._rng = rng
        self.local_s = local_s
        self._link_s = link_s
        self._link_bytes_per_s = link_bytes_per_s
        self._places_by_address: dict[types.Address, Place] = {}
        self._endpoints_by_address: dict[types.Address, MemoryEndpoint] = {}
        self._link_free_s_by_region: dict[str, float] = {}
        self.links_by_address: dict[
            types.Address, tuple[links.Link, links.Link]
        ] = {}
        self._last_arrival_s_by_connection: dict[
            tuple[types.Address, types.Address], float
        ] = {}
        self._silent_connections: set[tuple[types.Address, types.Address]] = (
            set()
        )
        self._queue: list[
            tuple[float, int, types.Address, types.Address, bytes]
        ] = []
        self._sequence = 0
        self._wake = trio.Event()
        self.link_bytes_by_message: collections.Counter[str] = (
            collections.Counter()
        )
        self.sent_bytes_by_address: collections.Counter[types.Address] = (
            collections.Counter()
        )
        self.sent_messages_by_address: collections.Counter[types.Address] = (
            collections.Counter()
        )
        self.on_send: (
            Callable[[types.Address, types.Address, messages.Message], None]
            | None
        ) = None

    def endpoint(self, address: types.Address, place: Place) -> MemoryEndpoint:
        """Returns a new endpoint; it replaces an earlier one at the address."""
        earlier = self._endpoints_by_address.get(address)
        if earlier is not None:
            earlier.closed = True
        endpoint = MemoryEndpoint(self, address)
        self._endpoints_by_address[address] = endpoint
        self._places_by_address[address] = place
        self._silent_connections = {
            pair for pair in self._silent_connections if address not in pair
        }
        return endpoint

    def remove(self, address: types.Address) -> None:
        """Removes the endpoint of a process that has ended."""
        endpoint = self._endpoints_by_address.pop(address, None)
        if endpoint is not None:
            endpoint.closed = True

    def silence(self, sender: types.Address, to: types.Address) -> None:
        """Makes an open connection drop all frames until it is replaced."""
        self._silent_connections.add((sender, to))

    def replace_connection(
        self, sender: types.Address, to: types.Address
    ) -> None:
        """Opens a new connection, which isn't affected by `silence`."""
        self._silent_connections.discard((sender, to))

    def freeze(self, address: types.Address) -> None:
        """Pauses a process: frames to and from it are queued."""
        endpoint = self._endpoints_by_address.get(address)
        if endpoint is not None:
            endpoint.frozen = True

    def thaw(self, address: types.Address) -> None:
        """Resumes a paused process and delivers the queued frames."""
        endpoint = self._endpoints_by_address.get(address)
        if endpoint is not None:
            endpoint.thaw()

    def transmit(
        self,
        sender: types.Address,
        to: types.Address,
        message: messages.Message,
    ) -> None:
        """Schedules the delivery of a message, unless a fault drops it.

        One that is longer than a frame may be is dropped, too.
        """
        data = codec.encode(sender, message)
        size = len(data) + FRAME_OVERHEAD_BYTES
        self.sent_bytes_by_address[sender] += size
        self.sent_messages_by_address[sender] += 1
        if self.on_send is not None:
            self.on_send(sender, to, message)
        if len(data) > codec.MAX_FRAME_BYTES or self._is_dropped(sender, to):
            return
        arrival_s = self._arrival_s(sender, to, size, type(message).__name__)
        self._sequence += 1
        heapq.heappush(
            self._queue, (arrival_s, self._sequence, sender, to, data)
        )
        if self._queue[0][1] == self._sequence:
            self._wake.set()

    async def run(self) -> None:
        """Delivers frames until cancelled."""
        while True:
            self._wake = trio.Event()
            due_s = self._queue[0][0] if self._queue else float("inf")
            with trio.move_on_at(due_s):
                await self._wake.wait()
            self._deliver_due()

    def _deliver_due(self) -> None:
        now_s = trio.current_time()
        while self._queue and self._queue[0][0] <= now_s:
            _, _, sender, to, data = heapq.heappop(self._queue)
            endpoint = self._endpoints_by_address.get(to)
            partitioned = self._is_partitioned(sender, to)
            if endpoint is not None and not partitioned:
                endpoint.deliver(data)

    def _is_dropped(self, sender: types.Address, to: types.Address) -> bool:
        if (sender, to) in self._silent_connections:
            return True
        if (sender, to) in self.faults.one_way_loss:
            return True
        if to not in self._places_by_address or self._is_partitioned(
            sender, to
        ):
            return True
        return self.faults.loss > 0 and self._rng.random() < self.faults.loss

    def _is_partitioned(self, sender: types.Address, to: types.Address) -> bool:
        if sender in self.faults.isolated or to in self.faults.isolated:
            return True
        return self.faults.regions_partitioned and self._crosses_regions(
            sender, to
        )

    def _crosses_regions(
        self, sender: types.Address, to: types.Address
    ) -> bool:
        places = self._places_by_address
        return places[sender].region != places[to].region

    def _arrival_s(
        self,
        sender: types.Address,
        to: types.Address,
        size: int,
        message_name: str,
    ) -> float:
        now_s = trio.current_time()
        departure_s = now_s
        if sender in self.links_by_address:
            departure_s = self.links_by_address[sender][0].reserve(size)
        delay_s = self.local_s
        if self._crosses_regions(sender, to):
            region = self._places_by_address[sender].region
            link_free_s = max(
                self._link_free_s_by_region.get(region, 0.0), departure_s
            )
            departure_s = link_free_s + size / self._link_bytes_per_s
            self._link_free_s_by_region[region] = departure_s
            self.link_bytes_by_message[message_name] += size
            delay_s = self._link_s
        delay_s *= self.faults.delay_factor * (1 + JITTER * self._rng.random())
        arrival_s = departure_s + delay_s
        if to in self.links_by_address:
            incoming = self.links_by_address[to][1]
            arrival_s = incoming.reserve(size, from_s=arrival_s)
        arrival_s = math.ceil(arrival_s / TICK_S) * TICK_S
        if self.faults.reorder and self._rng.random() < self.faults.reorder:
            return arrival_s + delay_s * 4 * self._rng.random()
        connection = (sender, to)
        last_arrival_s = self._last_arrival_s_by_connection.get(connection, 0.0)
        arrival_s = max(arrival_s, last_arrival_s)
        self._last_arrival_s_by_connection[connection] = arrival_s
        return arrival_s


class MemoryEndpoint:
    """Endpoint of one process on the in-memory network."""

    def __init__(self, network: Network, address: types.Address) -> None:
        self._network = network
        self._address = address
        self._send_channel, self._receive_channel = trio.open_memory_channel[
            transport.Envelope
        ](float("inf"))
        self.closed = False
        self.frozen = False
        self._undelivered: list[bytes] = []
        self._unsent: list[tuple[types.Address, messages.Message]] = []

    @property
    def address(self) -> types.Address:
        """Address that peers send to."""
        return self._address

    def send(self, to: types.Address, message: messages.Message) -> None:
        """Sends a message without waiting; it may be lost."""
        if self.frozen:
            self._unsent.append((to, message))
        elif not self.closed:
            self._network.transmit(self._address, to, message)

    def reset(self, to: types.Address) -> None:
        """Replaces the connection to `to` by a new one."""
        self._network.replace_connection(self._address, to)

    async def receive(self) -> transport.Envelope:
        """Returns the next message."""
        return await self._receive_channel.receive()

    def deliver(self, data: bytes) -> None:
        """Accepts a frame from the network."""
        if self.frozen:
            self._undelivered.append(data)
            return
        sender, message = codec.decode(data)
        self._send_channel.send_nowait(transport.Envelope(sender, message))

    def thaw(self) -> None:
        """Resumes the process: sends and delivers the queued messages."""
        self.frozen = False
        unsent, self._unsent = self._unsent, []
        for to, message in unsent:
            self.send(to, message)
        undelivered, self._undelivered = self._undelivered, []
        for data in undelivered:
            self.deliver(data)
