"""A late start on the next incarnation while its agent is cut off."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import pytest
import trio

from pimentobridge.bench import harness
from pimentobridge.core.scheduling import engine
from pimentobridge.lab import callers
from pimentobridge.lab import faulty_client
from pimentobridge.lab import world as world_lib
from tests import test_late_starts

if TYPE_CHECKING:
    from pimentobridge.platform import http_client

TASK_S = 20.0


async def _restart_and_cut_off(
    monkeypatch: pytest.MonkeyPatch, late_s: float, cut_s: float
) -> list[str]:
    """Restarts a worker and cuts its agent off while a start is to come."""
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=1, workers=2
        )
        late = test_late_starts._LateCalls(world, late_s)

        async def call(
            client: faulty_client.FaultyClient, *args: Any, **kwargs: Any
        ) -> http_client.Answer | http_client.Failure:
            return await late.call(client, *args, **kwargs)

        monkeypatch.setattr(faulty_client.FaultyClient, "call", call)
        world.put_configuration()
        world.start()
        await trio.sleep(4.0)
        async with trio.open_nursery() as traffic:
            job = callers.one_task_job(TASK_S)
            caller = callers.follow(world, job, for_s=60.0)
            traffic.start_soon(caller.run)
            while late.host is None:
                await trio.sleep(0.01)
            await trio.sleep(0.4)
            host = late.host
            world.network.faults.isolated.add(host.address)
            # The orders are no longer valid when the next incarnation starts.
            await trio.sleep(engine.ORDER_VALIDITY_S)
            host.runner.crash()
            host.runner = host._new_runner(host.runner.worker)
            late.restarted = True
            await trio.sleep(cut_s)
            world.network.faults.isolated.discard(host.address)
        findings = world.checker.finish()
        nursery.cancel_scope.cancel()
    return findings


# TWICE (issue 38): stops of late starts wait for valid orders, though no order
# could make such a start right. The scheduler finds the lease expired by then.
@pytest.mark.parametrize("late_s", [2.0, 6.0, 9.0, 10.0, 11.0, 12.0])
def test_a_late_start_is_refused_while_the_agent_is_cut_off(
    monkeypatch: pytest.MonkeyPatch, late_s: float
) -> None:
    violated = harness.run_virtual(
        _restart_and_cut_off, monkeypatch, late_s, 14.0
    )
    assert violated == []
