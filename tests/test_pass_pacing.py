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
MAX_LATENESS_S = 0.001


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


# Guards against RECLAIM (issue 23): guaranteed jobs began too late, as the pass
# that is due once they may preempt anything was up to a step's interval late.
def test_a_requested_pass_runs_when_it_is_due(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    run_at_s: list[float] = []
    monkeypatch.setattr(
        planner.Planner,
        "run",
        lambda self: (
            run_at_s.append(trio.current_time()),
            setattr(self._engine, "needs_pass", False),
        ),
    )

    async def main() -> float:
        async with trio.open_nursery() as nursery:
            world = world_lib.World(
                rng=random.Random(1), nursery=nursery, entries=1, workers=1
            )
            world.put_configuration()
            world.start()
            await trio.sleep(5.0)
            entry = world.entries[0].entry
            assert entry is not None
            assert entry.scheduler is not None
            engine = entry.scheduler.engine
            due_s = trio.current_time() + 0.513
            engine.passes.request_at(
                entry.scheduler.engine._clock.monotonic() + 0.513
            )
            await trio.sleep(0.7)
            nursery.cancel_scope.cancel()
        return min(run_s - due_s for run_s in run_at_s if run_s >= due_s)

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(main, clock=clock) <= MAX_LATENESS_S
