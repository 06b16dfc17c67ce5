"""What a restarted entry takes for the configuration."""

from __future__ import annotations

import random

import trio

from pimentobridge.bench import harness
from pimentobridge.lab import faulty_client
from pimentobridge.lab import world as world_lib

START_S = 4.0
# Time in which an agent begins to supply the configuration, or to be out of
# date.
SETTLE_S = 5.0
OBSERVED_S = 6.0
SAMPLING_INTERVAL_S = 0.02


async def _versions_after_a_restart() -> tuple[list[int], int]:
    """Returns the versions that a restarted entry uses, and the newest one.

    An agent beside the only worker has an old version. Like the restarted
    entry, it can't reach the store, until it is back for the entry.
    """
    silent = faulty_client.OutageMode.SILENT
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=2, workers=1
        )
        world.put_configuration()
        world.start()
        await trio.sleep(START_S)
        host = world.entries[0]
        outages = world.store_faults.outage_by_node
        # The entry gets the configuration from the agent.
        outages[host.node] = silent
        await trio.sleep(SETTLE_S)
        outages[world.workers[0].node] = silent
        await trio.sleep(SETTLE_S)
        world.put_configuration()
        await trio.sleep(SETTLE_S)
        host.kill()
        used: list[int] = []
        back_s = trio.current_time() + OBSERVED_S
        until_s = back_s + OBSERVED_S
        while trio.current_time() < until_s:
            if trio.current_time() > back_s:
                outages.pop(host.node, None)
            await trio.sleep(SAMPLING_INTERVAL_S)
            if host.entry is not None and host.entry.configuration is not None:
                used.append(host.entry.configuration.version)
        nursery.cancel_scope.cancel()
    return used, world.version


# Operators of similar systems saw withdrawn keys work again after a restart.
def test_a_restarted_entry_never_uses_an_old_version() -> None:
    used, newest = harness.run_virtual(_versions_after_a_restart, seed=1)
    assert set(used) == {newest}
