"""Simulations of the whole system, and regression tests of bugs they found."""

from __future__ import annotations

import random

import pytest
import trio

from pimentobridge.bench import harness
from pimentobridge.core.scheduling import engine
from pimentobridge.daemons import leadership
from pimentobridge.lab import faults
from pimentobridge.lab import simulation
from pimentobridge.lab import world as world_lib

SEEDS = range(1, 9)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_guarantee_is_violated_under_random_faults(seed: int) -> None:
    result = simulation.run(seed)
    assert result.findings == []
    assert result.accepted >= result.submitted * 0.6


def test_the_same_seed_gives_the_same_result() -> None:
    assert simulation.run(3) == simulation.run(3)


def test_every_job_is_accepted_without_faults() -> None:
    result = simulation.run(1, [])
    assert result.findings == []
    assert result.accepted == result.submitted


def test_an_agent_replaces_its_silent_connection() -> None:
    # Orders still arrived from the other direction, so the agent took its own
    # reports as delivered and kept the silent connection.
    fault = faults.Fault("connections silent", 16.6, 6.7, (1, 5))
    assert simulation.run(28, [fault]).findings == []


def _orders_age_s(*, to_agent: bool) -> float:
    """Returns the age of orders 6 s after one direction is silenced."""

    async def main() -> float:
        async with trio.open_nursery() as nursery:
            world = world_lib.World(
                rng=random.Random(1), nursery=nursery, entries=1, workers=1
            )
            world.put_configuration()
            world.start()
            await trio.sleep(5.0)
            host, entry = world.workers[0], world.entries[0]
            endpoints = (entry.address, host.address)
            world.network.silence(
                *(endpoints if to_agent else reversed(endpoints))
            )
            await trio.sleep(6.0)
            assert host.agent is not None
            age_s = host.agent.gauges()["orders_age_seconds"]
            nursery.cancel_scope.cancel()
        return age_s

    age_s: float = harness.run_virtual(main)
    return age_s


@pytest.mark.parametrize("to_agent", [True, False])
def test_either_end_replaces_its_silent_connection(to_agent: bool) -> None:
    # The other direction still works, so messages received over it don't prove
    # that the endpoint's own messages are delivered.
    assert _orders_age_s(to_agent=to_agent) < engine.ORDER_VALIDITY_S


def test_an_ejected_worker_is_readmitted_without_another_event() -> None:
    # The end of an ejection raises no event, so no scheduling pass followed it.
    fault = faults.Fault("orders late", 20.38, 7.79, (0, 2))
    assert simulation.run(20, [fault]).findings == []


def test_jobs_start_while_all_entries_are_being_restarted() -> None:
    # All entries had resigned, so nothing was scheduled for 3.1 s, until the
    # first of them had restarted.
    without_leader_s = 0.0

    async def measure_time_without_leader(world: world_lib.World) -> None:
        nonlocal without_leader_s
        injected = faults.Fault("all entries terminated", 0.0, 0.0)
        world.nursery.start_soon(faults.inject, world, injected)
        for _ in range(60):
            await trio.sleep(0.1)
            has_leader = any(
                host.entry is not None and host.entry.leadership.is_leader
                for host in world.entries
            )
            without_leader_s += 0.0 if has_leader else 0.1

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world = world_lib.World(
                rng=random.Random(1), nursery=nursery, entries=3, workers=1
            )
            world.put_configuration()
            world.start()
            await trio.sleep(3.0)
            await measure_time_without_leader(world)
            nursery.cancel_scope.cancel()

    harness.run_virtual(main)
    assert without_leader_s < leadership.LEASE_S


# Guards against LOST (issue 35, review/1): the clock of a machine begins anew
# when it loses power, and the reports of the agent that ran there next counted
# as older than those before.
@pytest.mark.parametrize("seed", [1, 2])
def test_workers_are_used_again_after_they_have_lost_power(seed: int) -> None:
    fault = faults.Fault("workers lose power", 6.0, 2.0, tuple(range(6)))
    assert simulation.run(seed, [fault]).findings == []


# Guards against LOST (issue 38): incarnations of a worker were ordered by the
# time of day of their starts, and one with an earlier start was never used.
@pytest.mark.parametrize("seed", [1, 2])
def test_workers_that_restart_with_an_earlier_time_of_day_are_used(
    seed: int,
) -> None:
    fault = faults.Fault(
        "runners restart with clocks set back", 6.0, 0.0, tuple(range(6))
    )
    assert simulation.run(seed, [fault]).findings == []


def _repeated(kind: str, workers: tuple[int, ...]) -> list[faults.Fault]:
    """Returns faults of one kind, again and again during the traffic."""
    return [
        faults.Fault(kind, at_s, 7.0, workers)
        for at_s in (2.0, 10.0, 18.0, 26.0)
    ]


# Guards against TWICE (issue 38): a runner that had deregistered counted as
# ended once a call couldn't reach it, while it went on behind a cut.
@pytest.mark.parametrize("seed", [14, 19])
def test_a_runner_that_has_left_may_go_on_behind_a_cut(seed: int) -> None:
    injected = _repeated("runners leave behind a cut", (0, 1, 2))
    assert simulation.run(seed, injected).findings == []


# Guards against LOST (issue 38): a runner that names an earlier start than the
# runner before it on its machine was not used, and the runs of that one, which
# had ended, counted as running.
@pytest.mark.parametrize("seed", [12])
def test_workers_are_used_after_the_time_of_day_has_jumped(seed: int) -> None:
    fault = faults.Fault("clocks jump, runners restart", 9.0, 7.0, (0, 1))
    assert simulation.run(seed, [fault]).findings == []
