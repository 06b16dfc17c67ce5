"""Simulates a whole deployment under traffic and faults in virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec
import trio

from pimentobridge.bench import harness
from pimentobridge.lab import callers
from pimentobridge.lab import faults as faults_lib
from pimentobridge.lab import operator_documents
from pimentobridge.lab import unexpected_errors
from pimentobridge.lab import world as world_lib
from pimentobridge.testing import platform_runner

if TYPE_CHECKING:
    from collections.abc import Sequence

ENTRIES = 3
WORKERS = 6
WARM_UP_S = 4.0
TRAFFIC_S = 30.0
# Every accepted job must end within this time after the traffic.
COMPLETION_TIMEOUT_S = 90.0
JOBS = 28
CANCEL_SHARE = 0.1
# Priorities of the queues that are subject to the users' placement policy.
ADVISED_PRIORITIES = (1,)


class SimulationResult(msgspec.Struct, frozen=True):
    """Outcome of a simulation.

    Attributes:
        seed: seed of the random choices.
        faults: faults that were injected.
        findings: violated guarantees, in the order of detection.
        submitted: number of jobs that callers tried to submit.
        accepted: number of jobs that were accepted.
        completed: number of jobs that a caller saw as completed.
        started: number of runs that runners started.
    """

    seed: int
    faults: list[faults_lib.Fault]
    findings: list[str]
    submitted: int
    accepted: int
    completed: int
    started: int


def run(
    seed: int,
    faults: Sequence[faults_lib.Fault] | None = None,
    *,
    guards_capacity: bool | None = None,
) -> SimulationResult:
    """Runs a simulation.

    Args:
        seed: seed of the traffic, and of the faults unless they are given.
        faults: faults to inject in place of random ones.
        guards_capacity: whether runners reject what doesn't fit; None to let
            the seed decide.
    """
    if guards_capacity is None:
        guards_capacity = seed % 2 == 0
    result: SimulationResult = harness.run_virtual(
        _simulate, seed, faults, guards_capacity, seed=seed
    )
    return result


def random_stop_s(seed: int) -> float:
    """Returns the duration of a stop in the run of a seed, in seconds."""
    return random.Random(f"stops {seed}").uniform(
        platform_runner.STOP_DURATION_S, platform_runner.MAX_STOP_DURATION_S
    )


async def _simulate(
    seed: int,
    given_faults: Sequence[faults_lib.Fault] | None,
    guards_capacity: bool,
) -> SimulationResult:
    rng = random.Random(seed)
    faults = (
        list(given_faults)
        if given_faults is not None
        else faults_lib.random_faults(
            rng, length_s=TRAFFIC_S, entries=ENTRIES, workers=WORKERS
        )
        + faults_lib.random_evacuations(
            seed, length_s=TRAFFIC_S, workers=WORKERS
        )
    )
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=rng,
            nursery=nursery,
            entries=ENTRIES,
            workers=WORKERS,
            advised=ADVISED_PRIORITIES,
            runners_guard_capacity=guards_capacity,
            small_workers=seed % (WORKERS // 2),
            stop_s=random_stop_s(seed),
        )
        with unexpected_errors.reported(world.checker.on_unexpected_error):
            world.put_configuration()
            world.start()
            await trio.sleep(WARM_UP_S)
            for fault in faults:
                nursery.start_soon(faults_lib.inject, world, fault)
            await _run_traffic(world)
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


async def _run_traffic(world: world_lib.World) -> None:
    """Submits jobs at random times and follows them to their ends."""
    rng = world.rng
    until_s = trio.current_time() + TRAFFIC_S + COMPLETION_TIMEOUT_S
    async with trio.open_nursery() as traffic:
        for number in range(JOBS):
            await trio.sleep(rng.expovariate(JOBS / TRAFFIC_S))
            job, priority = callers.random_job(
                rng, number, advised=ADVISED_PRIORITIES
            )
            cancels = rng.random() < CANCEL_SHARE
            account = rng.choice(operator_documents.ACCOUNTS)
            caller = callers.Caller(
                callers.make_call(world, account),
                world.checker,
                job,
                path=f"/queue-{priority}/{job.id}",
                cancels_after_s=rng.uniform(0, 3) if cancels else None,
                until_s=until_s,
            )
            traffic.start_soon(caller.run)
