"""Tasks that use spare CPU beside serving tasks that exceed their target.

The load is a serving task with a target and a task that uses the CPU that it
leaves, on one worker: beside it, the serving task is over its target unless the
other one does less than its full work.
"""

from __future__ import annotations

import itertools
import json
import random

import pytest
import trio

from pimentobridge.bench import harness as bench_harness
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import stalls
from pimentobridge.core.scheduling import throttling
from pimentobridge.lab import callers
from pimentobridge.lab import checkers
from pimentobridge.lab import operator_documents
from pimentobridge.lab import world as world_lib
from pimentobridge.testing import engine_harness

# A serving task must not be over its target for this long on end.
MAX_HARM_S = 4.5
TARGET_MS = 100


def _steps(over: list[bool], throttle: throttling.Throttle) -> list[int]:
    """Returns the percent after each of the reports, twice a second."""
    percents = []
    for number, one in enumerate(over):
        throttle.update(over=one, now_s=100.0 + number * 0.5)
        percents.append(throttle.percent)
    return percents


# Guards against a serving task that is over its target for 4.5 s on end: the
# last step comes 2 s after the first report of it.
def test_a_violation_throttles_in_steps_within_two_seconds() -> None:
    percents = _steps([True] * 6, throttling.Throttle())
    assert percents == [50, 50, 20, 20, 0, 0]


# Guards against steps that wait for as many reports, when some are lost.
def test_a_lost_report_does_not_delay_the_last_step() -> None:
    throttle = throttling.Throttle()
    throttle.update(over=True, now_s=100.0)
    throttle.update(over=True, now_s=102.0)
    assert throttle.percent == 0


# Guards against throttling further than needed.
def test_a_step_that_suffices_is_the_last() -> None:
    percents = _steps([True, True, *[False] * 4], throttling.Throttle())
    assert percents == [50] * 6


# Guards against tasks that stay throttled, or come back to full work at once.
def test_the_share_is_raised_step_by_step() -> None:
    percents = _steps([*[True] * 5, *[False] * 24], throttling.Throttle())
    first_by_percent = {
        percent: percents.index(percent, 5) for percent in (20, 50, 100)
    }
    assert first_by_percent == {20: 11, 50: 17, 100: 23}


# Guards against a violation every few seconds, as the same share is tried again
# and again while the load doesn't change.
def test_a_share_that_is_too_much_is_tried_less_and_less_often() -> None:
    throttle = throttling.Throttle()
    began_s = []
    was_over = False
    for number in range(1200):
        over = throttle.percent > 20
        if over and not was_over:
            began_s.append(number * 0.5)
        was_over = over
        throttle.update(over=over, now_s=100.0 + number * 0.5)
    waits_s = [
        later - earlier for earlier, later in itertools.pairwise(began_s)
    ]
    assert min(waits_s[5:]) >= throttling.MAX_HOLD_S
    assert len(began_s) <= 18


def _fleet() -> tuple[engine_harness.EngineHarness, dict[str, runs.RunKey]]:
    """Returns a worker with a serving, an ordinary and a spare-CPU task."""
    harness = engine_harness.EngineHarness(1)
    request = engine_harness.GPU
    steps = {
        "a": model.Step(1, request, long_running=True, target_ms=TARGET_MS),
        "b": model.Step(1, request, 60.0),
        "c": model.Step(1, request, 60.0, uses_spare_cpu=True),
    }
    orders = harness.submit(
        *(
            engine_harness.job(name * 16, step, priority=2)
            for name, step in steps.items()
        )
    )
    started = engine_harness.started(orders)
    return harness, {key.task[0]: key for _, key in started}


def _report(
    harness: engine_harness.EngineHarness,
    keys: dict[str, runs.RunKey],
    latency_ms: int | None,
) -> dict[str, int]:
    """Reports after half a second; returns the percent of the paced runs."""
    harness.clock.advance(0.5)
    metrics = {"a": latency_ms}
    orders = harness.observe(
        0,
        running=tuple(
            runs.MeasuredTask(key, "", 5, metrics.get(name, 900))
            for name, key in keys.items()
        ),
    )
    return {order.key.task[0]: order.percent for order in orders.paces}


# Guards against throttling work that requests its CPU.
def test_only_tasks_that_use_spare_cpu_are_throttled() -> None:
    harness, keys = _fleet()
    assert _report(harness, keys, 60) == {"c": 100}
    assert _report(harness, keys, 200) == {"c": 50}
    gauges = harness.engine.throttling.gauges()
    assert gauges == {
        "workers_with_throttled_tasks": 1,
        "throttle_steps_down": 1,
    }
    assert "spare CPU throttled" in harness.logged_events


# Guards against acting on a latency that isn't known.
def test_nothing_changes_while_no_latency_is_reported() -> None:
    harness, keys = _fleet()
    _report(harness, keys, None)
    assert _report(harness, keys, None) == {"c": 100}
    _report(harness, keys, 200)
    for _ in range(20):
        assert _report(harness, keys, None) == {"c": 50}


# Guards against tasks that stay throttled after the serving task has gone.
def test_the_share_is_raised_once_the_serving_task_is_gone() -> None:
    harness, keys = _fleet()
    _report(harness, keys, 200)
    del keys["a"]
    percents = [_report(harness, keys, None)["c"] for _ in range(10)]
    assert percents[-1] == 100


