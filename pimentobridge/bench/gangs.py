"""Gangs under seeded faults at every step of their protocol."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING

import trio

from pimentobridge.bench import harness
from pimentobridge.core import gang_coordinator
from pimentobridge.core import gang_member
from pimentobridge.core import types
from pimentobridge.daemons import agent as agent_lib
from pimentobridge.daemons import node
from pimentobridge.daemons import trio_clock
from pimentobridge.protocol import gangs
from pimentobridge.testing import network as network_lib
from pimentobridge.testing import worker

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pimentobridge.protocol import messages

ACCELERATORS = 8
SETTLE_S = 45.0
START_BOUND_S = 3.4
RUN_S = 6.0
RANDOM_CASES = 12
STEPS = (
    gangs.Reserve,
    gangs.Held,
    gangs.Commit,
    gangs.Prepare,
    gangs.MemberBeat,
    gangs.AnchorBeat,
    gangs.GangStarted,
)
FAULTS = ("drop", "kill-sender", "kill-receiver", "pause-sender")

# One network delay more than the lease itself.
PARTIAL_LIMIT_S = gang_member.LEASE_S + 0.05


class Scheduler(node.Node):
    """A co-operating scheduler that places on a view of its own."""

    def __init__(
        self,
        *,
        identity: node.Identity,
        endpoint: network_lib.MemoryEndpoint,
        rng: random.Random,
    ) -> None:
        super().__init__(
            identity=identity,
            endpoint=endpoint,
            clock=trio_clock.TrioClock(),
            rng=rng,
            trusted=[],
            entries=[endpoint.address],
        )
        self.coordinator = gang_coordinator.GangCoordinator(
            clock=self.clock, outbox=endpoint, rng=rng
        )
        self.components.append(self.coordinator)


@dataclasses.dataclass
class Gang:
    """A gang that a scheduler is to start."""

    id: types.GangId
    size: int
    submitted_s: float
    started_s: float = 0.0
    epoch: int = 0
    conflicts: int = 0
    ends: int = 0
    finished: bool = False
    agents_by_epoch: dict[int, list[types.Address]] = dataclasses.field(
        default_factory=dict
    )


class Site:
    """Workers with real agents, and a few schedulers."""

    def __init__(self, *, seed: int, workers: int, schedulers: int) -> None:
        self.rng = random.Random(seed)
        self.network = network_lib.Network(
            rng=random.Random(self.rng.random()),
            local_s=0.0005,
            link_s=0.03,
            link_bytes_per_s=1.9e6,
        )
        self.log = worker.WorkLog()
        self.run_s_by_gang: dict[types.GangId, float] = {}
        self.agent_addresses = [
            types.Address(f"agent-{n}") for n in range(workers)
        ]
        self.scheduler_addresses = [
            types.Address(f"scheduler-{n}") for n in range(schedulers)
        ]
        self.agents_by_address: dict[types.Address, agent_lib.Agent] = {}
        self.workers_by_address: dict[types.Address, worker.FakeWorker] = {}
        self.schedulers_by_address: dict[types.Address, Scheduler] = {}
        self.busy_by_scheduler: dict[types.Address, set[types.Address]] = (
            collections.defaultdict(set)
        )
        self.gangs: list[Gang] = []
        self._scopes_by_address: dict[types.Address, trio.CancelScope] = {}
        self._incarnations: collections.Counter[types.Address] = (
            collections.Counter()
        )
        self.nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Starts every process."""
        self.nursery = nursery
        nursery.start_soon(self.network.run)
        for address in self.agent_addresses:
            self.start_agent(address)
        for address in self.scheduler_addresses:
            self.start_scheduler(address)

    def start_agent(self, address: types.Address) -> None:
        """Starts an agent; its worker's tasks are gone."""
        fake = worker.FakeWorker(
            name=address,
            log=self.log,
            spawn=self.spawn,
            run_s_by_gang=self.run_s_by_gang,
        )
        agent = agent_lib.Agent(
            identity=self._identity(address),
            endpoint=self.network.endpoint(address, _PLACE),
            clock=trio_clock.TrioClock(),
            rng=random.Random(self.rng.random()),
            trusted=[],
            backend=None,
            entries=self.scheduler_addresses,
            slots=0,
            worker=fake,
            accelerators=ACCELERATORS,
        )
        self.agents_by_address[address] = agent
        self.workers_by_address[address] = fake
        self._launch(address, agent)

    def start_scheduler(self, address: types.Address) -> None:
        """Starts a scheduler that knows of no gang yet."""
        scheduler = Scheduler(
            identity=self._identity(address),
            endpoint=self.network.endpoint(address, _PLACE),
            rng=random.Random(self.rng.random()),
        )
        self.schedulers_by_address[address] = scheduler
        self._launch(address, scheduler)

    def kill(self, address: types.Address) -> None:
        """Ends a process, and with an agent its worker's tasks."""
        scope = self._scopes_by_address.pop(address, None)
        if scope is None:
            return
        scope.cancel()
        self.network.remove(address)
        if address in self.workers_by_address:
            self.workers_by_address[address].die()

    def is_running(self, address: types.Address) -> bool:
        """Returns whether a process runs at an address."""
        return address in self._scopes_by_address

    def spawn(
        self, task: Callable[..., Awaitable[None]], *args: object
    ) -> None:
        """Starts a task that ends with the site."""
        if self.nursery is not None:
            self.nursery.start_soon(task, *args)

    async def run_gang(self, gang: Gang, home: types.Address) -> None:
        """Submits a gang and follows it until it has run once, whole."""
        self.gangs.append(gang)
        self.run_s_by_gang[gang.id] = RUN_S
        while not gang.finished and gang.ends < 4:
            while not self.is_running(home):
                home = self.rng.choice(self.scheduler_addresses)
                await trio.sleep(0.1)
            report = await self._attempt(gang, home)
            if report is None:
                # The scheduler died. The next one may start the gang again
                # only when the old attempt must have ended.
                await trio.sleep(gang_coordinator.ANCHOR_LOST_S)
                gang.ends += 1
            elif report.event is gang_coordinator.GangEvent.CONFLICT:
                gang.conflicts += 1
                self.busy_by_scheduler[home] |= set(report.busy)
                scheduler = self.schedulers_by_address[home]
                await trio.sleep(
                    scheduler.coordinator.backoff_s(gang.conflicts)
                )
            else:
                gang.ends += 1
                gang.finished = report.reason is gangs.EndReason.FINISHED

    async def _attempt(
        self, gang: Gang, home: types.Address
    ) -> gang_coordinator.Report | None:
        scheduler = self.schedulers_by_address[home]
        gang.epoch += 1
        shares = self._shares(gang, home)
        gang.agents_by_epoch[gang.epoch] = [share.agent for share in shares]
        ended = trio.Event()
        reports: list[gang_coordinator.Report] = []

        def on_report(report: gang_coordinator.Report) -> None:
            if report.event is gang_coordinator.GangEvent.STARTED:
                gang.started_s = gang.started_s or trio.current_time()
                return
            reports.append(report)
            ended.set()

        scheduler.call_soon(
            lambda: scheduler.coordinator.start(
                gang.id,
                types.Epoch(gang.epoch),
                shares,
                on_report,
                guaranteed=False,
            )
        )
        while not ended.is_set():
            with trio.move_on_after(0.1):
                await ended.wait()
            if self.schedulers_by_address[home] is not scheduler or (
                not self.is_running(home)
            ):
                return None
        return reports[0]

    def _shares(self, gang: Gang, home: types.Address) -> list[gangs.Share]:
        """Picks workers on this scheduler's own, stale view."""
        busy = self.busy_by_scheduler[home]
        free = [a for a in self.agent_addresses if a not in busy]
        if len(free) < gang.size:
            busy.clear()
            free = list(self.agent_addresses)
        chosen = self.rng.sample(free, gang.size)
        block = gangs.Block(0, ACCELERATORS)
        return [gangs.Share(agent, [block]) for agent in chosen]

    def _identity(self, address: types.Address) -> node.Identity:
        self._incarnations[address] += 1
        return node.Identity(
            types.NodeId(address),
            types.RegionName("r"),
            types.DataCentreName("dc"),
            types.Incarnation(self._incarnations[address]),
            f"rack-{hash_of(address) % 8}",
        )

    def _launch(self, address: types.Address, daemon: node.Node) -> None:
        scope = trio.CancelScope()
        self._scopes_by_address[address] = scope

        async def run() -> None:
            with scope:
                await daemon.run()

        self.spawn(run)


