"""Orders to start runs on a worker that was reported as ended."""

from __future__ import annotations

import random

import pytest
import trio

from pimentobridge.bench import harness
from pimentobridge.lab import callers
from pimentobridge.lab import faulty_client
from pimentobridge.lab import machines
from pimentobridge.lab import world as world_lib

TASK_S = 10.0
FOLLOW_S = 60.0
# In this time a job is placed on a worker that can't be reached any more, and
# before the polls show that.
PLACED_S = 0.5
# Makes a message between processes take 0.7 s.
SLOW_NETWORK_FACTOR = 700.0
SLOW_FOR_S = 5.0


async def _place_on_unreachable_worker(heals_after: str) -> list[str]:
    """Cuts a worker off before a start reaches it.

    Args:
        heals_after: what ends the cut: that the agent has found that the worker
            has ended, while orders to it are under way, or the next run.

    Returns:
        What is violated.
    """
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=1, workers=2
        )
        world.put_configuration()
        world.start()
        await trio.sleep(4.0)
        outages = world.runner_faults.outage_by_node
        for host in world.workers:
            outages[host.node] = faulty_client.OutageMode.SILENT
        async with trio.open_nursery() as traffic:
            job = callers.one_task_job(TASK_S)
            caller = callers.follow(world, job, for_s=FOLLOW_S)
            traffic.start_soon(caller.run)
            await trio.sleep(PLACED_S)
            placed_on = _host_of_start(world)
            for host in world.workers:
                if host is not placed_on:
                    outages.pop(host.node)
            if heals_after == "end found":
                world.network.faults.delay_factor = SLOW_NETWORK_FACTOR
            agent = placed_on.agent
            assert agent is not None
            while not (
                world.checker.started
                or (heals_after == "end found" and agent.view.contact.ended)
            ):
                await trio.sleep(0.01)
            outages.clear()
            await trio.sleep(SLOW_FOR_S)
            world.network.faults.delay_factor = 1.0
        findings = world.checker.finish()
        nursery.cancel_scope.cancel()
    return findings


def _host_of_start(world: world_lib.World) -> machines.WorkerHost:
    """Returns the machine whose agent was ordered to start a run."""
    for host in world.workers:
        if host.agent is not None and host.agent.view.orders_in_progress:
            return host
    raise AssertionError("no start was ordered")


# Guards against TWICE (issue 38): an agent that had reported its worker as
# ended went on with the starts ordered before, and the worker was up.
@pytest.mark.parametrize("heals_after", ["end found", "next run"])
def test_no_start_is_sent_again_to_a_worker_reported_as_ended(
    heals_after: str,
) -> None:
    assert harness.run_virtual(_place_on_unreachable_worker, heals_after) == []
