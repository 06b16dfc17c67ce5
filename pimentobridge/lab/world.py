"""A simulated deployment: its machines, the platform's services, the network.

All of the platform is simulated.
"""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING
import zlib

import trio

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.daemons import trio_clock
from pimentobridge.lab import checkers
from pimentobridge.lab import faulty_client
from pimentobridge.lab import machines
from pimentobridge.lab import operator_documents
from pimentobridge.platform import boot_settings
from pimentobridge.platform import http_client
from pimentobridge.platform import operator_configuration
from pimentobridge.testing import http_network
from pimentobridge.testing import links
from pimentobridge.testing import network as network_lib
from pimentobridge.testing import platform_advice
from pimentobridge.testing import platform_runner
from pimentobridge.testing import platform_store

if TYPE_CHECKING:
    import random

CAPACITY = model.Resources(32_000, 128_000, 8)
SMALL_CAPACITY = model.Resources(16_000, 64_000, 8)
STORE_CALL_S = 0.007
# Time of day at the start of a simulation, in Unix milliseconds.
FIRST_START_MS = 1_700_000_000_000
RUNNER_CALL_S = 0.002
KEY = "key-of-shop"
# The policy of the advised queues denies each step one worker in this many.
DENY_ONE_IN = 3
# What the settings say of a machine whose link isn't limited.
UNLIMITED_LINK_MBPS = 1000.0


def _is_permitted(step: str, worker: str) -> bool:
    """Returns whether a worker may run a step, as the placement policy says.

    One worker in `DENY_ONE_IN` is denied; which ones depends on the step.
    """
    worker_number = int(worker.split("-")[1])
    return (zlib.crc32(step.encode()) + worker_number) % DENY_ONE_IN != 0