def hash_of(address: types.Address) -> int:
    """Returns the number at the end of an address."""
    return int(address.rsplit("-", 1)[1])


_PLACE = network_lib.Place("r", "dc")


@dataclasses.dataclass
class Found:
    """What was wrong in one run."""

    partial: int = 0
    double_grants: int = 0
    leaked: int = 0
    unfinished: int = 0
    starts_s: list[float] = dataclasses.field(default_factory=list)
    conflicts: int = 0
    attempts: int = 0

    def add(self, other: Found) -> None:
        """Adds the counts of another run."""
        self.partial += other.partial
        self.double_grants += other.double_grants
        self.leaked += other.leaked
        self.unfinished += other.unfinished
        self.starts_s += other.starts_s
        self.conflicts += other.conflicts
        self.attempts += other.attempts


def judge(site: Site) -> Found:
    """Returns what a run did wrong, from the workers' own log."""
    found = Found()
    found.partial = sum(_partial(site, gang) for gang in site.gangs)
    found.double_grants = _overlaps(site)
    found.leaked = sum(
        len(agent.gangs.members_by_gang)
        for address, agent in site.agents_by_address.items()
        if site.is_running(address) and agent.gangs is not None
    )
    found.unfinished = sum(not gang.finished for gang in site.gangs)
    found.conflicts = sum(gang.conflicts for gang in site.gangs)
    found.attempts = sum(gang.epoch for gang in site.gangs)
    found.starts_s = [
        gang.started_s - gang.submitted_s
        for gang in site.gangs
        if gang.started_s
    ]
    return found


