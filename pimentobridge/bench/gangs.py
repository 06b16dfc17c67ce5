"""Gang starts and runs with a fault at each step of the gang protocol."""

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
FINAL_WAIT_S = 45.0
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

# The lease plus one network delay.
MAX_PARTIAL_S = gang_member.LEASE_S + 0.05


class Scheduler(node.Node):
    """A scheduler that places gangs by its own, possibly stale, view.

    Several of them share the workers; the gang protocol resolves conflicts.
    """

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
    """A submitted gang and the progress of its attempts.

    Attributes:
        submitted_s: when it was submitted.
        started_s: when it first started, or 0.
        epoch: number of the current attempt, from 1.
        conflicts: attempts that found a worker occupied.
        ended_attempts: attempts that ended for any other reason.
        finished: whether the gang has run to its end.
        agents_by_epoch: agents that each attempt was placed on.
    """

    id: types.GangId
    size: int
    submitted_s: float
    started_s: float = 0.0
    epoch: int = 0
    conflicts: int = 0
    ended_attempts: int = 0
    finished: bool = False
    agents_by_epoch: dict[int, list[types.Address]] = dataclasses.field(
        default_factory=dict
    )


class Cluster:
    """Fake workers with production agents, and a few schedulers."""

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
        """Starts an agent with a new worker that runs no tasks."""
        fake_worker = worker.FakeWorker(
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
            worker=fake_worker,
            accelerators=ACCELERATORS,
        )
        self.agents_by_address[address] = agent
        self.workers_by_address[address] = fake_worker
        self._launch(address, agent)

    def start_scheduler(self, address: types.Address) -> None:
        """Starts a scheduler without any gang state."""
        scheduler = Scheduler(
            identity=self._identity(address),
            endpoint=self.network.endpoint(address, _PLACE),
            rng=random.Random(self.rng.random()),
        )
        self.schedulers_by_address[address] = scheduler
        self._launch(address, scheduler)

    def kill(self, address: types.Address) -> None:
        """Ends a process; the tasks of an agent's worker end with it."""
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
        """Starts a task that ends with the cluster."""
        if self.nursery is not None:
            self.nursery.start_soon(task, *args)

    async def run_gang(
        self, gang: Gang, scheduler_address: types.Address
    ) -> None:
        """Submits a gang and retries until it has run completely.

        Gives up after four attempts that end for another reason than a
        conflict.
        """
        self.gangs.append(gang)
        self.run_s_by_gang[gang.id] = RUN_S
        while not gang.finished and gang.ended_attempts < 4:
            while not self.is_running(scheduler_address):
                scheduler_address = self.rng.choice(self.scheduler_addresses)
                await trio.sleep(0.1)
            report = await self._run_attempt(gang, scheduler_address)
            if report is None:
                # The scheduler terminated. Another one may start the gang
                # again only once the old attempt must have ended.
                await trio.sleep(gang_coordinator.ANCHOR_LOST_S)
                gang.ended_attempts += 1
            elif report.event is gang_coordinator.GangEvent.CONFLICT:
                gang.conflicts += 1
                self.busy_by_scheduler[scheduler_address] |= set(report.busy)
                scheduler = self.schedulers_by_address[scheduler_address]
                await trio.sleep(
                    scheduler.coordinator.backoff_s(gang.conflicts)
                )
            else:
                gang.ended_attempts += 1
                gang.finished = report.reason is gangs.EndReason.FINISHED

    async def _run_attempt(
        self, gang: Gang, address: types.Address
    ) -> gang_coordinator.Report | None:
        scheduler = self.schedulers_by_address[address]
        gang.epoch += 1
        shares = self._choose_shares(gang, address)
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
            if self.schedulers_by_address[address] is not scheduler or (
                not self.is_running(address)
            ):
                return None
        return reports[0]

    def _choose_shares(
        self, gang: Gang, address: types.Address
    ) -> list[gangs.Share]:
        """Chooses random workers that the scheduler's view shows as free.

        If too few are left, forgets which workers are busy.
        """
        busy = self.busy_by_scheduler[address]
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
            f"rack-{address_number(address) % 8}",
        )

    def _launch(self, address: types.Address, daemon: node.Node) -> None:
        scope = trio.CancelScope()
        self._scopes_by_address[address] = scope

        async def run() -> None:
            with scope:
                await daemon.run()

        self.spawn(run)


def address_number(address: types.Address) -> int:
    """Returns the number at the end of an address."""
    return int(address.rsplit("-", 1)[1])


_PLACE = network_lib.Place("r", "dc")


