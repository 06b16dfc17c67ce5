"""One day: machines, traffic, faults and the result."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec
import trio

from pimentobridge.bench import harness
from pimentobridge.lab import callers
from pimentobridge.lab import faults as faults_lib
from pimentobridge.lab import world as world_lib

if TYPE_CHECKING:
    from collections.abc import Sequence

ENTRIES = 3
WORKERS = 6
LEAD_S = 4.0
TRAFFIC_S = 30.0
# Time after the traffic in which everything must have come to an end.
FINISH_S = 90.0
JOBS = 28
CANCEL_SHARE = 0.1
# Priorities whose queues are subject to the users' policy.
ADVISED = (1,)


class SimulationResult(msgspec.Struct, frozen=True):
    """What a day showed.

    Attributes:
        findings: broken promises, in the order in which they were seen.
        accepted: jobs that were accepted.
        started: runs that runners started.
    """

    seed: int
    faults: list[faults_lib.Fault]
    findings: list[str]
    submitted: int
    accepted: int
    completed: int
    started: int


def run(
    seed: int, faults: Sequence[faults_lib.Fault] | None = None
) -> SimulationResult:
    """Plays a day.

    Args:
        seed: draws the traffic, and the faults unless they are given.
        faults: what goes wrong, in place of what the seed draws.
    """
    result: SimulationResult = harness.run_virtual(
        _simulate, seed, faults, seed=seed
    )
    return result


async def _simulate(
    seed: int, given: Sequence[faults_lib.Fault] | None
) -> SimulationResult:
    rng = random.Random(seed)
    faults = (
        list(given)
        if given is not None
        else faults_lib.draw(
            rng, length_s=TRAFFIC_S, entries=ENTRIES, workers=WORKERS
        )
    )
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=rng,
            nursery=nursery,
            entries=ENTRIES,
            workers=WORKERS,
            advised=ADVISED,
        )
        world.put_configuration()
        world.start()
        await trio.sleep(LEAD_S)
        until_s = trio.current_time() + TRAFFIC_S + FINISH_S
        for fault in faults:
            nursery.start_soon(faults_lib.inject, world, fault)
        async with trio.open_nursery() as traffic:
            for number in range(JOBS):
                await trio.sleep(rng.expovariate(JOBS / TRAFFIC_S))
                job, priority = callers.draw_job(rng, number, advised=ADVISED)
                cancels = rng.random() < CANCEL_SHARE
                account = rng.choice(world_lib.ACCOUNTS)
                caller = callers.Caller(
                    callers.make_call(world, account),
                    world.checker,
                    job,
                    path=f"/queue-{priority}/{job.id}",
                    cancels_after_s=rng.uniform(0, 3) if cancels else None,
                    until_s=until_s,
                )
                traffic.start_soon(caller.run)
        nursery.cancel_scope.cancel()
    jobs = list(world.checker.jobs_by_id.values())
    return SimulationResult(
        seed=seed,
        faults=faults,
        findings=world.checker.finish(),
        submitted=len(jobs),
        accepted=sum(job.accepted for job in jobs),
        completed=sum(
            any(state == "completed" for _, state in job.observed_states)
            for job in jobs
        ),
        started=world.checker.started,
    )