def _partial(site: Site, gang: Gang) -> bool:
    """Returns whether only some members worked for longer than the lease."""
    works = [w for w in site.log.entries if w.gang == gang.id]
    edges = sorted({w.began_s for w in works} | {w.ended_s for w in works})
    partial_s = 0.0
    for start_s, end_s in zip(edges, edges[1:], strict=False):
        working = sum(
            w.began_s <= start_s and w.ended_s >= end_s for w in works
        )
        if 0 < working < gang.size:
            partial_s += end_s - start_s
        else:
            partial_s = 0.0
        if partial_s > PARTIAL_LIMIT_S:
            return True
    return False


def _overlaps(site: Site) -> int:
    by_worker: dict[str, list[worker.Work]] = collections.defaultdict(list)
    for work in site.log.entries:
        by_worker[work.worker].append(work)
    count = 0
    for works in by_worker.values():
        works.sort(key=lambda w: w.began_s)
        for index, first in enumerate(works):
            count += sum(
                first.mask & later.mask and later.began_s < first.ended_s
                for later in works[index + 1 :]
            )
    return count


def _inject(site: Site, step: type[messages.Message], fault: str) -> None:
    """Arms one fault at the first message of a step."""
    armed = [True]

    def on_send(
        sender: types.Address, to: types.Address, message: messages.Message
    ) -> None:
        if armed[0] and isinstance(message, step):
            armed[0] = False
            site.spawn(_cause, site, fault, sender, to)

    site.network.on_send = on_send


async def _cause(
    site: Site, fault: str, sender: types.Address, to: types.Address
) -> None:
    if fault == "drop":
        site.network.faults.one_way_loss.add((sender, to))
        await trio.sleep(1.0)
        site.network.faults.one_way_loss.discard((sender, to))
    elif fault == "pause-sender":
        site.network.freeze(sender)
        await trio.sleep(6.0)
        site.network.thaw(sender)
    else:
        victim = sender if fault == "kill-sender" else to
        site.kill(victim)
        await trio.sleep(4.0)
        if victim in site.agent_addresses:
            site.start_agent(victim)
        else:
            site.start_scheduler(victim)


