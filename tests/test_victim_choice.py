"""Whom an urgent job displaces where small runs fill some of the workers."""

from __future__ import annotations

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.testing import engine_harness

WORKED_S = 4.0
# An urgent job without a guarantee may discard some work after this time.
WAITED_S = 1.1
# With an accelerator as 8 cores, a second of the small runs together counts as
# 72 core-seconds, and one of the large run as 65.
SMALL = model.Step(8, model.Resources(1000, 1000, 1), 60.0)
LARGE = model.Step(1, model.Resources(1000, 1000, 8), 60.0)


def _keys_by_worker(
    harness: engine_harness.EngineHarness, *jobs: model.Job
) -> dict[int, list[runs.RunKey]]:
    keys_by_worker: dict[int, list[runs.RunKey]] = {0: [], 1: []}
    for number, key in engine_harness.started(harness.submit(*jobs)):
        keys_by_worker[number].append(key)
    return keys_by_worker


def _report(
    harness: engine_harness.EngineHarness,
    keys_by_worker: dict[int, list[runs.RunKey]],
) -> list[runs.RunKey]:
    """Reports all runs as running; returns those that are to be stopped."""
    return [
        key
        for number, keys in keys_by_worker.items()
        for key in harness.observe(
            number, running=engine_harness.just_started(*keys)
        ).stops
    ]


# Guards against waste on crowded days: each small run loses less than the large
# one, but all that must stop for a whole worker lose more.
def test_an_urgent_job_takes_the_worker_where_least_is_lost_in_all() -> None:
    harness = engine_harness.EngineHarness(2)
    keys_by_worker = _keys_by_worker(
        harness,
        engine_harness.job("a" * 16, SMALL, account="other"),
        engine_harness.job("b" * 16, LARGE, account="other"),
    )
    _report(harness, keys_by_worker)
    harness.clock.advance(WORKED_S)
    _report(harness, keys_by_worker)
    urgent = engine_harness.job(
        "c" * 16,
        model.Step(1, engine_harness.WORKER, 5.0),
        priority=0,
        account="other",
    )
    harness.submit(urgent)
    harness.clock.advance(WAITED_S)
    _report(harness, keys_by_worker)
    harness.plan()
    stopped = _report(harness, keys_by_worker)
    assert [key.task.split(".")[0] for key in stopped] == ["b" * 16]
