"""Runs that are stopped for more urgent jobs."""

from __future__ import annotations

import pytest

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import pass_requests
from pimentobridge.core.scheduling import planner as planner_lib
from pimentobridge.core.scheduling import reclaim
from pimentobridge.testing import engine_harness


def test_a_guaranteed_job_preempts_others() -> None:
    harness = engine_harness.EngineHarness(1)
    batch = engine_harness.job(
        "b" * 16, model.Step(8, engine_harness.GPU, 30.0)
    )
    keys = [key for _, key in engine_harness.started(harness.submit(batch))]
    harness.observe(0, running=engine_harness.running(*keys))
    harness.clock.advance(10.0)
    harness.observe(0, running=engine_harness.running(*keys))
    harness.engine.put_job(
        engine_harness.job(
            "c" * 16, model.Step(1, engine_harness.WORKER, 1.0), priority=0
        )
    )
    harness.plan()
    assert harness.observe(0, running=engine_harness.running(*keys)).stops == ()
    assert not harness.engine.needs_pass
    for waited_s in (
        reclaim.WAIT_FOR_LARGE_LOSS_S,
        reclaim.WAIT_FOR_ANY_LOSS_S - reclaim.WAIT_FOR_LARGE_LOSS_S,
    ):
        harness.clock.advance(waited_s)
        harness.engine.request_due_pass()
        assert harness.engine.needs_pass
        harness.observe(0, running=engine_harness.running(*keys))
        harness.plan()
    harness.record()
    assert set(
        harness.observe(0, running=engine_harness.running(*keys)).stops
    ) == set(keys)
    ends = tuple(
        runs.EndedRun(number + 1, key, runs.EndCause.STOPPED, "")
        for number, key in enumerate(keys)
    )
    harness.observe(0, ended=ends)
    harness.plan()
    harness.record()
    instructions = harness.observe(0, ended=ends)
    assert [start.key.task[:16] for start in instructions.all_starts] == [
        "c" * 16
    ]


# Guards against SHORT (issue 23): passes followed each other without a pause,
# as each job that couldn't preempt the others asked for the next one.
def test_a_job_that_can_never_preempt_requests_passes_at_an_interval() -> None:
    harness = engine_harness.EngineHarness(1)
    batch = engine_harness.job(
        "b" * 16,
        model.Step(8, engine_harness.GPU, 300.0),
        account="no-guarantee",
    )
    keys = [key for _, key in engine_harness.started(harness.submit(batch))]
    harness.observe(0, running=engine_harness.running(*keys))
    harness.clock.advance(100.0)
    harness.observe(0, running=engine_harness.running(*keys))
    harness.submit(
        engine_harness.job(
            "c" * 16,
            model.Step(1, engine_harness.WORKER),
            priority=0,
            account="no-guarantee",
        )
    )
    harness.clock.advance(reclaim.WAIT_FOR_ANY_LOSS_S)
    harness.observe(0, running=engine_harness.running(*keys))
    harness.engine.request_due_pass()
    harness.plan()
    harness.clock.advance(planner_lib.RETRY_INTERVAL_S * 0.9)
    harness.engine.request_due_pass()
    assert not harness.engine.needs_pass
    harness.clock.advance(planner_lib.RETRY_INTERVAL_S * 0.2)
    harness.engine.request_due_pass()
    assert harness.engine.needs_pass


def _count_preempted_runs(batch: model.Job, ran_s: float) -> int:
    """Returns how many of a batch job's runs an urgent job preempts.

    No guarantee covers the urgent job. The batch job has run for `ran_s`.
    """
    harness = engine_harness.EngineHarness(1)
    keys = [key for _, key in engine_harness.started(harness.submit(batch))]
    harness.observe(0, running=engine_harness.just_started(*keys))
    harness.clock.advance(ran_s)
    harness.observe(0, running=engine_harness.just_started(*keys))
    harness.engine.put_job(
        engine_harness.job(
            "c" * 16,
            model.Step(1, engine_harness.WORKER),
            priority=0,
            account="no-guarantee",
        )
    )
    for _ in range(3):
        harness.plan()
        harness.clock.advance(0.7)
        harness.observe(0, running=engine_harness.just_started(*keys))
    harness.record()
    return len(
        harness.observe(0, running=engine_harness.just_started(*keys)).stops
    )


def test_an_urgent_job_preempts_checkpointing_batch_runs_at_once() -> None:
    checkpointing = engine_harness.job(
        "b" * 16, model.Step(8, engine_harness.GPU, 300.0, checkpointing=True)
    )
    assert _count_preempted_runs(checkpointing, 90.0) == 8


def test_one_pass_preempts_for_all_tasks_of_an_urgent_job() -> None:
    harness = engine_harness.EngineHarness(3)
    checkpointing = model.Step(
        24, engine_harness.GPU, 300.0, checkpointing=True
    )
    keys_by_worker: dict[int, list[runs.RunKey]] = {}
    for number, key in engine_harness.started(
        harness.submit(engine_harness.job("b" * 16, checkpointing))
    ):
        keys_by_worker.setdefault(number, []).append(key)
    for number, keys in keys_by_worker.items():
        harness.observe(number, running=engine_harness.running(*keys))
    harness.engine.put_job(
        engine_harness.job(
            "c" * 16, model.Step(3, engine_harness.WORKER), priority=0
        )
    )
    harness.plan()
    harness.record()
    stops = [
        len(
            harness.observe(number, running=engine_harness.running(*keys)).stops
        )
        for number, keys in keys_by_worker.items()
    ]
    assert stops == [8, 8, 8]


