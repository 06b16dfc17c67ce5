"""Starts that a worker refuses after an earlier start was carried out."""

from __future__ import annotations

import random
from typing import Any

import pytest
import trio

from pimentobridge.bench import harness
from pimentobridge.lab import callers
from pimentobridge.lab import world as world_lib
from pimentobridge.platform import http_client
from pimentobridge.testing import platform_runner

TASK_S = 2.0
FOLLOW_S = 12.0
START_PATH = "/v1/run-start"


class _StartFaults:
    """Leaves the first start of all unanswered, and refuses the next one there.

    The first start is carried out late, just before the next one arrives.

    Args:
        refusal: status of the answer to the next start.
    """

    def __init__(self, refusal: int) -> None:
        self._refusal = refusal
        self._first: platform_runner.PlatformRunner | None = None
        self._late_call: tuple[Any, ...] | None = None
        self._handle = platform_runner.PlatformRunner.handle

    async def handle(
        self, runner: platform_runner.PlatformRunner, path: str, *args: Any
    ) -> http_client.Answer:
        """Handles a call to a runner."""
        if path != START_PATH:
            return await self._handle(runner, path, *args)
        if self._first is None:
            self._first, self._late_call = runner, args
            await trio.sleep_forever()
        if self._first is runner and self._late_call is not None:
            await self._handle(runner, path, *self._late_call)
            self._late_call = None
            return http_client.Answer(self._refusal, {})
        return await self._handle(runner, path, *args)


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
    faults = _StartFaults(refusal)

    async def handle(
        runner: platform_runner.PlatformRunner, *args: Any
    ) -> http_client.Answer:
        return await faults.handle(runner, *args)

    monkeypatch.setattr(platform_runner.PlatformRunner, "handle", handle)
    assert harness.run_virtual(_run_job, seed=1) == ([], 2)
