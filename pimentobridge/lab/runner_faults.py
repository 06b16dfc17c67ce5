"""Faults of runners and of the orders to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pimentobridge.lab import faulty_client
from pimentobridge.testing import order_faults

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    from pimentobridge.lab import faults
    from pimentobridge.lab import world as world_lib

# Bounds of the share of the starts that an unhealthy runner refuses.
MIN_REFUSED_SHARE = 0.3
MAX_REFUSED_SHARE = 0.9
# Bounds of the share of the orders that get no answer.
MIN_UNANSWERED_SHARE = 0.2
MAX_UNANSWERED_SHARE = 0.7
# Bounds of the length of a cut that loses answers, and of the pause after it.
MIN_CUT_S = 0.3
MAX_CUT_S = 1.5
MAX_PAUSE_S = 2.0


def random_refused_share(rng: random.Random) -> float:
    """Draws the share of the starts that an unhealthy runner refuses."""
    return rng.uniform(MIN_REFUSED_SHARE, MAX_REFUSED_SHARE)


def lost_answers(rng: random.Random) -> order_faults.OrderFaults:
    """Returns faults by which answers to orders are lost."""
    share = rng.uniform(MIN_UNANSWERED_SHARE, MAX_UNANSWERED_SHARE)
    return order_faults.OrderFaults(lost_answer_rate=share)


def late_orders(rng: random.Random) -> order_faults.OrderFaults:
    """Returns faults by which orders are carried out seconds later."""
    share = rng.uniform(MIN_UNANSWERED_SHARE, MAX_UNANSWERED_SHARE)
    return order_faults.OrderFaults(late_execution_rate=share)


async def refuse_starts(world: world_lib.World, fault: faults.Fault) -> None:
    """Makes runners refuse a share of the starts as unhealthy."""
    workers = [world.workers[number] for number in fault.targets]
    for worker in workers:
        worker.refuse_starts(random_refused_share(world.rng))
    await trio.sleep(fault.for_s)
    for worker in workers:
        worker.refuse_starts(0.0)


def order_injector(
    draw: Callable[[random.Random], order_faults.OrderFaults],
    *,
    unhealthy: bool,
) -> Callable[[world_lib.World, faults.Fault], Awaitable[None]]:
    """Returns an injector of faults of the orders to some runners.

    Args:
        draw: draws the faults of the orders to a runner.
        unhealthy: whether the runners also refuse a share of the starts.
    """

    async def inject(world: world_lib.World, fault: faults.Fault) -> None:
        by_node = world.runner_faults.order_faults_by_node
        nodes = [world.workers[number].node for number in fault.targets]
        for node in nodes:
            by_node[node] = draw(world.rng)
        if unhealthy:
            await refuse_starts(world, fault)
        else:
            await trio.sleep(fault.for_s)
        for node in nodes:
            by_node.pop(node, None)

    return inject


async def refuse_starts_around_cuts(
    world: world_lib.World, fault: faults.Fault
) -> None:
    """Loses all answers of unhealthy runners, for short times again and again.

    A start during a cut is carried out, and its retry after the cut may be
    refused before a poll has listed the run.
    """
    async with trio.open_nursery() as nursery:
        for number in fault.targets:
            nursery.start_soon(
                _lose_all_answers, world, world.workers[number].node
            )
        await refuse_starts(world, fault)
        nursery.cancel_scope.cancel()


async def _lose_all_answers(world: world_lib.World, node: str) -> None:
    """Loses all answers of a runner again and again, until cancelled."""
    outages = world.runner_faults.outage_by_node
    while True:
        await trio.sleep(world.rng.uniform(MIN_CUT_S, MAX_PAUSE_S))
        outages[node] = faulty_client.OutageMode.UNANSWERED
        try:
            await trio.sleep(world.rng.uniform(MIN_CUT_S, MAX_CUT_S))
        finally:
            outages.pop(node, None)
