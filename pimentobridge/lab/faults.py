"""Faults of a simulation: chosen at random and injected at their times."""

from __future__ import annotations

import base64
import random
from typing import TYPE_CHECKING

import msgspec
import trio

from pimentobridge.lab import evacuation_faults
from pimentobridge.lab import faulty_client
from pimentobridge.lab import incarnation_faults
from pimentobridge.lab import runner_faults
from pimentobridge.lab import takeover_faults
from pimentobridge.platform import operator_configuration
from pimentobridge.testing import odd_entries

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pimentobridge.lab import world as world_lib

MAX_FAULTS = 5
# Share of the entries or workers that a fault affects.
TARGET_SHARE = 0.35
# Share of the simulations with a series of faults of the same workers.
SERIES_SHARE = 0.6
MIN_SERIES_S = 10.0
MAX_FAULTS_IN_SERIES = 4
# Faults of the calls to some workers, which last as long as a series.
CALL_KINDS = (
    "answers to orders lost",
    "orders late on some workers",
    "runners unhealthy, answers cut off",
    "runners unhealthy, answers lost",
    "runners unhealthy, orders late",
)
# Faults that come in the midst of a series.
KINDS_IN_SERIES = (
    "agents cut off beyond their leases",
    "agents killed amid late orders",
    "runners go on after they have left",
    "runners leave behind a cut",
    "runners leave, agents slow",
    "takeovers in series",
    "agents cut off",
    "agents killed",
    "agents terminated",
    "entries terminated",
    "runners crash",
    "runners drain",
    "runners unhealthy",
    "scheduler killed",
    "workers lose power",
)
# Share of the simulations with an evacuation of a data centre.
EVACUATION_SHARE = 0.4
# Share of the tasks first started during the fault that crash their runners.
DEADLY_SHARE = 0.2
ODD_HEARTBEAT_INTERVAL_S = 0.7
# Length of a cut behind which a runner restarts, and time to recover from it.
CUT_S = 2.0
BETWEEN_CUTS_S = 2.5


class Fault(msgspec.Struct, frozen=True):
    """A fault to inject.

    Attributes:
        kind: name of the fault, a key of the table of injectors.
        at_s: start, in seconds after the start of the traffic.
        for_s: duration in seconds; ignored by faults that act at once.
        targets: numbers of the affected machines; whether these are entries or
            workers depends on the kind.
    """

    kind: str
    at_s: float
    for_s: float
    targets: tuple[int, ...] = ()


def random_faults(
    rng: random.Random, *, length_s: float, entries: int, workers: int
) -> list[Fault]:
    """Returns random faults, ordered by time.

    Args:
        rng: source of randomness.
        length_s: length of the traffic, during which faults start.
        entries: number of entries.
        workers: number of workers.
    """
    faults = []
    for _ in range(rng.randint(1, MAX_FAULTS)):
        kind = rng.choice(sorted(_INJECTORS))
        faults.append(
            Fault(
                kind=kind,
                at_s=round(rng.uniform(0.5, length_s), 2),
                for_s=round(rng.uniform(1.0, 9.0), 2),
                targets=_random_targets(
                    rng, kind, entries=entries, workers=workers
                ),
            )
        )
    if rng.random() < SERIES_SHARE:
        faults += _random_series(
            rng, length_s=length_s, entries=entries, workers=workers
        )
    return sorted(faults, key=lambda fault: fault.at_s)


def random_evacuations(
    seed: int, *, length_s: float, workers: int
) -> list[Fault]:
    """Returns evacuations of data centres for some seeds.

    They have a generator of their own, so that a seed's other random choices
    don't depend on them.

    Args:
        seed: seed of the simulation.
        length_s: length of the traffic, during which they start.
        workers: number of workers.
    """
    rng = random.Random(f"evacuations {seed}")
    if rng.random() >= EVACUATION_SHARE:
        return []
    return [
        Fault(
            evacuation_faults.KIND,
            at_s=round(rng.uniform(0.5, length_s * 0.6), 2),
            for_s=round(rng.uniform(6.0, 15.0), 2),
            targets=(rng.randrange(workers),),
        )
    ]


def _random_targets(
    rng: random.Random, kind: str, *, entries: int, workers: int
) -> tuple[int, ...]:
    # The names of the faults of entries contain "entries".
    machine_count = entries if "entr" in kind else workers
    count = max(1, int(machine_count * TARGET_SHARE))
    return tuple(sorted(rng.sample(range(machine_count), count)))


