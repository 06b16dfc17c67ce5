"""Scheduling passes that take long leave time for everything else."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio
import trio.testing

from pimentobridge.core.scheduling import planner
from pimentobridge.lab import world as world_lib

if TYPE_CHECKING:
    import pytest

PASS_S = 0.15
OBSERVED_S = 10.0


# Guards against SHORT (issue 23): the scheduler's calls to the store ran into
# their timeouts, because its passes left it no time to receive the answers.
def test_passes_take_half_of_the_time_at_most(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = trio.testing.MockClock(autojump_threshold=0)
    passes = 0

    def run_slowly(self: planner.Planner) -> None:
        nonlocal passes
        passes += 1
        clock.jump(PASS_S)
        self._engine.needs_pass = True

    async def main() -> int:
        async with trio.open_nursery() as nursery:
            world = world_lib.World(
                rng=random.Random(1), nursery=nursery, entries=1, workers=20
            )
            world.put_configuration()
            world.start()
            await trio.sleep(5.0)
            before = passes
            await trio.sleep(OBSERVED_S)
            nursery.cancel_scope.cancel()
        return passes - before

    monkeypatch.setattr(planner.Planner, "run", run_slowly)
    counted = trio.run(main, clock=clock)
    assert 0 < counted <= OBSERVED_S / (2 * PASS_S)
