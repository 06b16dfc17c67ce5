"""Gangs whose members start, end and crash apart."""

from __future__ import annotations

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.testing import engine_harness


def test_a_failed_gang_restarts_only_after_all_members_are_stopped() -> None:
    harness = engine_harness.EngineHarness(2)
    gang = engine_harness.job(
        "b" * 16, model.Step(16, engine_harness.GPU, 5.0, gang=True)
    )
    keys = [key for _, key in engine_harness.started(harness.submit(gang))]
    first, rest = keys[0], keys[1:8]
    harness.observe(
        0,
        running=engine_harness.running(*rest),
        ended=engine_harness.ended(first, runs.EndCause.FAILED),
    )
    harness.plan()
    harness.record()
    orders = harness.observe(
        0,
        running=engine_harness.running(*rest),
        ended=engine_harness.ended(first, runs.EndCause.FAILED),
    )
    assert orders.starts == ()
    assert set(orders.stops) == set(rest)


def test_a_gang_completes_its_job_only_once() -> None:
    harness = engine_harness.EngineHarness(1)
    gang = engine_harness.job(
        "a" * 16, model.Step(2, engine_harness.GPU, 5.0, gang=True)
    )
    keys = [key for _, key in engine_harness.started(harness.submit(gang))]
    harness.logged_events.clear()
    harness.observe(
        0,
        ended=tuple(
            runs.EndedRun(number + 1, key, runs.EndCause.DONE, "")
            for number, key in enumerate(keys)
        ),
    )
    assert harness.logged_events.count("job ended") == 1


def _gang_on_two_workers() -> tuple[
    engine_harness.EngineHarness, list[runs.RunKey]
]:
    """Starts a gang with one member on each of two workers."""
    harness = engine_harness.EngineHarness(2)
    whole = model.Step(2, engine_harness.WORKER, 5.0, gang=True)
    orders = engine_harness.started(
        harness.submit(engine_harness.job("a" * 16, whole))
    )
    return harness, [key for _, key in sorted(orders)]


# Guards against GANG (issue 23): the members waited until their time was over
# for one that couldn't start, as its worker had crashed.
def test_a_gang_is_stopped_if_a_member_can_not_start() -> None:
    harness, (first, _) = _gang_on_two_workers()
    harness.observe(0, running=engine_harness.just_started(first))
    harness.observe(1, reachable=False)
    assert harness.observe(
        0, running=engine_harness.just_started(first)
    ).stops == (first,)


def test_a_gang_at_work_is_not_stopped_if_a_worker_is_unreachable() -> None:
    harness, (first, second) = _gang_on_two_workers()
    harness.observe(0, running=engine_harness.running(first))
    harness.observe(1, running=engine_harness.running(second))
    harness.observe(1, running=engine_harness.running(second), reachable=False)
    assert harness.observe(0, running=engine_harness.running(first)).stops == ()


# Guards against BUDGET (issue 23): the ends of a gang's other members came
# before the crash was reported, which then counted for none of its tasks.
def test_a_crash_counts_though_the_other_members_have_ended() -> None:
    harness, (first, second) = _gang_on_two_workers()
    harness.observe(1, running=engine_harness.just_started(second))
    harness.observe(
        0, ended=engine_harness.ended(first, runs.EndCause.GANG_BROKEN)
    )
    crashed = harness.incarnations[1].key
    harness.incarnations[1] = harness.incarnation(1, started_ms=2)
    harness.observe(1, crashes=(runs.Crash(crashed, (second,)),))
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    (unit,) = [unit for _, _, unit in tracked.progress.units()]
    assert unit.crashed_on_by_member == {1: [types.Address("agent-1")]}