def _random_series(
    rng: random.Random, *, length_s: float, entries: int, workers: int
) -> list[Fault]:
    """Returns a long fault of the calls to some workers, and others meanwhile.

    All faults of workers in the series affect the same ones.
    """
    at_s = rng.uniform(0.5, length_s / 2)
    until_s = rng.uniform(at_s + MIN_SERIES_S, length_s + MIN_SERIES_S)
    kind = rng.choice(CALL_KINDS)
    targets = _random_targets(rng, kind, entries=entries, workers=workers)
    faults = [Fault(kind, round(at_s, 2), round(until_s - at_s, 2), targets)]
    for _ in range(rng.randint(0, MAX_FAULTS_IN_SERIES)):
        kind = rng.choice(KINDS_IN_SERIES)
        others = _random_targets(rng, kind, entries=entries, workers=workers)
        faults.append(
            Fault(
                kind=kind,
                at_s=round(rng.uniform(at_s, until_s), 2),
                for_s=round(rng.uniform(0.3, 9.0), 2),
                targets=others if "entr" in kind else targets,
            )
        )
    return faults


async def inject(world: world_lib.World, fault: Fault) -> None:
    """Waits until a fault is due, injects it and ends it."""
    await trio.sleep(fault.at_s)
    with trio.CancelScope() as time_update_scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_update_last_fault_time, world)
            await _ALL_INJECTORS[fault.kind](world, fault)
            time_update_scope.cancel()


async def _update_last_fault_time(world: world_lib.World) -> None:
    """Keeps `last_fault_s` at the current time until cancelled."""
    while True:
        world.note_active_fault()
        await trio.sleep(0.1)


def _outage_injector(
    outage: faulty_client.OutageMode, *, pauses_lease_expiry: bool
) -> Callable[[world_lib.World, Fault], Awaitable[None]]:
    async def inject_outage(world: world_lib.World, fault: Fault) -> None:
        world.store_faults.outage = outage
        world.store.lease_expiry_paused = pauses_lease_expiry
        await trio.sleep(fault.for_s)
        world.store_faults.outage = None
        world.store.lease_expiry_paused = False

    return inject_outage


def _outage_injector_for_entries(
    outage: faulty_client.OutageMode,
) -> Callable[[world_lib.World, Fault], Awaitable[None]]:
    async def inject_outage(world: world_lib.World, fault: Fault) -> None:
        nodes = [world.entries[number].node for number in fault.targets]
        for node in nodes:
            world.store_faults.outage_by_node[node] = outage
        await trio.sleep(fault.for_s)
        for node in nodes:
            world.store_faults.outage_by_node.pop(node, None)

    return inject_outage


async def _slow_store(world: world_lib.World, fault: Fault) -> None:
    world.store_faults.delay_factor = 60.0
    await trio.sleep(fault.for_s)
    world.store_faults.delay_factor = 1.0


async def _lose_store_answers(world: world_lib.World, fault: Fault) -> None:
    world.store_faults.lost_answer_rate = 0.35
    await trio.sleep(fault.for_s)
    world.store_faults.lost_answer_rate = 0.0


async def _execute_store_calls_late(
    world: world_lib.World, fault: Fault
) -> None:
    world.store_faults.late_execution_rate = 0.3
    await trio.sleep(fault.for_s)
    world.store_faults.late_execution_rate = 0.0


async def _compact_store_history(world: world_lib.World, fault: Fault) -> None:
    del fault
    world.store.compact_history()


async def _execute_orders_late(world: world_lib.World, fault: Fault) -> None:
    world.runner_faults.late_execution_rate = 0.3
    await trio.sleep(fault.for_s)
    world.runner_faults.late_execution_rate = 0.0


async def _kill_entries(world: world_lib.World, fault: Fault) -> None:
    for number in fault.targets:
        world.entries[number].kill()


async def _terminate_entries(world: world_lib.World, fault: Fault) -> None:
    for number in fault.targets:
        await world.entries[number].terminate()
        await trio.sleep(1.0)


async def _terminate_all_entries(world: world_lib.World, fault: Fault) -> None:
    del fault
    async with trio.open_nursery() as nursery:
        for host in world.entries:
            nursery.start_soon(host.terminate)
            await trio.sleep(0.2)


async def _kill_scheduler(world: world_lib.World, fault: Fault) -> None:
    del fault
    for host in world.entries:
        if host.entry is not None and host.entry.leadership.is_leader:
            host.kill()


async def _kill_agents(world: world_lib.World, fault: Fault) -> None:
    for number in fault.targets:
        world.workers[number].kill()


async def _terminate_agents(world: world_lib.World, fault: Fault) -> None:
    async with trio.open_nursery() as nursery:
        for number in fault.targets:
            nursery.start_soon(world.workers[number].terminate)