@dataclasses.dataclass
class RunResult:
    """Violations and statistics of one or more runs.

    Attributes:
        partial_gangs: gangs of which only some members ran for longer than
            `MAX_PARTIAL_S`.
        double_grants: pairs of tasks that ran on the same accelerator at the
            same time.
        leaked_holds: reservations of gang members that running agents still
            hold at the end.
        unfinished: gangs that did not run to their end.
        start_delays_s: time from submission to start, for each started gang.
        conflicts: attempts that found a worker occupied.
        attempts: attempts of all gangs, however they ended.
    """

    partial_gangs: int = 0
    double_grants: int = 0
    leaked_holds: int = 0
    unfinished: int = 0
    start_delays_s: list[float] = dataclasses.field(default_factory=list)
    conflicts: int = 0
    attempts: int = 0

    def add(self, other: RunResult) -> None:
        """Adds the results of another run."""
        self.partial_gangs += other.partial_gangs
        self.double_grants += other.double_grants
        self.leaked_holds += other.leaked_holds
        self.unfinished += other.unfinished
        self.start_delays_s += other.start_delays_s
        self.conflicts += other.conflicts
        self.attempts += other.attempts


def evaluate_run(cluster: Cluster) -> RunResult:
    """Derives the result of a run from the workers' log and the end state."""
    run_result = RunResult()
    run_result.partial_gangs = sum(
        _ran_partially(cluster, gang) for gang in cluster.gangs
    )
    run_result.double_grants = _count_double_grants(cluster)
    run_result.leaked_holds = sum(
        len(agent.gangs.members_by_gang)
        for address, agent in cluster.agents_by_address.items()
        if cluster.is_running(address) and agent.gangs is not None
    )
    run_result.unfinished = sum(not gang.finished for gang in cluster.gangs)
    run_result.conflicts = sum(gang.conflicts for gang in cluster.gangs)
    run_result.attempts = sum(gang.epoch for gang in cluster.gangs)
    run_result.start_delays_s = [
        gang.started_s - gang.submitted_s
        for gang in cluster.gangs
        if gang.started_s
    ]
    return run_result


def _ran_partially(cluster: Cluster, gang: Gang) -> bool:
    """Returns whether only some members ran for longer than `MAX_PARTIAL_S`."""
    entries = [w for w in cluster.log.entries if w.gang == gang.id]
    boundaries_s = sorted(
        {w.began_s for w in entries} | {w.ended_s for w in entries}
    )
    partial_s = 0.0
    for start_s, end_s in zip(boundaries_s, boundaries_s[1:], strict=False):
        working = sum(
            w.began_s <= start_s and w.ended_s >= end_s for w in entries
        )
        if 0 < working < gang.size:
            partial_s += end_s - start_s
        else:
            partial_s = 0.0
        if partial_s > MAX_PARTIAL_S:
            return True
    return False


def _count_double_grants(cluster: Cluster) -> int:
    by_worker: dict[str, list[worker.Work]] = collections.defaultdict(list)
    for entry in cluster.log.entries:
        by_worker[entry.worker].append(entry)
    count = 0
    for entries in by_worker.values():
        entries.sort(key=lambda w: w.began_s)
        for index, earlier in enumerate(entries):
            count += sum(
                earlier.mask & later.mask and later.began_s < earlier.ended_s
                for later in entries[index + 1 :]
            )
    return count


def _arm_fault(
    cluster: Cluster, step: type[messages.Message], fault: str
) -> None:
    """Makes the first message of a protocol step trigger a fault."""
    armed = [True]

    def on_send(
        sender: types.Address, to: types.Address, message: messages.Message
    ) -> None:
        if armed[0] and isinstance(message, step):
            armed[0] = False
            cluster.spawn(_inject_fault, cluster, fault, sender, to)

    cluster.network.on_send = on_send


async def _inject_fault(
    cluster: Cluster, fault: str, sender: types.Address, to: types.Address
) -> None:
    if fault == "drop":
        cluster.network.faults.one_way_loss.add((sender, to))
        await trio.sleep(1.0)
        cluster.network.faults.one_way_loss.discard((sender, to))
    elif fault == "pause-sender":
        cluster.network.freeze(sender)
        await trio.sleep(6.0)
        cluster.network.thaw(sender)
    else:
        target = sender if fault == "kill-sender" else to
        cluster.kill(target)
        await trio.sleep(4.0)
        if target in cluster.agent_addresses:
            cluster.start_agent(target)
        else:
            cluster.start_scheduler(target)


