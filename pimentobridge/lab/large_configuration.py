"""Measures how entries on slow links follow a large configuration."""

from __future__ import annotations

import enum
import random

import msgspec
import trio

from pimentobridge.bench import harness
from pimentobridge.lab import machines
from pimentobridge.lab import world as world_lib

ENTRIES = 6
WORKERS = 6
# 5 Mbit/s, the slowest link of an entry that users have named.
LINK_BYTES_PER_S = 625_000.0
WARM_UP_S = 6.0
# When each version of a series is written, and how many routes it adds.
SERIES = ((0.0, 0), (0.3, 0), (0.6, 0), (0.9, 1400))
# When the agents that pass the configuration on leave, from the start of a
# series: while nothing changes, and while the large version is passed on.
SOURCE_LOSSES_S = (-1.2, 0.5, 1.7)
# Agents that are left when most of them are killed at once. That happens in
# the last series, at the second of the times above.
AGENTS_LEFT = 3
# Time before a series in which nothing changes.
CALM_S = 2.0
# Time after a series after which versions that aren't in force are given up.
SETTLING_S = 10.0
SAMPLING_INTERVAL_S = 0.02


class SeriesResult(msgspec.Struct, frozen=True):
    """What one series of versions took.

    Attributes:
        routes: routes in the last version.
        document_bytes: size of the last version as the operator wrote it.
        slowest_s: longest time from the write of a version until an entry
            followed that or a newer one; infinity if one never did.
        most_bytes: most bytes of any kind that an entry received meanwhile.
    """

    routes: int
    document_bytes: int
    slowest_s: float
    most_bytes: int


class SourceLoss(enum.Enum):
    """How the agents that pass the configuration on leave during a series."""

    NONE = "stay"
    SIGTERM = "sigterm"
    KILLED = "killed"
    MOST_KILLED = "most-killed"


def measure(
    series: int, *, seed: int = 1, loss: SourceLoss = SourceLoss.NONE
) -> list[SeriesResult]:
    """Writes series of versions, each with more routes, and measures them.

    Args:
        series: number of series.
        seed: seed of the network's delays.
        loss: how the agents that pass the configuration on leave for good,
            at the times in `SOURCE_LOSSES_S`; most of all agents leave only
            once, in the last series.
    """
    results: list[SeriesResult] = harness.run_virtual(
        _measure, series, seed, loss, seed=seed
    )
    return results


async def _measure(
    series: int, seed: int, loss: SourceLoss
) -> list[SeriesResult]:
    results = []
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(seed),
            nursery=nursery,
            entries=ENTRIES,
            workers=WORKERS + series * len(SOURCE_LOSSES_S),
            entry_link_bytes_per_s=LINK_BYTES_PER_S,
        )
        world.put_configuration()
        world.start()
        await trio.sleep(WARM_UP_S)
        for number in range(series):
            is_last = number == series - 1
            series_loss = loss
            if loss is SourceLoss.MOST_KILLED and not is_last:
                series_loss = SourceLoss.NONE
            results.append(await _measure_series(world, series_loss))
        nursery.cancel_scope.cancel()
    return results


async def _measure_series(
    world: world_lib.World, loss: SourceLoss
) -> SeriesResult:
    before = _received_bytes(world)
    started_s = trio.current_time() + CALM_S
    times_s: list[float] = []
    size = 0
    async with trio.open_nursery() as watches:
        if loss is SourceLoss.MOST_KILLED:
            watches.start_soon(_remove_most, world, started_s)
        elif loss is not SourceLoss.NONE:
            watches.start_soon(_remove_sources, world, loss, started_s)
        for at_s, routes in SERIES:
            await trio.sleep_until(started_s + at_s)
            size = world.put_configuration(more_routes=routes)
            for host in world.entries:
                watches.start_soon(_time_until, host, world.version, times_s)
    received = zip(before, _received_bytes(world), strict=True)
    return SeriesResult(
        routes=world.routes,
        document_bytes=size,
        slowest_s=max(times_s),
        most_bytes=max(after - earlier for earlier, after in received),
    )


async def _remove_sources(
    world: world_lib.World, loss: SourceLoss, started_s: float
) -> None:
    for at_s in SOURCE_LOSSES_S:
        await trio.sleep_until(started_s + at_s)
        for host in world.workers:
            if host.agent is None or not host.agent.supplies_configuration:
                continue
            if loss is SourceLoss.SIGTERM:
                host.agent.announce_shutdown()
            host.remove()


async def _remove_most(world: world_lib.World, started_s: float) -> None:
    """Kills the agents that pass the configuration on, and most of the rest."""
    await trio.sleep_until(started_s + SOURCE_LOSSES_S[1])
    by_use = sorted(world.workers, key=_supplies_configuration, reverse=True)
    for host in by_use[:-AGENTS_LEFT]:
        host.remove()


def _supplies_configuration(host: machines.WorkerHost) -> bool:
    return host.agent is not None and host.agent.supplies_configuration


async def _time_until(
    host: machines.EntryHost, version: int, times_s: list[float]
) -> None:
    """Adds the time until an entry follows a version."""
    written_s = trio.current_time()
    with trio.move_on_after(SETTLING_S):
        while _version_of(host) < version:
            await trio.sleep(SAMPLING_INTERVAL_S)
        times_s.append(trio.current_time() - written_s)
        return
    times_s.append(float("inf"))


def _version_of(host: machines.EntryHost) -> int:
    if host.entry is None or host.entry.configuration is None:
        return 0
    return host.entry.configuration.version


def _received_bytes(world: world_lib.World) -> list[int]:
    return [
        world.incoming_links_by_node[host.node].carried_bytes
        for host in world.entries
    ]
