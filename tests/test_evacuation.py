"""Workers that are about to shut down, and the runs on them."""

from __future__ import annotations

import msgspec

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.testing import engine_harness


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
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0], draining=True
    )
    instructions = harness.observe(
        0, running=engine_harness.running(*keys.values())
    )
    assert instructions.stops == (keys["a"],)


def _moved_members(estimate_s: float, leaves_in_s: float) -> list[int]:
    """Returns the workers of a gang that stop it when worker 0 drains."""
    harness = engine_harness.EngineHarness(2)
    gang = model.Step(2, engine_harness.WORKER, estimate_s, gang=True)
    orders = engine_harness.started(
        harness.submit(engine_harness.job("a" * 16, gang))
    )
    for number, key in orders:
        harness.observe(number, running=engine_harness.just_started(key))
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0], draining=True, leaves_in_s=leaves_in_s
    )
    return [
        number
        for number, key in sorted(orders)
        if harness.observe(
            number, running=engine_harness.just_started(key)
        ).stops
    ]


# Guards against a gang that is lost with a worker that leaves before its end:
# an urgent one was started again 22 s later on the grown site, issue 20.
def test_a_run_that_cannot_end_in_time_moves_off_a_draining_worker() -> None:
    assert _moved_members(6.0, 2.0) == [0, 1]


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
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0], draining=True, leaves_in_s=5.0
    )
    fast = runs.RunningTask(first, "", 80)
    assert harness.observe(0, running=(fast,)).stops == (first,)
    assert harness.observe(1, running=(slow,)).stops == (second,)


# Guards against SHORT (issue 23): a new scheduler moved a gang that was about
# to end, because it hadn't heard of the members on another worker yet.
def test_a_gang_about_to_end_stays_though_a_member_is_not_reported() -> None:
    harness = engine_harness.EngineHarness(2)
    gang = model.Step(2, engine_harness.WORKER, 20.0, gang=True)
    (_, first), _ = engine_harness.started(
        harness.submit(engine_harness.job("a" * 16, gang))
    )
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0], draining=True, leaves_in_s=5.0
    )
    reported = runs.RunningTask(first, "", 90)
    assert not harness.observe(0, running=(reported,)).stops


def test_a_worker_whose_agent_stops_gets_no_new_tasks() -> None:
    harness = engine_harness.EngineHarness(1)
    harness.observe(0, agent_state=runs.AgentState.STOPPING)
    assert engine_harness.started(harness.submit(engine_harness.job())) == []
    harness.observe(0)
    assert len(engine_harness.started(harness.submit())) == 1