async def _kill_all(world: world_lib.World, fault: Fault) -> None:
    del fault
    for host in world.entries:
        host.kill()
    for worker in world.workers:
        worker.kill()


async def _power_off_workers(world: world_lib.World, fault: Fault) -> None:
    for number in fault.targets:
        world.workers[number].power_off()


async def _drain_runners(world: world_lib.World, fault: Fault) -> None:
    async with trio.open_nursery() as nursery:
        for number in fault.targets:
            nursery.start_soon(world.workers[number].drain_runner)


async def _crash_runners(world: world_lib.World, fault: Fault) -> None:
    for number in fault.targets:
        world.workers[number].crash_runner()


async def _set_clocks_back(world: world_lib.World, fault: Fault) -> None:
    """Restarts runners, each of which says that it began before the last one.

    They crash, lose power with their agents, or are drained.
    """
    async with trio.open_nursery() as nursery:
        for number in fault.targets:
            host = world.workers[number]
            host.set_clock_back()
            if number % 3 == 0:
                host.crash_runner()
            elif number % 3 == 1:
                host.power_off()
            else:
                nursery.start_soon(host.drain_runner)


async def _restart_runners_behind_cut(
    world: world_lib.World, fault: Fault
) -> None:
    """Cuts runners off, again and again, and restarts them meanwhile.

    Most of the workers are affected, so that tasks are placed on some of them
    while they are cut off.
    """
    until_s = trio.current_time() + fault.for_s
    numbers = set(fault.targets) | {
        (number + 1) % len(world.workers) for number in fault.targets
    }
    while trio.current_time() < until_s:
        async with trio.open_nursery() as nursery:
            for number in sorted(numbers):
                nursery.start_soon(
                    world.workers[number].restart_runner_behind_cut, CUT_S
                )
        await trio.sleep(BETWEEN_CUTS_S)


async def _isolate_agents(world: world_lib.World, fault: Fault) -> None:
    addresses = {world.workers[number].address for number in fault.targets}
    world.network.faults.isolated |= addresses
    await trio.sleep(fault.for_s)
    world.network.faults.isolated -= addresses


async def _isolate_entries(world: world_lib.World, fault: Fault) -> None:
    hosts = [world.entries[number] for number in fault.targets]
    for host in hosts:
        world.network.faults.isolated.add(host.address)
        world.store_faults.outage_by_node[host.node] = (
            faulty_client.OutageMode.SILENT
        )
    await trio.sleep(fault.for_s)
    for host in hosts:
        world.network.faults.isolated.discard(host.address)
        world.store_faults.outage_by_node.pop(host.node, None)


async def _silence_connections(world: world_lib.World, fault: Fault) -> None:
    for number in fault.targets:
        for host in world.entries:
            agent = world.workers[number].address
            world.network.silence(host.address, agent)
            world.network.silence(agent, host.address)


async def _fail_all_runs(world: world_lib.World, fault: Fault) -> None:
    runners = [world.workers[number].runner for number in fault.targets]
    for runner in runners:
        runner.failing = True
    await trio.sleep(fault.for_s)
    for runner in runners:
        runner.failing = False


async def _make_tasks_deadly(world: world_lib.World, fault: Fault) -> None:
    world.pool.deadly_share = DEADLY_SHARE
    await trio.sleep(fault.for_s)
    world.pool.deadly_share = 0.0


async def _shrink_capacity(world: world_lib.World, fault: Fault) -> None:
    runners = [world.workers[number].runner for number in fault.targets]
    before = [runner.halve_capacity() for runner in runners]
    await trio.sleep(fault.for_s)
    for runner, capacity in zip(runners, before, strict=True):
        runner.resize(capacity)


async def _hang_runners(world: world_lib.World, fault: Fault) -> None:
    runners = [world.workers[number].runner for number in fault.targets]
    for runner in runners:
        runner.hanging = True
    await trio.sleep(fault.for_s)
    for runner in runners:
        runner.hanging = False


async def _change_configuration(world: world_lib.World, fault: Fault) -> None:
    del fault
    world.put_configuration(guaranteed=world.rng.randint(0, 16))


async def _leave_odd_entries(world: world_lib.World, fault: Fault) -> None:
    """Another writer leaves malformed entries and a malformed configuration."""
    for key, value in odd_entries.values_by_key().items():
        world.store.put(key, base64.b64encode(value).decode())
    world.store.put(
        operator_configuration.KEY,
        base64.b64encode(odd_entries.NESTED_JSON).decode(),
    )
    await trio.sleep(fault.for_s)
    world.put_configuration()


