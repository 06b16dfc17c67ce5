"""Faults that let schedulers and agents take over from each other in series."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pimentobridge.lab import machines
from pimentobridge.testing import order_faults

if TYPE_CHECKING:
    from pimentobridge.lab import faults
    from pimentobridge.lab import world as world_lib

# Bounds of the time between two takeovers.
MIN_TAKEOVER_INTERVAL_S = 0.5
MAX_TAKEOVER_INTERVAL_S = 4.0
# Bounds of a cut that lasts longer than the longest lease.
MIN_LONG_CUT_S = machines.MAX_LEASE_S + 1.0
MAX_LONG_CUT_S = 2.5 * machines.MAX_LEASE_S
# Bounds of the time between two deaths of one agent.
MIN_AGENT_INTERVAL_S = 0.7
MAX_AGENT_INTERVAL_S = 2.5
LATE_EXECUTION_RATE = 0.6


def leader_of(world: world_lib.World) -> machines.EntryHost | None:
    """Returns the entry that is the scheduler; None while there is none."""
    for host in world.entries:
        if host.entry is not None and host.entry.leadership.is_leader:
            return host
    return None


async def take_over_in_series(
    world: world_lib.World, fault: faults.Fault
) -> None:
    """Kills or terminates one scheduler after the other."""
    until_s = trio.current_time() + fault.for_s
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until_s:
            host = leader_of(world)
            if host is not None and world.rng.random() < 0.5:
                host.kill()
            elif host is not None:
                nursery.start_soon(host.terminate)
            await trio.sleep(
                world.rng.uniform(
                    MIN_TAKEOVER_INTERVAL_S, MAX_TAKEOVER_INTERVAL_S
                )
            )


async def isolate_agents_beyond_lease(
    world: world_lib.World, fault: faults.Fault
) -> None:
    """Cuts agents off from the entries for longer than the longest lease."""
    addresses = {world.workers[number].address for number in fault.targets}
    world.network.faults.isolated |= addresses
    await trio.sleep(world.rng.uniform(MIN_LONG_CUT_S, MAX_LONG_CUT_S))
    world.network.faults.isolated -= addresses


async def kill_agents_amid_orders(
    world: world_lib.World, fault: faults.Fault
) -> None:
    """Kills agents again and again while their orders are carried out late."""
    by_node = world.runner_faults.order_faults_by_node
    workers = [world.workers[number] for number in fault.targets]
    for worker in workers:
        by_node[worker.node] = order_faults.OrderFaults(
            late_execution_rate=LATE_EXECUTION_RATE
        )
    until_s = trio.current_time() + fault.for_s
    async with trio.open_nursery() as nursery:
        for worker in workers:
            nursery.start_soon(_kill_in_series, world, worker, until_s)
    for worker in workers:
        by_node.pop(worker.node, None)


async def _kill_in_series(
    world: world_lib.World, worker: machines.WorkerHost, until_s: float
) -> None:
    while trio.current_time() < until_s:
        await trio.sleep(
            world.rng.uniform(MIN_AGENT_INTERVAL_S, MAX_AGENT_INTERVAL_S)
        )
        worker.kill()
