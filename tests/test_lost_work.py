"""Counters of lost work, by which decisions about drains are judged."""

from __future__ import annotations

import msgspec
import pytest

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.testing import engine_harness

# One core and one accelerator, which counts as eight cores.
CORES = 9


def _run_for(
    step: model.Step, seconds: float, checkpoint: str = ""
) -> tuple[engine_harness.EngineHarness, runs.RunKey]:
    """Runs a task for 4 s, and `seconds` more after it listed a checkpoint."""
    harness = engine_harness.EngineHarness(1)
    ((_, key),) = engine_harness.started(
        harness.submit(engine_harness.job("a" * 16, step))
    )
    harness.observe(0, running=engine_harness.just_started(key))
    harness.clock.advance(4.0)
    harness.observe(0, running=(runs.RunningTask(key, checkpoint, 40),))
    harness.clock.advance(seconds)
    return harness, key


def _lost(harness: engine_harness.EngineHarness) -> dict[str, float]:
    return {
        name.removeprefix("lost_core_seconds_"): value
        for name, value in harness.engine.lost_work.gauges().items()
        if value
    }


PLAIN = model.Step(1, engine_harness.GPU, 10.0)
SAVING = model.Step(1, engine_harness.GPU, 10.0, checkpointing=True)


# Guards against losses of drains that are hidden among other causes: 79,500
# core-seconds were lost in a day, and the logs didn't say to what.
@pytest.mark.parametrize(
    ("cause", "counter"),
    [
        (runs.EndCause.STOPPED, "stopped_other"),
        (runs.EndCause.GANG_BROKEN, "gang_broken"),
        (runs.EndCause.FAILED, "failed"),
        (runs.EndCause.LEASE_EXPIRED, "lease_expired"),
    ],
)
def test_the_work_of_a_run_counts_under_the_cause_of_its_end(
    cause: runs.EndCause, counter: str
) -> None:
    harness, key = _run_for(PLAIN, 2.0)
    harness.observe(0, ended=engine_harness.ended(key, cause))
    assert _lost(harness) == {counter: 6 * CORES}


def test_a_run_that_is_done_loses_nothing() -> None:
    harness, key = _run_for(PLAIN, 2.0)
    harness.observe(0, ended=engine_harness.ended(key, runs.EndCause.DONE))
    assert _lost(harness) == {}


# Guards against counting work that a checkpoint has saved.
def test_only_the_work_since_the_last_checkpoint_is_lost() -> None:
    harness, key = _run_for(SAVING, 2.0, "checkpoint")
    lapsed = runs.EndedRun(1, key, runs.EndCause.LEASE_EXPIRED, "checkpoint")
    harness.observe(0, ended=(lapsed,))
    assert _lost(harness) == {"lease_expired": 2 * CORES}


def test_a_stop_that_saves_a_checkpoint_loses_nothing() -> None:
    harness, key = _run_for(SAVING, 2.0, "checkpoint")
    stopped = runs.EndedRun(1, key, runs.EndCause.STOPPED, "newer")
    harness.observe(0, ended=(stopped,))
    assert _lost(harness) == {}


# Guards against work that is counted for the time until a loss is noticed.
def test_a_lost_worker_loses_work_until_its_last_report() -> None:
    harness, _ = _run_for(PLAIN, 2.0)
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0],
        key=runs.IncarnationKey(harness.incarnations[0].key.worker, 2),
    )
    harness.observe(0)
    assert _lost(harness) == {"worker_lost": 4 * CORES}


# Guards against losses by preemption that are taken for those of drains.
# A stopped gang's members are listed as broken once the first has stopped.
@pytest.mark.parametrize(
    "cause", [runs.EndCause.STOPPED, runs.EndCause.GANG_BROKEN]
)
def test_a_preempted_run_counts_as_preempted(cause: runs.EndCause) -> None:
    harness, key = _run_for(model.Step(1, engine_harness.WORKER, 60.0), 0.0)
    urgent = model.Step(8, engine_harness.GPU, 2.0, gang=True)
    harness.submit(engine_harness.job("b" * 16, urgent, priority=0))
    harness.clock.advance(2.0)
    harness.observe(0, running=(runs.RunningTask(key, "", 60),))
    harness.plan()
    harness.observe(0, ended=engine_harness.ended(key, cause))
    assert _lost(harness) == {"stopped_preempted": 6 * 80}