def test_an_urgent_job_without_guarantee_spares_long_unsaved_runs() -> None:
    plain = engine_harness.job(
        "b" * 16, model.Step(8, engine_harness.GPU, 300.0)
    )
    assert _count_preempted_runs(plain, 90.0) == 0
    assert _count_preempted_runs(plain, 0.1) == 8


def test_an_urgent_job_without_guarantee_does_not_preempt_urgent_jobs() -> None:
    urgent = engine_harness.job(
        "b" * 16, model.Step(8, engine_harness.GPU, 1.0), priority=0
    )
    assert _count_preempted_runs(urgent, 0.0) == 0


def _stops_for_middle_queue(batch: model.Step) -> int:
    """Returns how many batch runs a whole-worker task of queue 1 stops."""
    harness = engine_harness.EngineHarness(1)
    submission = engine_harness.job("b" * 16, batch, priority=2)
    keys = [
        key for _, key in engine_harness.started(harness.submit(submission))
    ]
    harness.observe(0, running=engine_harness.running(*keys))
    harness.engine.put_job(
        engine_harness.job(
            "c" * 16, model.Step(1, engine_harness.WORKER), priority=1
        )
    )
    harness.plan()
    harness.record()
    return len(harness.observe(0, running=engine_harness.running(*keys)).stops)


# Guards against a wide task that waits for runs of less urgent jobs whose work
# is saved: issue 20.
def test_a_task_preempts_checkpointing_runs_of_less_urgent_queues() -> None:
    assert (
        _stops_for_middle_queue(
            model.Step(8, engine_harness.GPU, 300.0, checkpointing=True)
        )
        == 8
    )


def test_a_task_that_is_not_urgent_preempts_no_unsaved_runs() -> None:
    assert (
        _stops_for_middle_queue(model.Step(8, engine_harness.GPU, 300.0)) == 0
    )


# Guards against urgent runs that are discarded for another urgent job while
# runs of less urgent jobs could be: seen in issue 20.
def test_a_guaranteed_job_preempts_less_urgent_jobs_first() -> None:
    harness = engine_harness.EngineHarness(2)
    urgent = engine_harness.job(
        "b" * 16,
        model.Step(1, engine_harness.WORKER),
        priority=0,
        account="no-guarantee",
    )
    batch = engine_harness.job(
        "c" * 16, model.Step(1, engine_harness.WORKER, 30.0), priority=2
    )
    worker_by_key: dict[runs.RunKey, int] = {}

    def observe_all() -> None:
        for key, number in worker_by_key.items():
            harness.observe(number, running=engine_harness.just_started(key))

    # The batch run has discarded more work by then, as it is the older one.
    for submission in (batch, urgent):
        for number, key in engine_harness.started(harness.submit(submission)):
            worker_by_key[key] = number
        observe_all()
        harness.clock.advance(1.0)
    harness.engine.put_job(
        engine_harness.job(
            "d" * 16, model.Step(1, engine_harness.WORKER), priority=0
        )
    )
    for _ in range(4):
        observe_all()
        harness.plan()
        harness.clock.advance(0.7)
    assert harness.jobs_being_stopped() == {"c" * 16}


# Guards against a busy loop: what was left of a job's wait was smaller than
# the clock's resolution, so the pass asked for the next one without end.
def test_a_pass_that_is_requested_for_now_does_not_follow_at_once() -> None:
    harness = engine_harness.EngineHarness(1)
    now_s = harness.clock.monotonic()
    harness.engine.needs_pass = False
    harness.engine.passes.request_at(now_s + 1e-16)
    harness.engine.request_due_pass()
    assert not harness.engine.needs_pass
    assert harness.engine.passes.time_to_due_s > 0.0
    harness.clock.advance(pass_requests.MIN_PASS_INTERVAL_S - 1e-12)
    harness.engine.request_due_pass()
    assert harness.engine.needs_pass


def _stopped_for_a_gang(worked_s: float, waited_s: float) -> int:
    """Returns how many runs stop for an urgent gang of four whole workers.

    Each worker has a run that has worked for a time and saves nothing.
    """
    harness = engine_harness.EngineHarness(4)
    whole = model.Step(4, engine_harness.WORKER, 60.0)
    started = engine_harness.started(
        harness.submit(engine_harness.job("b" * 16, whole, account="other"))
    )

    def report() -> int:
        return sum(
            len(harness.observe(number, running=(listed,)).stops)
            for number, key in started
            for listed in engine_harness.just_started(key)
        )

    report()
    harness.clock.advance(worked_s)
    report()
    gang = model.Step(4, engine_harness.WORKER, 20.0, gang=True)
    harness.submit(
        engine_harness.job("c" * 16, gang, priority=0, account="other")
    )
    harness.clock.advance(waited_s)
    report()
    harness.plan()
    return report()


# Guards against urgent gangs that never start where workers are large: a fixed
# amount of work is a moment of one member there.
def test_a_wide_urgent_gang_may_discard_a_share_of_its_own_work() -> None:
    assert _stopped_for_a_gang(worked_s=4.0, waited_s=1.2) == 4
    assert _stopped_for_a_gang(worked_s=8.0, waited_s=1.2) == 0


# Guards against waste: work was thrown away for callers who had left.
@pytest.mark.parametrize(
    ("guaranteed", "in_time", "limit"),
    [
        (False, True, 600.0),
        (False, False, reclaim.SMALL_LOSS),
        # The guarantee holds however long the job has waited.
        (True, False, float("inf")),
    ],
)
def test_a_job_that_will_be_late_discards_no_unsaved_work(
    guaranteed: bool, in_time: bool, limit: float
) -> None:
    assert limit == reclaim.loss_limit(
        guaranteed=guaranteed, in_time=in_time, waited_s=30.0, work=2000.0
    )