async def _stepwise(
    seed: int, size: int, step: type[messages.Message], fault: str
) -> Found:
    site = Site(seed=seed, workers=size + 2, schedulers=2)
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(1.0)
        _inject(site, step, fault)
        gang = Gang(types.GangId("gang"), size, trio.current_time())
        with trio.move_on_after(150):
            await site.run_gang(gang, site.scheduler_addresses[0])
        await trio.sleep(SETTLE_S)
        nursery.cancel_scope.cancel()
    return judge(site)


async def _contended(seed: int) -> Found:
    """Many gangs of mixed sizes on overlapping workers, with random kills."""
    rng = random.Random(seed)
    site = Site(seed=seed, workers=24, schedulers=rng.randint(2, 4))
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(1.0)
        site.network.faults.loss = rng.choice([0.0, 0.02, 0.05])
        async with trio.open_nursery() as work:
            for number in range(10):
                gang = Gang(
                    types.GangId(f"gang-{number}"),
                    rng.choice([2, 2, 4, 8, 16]),
                    trio.current_time(),
                )
                work.start_soon(
                    site.run_gang, gang, rng.choice(site.scheduler_addresses)
                )
            for _ in range(3):
                await trio.sleep(rng.uniform(0.5, 6.0))
                victim = rng.choice(
                    site.agent_addresses + site.scheduler_addresses
                )
                work.start_soon(_cause, site, "kill-receiver", victim, victim)
        site.network.faults.loss = 0.0
        await trio.sleep(SETTLE_S)
        nursery.cancel_scope.cancel()
    return judge(site)


async def _calm(seed: int, size: int) -> tuple[Found, float]:
    """One gang with room and no fault; returns messages a member."""
    site = Site(seed=seed, workers=size, schedulers=2)
    gang = Gang(types.GangId("gang"), size, 0.0)
    sent = 0

    def on_send(
        sender: types.Address, to: types.Address, message: messages.Message
    ) -> None:
        nonlocal sent
        gang_step = isinstance(message, STEPS)
        sent += gang_step and not gang.started_s

    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(1.0)
        gang.submitted_s = trio.current_time()
        site.network.on_send = on_send
        with trio.move_on_after(60):
            await site.run_gang(gang, site.scheduler_addresses[0])
        await trio.sleep(10.0)
        nursery.cancel_scope.cancel()
    return judge(site), sent / size


def run(seed: int) -> harness.Report:
    """Runs every fault at every step, then contention, then sizes."""
    total = Found()
    number = 0
    for size in (2, 6):
        for step in STEPS:
            for fault in FAULTS:
                number += 1
                total.add(
                    harness.run_virtual(
                        _stepwise,
                        seed * 1009 + number,
                        size,
                        step,
                        fault,
                        seed=seed,
                    )
                )
    for case in range(RANDOM_CASES):
        total.add(
            harness.run_virtual(_contended, seed * 7001 + case, seed=seed)
        )
    calm = Found()
    per_member = {}
    for size in (2, 16, 128, 512):
        found, messages_per_member = harness.run_virtual(
            _calm, seed, size, seed=seed
        )
        calm.add(found)
        per_member[size] = messages_per_member
    start_p99_s = harness.percentile(calm.starts_s, 0.99)
    figures = {
        "partial_gangs": harness.at_most(total.partial, 0, "count"),
        "double_grants": harness.at_most(total.double_grants, 0, "count"),
        "leaked_holds": harness.at_most(total.leaked, 0, "count"),
        "unfinished_gangs": harness.at_most(total.unfinished, 0, "count"),
        "start_p99_s": harness.at_most(start_p99_s, START_BOUND_S, "s"),
        "messages_per_member_512_over_16": harness.at_most(
            per_member[512] / per_member[16], 1.5, "ratio"
        ),
        "messages_per_member_512": harness.info(per_member[512], "count"),
        "conflict_rate": harness.info(
            total.conflicts / max(1, total.attempts), "ratio"
        ),
        "gangs": harness.info(len(total.starts_s), "count"),
    }
    return harness.Report("gangs", seed, figures)
