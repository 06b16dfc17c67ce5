"""Simulated deployments of the users on an in-memory network."""

from __future__ import annotations

import dataclasses
import datetime
import functools
import importlib.resources
import random
from typing import TYPE_CHECKING
from typing import Any

import trio

from pimentobridge.core import configuration
from pimentobridge.core import documents
from pimentobridge.core import errors
from pimentobridge.core import types
from pimentobridge.daemons import agent as agent_lib
from pimentobridge.daemons import configuration_watch
from pimentobridge.daemons import entry as entry_lib
from pimentobridge.daemons import node
from pimentobridge.daemons import trio_clock
from pimentobridge.testing import backend
from pimentobridge.testing import keys
from pimentobridge.testing import network
from pimentobridge.testing import store
from pimentobridge.testing import worker as worker_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pimentobridge.core import backends
    from pimentobridge.protocol import jobs

ORIGIN = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SLOTS = 8
ACCELERATORS = 8


@dataclasses.dataclass(frozen=True)
class Size:
    """Parameters of a deployment besides its configuration.

    Attributes:
        name: name of the deployment and of its configuration file.
        runners: number of backend servers.
        local_s: one-way delay between data centres of a region, in seconds.
        client_s: one-way delay between callers and entries, in seconds.
    """

    name: str
    runners: int
    local_s: float
    client_s: float


MUIDA = Size("muida", 11, 0.0005, 0.003)
LUNETTA = Size("lunetta", 11, 0.0014, 0.001)


@functools.cache
def load_document(name: str) -> configuration.Document:
    """Returns the configuration of one of the example deployments."""
    folder = importlib.resources.files("pimentobridge.testing")
    text = (folder / "deployments" / f"{name}.jsonc").read_text("utf-8")
    return documents.parse(
        text,
        configuration.Document,
        errors.ErrorKind.INVALID_CONFIGURATION,
        where=f"{name}.jsonc",
    ).unwrap()


@dataclasses.dataclass
class _RunningProcess:
    """One incarnation of a process; `ended` is set once it was killed."""

    daemon: node.Node
    scope: trio.CancelScope
    ended: trio.Event


