"""Workers that fail or stall what they start."""

from __future__ import annotations

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import stalls
from pimentobridge.testing import engine_harness


# Guards against a job that uses up its attempts on the worker that has just
# failed it: seen on the grown site in issue 20.
def test_a_failed_task_is_retried_on_another_worker() -> None:
    harness = engine_harness.EngineHarness(2)
    [(number, key)] = engine_harness.started(
        harness.submit(engine_harness.job())
    )
    ends = engine_harness.ended(key, runs.EndCause.FAILED)
    harness.observe(number, ended=ends)
    harness.plan()
    harness.record()
    assert engine_harness.started([harness.observe(0), harness.observe(1)]) == [
        (1 - number, runs.RunKey(key.task, 2))
    ]


def _fail(
    harness: engine_harness.EngineHarness, number: int, *keys: runs.RunKey
) -> None:
    """Lists runs as failed on a worker, and runs a pass."""
    ended = tuple(
        runs.EndedRun(position + 1, key, runs.EndCause.FAILED, "")
        for position, key in enumerate(keys)
    )
    harness.observe(number, ended=ended)
    harness.plan()
    harness.record()


# Guards against SHORT where all other workers are busy: seen on Vorlauf's site,
# an urgent job failed for good within 0.4 s, as one of its tasks used up its
# attempts on a worker that fails whatever it starts.
def test_a_failed_task_waits_for_another_worker() -> None:
    harness = engine_harness.EngineHarness(2)
    whole = model.Step(1, engine_harness.WORKER, 5.0)
    submitted = harness.submit(
        engine_harness.job("a" * 16, whole, priority=0, account="other"),
        engine_harness.job("b" * 16, whole, priority=0, account="other"),
    )
    (failing, key), (_, other) = engine_harness.started(submitted)
    _fail(harness, failing, key)
    assert harness.observe(failing).starts == ()
    harness.observe(
        1 - failing, ended=engine_harness.ended(other, runs.EndCause.DONE)
    )
    harness.plan()
    harness.record()
    orders = [harness.observe(0), harness.observe(1)]
    assert engine_harness.started(orders) == [
        (1 - failing, runs.RunKey(key.task, 2))
    ]


def test_a_failed_task_is_retried_on_the_only_worker_that_can_hold_it() -> None:
    harness = engine_harness.EngineHarness(1)
    [(number, key)] = engine_harness.started(
        harness.submit(engine_harness.job())
    )
    _fail(harness, number, key)
    assert engine_harness.started([harness.observe(0)]) == [
        (0, runs.RunKey(key.task, 2))
    ]


def test_a_new_scheduler_knows_where_a_task_has_failed() -> None:
    harness = engine_harness.EngineHarness(1)
    [(number, key)] = engine_harness.started(
        harness.submit(engine_harness.job())
    )
    _fail(harness, number, key)
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    recorded = progress.decode_progress(
        progress.encode_progress(tracked.progress), tracked.job
    )
    (unit,) = (unit for _, _, unit in recorded.units())
    assert unit.failed_on == ["w0"]


def test_a_worker_that_fails_several_jobs_is_ejected() -> None:
    harness = engine_harness.EngineHarness(1)
    first = engine_harness.job("a" * 16)
    second = engine_harness.job("b" * 16)
    keys = [
        key for _, key in engine_harness.started(harness.submit(first, second))
    ]
    harness.observe(
        0,
        ended=tuple(
            runs.EndedRun(number + 1, key, runs.EndCause.FAILED, "")
            for number, key in enumerate(keys)
        ),
    )
    harness.plan()
    harness.record()
    assert harness.observe(0).starts == ()
    assert "worker ejected" in harness.logged_events


def _count_stops(
    harness: engine_harness.EngineHarness, key: runs.RunKey, percents: list[int]
) -> int:
    """Reports a run twice a second and returns the number of stops ordered.

    Each report gives the next of the percentages.
    """
    detector = stalls.StallDetector(
        harness.engine, clock=harness.clock, log=lambda *_, **__: None
    )
    for percent in percents:
        harness.clock.advance(0.5)
        harness.observe(0, running=(runs.RunningTask(key, "", percent),))
        detector.run()
    reported = (runs.RunningTask(key, "", percents[-1]),)
    return len(harness.observe(0, running=reported).stops)


def test_a_stalled_run_is_stopped() -> None:
    harness = engine_harness.EngineHarness(1)
    ((_, key),) = engine_harness.started(harness.submit(engine_harness.job()))
    assert _count_stops(harness, key, [5, 10, 15] + [15] * 14) == 1


def test_a_run_at_100_percent_is_not_stalled() -> None:
    harness = engine_harness.EngineHarness(1)
    ((_, key),) = engine_harness.started(harness.submit(engine_harness.job()))
    assert _count_stops(harness, key, [50] + [100] * 20) == 0


def test_a_new_scheduler_counts_work_done_before_its_takeover() -> None:
    harness = engine_harness.EngineHarness(1)
    long = engine_harness.job(
        "b" * 16, model.Step(8, engine_harness.GPU, 100.0)
    )
    keys = [key for _, key in engine_harness.started(harness.submit(long))]
    record = harness.engine.jobs_by_id[types.JobId("b" * 16)].progress
    harness.engine = harness.new_engine()
    harness.engine.put_job(long, record, revision=5)
    reported = tuple(runs.RunningTask(key, "", 90) for key in keys)
    harness.observe(0, running=reported)
    harness.engine.put_job(
        engine_harness.job(
            "c" * 16,
            model.Step(1, engine_harness.WORKER),
            priority=0,
            account="no-guarantee",
        )
    )
    harness.plan()
    harness.record()
    assert harness.observe(0, running=reported).stops == ()


def test_a_slow_run_is_not_stalled() -> None:
    harness = engine_harness.EngineHarness(1)
    ((_, key),) = engine_harness.started(harness.submit(engine_harness.job()))
    slow = [number // 4 for number in range(60)]
    assert _count_stops(harness, key, slow) == 0