class World:
    """All machines of a simulation, with the network and simulated services.

    Args:
        rng: source of randomness for delays and faults.
        nursery: runs the machines.
        entries: number of entries.
        workers: number of workers.
        advised: priorities of the queues that are subject to a placement
            policy.
        entry_link_bytes_per_s: bandwidth of each entry's link, for all its
            traffic with the store and other processes; None for unlimited.
        runners_guard_capacity: whether the runners reject what doesn't fit.
        small_workers: how many of the workers, the last ones, have half the
            memory and processors of the others.
        stop_s: duration of a stop of a run, in seconds.

    Attributes:
        last_fault_s: time at which a fault was last active, in seconds.
        last_store_fault_s: time at which the store was last down, slow or lost
            answers for all machines, in seconds.
        runner_incarnations: number of runners created so far.
        time_of_day_jump_ms: how far the time of day that new runners take for
            their start has jumped, in milliseconds; whole seconds.
        version: version of the newest configuration.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        nursery: trio.Nursery,
        entries: int,
        workers: int,
        advised: tuple[int, ...] = (),
        entry_link_bytes_per_s: float | None = None,
        runners_guard_capacity: bool = True,
        small_workers: int = 0,
        stop_s: float = platform_runner.STOP_DURATION_S,
    ) -> None:
        self._large_workers = workers - small_workers
        self.runners_guard_capacity = runners_guard_capacity
        self.rng = rng
        self._entry_link_bytes_per_s = entry_link_bytes_per_s
        self.advised = advised
        self.advice = platform_advice.PlatformAdvice(
            _is_permitted, decision_s=0.05, per_worker_s=0.005, validity_s=3.0
        )
        self.advice_faults = faulty_client.CallFaults()
        self.nursery = nursery
        self.last_fault_s = float("-inf")
        self.last_store_fault_s = float("-inf")
        self.store = platform_store.PlatformStore(trio.current_time)
        self.store_faults = faulty_client.CallFaults()
        self.runner_faults = faulty_client.CallFaults()
        self.checker = checkers.Checker(
            trio.current_time,
            lambda: self.last_fault_s,
            last_store_fault_s=lambda: self.last_store_fault_s,
        )
        self.pool = platform_runner.RunnerPool(
            trio.current_time,
            self.checker,
            advice=self.advice,
            stop_s=stop_s,
            rng=rng,
        )
        self.runner_incarnations = 0
        self.time_of_day_jump_ms = 0
        self.origin = trio_clock.FIXED_ORIGIN
        self.network = network_lib.Network(
            rng=rng, local_s=0.001, link_s=0.03, link_bytes_per_s=2_000_000.0
        )
        self.incoming_links_by_node: dict[str, links.Link] = {}
        self.entries = [
            machines.EntryHost(self, number) for number in range(entries)
        ]
        if entry_link_bytes_per_s is not None:
            self._limit_entry_links(entry_link_bytes_per_s)
        self.workers = [
            machines.WorkerHost(self, number) for number in range(workers)
        ]
        self.version = 0
        self._added_routes = 0

    def _limit_entry_links(self, bytes_per_s: float) -> None:
        for host in self.entries:
            outgoing, incoming = (
                links.Link(bytes_per_s),
                links.Link(bytes_per_s),
            )
            self.network.links_by_address[host.address] = (outgoing, incoming)
            self.incoming_links_by_node[host.node] = incoming

    def capacity_of(self, worker: int) -> model.Resources:
        """Returns the capacity of a worker's runner by the worker's number."""
        return CAPACITY if worker < self._large_workers else SMALL_CAPACITY

    def next_start_ms(self) -> int:
        """Returns when a new runner starts, as it says, in Unix milliseconds.

        No two of the first thousand runners say the same, as jumps are whole
        seconds.
        """
        whole_s = int(trio.current_time())
        return (
            FIRST_START_MS
            + whole_s * 1000
            + self.time_of_day_jump_ms
            + self.runner_incarnations
        )

    def settings(self, node: str) -> boot_settings.ProcessSettings:
        """Returns the settings of a machine's process."""
        return boot_settings.ProcessSettings(
            node=types.NodeId(node),
            ip=node,
            data_centre=types.DataCentreName(machines.DATA_CENTRES[0]),
            region=types.RegionName("north"),
            internal_ports=(7000, 7015),
            store="store",
            advice="advice",
            max_lease_s=machines.MAX_LEASE_S,
            link_mbps=self._link_mbps_of(node),
            max_value_bytes=self.store.max_value_bytes,
        )

    def _link_mbps_of(self, node: str) -> float:
        if node in self.incoming_links_by_node:
            assert self._entry_link_bytes_per_s is not None
            return self._entry_link_bytes_per_s * 8 / 1e6
        return UNLIMITED_LINK_MBPS

    def store_client(self, node: str) -> http_client.Client:
        """Returns a client through which a machine calls the store.

        For a machine with a limited link that is the product's client.
        """
        incoming = self.incoming_links_by_node.get(node)
        if incoming is not None:
            backend = http_network.LinkBackend(
                handler=self.store.handle,
                incoming=incoming,
                delay_s=STORE_CALL_S,
            )
            return http_client.HttpClient("store:80", network=backend)

        async def handle(
            method: str, path: str, body: object, headers: dict[str, str]
        ) -> http_client.Answer:
            del headers
            return await self.store.handle(method, path, body)

        return self._client(node, handle, self.store_faults, STORE_CALL_S)

    def runner_connection(
        self, host: machines.WorkerHost
    ) -> faulty_client.FaultyConnection:
        """Returns a new connection from an agent to its runner."""
        faults = self.runner_faults

        def is_silent() -> bool:
            outage = faults.outage_by_node.get(host.node, faults.outage)
            return outage is faulty_client.OutageMode.SILENT

        def connect(
            handler: faulty_client.Handler,
        ) -> faulty_client.FaultyClient:
            return self._client(host.node, handler, faults, RUNNER_CALL_S)

        return faulty_client.FaultyConnection(
            accept=lambda: machines.server_of(host.runner),
            connect=connect,
            is_silent=is_silent,
        )

    def advice_client(self, node: str) -> faulty_client.FaultyClient:
        """Returns a client through which a machine calls the policy service."""

        async def handle(
            method: str, path: str, body: object, headers: dict[str, str]
        ) -> http_client.Answer:
            del method, headers
            assert isinstance(body, dict)
            return await self.advice.handle(node, path, body)

        return self._client(node, handle, self.advice_faults, STORE_CALL_S)

    def _client(
        self,
        node: str,
        handler: faulty_client.Handler,
        faults: faulty_client.CallFaults,
        delay_s: float,
    ) -> faulty_client.FaultyClient:
        return faulty_client.FaultyClient(
            node=node,
            handler=handler,
            faults=faults,
            delay_s=delay_s,
            rng=self.rng,
            nursery=self.nursery,
        )

    def put_configuration(
        self, *, guaranteed: int = 8, more_routes: int = 0
    ) -> int:
        """Writes a newer configuration to the store, as the operator does.

        Args:
            guaranteed: accelerators guaranteed to each account.
            more_routes: number of routes that are added for good.

        Returns:
            The size of the document in bytes.
        """
        self._added_routes += more_routes
        self.version += self.rng.randint(1, 3)
        document = operator_documents.configuration_document(
            self.version,
            service=machines.SERVICE,
            guaranteed=guaranteed,
            policy=self.advice,
            advised=self.advised,
            more_routes=self._added_routes,
        )
        data = json.dumps(document, separators=(",", ":")).encode()
        value = base64.b64encode(data).decode()
        self.store.put(operator_configuration.KEY, value)
        return len(data)

    def note_active_fault(self) -> None:
        """Notes that a fault is active now."""
        self.last_fault_s = trio.current_time()
        if self.store_faults.affect_all:
            self.last_store_fault_s = self.last_fault_s

    @property
    def routes(self) -> int:
        """Number of routes in the newest configuration."""
        return len(operator_documents.PRIORITIES) + self._added_routes

    def start(self) -> None:
        """Starts every machine."""
        self.nursery.start_soon(self.network.run)
        self.nursery.start_soon(self.pool.run)
        self.nursery.start_soon(self._expire_leases)
        for host in self.entries:
            self.nursery.start_soon(host.run)
        for worker in self.workers:
            self.nursery.start_soon(worker.run)
            self.nursery.start_soon(worker.restart_crashed_runners)

    async def _expire_leases(self) -> None:
        while True:
            self.store.expire_leases()
            await trio.sleep(0.05)
