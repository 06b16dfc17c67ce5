"""A takeover or a restart of the agent while a refused run is being stopped."""

from __future__ import annotations

import random

import pytest
import trio

from pimentobridge.bench import harness
from pimentobridge.lab import callers
from pimentobridge.lab import world as world_lib
from pimentobridge.testing import platform_runner
from pimentobridge.testing import refused_retry

TASK_S = 8.0
FOLLOW_S = 45.0


async def _run_job(
    faults: refused_retry.RefusedRetry, killed: str, after_s: float
) -> tuple[list[str], str]:
    """Returns the findings, and the job's last state."""
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=2, workers=2
        )
        world.pool.stop_s = platform_runner.MAX_STOP_DURATION_S
        world.put_configuration()
        world.start()
        await trio.sleep(4.0)
        job = callers.one_task_job(TASK_S)
        async with trio.open_nursery() as traffic:
            traffic.start_soon(callers.follow(world, job, for_s=FOLLOW_S).run)
            while faults.first is None or faults.late_call is not None:
                await trio.sleep(0.005)
            await trio.sleep(after_s)
            if "scheduler" in killed:
                for entry in world.entries:
                    if entry.entry and entry.entry.leadership.is_leader:
                        entry.kill()
            if "agent" in killed:
                for host in world.workers:
                    if host.runner is faults.first:
                        host.kill()
            if "terminated" in killed:
                for host in world.workers:
                    if host.runner is faults.first:
                        traffic.start_soon(host.terminate)
        findings = world.checker.finish()
        nursery.cancel_scope.cancel()
    return findings, job.observed_states[-1][1]


# Guards against TWICE (issue 38): an agent or a scheduler forgets a refusal
# while the run that was refused is still being stopped.
@pytest.mark.parametrize(
    "killed",
    [
        "scheduler",
        "agent",
        "scheduler agent",
        "terminated",
        "scheduler terminated",
    ],
)
@pytest.mark.parametrize(
    "after_s", [0.0, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 0.9]
)
@pytest.mark.parametrize("refusal", [503])
def test_a_refused_run_is_not_released_across_takeovers(
    monkeypatch: pytest.MonkeyPatch, killed: str, after_s: float, refusal: int
) -> None:
    faults = refused_retry.RefusedRetry(refusal)
    faults.patch(monkeypatch)
    assert harness.run_virtual(
        lambda: _run_job(faults, killed, after_s), seed=1
    ) == ([], "completed")
