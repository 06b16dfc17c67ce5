"""Runs, records and reports in the scheduling engine, with scripted agents."""

from __future__ import annotations

import msgspec

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import engine as engine_lib
from pimentobridge.core.scheduling import health
from pimentobridge.testing import engine_harness


def test_a_start_is_sent_only_after_it_is_recorded() -> None:
    harness = engine_harness.EngineHarness()
    harness.engine.put_job(engine_harness.job())
    harness.plan()
    assert engine_harness.started(harness.observe_all()) == []
    harness.record()
    assert len(engine_harness.started(harness.observe_all())) == 1


def test_an_end_is_acknowledged_only_after_it_is_recorded() -> None:
    harness = engine_harness.EngineHarness()
    ((number, key),) = engine_harness.started(
        harness.submit(engine_harness.job())
    )
    instructions = harness.observe(
        number, ended=engine_harness.ended(key, runs.EndCause.DONE)
    )
    assert instructions.acknowledged_end == 0
    harness.record()
    instructions = harness.observe(
        number, ended=engine_harness.ended(key, runs.EndCause.DONE)
    )
    assert instructions.acknowledged_end == 1
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.state is progress_lib.JobState.COMPLETED


def test_a_silent_worker_keeps_its_runs_until_its_lease_has_expired() -> None:
    harness = engine_harness.EngineHarness(1)
    ((_, key),) = engine_harness.started(harness.submit(engine_harness.job()))
    harness.incarnations.append(harness.incarnation(1))
    harness.observe(1)
    silent_s = 0.0
    while (
        silent_s
        < engine_lib.ORDER_VALIDITY_S + engine_harness.MAX_LEASE_S * 1.02
    ):
        harness.plan()
        harness.record()
        assert engine_harness.started([harness.observe(1)]) == []
        harness.clock.advance(0.5)
        silent_s += 0.5
    harness.clock.advance(1.0)
    harness.plan()
    harness.record()
    ((_, restarted),) = engine_harness.started([harness.observe(1)])
    assert restarted == runs.RunKey(key.task, key.run + 1)


def _time_until_lost_s(harness: engine_harness.EngineHarness) -> float:
    """Returns how long the runs of worker 0 are kept without a report."""
    harness.incarnations.append(harness.incarnation(1))
    silent_s = 0.0
    while silent_s < 2 * engine_harness.MAX_LEASE_S:
        harness.plan()
        harness.record()
        if engine_harness.started([harness.observe(1)]):
            break
        harness.clock.advance(0.1)
        silent_s += 0.1
    return silent_s


def test_runs_of_an_agent_that_has_stopped_are_kept_for_their_lease() -> None:
    harness = engine_harness.EngineHarness(1)
    ((_, key),) = engine_harness.started(harness.submit(engine_harness.job()))
    harness.observe(
        0,
        running=engine_harness.running(key),
        agent_state=runs.AgentState.STOPPED,
    )
    lost_s = _time_until_lost_s(harness)
    assert lost_s > engine_harness.MAX_LEASE_S * 1.02
    assert lost_s < engine_harness.MAX_LEASE_S + engine_lib.ORDER_VALIDITY_S


# Guards against TWICE: a lease that an agent had renewed before its first
# report on the worker counted from the last report of its predecessor.
def test_a_lease_counts_from_orders_that_a_new_agent_has_got() -> None:
    harness = engine_harness.EngineHarness(1)
    ((_, key),) = engine_harness.started(harness.submit(engine_harness.job()))
    harness.observe(0, running=engine_harness.running(key))
    harness.clock.advance(4.0)
    harness.engine.on_answered(types.Address("agent-0"))
    lost_s = _time_until_lost_s(harness)
    valid_s = engine_lib.ORDER_VALIDITY_S + engine_harness.MAX_LEASE_S * 1.02
    assert lost_s > valid_s


def test_an_agent_that_never_sees_its_worker_does_not_keep_runs() -> None:
    harness = engine_harness.EngineHarness(1)
    ((_, key),) = engine_harness.started(harness.submit(engine_harness.job()))
    harness.observe(0, running=engine_harness.running(key))
    for _ in range(40):
        harness.clock.advance(0.5)
        harness.engine.on_answered(types.Address("agent-0"))
        harness.engine.declare_lost()
    assert not harness.engine.workers_by_incarnation


def test_a_new_incarnation_on_the_machine_releases_the_old_runs() -> None:
    harness = engine_harness.EngineHarness(1)
    engine_harness.started(harness.submit(engine_harness.job()))
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnation(0),
        key=runs.IncarnationKey(types.WorkerId("other"), 2),
    )
    harness.observe(0)
    harness.plan()
    harness.record()
    ((_, restarted),) = engine_harness.started(harness.observe_all())
    assert restarted.run == 2


