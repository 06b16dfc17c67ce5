"""Speeds of workers, learned from the progress of their runs.

The load is that of the boat deployment: workers of speeds 0.6, 1.0 and 1.6 that
report nothing about it, steps of equal tasks, and gangs.
"""

from __future__ import annotations

import msgspec
import pytest

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.scheduling import speeds as speeds_lib
from pimentobridge.testing import engine_harness
from pimentobridge.testing import uneven_fleet

# Racks of five workers; the geometric mean of the speeds is near 1.0.
UNEVEN = [0.6, 1.0, 1.6, 1.0, 1.0]


def _batch(name: str, tasks: int, **fields: bool) -> model.Job:
    step = model.Step(tasks, engine_harness.GPU, 10.0, **fields)
    return engine_harness.job(name * 16, step, priority=2)


def _speeds(fleet: uneven_fleet.UnevenFleet) -> list[float]:
    speeds = fleet.harness.engine.speeds
    speeds.update(fleet.harness.clock.monotonic())
    return [
        speeds.speed_of(types.Address(f"agent-{number}"))
        for number in range(len(fleet.workers))
    ]


def _after_a_batch(true_speeds: list[float]) -> uneven_fleet.UnevenFleet:
    fleet = uneven_fleet.UnevenFleet(true_speeds)
    for name in "ab":
        fleet.submit(_batch(name, 8 * len(true_speeds)), 10.0)
    fleet.run(20.0)
    return fleet


# Guards against urgent jobs that are late merely because they run on a slow
# worker: nothing told which workers are slow.
def test_equal_tasks_on_several_workers_show_their_speeds() -> None:
    fleet = _after_a_batch(UNEVEN)
    assert _speeds(fleet) == pytest.approx(UNEVEN, rel=0.12)


# Guards against a change of behaviour on fleets that aren't uneven.
def test_workers_of_one_speed_all_count_as_average() -> None:
    assert _speeds(_after_a_batch([0.8] * 5)) == [1.0] * 5


# Guards against fast workers that count as slow because of their gangs' slowest
# members.
def test_a_gang_does_not_slow_the_figures_of_its_faster_members() -> None:
    fleet = _after_a_batch(UNEVEN)
    before = _speeds(fleet)
    wide = model.Step(5, engine_harness.WORKER, 10.0, gang=True)
    for name in "cdefgh":
        fleet.submit(engine_harness.job(name * 16, wide), 10.0)
        fleet.run(18.0)
    assert _speeds(fleet)[2] > 0.8 * before[2]


# Guards against slow workers that are never found on a fleet that runs only
# gangs, which compare with each other only by learned durations. Workers that
# are always members together can't be told apart, so the widths differ.
def test_gangs_alone_show_the_slow_workers() -> None:
    fleet = uneven_fleet.UnevenFleet([0.5, 1.0, 1.0, 1.0, 1.0])
    for number in range(30):
        width = 1 + number % 3
        step = model.Step(width, engine_harness.WORKER, 5.0, gang=True)
        fleet.submit(engine_harness.job(f"{number:016x}", step), 5.0)
    fleet.run(120.0)
    slow, *others = _speeds(fleet)
    assert slow < 0.8 * min(others)


# Guards against single runs that are slow for a reason of their own and make
# their worker the last choice.
def test_one_slow_run_hardly_counts() -> None:
    fleet = _after_a_batch([1.0] * 5)
    fleet.submit(_batch("c", 40), 10.0)
    fleet.run(1.0)
    outlier = next(iter(fleet.workers[0].runs_by_key.values()))
    for _ in range(80):
        before = outlier.done
        fleet.run(0.1)
        outlier.done = before + (outlier.done - before) / 5
    assert _speeds(fleet)[0] > 0.85


def test_a_worker_that_becomes_slow_falls_and_recovers_with_time() -> None:
    fleet = _after_a_batch([1.0] * 5)
    fleet.workers[0].speed = 0.25
    for name in "cd":
        fleet.submit(_batch(name, 40), 10.0)
    fleet.run(30.0)
    slow, *others = _speeds(fleet)
    assert slow < 0.7 * min(others)
    fleet.workers[0].speed = 1.0
    fleet.run(60.0)
    for name in "ef":
        fleet.submit(_batch(name, 40), 10.0)
    fleet.run(30.0)
    assert _speeds(fleet)[0] > slow


# Guards against decisions by figures that are long out of date.
def test_a_speed_fades_without_observations() -> None:
    fleet = _after_a_batch(UNEVEN)
    fleet.harness.clock.advance(10 * speeds_lib.HALF_LIFE_S)
    assert _speeds(fleet) == [1.0] * 5


def test_a_restarted_worker_begins_with_half_the_weight() -> None:
    fleet = _after_a_batch(UNEVEN)
    before = _speeds(fleet)[2]
    harness = fleet.harness
    for started_ms in range(2, 8):
        old = harness.incarnations[2]
        key = msgspec.structs.replace(old.key, started_ms=started_ms)
        harness.incarnations[2] = msgspec.structs.replace(old, key=key)
        harness.observe(2)
        if started_ms == 2:
            harness.clock.advance(speeds_lib.UPDATE_INTERVAL_S)
            assert 1.2 < _speeds(fleet)[2] <= before
    harness.clock.advance(speeds_lib.UPDATE_INTERVAL_S)
    assert _speeds(fleet)[2] < 0.9 * before


# Guards against workers that count as slow because their tasks are away from
# their data.
def test_a_task_away_from_its_rack_shows_no_speed() -> None:
    fleet = uneven_fleet.UnevenFleet([0.6] * 5 + [1.0] * 5)
    step = model.Step(80, engine_harness.GPU, 10.0, affinity_rack="rack-1")
    fleet.submit(engine_harness.job("a" * 16, step), 10.0)
    fleet.run(8.0)
    assert fleet.workers[0].runs_by_key
    assert _speeds(fleet)[:5] == [1.0] * 5


# Guards against an update that takes longer the longer the scheduler runs.
def test_the_observations_kept_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(speeds_lib, "MAX_OBSERVATIONS", 4)
    fleet = _after_a_batch([1.0] * 5)
    _speeds(fleet)
    assert not fleet.harness.engine.speeds._steps_by_key
