"""Cost of group membership by fleet size, and delay of failure detection."""

from __future__ import annotations

import dataclasses
import random
import time

import trio

from pimentobridge.bench import harness
from pimentobridge.core import directory as directory_lib
from pimentobridge.core import types
from pimentobridge.daemons import node
from pimentobridge.daemons import trio_clock
from pimentobridge.testing import network as network_lib

SIZES = (50, 200, 800)
GROUP_SIZE = 16
ENTRIES = 4
MEASURED_S = 20.0
BYTES_BOUND = 8_192.0
CPU_BOUND = 0.049
GROWTH_BOUND = 1.3
DEATH_BOUND_S = 5.0
JOIN_BOUND_S = 3.0
LOSS_DURATION_S = 60.0
DETECTIONS = 10


class Member(node.Node):
    """A node that only takes part in its membership group."""


class EntryNode(node.Node):
    """The membership part of an entry: it keeps a directory of all members.

    Attributes:
        changes: time, address and new state of each change that the directory
            reported.
    """

    def __init__(
        self,
        *,
        identity: node.Identity,
        endpoint: network_lib.MemoryEndpoint,
        rng: random.Random,
        entries: list[types.Address],
    ) -> None:
        super().__init__(
            identity=identity,
            endpoint=endpoint,
            clock=trio_clock.TrioClock(),
            rng=rng,
            trusted=[],
            entries=entries,
        )
        self.changes: list[tuple[float, types.Address, types.NodeState]] = []
        self.directory = directory_lib.Directory(
            clock=self.clock,
            outbox=endpoint,
            replica=self.replica,
            receives_roll_ups=self.membership.receives_roll_ups,
            on_member=lambda member: self.changes.append(
                (self.clock.monotonic(), member.address, member.state)
            ),
        )
        self.components.append(self.directory)