def test_a_new_scheduler_detects_a_replaced_incarnation_by_its_agent() -> None:
    harness = engine_harness.EngineHarness(1)
    harness.submit(engine_harness.job())
    record = harness.engine.jobs_by_id[types.JobId("a" * 16)].progress
    harness.engine = harness.new_engine()
    harness.engine.put_job(engine_harness.job(), record, revision=5)
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnation(0),
        key=runs.IncarnationKey(types.WorkerId("other"), 2),
    )
    harness.observe(0)
    harness.plan()
    harness.record()
    ((_, restarted),) = engine_harness.started(harness.observe_all())
    assert restarted.run == 2


def test_a_new_scheduler_adopts_running_tasks() -> None:
    harness = engine_harness.EngineHarness()
    ((number, key),) = engine_harness.started(
        harness.submit(engine_harness.job())
    )
    record = harness.engine.jobs_by_id[types.JobId("a" * 16)].progress
    harness.engine = harness.new_engine()
    harness.engine.put_job(engine_harness.job(), record, revision=5)
    harness.observe(number, running=engine_harness.running(key))
    harness.plan()
    harness.record()
    assert (
        engine_harness.started(
            [harness.observe(number, running=engine_harness.running(key))]
        )
        == []
    )
    assert (
        harness.observe(number, running=engine_harness.running(key)).stops == ()
    )


def test_a_new_scheduler_repeats_a_recorded_start_that_was_not_sent() -> None:
    harness = engine_harness.EngineHarness()
    ((number, key),) = engine_harness.started(
        harness.submit(engine_harness.job())
    )
    record = harness.engine.jobs_by_id[types.JobId("a" * 16)].progress
    harness.engine = harness.new_engine()
    harness.engine.put_job(engine_harness.job(), record, revision=5)
    harness.plan()
    harness.record()
    assert engine_harness.started([harness.observe(number)]) == [(0, key)]


def test_a_job_fails_after_its_last_attempt() -> None:
    harness = engine_harness.EngineHarness()
    orders = engine_harness.started(harness.submit(engine_harness.job()))
    for attempt in (1, 2):
        ((number, key),) = orders
        assert key.run == attempt
        harness.observe(
            number,
            ended=engine_harness.ended(key, runs.EndCause.FAILED, attempt),
        )
        harness.plan()
        harness.record()
        orders = engine_harness.started(harness.observe_all())
    assert orders == []
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.state is progress_lib.JobState.FAILED


def test_an_expired_lease_does_not_count_as_an_attempt() -> None:
    harness = engine_harness.EngineHarness(1)
    orders = engine_harness.started(harness.submit(engine_harness.job()))
    for attempt in (1, 2, 3):
        ((number, key),) = orders
        harness.observe(
            number,
            ended=engine_harness.ended(
                key, runs.EndCause.LEASE_EXPIRED, attempt
            ),
        )
        harness.plan()
        harness.record()
        orders = engine_harness.started(harness.observe_all())
    assert orders[0][1].run == 4


def test_a_refused_run_is_retried_under_a_higher_number() -> None:
    harness = engine_harness.EngineHarness(1)
    ((_, key),) = engine_harness.started(harness.submit(engine_harness.job()))
    harness.observe(0, refused=(key,))
    harness.plan()
    assert engine_harness.started(harness.observe_all()) == []
    harness.clock.advance(health.REFUSAL_PAUSE_S)
    harness.observe_all()
    harness.plan()
    harness.record()
    ((_, restarted),) = engine_harness.started(harness.observe_all())
    assert restarted.run == key.run + 1


# Guards against TWICE (issue 38): a run that is being stopped is listed as
# running until it has ended, and was placed again before.
def test_a_refused_run_that_is_listed_as_running_is_not_released() -> None:
    harness = engine_harness.EngineHarness(2)
    ((number, key),) = engine_harness.started(
        harness.submit(engine_harness.job())
    )
    listed = engine_harness.just_started(key)
    harness.observe(number, running=listed, refused=(key,))
    harness.plan()
    harness.record()
    assert engine_harness.started([harness.observe(1 - number)]) == []
    harness.observe(
        number, ended=engine_harness.ended(key, runs.EndCause.STOPPED)
    )
    harness.plan()
    harness.record()
    ((_, restarted),) = engine_harness.started(harness.observe_all())
    assert restarted.run == key.run + 1


def test_an_end_takes_precedence_over_a_refusal_of_the_same_run() -> None:
    harness = engine_harness.EngineHarness(1)
    ((_, key),) = engine_harness.started(harness.submit(engine_harness.job()))
    harness.observe(
        0, ended=engine_harness.ended(key, runs.EndCause.DONE), refused=(key,)
    )
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.state is progress_lib.JobState.COMPLETED