class Deployment:
    """Agents and entries of one user, with a fake store and backend servers.

    Args:
        rng: source of all randomness.
        size: parameters of the deployment.
        entries: number of entries, spread over the regions.
        runners: number of backend servers; by default as in `size`.
        policy: selection policy of the entries; None for the default.
        first_come: whether agents run requests in order of arrival.
        workers: whether each agent also has a worker.

    Attributes:
        job_replies: replies to the jobs submitted by `submit_job`.
        entry_places: location of each entry by address.
        agent_places: location of each agent by address.
        ledger: counts of the work on all backend servers.
        work_log: work of gangs on all workers.
        run_s_by_gang: duration of each gang's work, in seconds.
    """

    def __init__(
        self,
        *,
        size: Size,
        rng: random.Random,
        entries: int = 2,
        runners: int | None = None,
        policy: backends.Policy | None = None,
        first_come: bool = False,
        workers: bool = False,
    ) -> None:
        self._workers = workers
        self.work_log = worker_lib.WorkLog()
        self.run_s_by_gang: dict[types.GangId, float] = {}
        self.job_replies: list[jobs.JobReply] = []
        self.size = size
        self.rng = rng
        self.document = load_document(size.name)
        self.proposal = self._initial_proposal = keys.signed(self.document)
        self.trusted = self.document.owners
        self.clock = trio_clock.TrioClock(ORIGIN)
        link = self.document.link
        self.network = network.Network(
            rng=random.Random(rng.random()),
            local_s=size.local_s,
            link_s=link.one_way_ms / 1000,
            link_bytes_per_s=link.bytes_per_s,
        )
        self.store = store.MemoryStore(rng=random.Random(rng.random()))
        self.ledger = backend.Ledger()
        self._policy = policy
        self._first_come = first_come
        self._running_by_address: dict[types.Address, _RunningProcess] = {}
        self._paused: set[types.Address] = set()
        self._incarnations_by_address: dict[types.Address, int] = {}
        self.entry_places = self._assign_places(entries, "entry")
        self.agent_places = self._assign_places(
            runners or size.runners, "agent"
        )
        self.backends_by_address = {
            address: backend.FakeBackend(ledger=self.ledger, rng=rng)
            for address in self.agent_places
        }
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Starts every process of the deployment."""
        self._nursery = nursery
        nursery.start_soon(self.network.run)
        for address in self.entry_places:
            self.start_entry(address)
        for address in self.agent_places:
            self.start_agent(address)

    @property
    def entries(self) -> list[entry_lib.Entry]:
        """Running entries."""
        return [
            running.daemon
            for running in self._running_by_address.values()
            if isinstance(running.daemon, entry_lib.Entry)
        ]

    @property
    def agents(self) -> list[agent_lib.Agent]:
        """Running agents."""
        return [
            running.daemon
            for running in self._running_by_address.values()
            if isinstance(running.daemon, agent_lib.Agent)
        ]

    def entries_in(self, region: types.RegionName) -> list[entry_lib.Entry]:
        """Running entries in a region."""
        return [
            entry for entry in self.entries if entry.identity.region == region
        ]

    def start_entry(self, address: types.Address) -> entry_lib.Entry:
        """Starts an entry at an address."""
        place = self.entry_places[address]
        identity = self._identity(address, place)
        entry = entry_lib.Entry(
            identity=identity,
            endpoint=self.network.endpoint(address, place),
            clock=self.clock,
            rng=random.Random(self.rng.random()),
            store=self._store_from(place),
            trusted=self.trusted,
            entries=list(self.entry_places),
            policy=self._policy,
        )
        self._launch(address, entry)
        return entry

    def start_agent(self, address: types.Address) -> agent_lib.Agent:
        """Starts an agent at an address, under a new incarnation."""
        place = self.agent_places[address]
        identity = self._identity(address, place)
        fake_worker: worker_lib.FakeWorker | None = None
        if self._workers:
            fake_worker = worker_lib.FakeWorker(
                name=address,
                log=self.work_log,
                spawn=self.spawn,
                run_s_by_gang=self.run_s_by_gang,
            )
        agent = agent_lib.Agent(
            identity=identity,
            endpoint=self.network.endpoint(address, place),
            clock=self.clock,
            backend=self.backends_by_address[address],
            entries=list(self.entry_places),
            slots=SLOTS,
            worker=fake_worker,
            accelerators=ACCELERATORS if self._workers else 0,
            rng=random.Random(self.rng.random()),
            trusted=self.trusted,
            first_come=self._first_come,
        )
        self._launch(address, agent)
        return agent

    def _store_from(self, place: network.Place) -> store.RemoteStore:
        """Returns the store as seen from a place; it is in the first region."""
        is_remote = place.region != self.document.regions[0].name
        link_s = self.document.link.one_way_ms / 1000
        return store.RemoteStore(
            self.store,
            delay_s=link_s if is_remote else 0.0,
            is_cut=lambda: (
                is_remote and self.network.faults.regions_partitioned
            ),
        )

    async def publish(
        self, document: configuration.Document | None = None
    ) -> None:
        """Writes a document, signed by its owners, to the store.

        Processes that start later still begin with the initial document, so
        they have to learn the newest one from their peers.
        """
        if document is not None:
            self.document = document
            self.proposal = keys.signed(document)
        stored = (await self.store.get(configuration_watch.KEY)).ok()
        await self.store.compare_and_swap(
            configuration_watch.KEY,
            configuration_watch.encode(self.proposal),
            expected_revision=stored.revision if stored else 0,
        )

    def submit_job(self, spec: jobs.JobSpec, entry: int) -> None:
        """Submits a job through one of the entries."""
        chosen = self.entries[entry % len(self.entries)]
        chosen.call_soon(
            lambda: chosen.jobs.submit(spec, self.job_replies.append)
        )

    def spawn(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Starts a task that is cancelled with the deployment."""
        if self._nursery is None:
            raise RuntimeError("spawn() was called before start().")
        self._nursery.start_soon(task, *args)

    def kill(self, address: types.Address) -> None:
        """Kills a process; its in-memory state is lost."""
        running = self._running_by_address.pop(address, None)
        if running is not None:
            running.scope.cancel()
            running.ended.set()
            self.network.remove(address)

    def is_current(self, daemon: node.Node) -> bool:
        """Returns whether this incarnation of a process still runs."""
        running = self._running_by_address.get(daemon.address)
        return running is not None and running.daemon is daemon

    def ended(self, daemon: node.Node) -> trio.Event:
        """Returns an event that is set once this incarnation has ended."""
        running = self._running_by_address.get(daemon.address)
        if running is not None and running.daemon is daemon:
            return running.ended
        ended = trio.Event()
        ended.set()
        return ended

    def is_paused(self, daemon: node.Node) -> bool:
        """Returns whether a process is paused or was resumed recently."""
        return daemon.address in self._paused

    async def pause(self, address: types.Address, length_s: float) -> None:
        """Suspends the messages of a process, in both directions, for a while.

        `is_paused` holds for another `length_s` after it has resumed.
        """
        running = self._running_by_address.get(address)
        if running is None or address in self._paused:
            return
        self._paused.add(address)
        self.network.freeze(address)
        await trio.sleep(length_s)
        self.network.thaw(address)
        await trio.sleep(length_s)
        self._paused.discard(address)

    def is_running(self, address: types.Address) -> bool:
        """Returns whether a process runs at an address."""
        return address in self._running_by_address

    def _launch(self, address: types.Address, daemon: node.Node) -> None:
        if self._nursery is None:
            raise RuntimeError("a process was launched before start().")
        daemon.replica.offer(self._initial_proposal)
        scope = trio.CancelScope()
        self._running_by_address[address] = _RunningProcess(
            daemon, scope, trio.Event()
        )

        async def run() -> None:
            with scope:
                await daemon.run()

        self._nursery.start_soon(run)

    def _identity(
        self, address: types.Address, place: network.Place
    ) -> node.Identity:
        is_entry = address in self.entry_places
        group = "entries" if is_entry else place.data_centre
        incarnation = self._incarnations_by_address.get(address, 0) + 1
        self._incarnations_by_address[address] = incarnation
        return node.Identity(
            node=types.NodeId(address),
            region=types.RegionName(place.region),
            data_centre=types.DataCentreName(place.data_centre),
            incarnation=types.Incarnation(incarnation),
            group=group,
        )

    def _assign_places(
        self, count: int, prefix: str
    ) -> dict[types.Address, network.Place]:
        places = [
            network.Place(region.name, data_centre)
            for region in self.document.regions
            for data_centre in region.data_centres
        ]
        # The first two entries go to the first and the last data centre, so
        # that with two entries each region has one.
        if prefix == "entry":
            places = [places[0], places[-1], *places[1:-1]]
        return {
            types.Address(f"{prefix}-{index}"): places[index % len(places)]
            for index in range(count)
        }