async def _run_with_fault(
    seed: int, size: int, step: type[messages.Message], fault: str
) -> RunResult:
    cluster = Cluster(seed=seed, workers=size + 2, schedulers=2)
    async with trio.open_nursery() as nursery:
        cluster.start(nursery)
        await trio.sleep(1.0)
        _arm_fault(cluster, step, fault)
        gang = Gang(types.GangId("gang"), size, trio.current_time())
        with trio.move_on_after(150):
            await cluster.run_gang(gang, cluster.scheduler_addresses[0])
        await trio.sleep(FINAL_WAIT_S)
        nursery.cancel_scope.cancel()
    return evaluate_run(cluster)


async def _run_contended(seed: int) -> RunResult:
    """Runs gangs of mixed sizes on shared workers with loss and kills."""
    rng = random.Random(seed)
    cluster = Cluster(seed=seed, workers=24, schedulers=rng.randint(2, 4))
    async with trio.open_nursery() as nursery:
        cluster.start(nursery)
        await trio.sleep(1.0)
        cluster.network.faults.loss = rng.choice([0.0, 0.02, 0.05])
        async with trio.open_nursery() as work_nursery:
            for gang_number in range(10):
                gang = Gang(
                    types.GangId(f"gang-{gang_number}"),
                    rng.choice([2, 2, 4, 8, 16]),
                    trio.current_time(),
                )
                work_nursery.start_soon(
                    cluster.run_gang,
                    gang,
                    rng.choice(cluster.scheduler_addresses),
                )
            for _ in range(3):
                await trio.sleep(rng.uniform(0.5, 6.0))
                target = rng.choice(
                    cluster.agent_addresses + cluster.scheduler_addresses
                )
                work_nursery.start_soon(
                    _inject_fault, cluster, "kill-receiver", target, target
                )
        cluster.network.faults.loss = 0.0
        await trio.sleep(FINAL_WAIT_S)
        nursery.cancel_scope.cancel()
    return evaluate_run(cluster)


async def _run_without_faults(seed: int, size: int) -> tuple[RunResult, float]:
    """Runs one gang on free workers; also returns its messages per member."""
    cluster = Cluster(seed=seed, workers=size, schedulers=2)
    gang = Gang(types.GangId("gang"), size, 0.0)
    sent_messages = 0

    def on_send(
        sender: types.Address, to: types.Address, message: messages.Message
    ) -> None:
        nonlocal sent_messages
        gang_step = isinstance(message, STEPS)
        sent_messages += gang_step and not gang.started_s

    async with trio.open_nursery() as nursery:
        cluster.start(nursery)
        await trio.sleep(1.0)
        gang.submitted_s = trio.current_time()
        cluster.network.on_send = on_send
        with trio.move_on_after(60):
            await cluster.run_gang(gang, cluster.scheduler_addresses[0])
        await trio.sleep(10.0)
        nursery.cancel_scope.cancel()
    return evaluate_run(cluster), sent_messages / size


def run(seed: int) -> harness.Report:
    """Runs each fault at each step, contended gangs, then growing sizes."""
    total = RunResult()
    case_number = 0
    for size in (2, 6):
        for step in STEPS:
            for fault in FAULTS:
                case_number += 1
                total.add(
                    harness.run_virtual(
                        _run_with_fault,
                        seed * 1009 + case_number,
                        size,
                        step,
                        fault,
                        seed=seed,
                    )
                )
    for contended_case in range(RANDOM_CASES):
        total.add(
            harness.run_virtual(
                _run_contended, seed * 7001 + contended_case, seed=seed
            )
        )
    fault_free = RunResult()
    messages_per_member_by_size = {}
    for size in (2, 16, 128, 512):
        run_result, messages_per_member = harness.run_virtual(
            _run_without_faults, seed, size, seed=seed
        )
        fault_free.add(run_result)
        messages_per_member_by_size[size] = messages_per_member
    start_p99_s = harness.percentile(fault_free.start_delays_s, 0.99)
    figures = {
        "partial_gangs": harness.at_most(total.partial_gangs, 0, "count"),
        "double_grants": harness.at_most(total.double_grants, 0, "count"),
        "leaked_holds": harness.at_most(total.leaked_holds, 0, "count"),
        "unfinished_gangs": harness.at_most(total.unfinished, 0, "count"),
        "start_p99_s": harness.at_most(start_p99_s, START_BOUND_S, "s"),
        "messages_per_member_512_over_16": harness.at_most(
            messages_per_member_by_size[512] / messages_per_member_by_size[16],
            1.5,
            "ratio",
        ),
        "messages_per_member_512": harness.info(
            messages_per_member_by_size[512], "count"
        ),
        "conflict_rate": harness.info(
            total.conflicts / max(1, total.attempts), "ratio"
        ),
        "gangs": harness.info(len(total.start_delays_s), "count"),
    }
    return harness.Report("gangs", seed, figures)