def _taken_over() -> tuple[
    engine_harness.EngineHarness, dict[str, runs.RunKey]
]:
    """Returns the worker of `_fleet` with a new scheduler."""
    harness, keys = _fleet()
    _report(harness, keys, 200)
    jobs = list(harness.engine.jobs_by_id.values())
    harness.engine = harness.new_engine()
    for tracked in jobs:
        harness.engine.put_job(tracked.job, tracked.progress)
    return harness, keys


# Guards against harm that goes on for 4.5 s across a change of scheduler: the
# new one raised the share first, or took a first step above the actual share.
def test_a_new_scheduler_stops_what_disturbs_at_once() -> None:
    harness, keys = _taken_over()
    assert _report(harness, keys, 200) == {"c": 0}


# Guards against a share that an earlier scheduler has set and that stays.
def test_a_new_scheduler_raises_the_share_while_the_target_holds() -> None:
    harness, keys = _taken_over()
    reports = [_report(harness, keys, 60) for _ in range(8)]
    assert reports[0] == {}
    assert reports[-1] == {"c": 100}


# Guards against tasks that are placed where they may do nothing while another
# worker has room, and against waiting where none has.
@pytest.mark.parametrize("workers", [1, 2])
def test_spare_cpu_is_used_on_workers_that_are_not_throttled(
    workers: int,
) -> None:
    harness, keys = _fleet()
    for _ in range(5):
        _report(harness, keys, 200)
    if workers == 2:
        harness.incarnations.append(harness.incarnation(1))
        harness.observe(1)
    step = model.Step(1, engine_harness.GPU, 60.0, uses_spare_cpu=True)
    job = engine_harness.job("d" * 16, step, priority=2)
    harness.engine.put_job(job)
    harness.plan()
    (placed,) = [
        worker.key.worker
        for worker in harness.engine.workers_by_incarnation.values()
        for entry in worker.entries_by_key.values()
        if entry.tracked.id == job.id
    ]
    assert placed == f"w{workers - 1}"


# Guards against a run that is stopped as hung, and its worker ejected, because
# the scheduler itself lets it do nothing.
def test_a_throttled_run_does_not_count_as_stalled() -> None:
    harness, keys = _fleet()
    detector = stalls.StallDetector(
        harness.engine, clock=harness.clock, log=lambda *_, **__: None
    )
    for _ in range(120):
        _report(harness, {"a": keys["a"], "c": keys["c"]}, 200)
    detector.run()
    worker = next(iter(harness.engine.workers_by_incarnation.values()))
    assert worker.throttle.percent == 0
    assert not worker.entries_by_key[keys["c"]].stop_requested


def _job(name: str, fields: dict[str, object]) -> checkers.SubmittedJob:
    serving = "target_ms" in fields
    step = {
        "count": 1,
        "cpu": 1000,
        "memMb": 1000,
        "gpu": 1,
        "estimateMs": 60_000,
        "image": name,
        "longRunning": serving,
        "targetMs": TARGET_MS if serving else 0,
        "fills": not serving,
    }
    return checkers.SubmittedJob(
        id=name * 16,
        spec=json.dumps(
            {"seconds": 600.0, "request": [1000, 1000, 1], **fields}
        ),
        steps=[step],
        max_attempts=operator_documents.MAX_ATTEMPTS,
    )


async def _serve(harmless_percent: int) -> tuple[float, list[tuple[int, int]]]:
    """Serves for 20 s beside a task that uses spare CPU, on the only worker.

    Returns:
        The longest time over the target on end, and the pace calls.
    """
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=1, workers=1
        )
        world.put_configuration()
        world.start()
        await trio.sleep(4.0)
        runner = world.workers[0].runner
        runner.harmless_percent = harmless_percent
        for job in (
            _job("a", {"target_ms": TARGET_MS}),
            _job("b", {"fills": True}),
        ):
            nursery.start_soon(callers.follow(world, job, for_s=30.0).run)
        await trio.sleep(20.0)
        assert len(runner.runs_by_task) == 2
        result = runner.longest_excess_s, list(runner.pace_calls)
        nursery.cancel_scope.cancel()
    return result


# Guards against harm of 4.5 s on end through the whole path: the worker's list,
# the agent's report, the scheduler's orders and the agent's calls.
@pytest.mark.parametrize("harmless_percent", [50, 20, 0])
def test_a_serving_task_is_not_over_its_target_for_long(
    harmless_percent: int,
) -> None:
    excess_s, calls = bench_harness.run_virtual(_serve, harmless_percent)
    assert 0 < excess_s < MAX_HARM_S
    percents = [percent for percent, _ in calls]
    levels = [50, 20, 0]
    assert (
        percents[: levels.index(harmless_percent) + 1]
        == (levels[: levels.index(harmless_percent) + 1])
    )


# Guards against calls to workers on which nothing is to be throttled.
def test_a_worker_gets_no_pace_calls_while_the_target_holds() -> None:
    excess_s, calls = bench_harness.run_virtual(_serve, 100)
    assert excess_s == 0
    assert calls == []
