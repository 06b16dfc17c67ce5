"""Faults around the end of a runner's incarnation and the start of the next."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pimentobridge.lab import faulty_client

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pimentobridge.lab import faults
    from pimentobridge.lab import machines
    from pimentobridge.lab import world as world_lib

    Disturb = Callable[
        [world_lib.World, machines.WorkerHost, float], Awaitable[None]
    ]

# Bounds of the time between a runner's first word that it drains and its
# deregistration.
MIN_DRAIN_S = 0.8
MAX_DRAIN_S = 3.0
# Bounds of the time for which a runner goes on after its deregistration, as
# the acknowledgement is lost.
MIN_LINGER_S = 1.0
MAX_LINGER_S = 10.0
# How long before or after the deregistration a disturbance may begin.
MAX_DISTURBED_BEFORE_S = 2.0
MAX_DISTURBED_AFTER_S = 0.5
# Bounds of the additional delay of each call of a slow agent.
MIN_SLOWNESS_S = 0.1
MAX_SLOWNESS_S = 0.9
# Bounds of the jumps of the time of day, and of the time between two.
MAX_JUMP_S = 60
MIN_JUMP_INTERVAL_S = 0.5
MAX_JUMP_INTERVAL_S = 3.0


async def _disturb_nothing(
    world: world_lib.World, worker: machines.WorkerHost, for_s: float
) -> None:
    del world, worker, for_s


async def cut_off(
    world: world_lib.World, worker: machines.WorkerHost, for_s: float
) -> None:
    """Cuts a runner off from its agent."""
    del world
    await worker.cut_off_runner(for_s)


async def lose_answers(
    world: world_lib.World, worker: machines.WorkerHost, for_s: float
) -> None:
    """Loses the answers of a runner to its agent."""
    outages = world.runner_faults.outage_by_node
    outages[worker.node] = faulty_client.OutageMode.UNANSWERED
    await trio.sleep(for_s)
    outages.pop(worker.node, None)


async def slow_down(
    world: world_lib.World, worker: machines.WorkerHost, for_s: float
) -> None:
    """Delays each call of an agent to its runner."""
    delays = world.runner_faults.extra_delay_s_by_node
    delays[worker.node] = world.rng.uniform(MIN_SLOWNESS_S, MAX_SLOWNESS_S)
    await trio.sleep(for_s)
    delays.pop(worker.node, None)


async def restart_agent(
    world: world_lib.World, worker: machines.WorkerHost, for_s: float
) -> None:
    """Kills an agent at a random time."""
    await trio.sleep(world.rng.uniform(0.0, for_s))
    worker.kill()


def leave_injector(
    disturb: Disturb = _disturb_nothing,
) -> Callable[[world_lib.World, faults.Fault], Awaitable[None]]:
    """Returns an injector of runners that go on after they have deregistered.

    Args:
        disturb: disturbs the contact of an agent with its runner, for a time in
            seconds, around the deregistration.
    """

    async def leave(
        world: world_lib.World, worker: machines.WorkerHost
    ) -> None:
        drain_s = world.rng.uniform(MIN_DRAIN_S, MAX_DRAIN_S)
        linger_s = world.rng.uniform(MIN_LINGER_S, MAX_LINGER_S)
        offset_s = world.rng.uniform(
            -MAX_DISTURBED_BEFORE_S, MAX_DISTURBED_AFTER_S
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(worker.drain_runner, drain_s, linger_s)
            await trio.sleep(max(0.0, drain_s + offset_s))
            await disturb(world, worker, linger_s)

    async def inject(world: world_lib.World, fault: faults.Fault) -> None:
        async with trio.open_nursery() as nursery:
            for number in fault.targets:
                nursery.start_soon(leave, world, world.workers[number])

    return inject


def clock_injector(
    *, keeps_id: bool, restarts_agents: bool
) -> Callable[[world_lib.World, faults.Fault], Awaitable[None]]:
    """Returns an injector of jumps of the time of day between incarnations.

    Args:
        keeps_id: whether a new incarnation has the id of the one before.
        restarts_agents: whether agents are killed meanwhile.
    """

    async def restart(
        world: world_lib.World, worker: machines.WorkerHost, until_s: float
    ) -> None:
        rng = world.rng
        while trio.current_time() < until_s:
            jump_s = rng.randint(-MAX_JUMP_S, MAX_JUMP_S)
            world.time_of_day_jump_ms = jump_s * 1000
            if restarts_agents and rng.random() < 0.5:
                worker.kill()
                await trio.sleep(rng.uniform(0.0, 1.0))
            worker.crash_runner(keeps_id=keeps_id)
            await trio.sleep(
                rng.uniform(MIN_JUMP_INTERVAL_S, MAX_JUMP_INTERVAL_S)
            )

    async def inject(world: world_lib.World, fault: faults.Fault) -> None:
        until_s = trio.current_time() + fault.for_s
        async with trio.open_nursery() as nursery:
            for number in fault.targets:
                nursery.start_soon(
                    restart, world, world.workers[number], until_s
                )
        world.time_of_day_jump_ms = 0

    return inject
