"""Workers that are about to shut down, and the runs on them."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import move_verdicts
from pimentobridge.testing import engine_harness


def _drain(
    harness: engine_harness.EngineHarness,
    number: int,
    leaves_in_s: float | None,
    **lists: Any,
) -> None:
    """Has a worker report that it drains, and runs the pass that follows."""
    harness.incarnations[number] = msgspec.structs.replace(
        harness.incarnations[number], draining=True, leaves_in_s=leaves_in_s
    )
    harness.observe(number, **lists)
    harness.plan()


def test_a_draining_worker_gets_no_new_tasks() -> None:
    harness = engine_harness.EngineHarness(2)
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0], draining=True
    )
    harness.observe(0)
    orders = engine_harness.started(
        harness.submit(
            engine_harness.job("a" * 16, model.Step(9, engine_harness.GPU, 5.0))
        )
    )
    assert {number for number, _ in orders} == {1}


def test_checkpointing_runs_move_off_a_draining_worker() -> None:
    harness = engine_harness.EngineHarness(1)
    checkpointing = engine_harness.job(
        "a" * 16, model.Step(1, engine_harness.GPU, 30.0, checkpointing=True)
    )
    plain = engine_harness.job(
        "b" * 16, model.Step(1, engine_harness.GPU, 30.0)
    )
    keys = {
        key.task[0]: key
        for _, key in engine_harness.started(
            harness.submit(checkpointing, plain)
        )
    }
    running = engine_harness.running(*keys.values())
    _drain(harness, 0, None, running=running)
    assert harness.observe(0, running=running).stops == (keys["a"],)


def _moved_members(
    estimate_s: float, leaves_in_s: float, workers: int = 2
) -> list[int]:
    """Returns the workers of a gang that stop it when worker 0 drains.

    It has a member on each of the workers 0 and 1.
    """
    harness = engine_harness.EngineHarness(workers)
    gang = model.Step(2, engine_harness.WORKER, estimate_s, gang=True)
    orders = engine_harness.started(
        harness.submit(engine_harness.job("a" * 16, gang))
    )
    assert [number for number, _ in orders] == [0, 1]
    for number, key in orders:
        harness.observe(number, running=engine_harness.just_started(key))
    _drain(
        harness,
        0,
        leaves_in_s,
        running=engine_harness.just_started(orders[0][1]),
    )
    return [
        number
        for number, key in orders
        if harness.observe(
            number, running=engine_harness.just_started(key)
        ).stops
    ]


# Guards against a gang that is lost with a worker that leaves before its end:
# an urgent one was started again 22 s later on the grown site, issue 20.
def test_a_run_that_cannot_end_in_time_moves_off_a_draining_worker() -> None:
    assert _moved_members(6.0, 2.0) == [0, 1]


# Guards against work that is discarded for nothing: a run without room
# elsewhere was stopped, and waited while its worker could have gone on.
@pytest.mark.parametrize(("workers", "moved"), [(2, []), (3, [0, 1])])
def test_a_run_that_may_end_is_moved_only_to_room_elsewhere(
    workers: int, moved: list[int]
) -> None:
    assert _moved_members(6.0, 4.0, workers) == moved


def test_a_run_that_ends_in_time_stays_on_a_draining_worker() -> None:
    assert _moved_members(2.0, 6.0) == []


# Guards against SHORT (issue 23): a gang stayed on a worker that left before
# the gang's slowest member, on another worker, could end.
def test_a_gang_moves_if_its_slowest_member_cannot_end_in_time() -> None:
    harness = engine_harness.EngineHarness(2)
    gang = model.Step(2, engine_harness.WORKER, 20.0, gang=True)
    (_, first), (_, second) = engine_harness.started(
        harness.submit(engine_harness.job("a" * 16, gang))
    )
    harness.observe(0, running=engine_harness.just_started(first))
    harness.observe(1, running=engine_harness.just_started(second))
    harness.clock.advance(10.0)
    slow = runs.RunningTask(second, "", 50)
    harness.observe(1, running=(slow,))
    fast = runs.RunningTask(first, "", 80)
    _drain(harness, 0, 5.0, running=(fast,))
    assert harness.observe(0, running=(fast,)).stops == (first,)
    assert harness.observe(1, running=(slow,)).stops == (second,)


# Guards against SHORT (issue 23): a new scheduler moved a gang that was about
# to end, because it hadn't heard of the members on another worker yet.
def test_a_gang_about_to_end_stays_though_a_member_is_not_reported() -> None:
    harness = engine_harness.EngineHarness(3)
    gang = model.Step(2, engine_harness.WORKER, 20.0, gang=True)
    (_, first), _ = engine_harness.started(
        harness.submit(engine_harness.job("a" * 16, gang))
    )
    reported = runs.RunningTask(first, "", 90)
    _drain(harness, 0, 5.0, running=(reported,))
    assert not harness.observe(0, running=(reported,)).stops


def _one_task(
    step: model.Step, *, workers: int, percent: int, after_s: float
) -> tuple[engine_harness.EngineHarness, runs.RunKey]:
    """Runs a task on worker 0 to a percentage; the other workers are idle."""
    harness = engine_harness.EngineHarness(1)
    ((number, key),) = engine_harness.started(
        harness.submit(engine_harness.job("a" * 16, step))
    )
    for added in range(1, workers):
        harness.incarnations.append(harness.incarnation(added))
    harness.observe_all()
    harness.observe(number, running=engine_harness.just_started(key))
    harness.clock.advance(after_s)
    for added in range(1, workers):
        harness.observe(added)
    harness.observe(number, running=(runs.RunningTask(key, "", percent),))
    return harness, key


SAVING = model.Step(1, engine_harness.WORKER, 20.0, checkpointing=True)
PLAIN = model.Step(1, engine_harness.WORKER, 20.0)


def _stops(
    harness: engine_harness.EngineHarness, key: runs.RunKey, percent: int
) -> bool:
    running = (runs.RunningTask(key, "", percent),)
    return harness.observe(0, running=running).stops == (key,)


# Guards against checkpointing runs that lose the time until their worker
# departs: they were stopped at its first report, with or without room.
def test_a_saving_run_uses_the_time_until_its_worker_departs() -> None:
    harness, key = _one_task(SAVING, workers=1, percent=10, after_s=2.0)
    running = (runs.RunningTask(key, "", 10),)
    _drain(harness, 0, 4.0, running=running)
    assert not _stops(harness, key, 10)
    harness.clock.advance(4.0 - move_verdicts.LATEST_STOP_S - 0.1)
    harness.plan()
    assert not _stops(harness, key, 20)
    # The pass that stops it comes by itself, without a report.
    harness.clock.advance(0.1)
    assert harness.engine.passes.time_to_due_s <= 0.01
    harness.plan()
    assert _stops(harness, key, 21)


def test_a_saving_run_moves_at_once_to_room_elsewhere() -> None:
    harness, key = _one_task(SAVING, workers=2, percent=10, after_s=1.0)
    _drain(harness, 0, 4.0, running=(runs.RunningTask(key, "", 10),))
    assert _stops(harness, key, 10)


# Guards against stops of runs whose estimate was too long: estimates are off by
# up to 90 %, and the reported progress tells when a run ends.
@pytest.mark.parametrize(("percent", "moves"), [(20, True), (60, False)])
def test_progress_counts_more_than_the_estimate(
    percent: int, moves: bool
) -> None:
    harness, key = _one_task(PLAIN, workers=2, percent=percent, after_s=1.0)
    _drain(harness, 0, 2.5, running=(runs.RunningTask(key, "", percent),))
    assert _stops(harness, key, percent) is moves


# Guards against a stop that repeats much work to save little time.
def test_a_run_stays_on_a_worker_that_departs_at_once() -> None:
    harness, key = _one_task(PLAIN, workers=2, percent=30, after_s=1.0)
    _drain(harness, 0, 1.0, running=(runs.RunningTask(key, "", 30),))
    assert not _stops(harness, key, 30)


# Guards against runs that are moved off a worker that would have served long
# enough: workers serve longer than they say.
def test_a_run_stays_if_workers_have_served_beyond_their_notice() -> None:
    harness, key = _one_task(PLAIN, workers=3, percent=20, after_s=1.0)
    for seconds in (0.0, 4.0, 4.0):
        harness.clock.advance(seconds)
        harness.incarnations[1] = msgspec.structs.replace(
            harness.incarnations[1], draining=True, leaves_in_s=3.0
        )
        harness.observe(1)
    harness.observe(1, terminated=True)
    harness.observe(2)
    harness.observe(0, running=(runs.RunningTask(key, "", 60),))
    # 6 s are left by its progress, and workers have served for 5 s more.
    _drain(harness, 0, 3.0, running=(runs.RunningTask(key, "", 60),))
    assert not _stops(harness, key, 60)


# Guards against gangs that are moved for each member whose worker departs: 75
# tasks were moved two to four times in one rolling update.
def test_a_gang_is_moved_once_though_several_of_its_workers_depart() -> None:
    harness = engine_harness.EngineHarness(2)
    gang = model.Step(2, engine_harness.WORKER, 30.0, gang=True)
    keys = [
        key
        for _, key in engine_harness.started(
            harness.submit(engine_harness.job("a" * 16, gang))
        )
    ]
    for number in (2, 3):
        harness.incarnations.append(harness.incarnation(number))
        harness.observe(number)
    for number, key in enumerate(keys):
        _drain(harness, number, 4.0, running=engine_harness.just_started(key))
    for number, key in enumerate(keys):
        harness.observe(
            number, ended=engine_harness.ended(key, runs.EndCause.STOPPED)
        )
    started = engine_harness.started(harness.submit())
    assert {(number, key.run) for number, key in started} == {(2, 2), (3, 2)}
    assert harness.engine.migration.gauges() == {"runs_moved": 2}


# Guards against gangs that are moved from worker to worker through a rolling
# update: the room elsewhere was on workers that were replaced next.
def test_a_gang_stays_if_all_other_workers_are_replaced_next() -> None:
    harness = _fleet_in_update(old=3, new=1)
    gang = model.Step(2, engine_harness.WORKER, 30.0, gang=True)
    orders = engine_harness.started(
        harness.submit(engine_harness.job("a" * 16, gang))
    )
    assert harness.logged_events.count("rolling update inferred") == 1
    on_old = {number: key for number, key in orders if number}
    number, key = min(on_old.items())
    _drain(harness, number, 4.0, running=engine_harness.just_started(key))
    assert "run moved" not in harness.logged_events
    assert harness.logged_events.count("run stays") == 1


def _fleet_in_update(old: int, new: int) -> engine_harness.EngineHarness:
    """Returns workers 0 to `new` - 1 replaced, and `old` others to replace.

    One more worker of the older version has begun to drain.
    """
    harness = engine_harness.EngineHarness(0)
    for number in range(new + old + 1):
        replaced = number < new
        harness.incarnations.append(
            msgspec.structs.replace(
                harness.incarnation(number, started_ms=2 if replaced else 1),
                version="v2" if replaced else "v1",
            )
        )
    harness.observe_all()
    _drain(harness, new + old, 4.0)
    return harness


# Guards against room that another job takes while a moved run is being stopped.
def test_room_for_a_moved_run_is_held_from_less_urgent_jobs() -> None:
    harness, key = _one_task(PLAIN, workers=2, percent=10, after_s=1.0)
    _drain(harness, 0, 4.0, running=(runs.RunningTask(key, "", 10),))
    batch = engine_harness.job("b" * 16, PLAIN, priority=2)
    assert engine_harness.started(harness.submit(batch)) == []
    harness.observe(0, ended=engine_harness.ended(key, runs.EndCause.STOPPED))
    ((number, again),) = engine_harness.started(harness.submit())
    assert (number, again.task, again.run) == (1, key.task, 2)


# Guards against saved work that stays in a data centre that is evacuated, and
# against stops there of runs that would lose their work.
@pytest.mark.parametrize(("step", "moves"), [(SAVING, True), (PLAIN, False)])
def test_only_saving_runs_leave_an_evacuated_data_centre(
    step: model.Step, moves: bool
) -> None:
    harness, key = _one_task(step, workers=1, percent=10, after_s=1.0)
    harness.incarnations.append(
        msgspec.structs.replace(
            harness.incarnation(1), data_centre=types.DataCentreName("other")
        )
    )
    harness.observe(1)
    harness.engine.set_evacuations({types.DataCentreName("dc"): 7})
    harness.plan()
    assert _stops(harness, key, 10) is moves


# Guards against services that become unavailable by moves of all their tasks at
# the same time.
def test_no_more_tasks_of_a_service_are_moved_than_it_may_miss() -> None:
    harness = engine_harness.EngineHarness(1)
    service = model.Step(
        3,
        engine_harness.GPU,
        checkpointing=True,
        long_running=True,
        max_unavailable=1,
    )
    orders = engine_harness.started(
        harness.submit(engine_harness.job("a" * 16, service))
    )
    running = engine_harness.just_started(*(key for _, key in orders))
    _drain(harness, 0, None, running=running)
    assert len(harness.observe(0, running=running).stops) == 1


def test_a_worker_whose_agent_stops_gets_no_new_tasks() -> None:
    harness = engine_harness.EngineHarness(1)
    harness.observe(0, agent_state=runs.AgentState.STOPPING)
    assert engine_harness.started(harness.submit(engine_harness.job())) == []
    harness.observe(0)
    assert len(engine_harness.started(harness.submit())) == 1