class Fleet:
    """Members in groups of `GROUP_SIZE`, and a few entries."""

    def __init__(self, *, seed: int, size: int) -> None:
        self.rng = random.Random(seed)
        self.network = network_lib.Network(
            rng=random.Random(self.rng.random()),
            local_s=0.001,
            link_s=0.03,
            link_bytes_per_s=1.9e6,
        )
        self.entry_addresses = [
            types.Address(f"entry-{n}") for n in range(ENTRIES)
        ]
        self.member_addresses = [
            types.Address(f"node-{n}") for n in range(size)
        ]
        self.entries: list[EntryNode] = []
        self.members_by_address: dict[types.Address, Member] = {}
        self._scopes_by_address: dict[types.Address, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Starts every node."""
        self._nursery = nursery
        nursery.start_soon(self.network.run)
        for number, address in enumerate(self.entry_addresses):
            place = _place(number * (len(self.member_addresses) // 2))
            entry = EntryNode(
                identity=_identity(address, place, "entries", 1),
                endpoint=self.network.endpoint(address, place),
                rng=random.Random(self.rng.random()),
                entries=self.entry_addresses,
            )
            self.entries.append(entry)
            nursery.start_soon(entry.run)
        for address in self.member_addresses:
            self.start_member(address, 1)

    def start_member(self, address: types.Address, incarnation: int) -> None:
        """Starts one member."""
        number = int(address.rsplit("-", 1)[1])
        place = _place(number // GROUP_SIZE)
        member = Member(
            identity=_identity(
                address, place, f"rack-{number // GROUP_SIZE}", incarnation
            ),
            endpoint=self.network.endpoint(address, place),
            clock=trio_clock.TrioClock(),
            rng=random.Random(self.rng.random()),
            trusted=[],
            entries=self.entry_addresses,
        )
        self.members_by_address[address] = member
        scope = trio.CancelScope()
        self._scopes_by_address[address] = scope

        async def run() -> None:
            with scope:
                await member.run()

        if self._nursery is not None:
            self._nursery.start_soon(run)

    def kill(self, address: types.Address) -> None:
        """Ends a member without letting it announce that it leaves."""
        self._scopes_by_address.pop(address).cancel()
        self.network.remove(address)


def _place(number: int) -> network_lib.Place:
    data_centre = number % 7
    return network_lib.Place(f"region-{data_centre // 4}", f"dc-{data_centre}")


def _identity(
    address: types.Address,
    place: network_lib.Place,
    group: str,
    incarnation: int,
) -> node.Identity:
    return node.Identity(
        types.NodeId(address),
        types.RegionName(place.region),
        types.DataCentreName(place.data_centre),
        types.Incarnation(incarnation),
        group,
    )


@dataclasses.dataclass
class Cost:
    """Cost of membership.

    Attributes:
        bytes_per_s: bytes that a member sends, on average.
        messages_per_s: messages that a member sends, on average.
        cpu_share: CPU seconds per second of a node, on average.
        entry_bytes_per_s: bytes that the busiest entry sends.
        entry_messages_per_s: messages that the busiest entry sends.
    """

    bytes_per_s: float
    messages_per_s: float
    cpu_share: float
    entry_bytes_per_s: float
    entry_messages_per_s: float


async def _measure_cost(seed: int, size: int) -> Cost:
    fleet = Fleet(seed=seed, size=size)
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(10.0)
        fleet.network.sent_bytes_by_address.clear()
        fleet.network.sent_messages_by_address.clear()
        cpu_began_s = time.process_time()
        await trio.sleep(MEASURED_S)
        cpu_s = time.process_time() - cpu_began_s
        nursery.cancel_scope.cancel()
    sent_bytes = fleet.network.sent_bytes_by_address
    sent_messages = fleet.network.sent_messages_by_address
    entries = fleet.entry_addresses
    members = fleet.member_addresses
    return Cost(
        sum(sent_bytes[a] for a in members) / size / MEASURED_S,
        sum(sent_messages[a] for a in members) / size / MEASURED_S,
        cpu_s / MEASURED_S / (size + ENTRIES),
        max(sent_bytes[a] for a in entries) / MEASURED_S,
        max(sent_messages[a] for a in entries) / MEASURED_S,
    )


async def _measure_detection(seed: int) -> tuple[list[float], list[float]]:
    """Returns the delays until deaths and until joins are reported."""
    fleet = Fleet(seed=seed, size=64)
    death_delays_s: list[float] = []
    join_delays_s: list[float] = []
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(10.0)
        for _ in range(DETECTIONS):
            address = fleet.rng.choice(fleet.member_addresses)
            changed_s = trio.current_time()
            fleet.kill(address)
            await trio.sleep(9.0)
            death_delays_s.append(
                _detection_delay_s(
                    fleet, address, changed_s, types.NodeState.DEAD
                )
            )
            changed_s = trio.current_time()
            fleet.start_member(address, int(changed_s))
            await trio.sleep(6.0)
            join_delays_s.append(
                _detection_delay_s(
                    fleet, address, changed_s, types.NodeState.ACTIVE
                )
            )
        nursery.cancel_scope.cancel()
    return death_delays_s, join_delays_s


def _detection_delay_s(
    fleet: Fleet,
    address: types.Address,
    changed_s: float,
    state: types.NodeState,
) -> float:
    """Returns the delay until an entry first reports the state, or infinity."""
    delays_s = [
        reported_s - changed_s
        for entry in fleet.entries
        for reported_s, member, reported_state in entry.changes
        if member == address
        and reported_state is state
        and reported_s >= changed_s
    ]
    return min(delays_s, default=float("inf"))


async def _count_false_deaths(seed: int, loss: float) -> int:
    """Returns how many of 64 live nodes were reported dead."""
    fleet = Fleet(seed=seed, size=64)
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(10.0)
        fleet.network.faults.loss = loss
        for entry in fleet.entries:
            entry.changes.clear()
        await trio.sleep(LOSS_DURATION_S)
        nursery.cancel_scope.cancel()
    return len(
        {
            address
            for entry in fleet.entries
            for _, address, state in entry.changes
            if state is types.NodeState.DEAD
        }
    )


async def _count_missing_after_heal(seed: int) -> int:
    """Returns how many members are missing after a partition has healed.

    One member is paused while the regions are partitioned.
    """
    fleet = Fleet(seed=seed, size=64)
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(10.0)
        paused = fleet.member_addresses[5]
        fleet.network.freeze(paused)
        fleet.network.faults.regions_partitioned = True
        await trio.sleep(90.0)
        fleet.network.thaw(paused)
        fleet.network.faults.regions_partitioned = False
        await trio.sleep(30.0)
        known_addresses = {
            member.address
            for entry in fleet.entries
            for member in entry.directory.members
        }
        nursery.cancel_scope.cancel()
    return len(set(fleet.member_addresses) - known_addresses)


def run(seed: int) -> harness.Report:
    """Measures cost at growing sizes, then detection and message loss."""
    figures: dict[str, harness.Figure] = {}
    costs = {
        size: harness.run_virtual(_measure_cost, seed, size, seed=seed)
        for size in SIZES
    }
    for size, cost in costs.items():
        figures[f"bytes_per_node_s_{size}"] = harness.at_most(
            cost.bytes_per_s, BYTES_BOUND, "bytes/s"
        )
        figures[f"messages_per_node_s_{size}"] = harness.info(
            cost.messages_per_s, "per_s"
        )
        figures[f"cpu_per_node_{size}"] = harness.info(cost.cpu_share, "cores")
        figures[f"entry_bytes_s_{size}"] = harness.at_most(
            cost.entry_bytes_per_s, BYTES_BOUND, "bytes/s"
        )
        figures[f"entry_messages_s_{size}"] = harness.info(
            cost.entry_messages_per_s, "per_s"
        )
    figures["bytes_growth_200_to_800"] = harness.at_most(
        costs[800].bytes_per_s / costs[200].bytes_per_s, GROWTH_BOUND, "ratio"
    )
    figures["messages_growth_200_to_800"] = harness.at_most(
        costs[800].messages_per_s / costs[200].messages_per_s,
        GROWTH_BOUND,
        "ratio",
    )
    death_delays_s, join_delays_s = harness.run_virtual(
        _measure_detection, seed, seed=seed
    )
    figures["lost_p99_s"] = harness.at_most(
        harness.percentile(death_delays_s, 0.99), DEATH_BOUND_S, "s"
    )
    figures["found_p99_s"] = harness.at_most(
        harness.percentile(join_delays_s, 0.99), JOIN_BOUND_S, "s"
    )
    for loss in (0.1, 0.3):
        figures[f"false_dead_in_a_minute_at_{loss}"] = harness.at_most(
            harness.run_virtual(_count_false_deaths, seed, loss, seed=seed),
            0,
            "nodes",
        )
    figures["missing_after_heal"] = harness.at_most(
        harness.run_virtual(_count_missing_after_heal, seed, seed=seed),
        0,
        "count",
    )
    return harness.Report("membership", seed, figures)
