"""The order of urgent jobs when more is asked for than fits."""

from __future__ import annotations

import pytest

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import ranking
from pimentobridge.testing import engine_harness

# The harness's queues promise 1 s plus twice the longest chain.
ESTIMATE_S = 5.0
PROMISED_S = 11.0
LATEST_START_S = PROMISED_S - ESTIMATE_S


def _gang(name: str, width: int, **fields: int) -> model.Job:
    step = model.Step(width, engine_harness.WORKER, ESTIMATE_S, gang=True)
    return engine_harness.job(
        name * 16, step, priority=0, account="other", **fields
    )


# Guards against calls that all fail on crowded days: those that were late
# already were served before those that could still be in time.
def test_an_urgent_job_that_can_be_in_time_passes_one_that_is_late() -> None:
    harness = engine_harness.EngineHarness(2)
    running = engine_harness.started(harness.submit(_gang("a", 2)))
    harness.submit(_gang("b", 2))
    harness.clock.advance(LATEST_START_S + 1.0)
    for number, key in running:
        harness.observe(number, running=engine_harness.running(key))
    harness.submit(_gang("c", 2))
    for number, key in running:
        ended = engine_harness.ended(key, runs.EndCause.DONE)
        harness.observe(number, ended=ended)
    harness.plan()
    harness.record()
    started = engine_harness.started(harness.observe_all())
    assert {key.task[0] for _, key in started} == {"c"}


@pytest.mark.parametrize(
    ("waited_s", "expected"),
    [
        (0.0, ranking.Timeliness.IN_TIME),
        (LATEST_START_S, ranking.Timeliness.IN_TIME),
        (LATEST_START_S + 0.1, ranking.Timeliness.LATE),
        (3 * PROMISED_S - ESTIMATE_S, ranking.Timeliness.LATE),
        (3 * PROMISED_S, ranking.Timeliness.USELESS),
    ],
)
def test_timeliness_follows_what_the_queue_promises(
    waited_s: float, expected: ranking.Timeliness
) -> None:
    harness = engine_harness.EngineHarness(0)
    harness.submit(_gang("a", 1))
    harness.clock.advance(waited_s)
    (tracked,) = harness.engine.jobs_by_id.values()
    assert ranking.timeliness(tracked, harness.clock.monotonic()) is expected


def test_the_steps_that_are_done_do_not_count_for_what_remains() -> None:
    harness = engine_harness.EngineHarness(1)
    first = model.Step(1, engine_harness.GPU, 2.0)
    second = model.Step(1, engine_harness.GPU, 3.0, after=(0,))
    ((number, key),) = engine_harness.started(
        harness.submit(engine_harness.job("a" * 16, first, second))
    )
    (tracked,) = harness.engine.jobs_by_id.values()
    assert ranking.longest_chain_s(tracked, remaining=True) == 5.0
    done = runs.EndCause.DONE
    harness.observe(number, ended=engine_harness.ended(key, done))
    assert ranking.longest_chain_s(tracked, remaining=True) == 3.0
    assert ranking.longest_chain_s(tracked, remaining=False) == 5.0


def test_a_job_with_a_schedule_counts_as_in_time() -> None:
    harness = engine_harness.EngineHarness(0)
    harness.submit(
        engine_harness.job("a" * 16, occurrences=3, interval_ms=1000)
    )
    harness.clock.advance(100 * PROMISED_S)
    (tracked,) = harness.engine.jobs_by_id.values()
    now_s = harness.clock.monotonic()
    assert ranking.timeliness(tracked, now_s) is ranking.Timeliness.IN_TIME
