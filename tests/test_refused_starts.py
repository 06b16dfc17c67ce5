"""Starts that a worker refuses after an earlier start was carried out."""

from __future__ import annotations

import random

import pytest
import trio

from pimentobridge.bench import harness
from pimentobridge.lab import callers
from pimentobridge.lab import world as world_lib
from pimentobridge.testing import refused_retry

TASK_S = 2.0
FOLLOW_S = 12.0


async def _run_job() -> tuple[list[str], int]:
    """Returns the findings, and the number of runs that were started."""
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=1, workers=2
        )
        world.put_configuration()
        world.start()
        await trio.sleep(4.0)
        job = callers.one_task_job(TASK_S)
        await callers.follow(world, job, for_s=FOLLOW_S).run()
        nursery.cancel_scope.cancel()
    assert job.observed_states[-1][1] == "completed"
    return world.checker.finish(), world.checker.started


# Guards against TWICE (issue 38): the refusal of a second start released a run
# that the first one had started and that was still being stopped.
@pytest.mark.parametrize("refusal", [429, 503])
def test_a_refused_run_is_placed_again_only_after_its_end(
    refusal: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    refused_retry.RefusedRetry(refusal).patch(monkeypatch)
    assert harness.run_virtual(_run_job, seed=1) == ([], 2)