def test_an_end_after_cancellation_leaves_the_job_cancelled() -> None:
    harness = engine_harness.EngineHarness(1)
    ((_, key),) = engine_harness.started(harness.submit(engine_harness.job()))
    harness.engine.put_job(
        msgspec.structs.replace(engine_harness.job(), cancelled=True)
    )
    harness.observe(0, ended=engine_harness.ended(key, runs.EndCause.DONE))
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.state is progress_lib.JobState.CANCELLED


def test_a_cancelled_job_stops_its_runs_and_starts_no_more() -> None:
    harness = engine_harness.EngineHarness(1)
    many_tasks = engine_harness.job(
        "a" * 16, model.Step(9, engine_harness.GPU, 5.0)
    )
    keys = [
        key for _, key in engine_harness.started(harness.submit(many_tasks))
    ]
    assert len(keys) == 8
    harness.engine.put_job(msgspec.structs.replace(many_tasks, cancelled=True))
    harness.plan()
    harness.record()
    instructions = harness.observe(0, running=engine_harness.running(*keys))
    assert set(instructions.stops) == set(keys)
    assert instructions.starts == ()


def test_later_steps_wait_for_earlier_ones() -> None:
    harness = engine_harness.EngineHarness(1)
    chain = engine_harness.job(
        "a" * 16,
        model.Step(2, engine_harness.GPU, 5.0),
        model.Step(1, engine_harness.GPU, 5.0, after=(0,)),
    )
    keys = [key for _, key in engine_harness.started(harness.submit(chain))]
    assert [key.task.split(".")[2] for key in keys] == ["0", "0"]
    harness.observe(0, ended=engine_harness.ended(keys[0], runs.EndCause.DONE))
    harness.plan()
    assert all(
        ".1." not in start.key.task for start in harness.observe(0).all_starts
    )


def test_a_terminated_worker_releases_its_runs_at_once() -> None:
    harness = engine_harness.EngineHarness(2)
    ((number, key),) = engine_harness.started(
        harness.submit(engine_harness.job())
    )
    harness.observe(
        number, running=engine_harness.running(key), terminated=True
    )
    harness.plan()
    harness.record()
    ((_, restarted),) = engine_harness.started([harness.observe(1 - number)])
    assert restarted.run == 2


def test_checkpoints_are_recorded_while_a_task_runs() -> None:
    harness = engine_harness.EngineHarness(1)
    checkpointing = engine_harness.job(
        "a" * 16, model.Step(1, engine_harness.GPU, 30.0, checkpointing=True)
    )
    ((_, key),) = engine_harness.started(harness.submit(checkpointing))
    harness.clock.advance(engine_lib.CHECKPOINT_RECORD_INTERVAL_S)
    harness.observe(0, running=(runs.RunningTask(key, "saved", 20),))
    harness.engine.record_checkpoints()
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.id in harness.engine.dirty_by_id
    stored = progress_lib.decode_progress(
        progress_lib.encode_progress(tracked.progress), tracked.job
    )
    assert next(stored.units())[2].checkpoint == "saved"


def test_a_long_running_task_is_restarted_however_it_ends() -> None:
    harness = engine_harness.EngineHarness(1)
    long_running_step = model.Step(
        1, engine_harness.GPU, 5.0, long_running=True
    )
    orders = harness.submit(engine_harness.job("b" * 16, long_running_step))
    causes = [runs.EndCause.FAILED] * 3 + [runs.EndCause.DONE]
    for number, cause in enumerate(causes, start=1):
        [(_, key)] = engine_harness.started(orders)
        assert key.run == number
        harness.observe(0, running=engine_harness.running(key))
        harness.observe(0, ended=engine_harness.ended(key, cause, number))
        harness.plan()
        harness.record()
        orders = harness.observe_all()
    [(_, key)] = engine_harness.started(orders)
    assert key.run == len(causes) + 1
    assert not harness.engine.jobs_by_id[types.JobId("b" * 16)].state.ended


def test_an_occurrence_starts_only_when_it_is_due() -> None:
    harness = engine_harness.EngineHarness(1)
    scheduled = engine_harness.job(
        "a" * 16, occurrences=2, first_due_ms=105_000, interval_ms=10_000
    )
    assert engine_harness.started(harness.submit(scheduled)) == []
    harness.clock.advance(5.0)
    harness.observe_all()
    harness.plan()
    harness.record()
    ((_, key),) = engine_harness.started(harness.observe_all())
    assert key.task == "a" * 16 + ".0.0.0"
