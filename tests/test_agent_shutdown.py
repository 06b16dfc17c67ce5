"""Agents that are told to stop while their workers have runs."""

from __future__ import annotations

import random

import trio

from pimentobridge.bench import harness
from pimentobridge.lab import callers
from pimentobridge.lab import checkers
from pimentobridge.lab import machines
from pimentobridge.lab import world as world_lib

TASK_S = 5.0
FOLLOW_S = 40.0


def _host_of_run(world: world_lib.World) -> machines.WorkerHost:
    return next(host for host in world.workers if host.runner.runs_by_task)


async def _stop_agent_of_run(
    worked_s: float,
) -> tuple[world_lib.World, checkers.SubmittedJob, float]:
    """Stops the agent of the worker that runs a job's task, for good.

    Args:
        worked_s: how long the task has run when the agent is told to stop.

    Returns:
        The deployment once the job is over, the job, and how long the agent
        took to stop, in seconds.
    """
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=1, workers=2
        )
        world.put_configuration()
        world.start()
        await trio.sleep(4.0)
        job = callers.one_task_job(TASK_S)
        caller = callers.follow(world, job, for_s=FOLLOW_S)
        async with trio.open_nursery() as traffic:
            traffic.start_soon(caller.run)
            await trio.sleep(worked_s)
            stopped_s = trio.current_time()
            await _host_of_run(world).terminate_for_good()
            took_s = trio.current_time() - stopped_s
        nursery.cancel_scope.cancel()
    return world, job, took_s


# Guards against LOST and SHORT (issue 23): an agent left its worker at once, so
# nobody read the end of a run that came soon after, and the task ran again.
def test_an_agent_stays_for_the_end_of_a_run() -> None:
    world, job, _ = harness.run_virtual(_stop_agent_of_run, 4.0)
    assert world.checker.finish() == []
    assert job.observed_states[-1][1] == "completed"
    assert world.checker.started == 1


def test_an_agent_does_not_stay_for_a_run_that_ends_too_late() -> None:
    world, job, took_s = harness.run_virtual(_stop_agent_of_run, 0.4)
    assert took_s < 0.5
    assert world.checker.finish() == []
    assert job.observed_states[-1][1] == "completed"
