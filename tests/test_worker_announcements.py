"""Heartbeats that reach an agent from another writer than its worker."""

from __future__ import annotations

import random

import pytest
import trio

from pimentobridge.bench import harness
from pimentobridge.core import types
from pimentobridge.core.jobs import runs
from pimentobridge.lab import callers
from pimentobridge.lab import world as world_lib
from pimentobridge.testing import odd_heartbeats

TASK_S = 1.0
CUT_TASK_S = 6.0
OBSERVED_S = 3.0
SAMPLING_INTERVAL_S = 0.01
# The users' bound for a job that has begun no run while workers are idle, with
# the time of its work.
FINISH_S = 14.0 + TASK_S
KINDS = [
    odd.kind
    for odd in odd_heartbeats.for_worker(
        runs.IncarnationKey(types.WorkerId("w"), 1)
    )
]


def _statuses_by_id() -> dict[str, int]:
    """Returns the status of a heartbeat under each odd id."""

    async def main() -> dict[str, int]:
        statuses_by_id = {}
        async with trio.open_nursery() as nursery:
            world = world_lib.World(
                rng=random.Random(1), nursery=nursery, entries=1, workers=1
            )
            world.start()
            await trio.sleep(1.0)
            own = runs.IncarnationKey(types.WorkerId("w"), 1)
            for odd in odd_heartbeats.for_worker(own):
                if odd.kind.startswith("id "):
                    status = await world.workers[0].deliver_heartbeat(
                        odd.path, odd.body
                    )
                    statuses_by_id[odd.path] = status
            nursery.cancel_scope.cancel()
        return statuses_by_id

    statuses: dict[str, int] = harness.run_virtual(main)
    return statuses


# Guards against processes that end by themselves (issue 35, REPORT.md): a
# header can't hold every id that a path can, and the error ended the agent.
def test_an_id_that_is_no_header_value_is_refused() -> None:
    statuses_by_id = _statuses_by_id()
    assert len(statuses_by_id) == len(odd_heartbeats.ODD_IDS)
    assert set(statuses_by_id.values()) <= {400, 404}


async def _run_job_after(kind: str) -> str:
    """Returns a job's state some time after an odd heartbeat of a kind."""
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=1, workers=2
        )
        world.put_configuration()
        world.start()
        await trio.sleep(4.0)
        for host in world.workers:
            await host.deliver_odd_heartbeats(kind)
        await trio.sleep(2.0)
        job = callers.one_task_job(TASK_S)
        await callers.follow(world, job, for_s=FINISH_S).run()
        nursery.cancel_scope.cancel()
    assert world.checker.findings == []
    return job.observed_states[-1][1]


# Guards against LOST (issue 35, review/5): an agent took whatever heartbeat
# named a later start for its worker's, and never used its worker again.
@pytest.mark.parametrize("kind", KINDS)
def test_a_heartbeat_of_another_writer_changes_nothing(kind: str) -> None:
    assert harness.run_virtual(_run_job_after, kind, seed=1) == "completed"


async def _deregister_under_a_run() -> list[str]:
    """Returns what is violated when the worker of a run didn't deregister."""
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=1, workers=2
        )
        world.put_configuration()
        world.start()
        await trio.sleep(4.0)
        async with trio.open_nursery() as traffic:
            job = callers.one_task_job(CUT_TASK_S)
            caller = callers.follow(world, job, for_s=FINISH_S)
            traffic.start_soon(caller.run)
            await trio.sleep(2.0)
            host = next(
                host for host in world.workers if host.runner.runs_by_task
            )
            await host.deliver_heartbeat(
                f"/v1/instances/{host.runner.worker}/deregister", b""
            )
            await host.cut_off_runner(2.0)
        nursery.cancel_scope.cancel()
    return world.checker.finish()


# Guards against TWICE (issue 35, related to review/5 and 3): a deregistration
# names only an id, so that it may be late, of an earlier incarnation or another
# writer's. The worker counted as ended once a call couldn't reach it.
def test_a_worker_that_is_not_draining_has_not_deregistered() -> None:
    assert harness.run_virtual(_deregister_under_a_run, seed=1) == []


async def _incarnations_taken(*, answers: bool) -> set[runs.IncarnationKey]:
    """Returns whom an agent takes for its worker after odd heartbeats.

    Args:
        answers: whether the runner answers meanwhile.
    """
    taken = set()
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=1, workers=1
        )
        world.put_configuration()
        world.start()
        await trio.sleep(4.0)
        host = world.workers[0]
        assert host.agent is not None
        if not answers:
            nursery.start_soon(host.cut_off_runner, OBSERVED_S)
        await host.deliver_odd_heartbeats()
        for _ in range(round(OBSERVED_S / SAMPLING_INTERVAL_S)):
            assert host.agent.worker is not None
            taken.add(host.agent.worker.key)
            await trio.sleep(SAMPLING_INTERVAL_S)
        present = runs.IncarnationKey(
            types.WorkerId(host.runner.worker), host.runner.started_ms
        )
        nursery.cancel_scope.cancel()
    return taken - {present}


# Guards against LOST (issue 35, review/5), also for the time until the worker's
# next heartbeat: an incarnation counts only once the runner has confirmed it.
@pytest.mark.parametrize("answers", [True, False])
def test_an_incarnation_that_is_not_confirmed_is_never_taken(
    answers: bool,
) -> None:
    taken = harness.run_virtual(
        lambda: _incarnations_taken(answers=answers), seed=1
    )
    assert taken == set()
