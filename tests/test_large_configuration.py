"""Configurations of thousands of routes, followed over slow links."""

from __future__ import annotations

import random

import trio

from pimentobridge.bench import harness
from pimentobridge.lab import world as world_lib

ENTRIES = 6
# 5 Mbit/s, the slowest link of an entry that users have named.
LINK_BYTES_PER_S = 625_000.0
# Time after the acknowledgement of a version in which every entry that is in
# touch must follow it.
IN_FORCE_WITHIN_S = 4.0
# Four transfers at the full size of a stored value, for all versions of a
# series together.
MAX_BYTES_PER_SERIES = 4 * 1_048_576
# When each version of a series is written, and how many routes it adds.
SERIES = ((0.0, 0), (0.3, 0), (0.6, 0), (0.9, 1400))


class _Watcher:
    """Notes when each entry has which version in force.

    Attributes:
        late: entries that didn't have a version in time, as text.
    """

    def __init__(self, world: world_lib.World) -> None:
        self._world = world
        self.late: list[str] = []

    async def check_version(self, version: int) -> None:
        """Checks an acknowledged version once its time has passed."""
        written_s = trio.current_time()
        await trio.sleep(IN_FORCE_WITHIN_S)
        for host in self._world.entries:
            current = host.entry and host.entry.configuration
            if current is None or current.version < version:
                self.late.append(
                    f"{host.node} has {current and current.version} at"
                    f" {trio.current_time():.1f} s; version {version} was"
                    f" acknowledged at {written_s:.1f} s"
                )

    def received_bytes(self) -> list[int]:
        """Returns the bytes that each entry has received so far."""
        return [
            self._world.incoming_links_by_node[host.node].carried_bytes
            for host in self._world.entries
        ]


def _follow_series(count: int) -> tuple[list[str], list[int]]:
    """Returns who was late, and the most bytes an entry got in each series."""

    async def main() -> tuple[list[str], list[int]]:
        most_bytes = []
        async with trio.open_nursery() as nursery:
            world = world_lib.World(
                rng=random.Random(1),
                nursery=nursery,
                entries=ENTRIES,
                workers=6,
                entry_link_bytes_per_s=LINK_BYTES_PER_S,
            )
            watcher = _Watcher(world)
            world.put_configuration()
            world.start()
            await trio.sleep(6.0)
            for _ in range(count):
                before = watcher.received_bytes()
                started_s = trio.current_time()
                async with trio.open_nursery() as checks:
                    for at_s, routes in SERIES:
                        await trio.sleep_until(started_s + at_s)
                        world.put_configuration(more_routes=routes)
                        checks.start_soon(watcher.check_version, world.version)
                after = watcher.received_bytes()
                most_bytes.append(
                    max(b - a for a, b in zip(before, after, strict=True))
                )
            nursery.cancel_scope.cancel()
        return watcher.late, most_bytes

    result: tuple[list[str], list[int]] = harness.run_virtual(main)
    return result


# Guards against CONFIG (issue 23): answers that need longer than their timeout
# on a slow link were cut off and begun anew, so entries stayed at old versions.
def test_entries_follow_large_configurations_over_slow_links() -> None:
    late, most_bytes = _follow_series(3)
    assert late == []
    assert max(most_bytes) <= MAX_BYTES_PER_SERIES