async def _send_odd_heartbeats(world: world_lib.World, fault: Fault) -> None:
    """Another writer sends heartbeats to agents, again and again."""
    until_s = trio.current_time() + fault.for_s
    while trio.current_time() < until_s:
        for number in fault.targets:
            await world.workers[number].deliver_odd_heartbeats()
        await trio.sleep(ODD_HEARTBEAT_INTERVAL_S)


_INJECTORS: dict[str, Callable[[world_lib.World, Fault], Awaitable[None]]] = {
    "store silent": _outage_injector(
        faulty_client.OutageMode.SILENT, pauses_lease_expiry=False
    ),
    "store busy": _outage_injector(
        faulty_client.OutageMode.BUSY, pauses_lease_expiry=True
    ),
    "store resets": _outage_injector(
        faulty_client.OutageMode.RESET, pauses_lease_expiry=True
    ),
    "store refuses some entries": _outage_injector_for_entries(
        faulty_client.OutageMode.BUSY
    ),
    "store silent to some entries": _outage_injector_for_entries(
        faulty_client.OutageMode.SILENT
    ),
    "store slow": _slow_store,
    "store loses answers": _lose_store_answers,
    "store acts late": _execute_store_calls_late,
    "store forgets its history": _compact_store_history,
    "orders late": _execute_orders_late,
    "entries killed": _kill_entries,
    "all entries terminated": _terminate_all_entries,
    "entries terminated": _terminate_entries,
    "scheduler killed": _kill_scheduler,
    "agents killed": _kill_agents,
    "agents terminated": _terminate_agents,
    "all killed": _kill_all,
    "workers lose power": _power_off_workers,
    "runners crash": _crash_runners,
    "runners drain": _drain_runners,
    "runners restart with clocks set back": _set_clocks_back,
    "runners restart behind a cut": _restart_runners_behind_cut,
    "agents cut off": _isolate_agents,
    "entries cut off": _isolate_entries,
    "connections silent": _silence_connections,
    "runners fail all": _fail_all_runs,
    "runners stand still": _hang_runners,
    "runners unhealthy": runner_faults.refuse_starts,
    "runners unhealthy, answers cut off": (
        runner_faults.refuse_starts_around_cuts
    ),
    "runners unhealthy, answers lost": runner_faults.order_injector(
        runner_faults.lost_answers, unhealthy=True
    ),
    "runners unhealthy, orders late": runner_faults.order_injector(
        runner_faults.late_orders, unhealthy=True
    ),
    "answers to orders lost": runner_faults.order_injector(
        runner_faults.lost_answers, unhealthy=False
    ),
    "runners go on after they have left": incarnation_faults.leave_injector(),
    "runners leave behind a cut": incarnation_faults.leave_injector(
        incarnation_faults.cut_off
    ),
    "runners leave, answers cut off": incarnation_faults.leave_injector(
        incarnation_faults.lose_answers
    ),
    "runners leave, agents slow": incarnation_faults.leave_injector(
        incarnation_faults.slow_down
    ),
    "runners leave, agents killed": incarnation_faults.leave_injector(
        incarnation_faults.restart_agent
    ),
    "clocks jump, runners restart": incarnation_faults.clock_injector(
        keeps_id=False, restarts_agents=False
    ),
    "clocks jump, runners keep their ids": incarnation_faults.clock_injector(
        keeps_id=True, restarts_agents=False
    ),
    "clocks jump, agents restart": incarnation_faults.clock_injector(
        keeps_id=False, restarts_agents=True
    ),
    "clocks jump, ids stay, agents restart": (
        incarnation_faults.clock_injector(keeps_id=True, restarts_agents=True)
    ),
    "takeovers in series": takeover_faults.take_over_in_series,
    "agents cut off beyond their leases": (
        takeover_faults.isolate_agents_beyond_lease
    ),
    "agents killed amid late orders": takeover_faults.kill_agents_amid_orders,
    "orders late on some workers": runner_faults.order_injector(
        runner_faults.late_orders, unhealthy=False
    ),
    "configuration changes": _change_configuration,
    "tasks crash their runners": _make_tasks_deadly,
    "capacity shrinks": _shrink_capacity,
    "odd entries": _leave_odd_entries,
    "odd heartbeats": _send_odd_heartbeats,
}
# Kinds that aren't among the choices of `random_faults`, whose further random
# choices a longer list would change.
_ALL_INJECTORS = _INJECTORS | {
    evacuation_faults.KIND: evacuation_faults.evacuate
}
KINDS = tuple(sorted(_ALL_INJECTORS))
