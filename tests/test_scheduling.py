"""Tests the scheduling engine with scripted agents, in virtual time."""

from __future__ import annotations

from typing import Any

import msgspec

from pimentobridge.core import clock as clock_lib
from pimentobridge.core import types
from pimentobridge.core.jobs import configuration
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import engine as engine_lib
from pimentobridge.core.scheduling import health
from pimentobridge.core.scheduling import occurrences
from pimentobridge.core.scheduling import orders as orders_lib
from pimentobridge.core.scheduling import planner as planner_lib
from pimentobridge.core.scheduling import reclaim
from pimentobridge.core.scheduling import stalls

MAX_LEASE_S = 6.0
SERVICE = "plans"
GPU = model.Resources(1000, 1000, 1)
WORKER = model.Resources(16_000, 16_000, 8)


def queue(priority: int = 1, attempts: int = 2) -> configuration.Queue:
    return configuration.Queue(
        name=f"queue-{priority}",
        hostname="host",
        prefix="/",
        service=SERVICE,
        priority=priority,
        max_attempts=attempts,
        stretch=2.0,
        objective_s=1.0,
        timeout_s=3.0,
    )


def job(
    name: str = "a" * 16,
    *steps: model.Step,
    priority: int = 1,
    account: str = "shop",
    **fields: Any,
) -> model.Job:
    return model.Job(
        id=types.JobId(name),
        queue=queue(priority),
        account=types.AccountName(account),
        spec="spec",
        steps=steps or (model.Step(1, GPU, 5.0),),
        submitted_ms=0,
        **fields,
    )


class EngineHarness:
    """An engine with simulated agents, whose reports the test supplies.

    The account "shop" has a guarantee of 8 accelerators, one whole worker.
    """

    def __init__(self, workers: int = 2) -> None:
        self.clock = clock_lib.ManualClock(100.0)
        self.revision = 0
        self.engine = self.new_engine()
        self.incarnations = [
            self.incarnation(number) for number in range(workers)
        ]
        self.observe_all()

    def new_engine(self) -> engine_lib.Engine:
        self.logged_events: list[str] = []
        engine = engine_lib.Engine(
            clock=self.clock,
            max_lease_s=MAX_LEASE_S,
            log=lambda message, **_: self.logged_events.append(message),
        )
        engine.configuration = configuration.JobConfiguration(
            version=1,
            queues_by_name={},
            services_by_name={},
            accounts_by_name={
                types.AccountName("shop"): configuration.ClientAccount(
                    types.AccountName("shop"), frozenset(), 8
                )
            },
            max_body_bytes=1000,
        )
        return engine

    def incarnation(
        self, number: int, started_ms: int = 1
    ) -> runs.WorkerIncarnation:
        return runs.WorkerIncarnation(
            key=runs.IncarnationKey(types.WorkerId(f"w{number}"), started_ms),
            service=SERVICE,
            data_centre=types.DataCentreName("dc"),
            rack=types.RackName(f"rack-{number // 2}"),
            labels=("a", f"rack-{number // 2}"),
            capacity=WORKER,
        )

    def observe(self, number: int, **lists: Any) -> runs.Instructions:
        self.engine.observe(
            types.Address(f"agent-{number}"),
            runs.Observation(self.incarnations[number], **lists),
        )
        key = self.incarnations[number].key
        worker = self.engine.workers_by_incarnation.get(key)
        if worker is None:
            return runs.Instructions(key)
        return orders_lib.instructions_for(worker, self.engine.jobs_by_id)

    def observe_all(self) -> list[runs.Instructions]:
        return [
            self.observe(number) for number in range(len(self.incarnations))
        ]

    def plan(self) -> None:
        self.engine.declare_lost()
        occurrences.open_due(self.engine, early_s=0.25, clock=self.clock)
        planner_lib.Planner(
            self.engine,
            clock=self.clock,
            log=lambda message, **_: self.logged_events.append(message),
        ).run()

    def jobs_being_stopped(self) -> set[str]:
        return {
            str(entry.tracked.id)
            for worker in self.engine.workers_by_incarnation.values()
            for entry in worker.entries_by_key.values()
            if entry.stop_requested
        }

    def record(self) -> None:
        for tracked in list(self.engine.dirty_by_id.values()):
            self.revision += 1
            self.engine.on_recorded(tracked.id, tracked.changes, self.revision)

    def submit(self, *jobs: model.Job) -> list[runs.Instructions]:
        for submission in jobs:
            self.engine.put_job(submission)
        self.plan()
        self.record()
        return self.observe_all()


def started(
    orders: list[runs.Instructions],
) -> list[tuple[int, runs.RunKey]]:
    return [
        (number, start.key)
        for number, instructions in enumerate(orders)
        for start in instructions.starts
    ]


def running(*keys: runs.RunKey) -> tuple[runs.RunningTask, ...]:
    return tuple(runs.RunningTask(key, "", 10) for key in keys)


def just_started(*keys: runs.RunKey) -> tuple[runs.RunningTask, ...]:
    return tuple(runs.RunningTask(key, "", 0) for key in keys)


def ended(
    key: runs.RunKey, cause: runs.EndCause, number: int = 1
) -> tuple[runs.EndedRun, ...]:
    return (runs.EndedRun(number, key, cause, ""),)


def test_a_start_is_sent_only_after_it_is_recorded() -> None:
    harness = EngineHarness()
    harness.engine.put_job(job())
    harness.plan()
    assert started(harness.observe_all()) == []
    harness.record()
    assert len(started(harness.observe_all())) == 1


def test_an_end_is_acknowledged_only_after_it_is_recorded() -> None:
    harness = EngineHarness()
    ((number, key),) = started(harness.submit(job()))
    instructions = harness.observe(number, ended=ended(key, runs.EndCause.DONE))
    assert instructions.acknowledged_end == 0
    harness.record()
    instructions = harness.observe(number, ended=ended(key, runs.EndCause.DONE))
    assert instructions.acknowledged_end == 1
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.state is progress_lib.JobState.COMPLETED


def test_a_silent_worker_keeps_its_runs_until_its_lease_has_expired() -> None:
    harness = EngineHarness(1)
    ((_, key),) = started(harness.submit(job()))
    harness.incarnations.append(harness.incarnation(1))
    harness.observe(1)
    silent_s = 0.0
    while silent_s < engine_lib.ORDER_VALIDITY_S + MAX_LEASE_S * 1.02:
        harness.plan()
        harness.record()
        assert started([harness.observe(1)]) == []
        harness.clock.advance(0.5)
        silent_s += 0.5
    harness.clock.advance(1.0)
    harness.plan()
    harness.record()
    ((_, restarted),) = started([harness.observe(1)])
    assert restarted == runs.RunKey(key.task, key.run + 1)


def test_a_new_incarnation_on_the_machine_releases_the_old_runs() -> None:
    harness = EngineHarness(1)
    started(harness.submit(job()))
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnation(0),
        key=runs.IncarnationKey(types.WorkerId("other"), 2),
    )
    harness.observe(0)
    harness.plan()
    harness.record()
    ((_, restarted),) = started(harness.observe_all())
    assert restarted.run == 2


def test_a_new_scheduler_detects_a_replaced_incarnation_by_its_agent() -> None:
    harness = EngineHarness(1)
    harness.submit(job())
    record = harness.engine.jobs_by_id[types.JobId("a" * 16)].progress
    harness.engine = harness.new_engine()
    harness.engine.put_job(job(), record, revision=5)
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnation(0),
        key=runs.IncarnationKey(types.WorkerId("other"), 2),
    )
    harness.observe(0)
    harness.plan()
    harness.record()
    ((_, restarted),) = started(harness.observe_all())
    assert restarted.run == 2


def test_a_new_scheduler_adopts_running_tasks() -> None:
    harness = EngineHarness()
    ((number, key),) = started(harness.submit(job()))
    record = harness.engine.jobs_by_id[types.JobId("a" * 16)].progress
    harness.engine = harness.new_engine()
    harness.engine.put_job(job(), record, revision=5)
    harness.observe(number, running=running(key))
    harness.plan()
    harness.record()
    assert started([harness.observe(number, running=running(key))]) == []
    assert harness.observe(number, running=running(key)).stops == ()


def test_a_new_scheduler_repeats_a_recorded_start_that_was_not_sent() -> None:
    harness = EngineHarness()
    ((number, key),) = started(harness.submit(job()))
    record = harness.engine.jobs_by_id[types.JobId("a" * 16)].progress
    harness.engine = harness.new_engine()
    harness.engine.put_job(job(), record, revision=5)
    harness.plan()
    harness.record()
    assert started([harness.observe(number)]) == [(0, key)]


def test_a_gang_starts_all_members_or_none() -> None:
    harness = EngineHarness(2)
    too_wide = job("b" * 16, model.Step(17, GPU, 5.0, gang=True))
    assert started(harness.submit(too_wide)) == []
    fitting = job("c" * 16, model.Step(16, GPU, 5.0, gang=True))
    orders = started(harness.submit(fitting))
    assert len(orders) == 16
    assert {key.run for _, key in orders} == {1}


def test_a_failed_gang_restarts_only_after_all_members_are_stopped() -> None:
    harness = EngineHarness(2)
    gang = job("b" * 16, model.Step(16, GPU, 5.0, gang=True))
    keys = [key for _, key in started(harness.submit(gang))]
    first, rest = keys[0], keys[1:8]
    harness.observe(
        0,
        running=running(*rest),
        ended=ended(first, runs.EndCause.FAILED),
    )
    harness.plan()
    harness.record()
    orders = harness.observe(
        0, running=running(*rest), ended=ended(first, runs.EndCause.FAILED)
    )
    assert orders.starts == ()
    assert set(orders.stops) == set(rest)


def test_a_same_rack_gang_waits_for_a_rack_with_enough_capacity() -> None:
    harness = EngineHarness(4)
    occupying = job("e" * 16, model.Step(1, WORKER, 1.0))
    first = job("d" * 16, model.Step(2, WORKER, 5.0, gang=True, same_rack=True))
    second = job(
        "f" * 16, model.Step(2, WORKER, 9.0, gang=True, same_rack=True)
    )
    ((occupied, _),) = started(harness.submit(occupying))
    orders = started(harness.submit(first, second))
    placed = {number for number, key in orders if key.task[0] == "d"}
    racks = {harness.incarnations[number].rack for number in placed}
    assert len(placed) == 2
    assert racks.isdisjoint({harness.incarnations[occupied].rack})
    assert not [key for _, key in orders if key.task[0] == "f"]


def test_a_job_fails_after_its_last_attempt() -> None:
    harness = EngineHarness()
    orders = started(harness.submit(job()))
    for attempt in (1, 2):
        ((number, key),) = orders
        assert key.run == attempt
        harness.observe(number, ended=ended(key, runs.EndCause.FAILED, attempt))
        harness.plan()
        harness.record()
        orders = started(harness.observe_all())
    assert orders == []
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.state is progress_lib.JobState.FAILED


def test_an_expired_lease_does_not_count_as_an_attempt() -> None:
    harness = EngineHarness(1)
    orders = started(harness.submit(job()))
    for attempt in (1, 2, 3):
        ((number, key),) = orders
        harness.observe(
            number, ended=ended(key, runs.EndCause.LEASE_EXPIRED, attempt)
        )
        harness.plan()
        harness.record()
        orders = started(harness.observe_all())
    assert orders[0][1].run == 4


def test_a_refused_run_is_retried_under_a_higher_number() -> None:
    harness = EngineHarness(1)
    ((_, key),) = started(harness.submit(job()))
    harness.observe(0, refused=(key,))
    harness.plan()
    assert started(harness.observe_all()) == []
    harness.clock.advance(health.REFUSAL_PAUSE_S)
    harness.observe_all()
    harness.plan()
    harness.record()
    ((_, restarted),) = started(harness.observe_all())
    assert restarted.run == key.run + 1


def test_an_end_takes_precedence_over_a_refusal_of_the_same_run() -> None:
    harness = EngineHarness(1)
    ((_, key),) = started(harness.submit(job()))
    harness.observe(0, ended=ended(key, runs.EndCause.DONE), refused=(key,))
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.state is progress_lib.JobState.COMPLETED


def test_a_gang_completes_its_job_only_once() -> None:
    harness = EngineHarness(1)
    gang = job("a" * 16, model.Step(2, GPU, 5.0, gang=True))
    keys = [key for _, key in started(harness.submit(gang))]
    harness.logged_events.clear()
    harness.observe(
        0,
        ended=tuple(
            runs.EndedRun(number + 1, key, runs.EndCause.DONE, "")
            for number, key in enumerate(keys)
        ),
    )
    assert harness.logged_events.count("job ended") == 1


def test_an_end_after_cancellation_leaves_the_job_cancelled() -> None:
    harness = EngineHarness(1)
    ((_, key),) = started(harness.submit(job()))
    harness.engine.put_job(msgspec.structs.replace(job(), cancelled=True))
    harness.observe(0, ended=ended(key, runs.EndCause.DONE))
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.state is progress_lib.JobState.CANCELLED


def test_a_cancelled_job_stops_its_runs_and_starts_no_more() -> None:
    harness = EngineHarness(1)
    many_tasks = job("a" * 16, model.Step(9, GPU, 5.0))
    keys = [key for _, key in started(harness.submit(many_tasks))]
    assert len(keys) == 8
    harness.engine.put_job(msgspec.structs.replace(many_tasks, cancelled=True))
    harness.plan()
    harness.record()
    instructions = harness.observe(0, running=running(*keys))
    assert set(instructions.stops) == set(keys)
    assert instructions.starts == ()


def test_later_steps_wait_for_earlier_ones() -> None:
    harness = EngineHarness(1)
    chain = job(
        "a" * 16,
        model.Step(2, GPU, 5.0),
        model.Step(1, GPU, 5.0, after=(0,)),
    )
    keys = [key for _, key in started(harness.submit(chain))]
    assert [key.task.split(".")[2] for key in keys] == ["0", "0"]
    harness.observe(0, ended=ended(keys[0], runs.EndCause.DONE))
    harness.plan()
    assert all(
        ".1." not in start.key.task for start in harness.observe(0).starts
    )


def test_max_per_worker_limits_the_tasks_of_a_step_on_a_worker() -> None:
    harness = EngineHarness(2)
    spread = job("a" * 16, model.Step(6, GPU, 5.0, max_per_worker=2))
    orders = started(harness.submit(spread))
    assert len(orders) == 4


def test_a_required_label_limits_tasks_to_workers_with_it() -> None:
    harness = EngineHarness(4)
    labelled = job("a" * 16, model.Step(3, GPU, 5.0, required_label="rack-1"))
    orders = started(harness.submit(labelled))
    assert {harness.incarnations[number].rack for number, _ in orders} == {
        "rack-1"
    }


def test_a_task_that_fits_no_worker_is_logged_once() -> None:
    harness = EngineHarness(1)
    huge = model.Step(1, model.Resources(1000, 1000, 9), 5.0)
    harness.submit(job("b" * 16, huge))
    harness.submit(job("c" * 16, model.Step(9, GPU, 5.0)))
    assert harness.logged_events.count("task fits no worker") == 1


def test_a_draining_worker_gets_no_new_tasks() -> None:
    harness = EngineHarness(2)
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0], draining=True
    )
    harness.observe(0)
    orders = started(harness.submit(job("a" * 16, model.Step(9, GPU, 5.0))))
    assert {number for number, _ in orders} == {1}


def test_checkpointing_runs_move_off_a_draining_worker() -> None:
    harness = EngineHarness(1)
    checkpointing = job("a" * 16, model.Step(1, GPU, 30.0, checkpointing=True))
    plain = job("b" * 16, model.Step(1, GPU, 30.0))
    keys = {
        key.task[0]: key
        for _, key in started(harness.submit(checkpointing, plain))
    }
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0], draining=True
    )
    instructions = harness.observe(0, running=running(*keys.values()))
    assert instructions.stops == (keys["a"],)


def _moved_members(estimate_s: float, leaves_in_s: float) -> list[int]:
    """Returns the workers of a gang that stop it when worker 0 drains."""
    harness = EngineHarness(2)
    gang = model.Step(2, WORKER, estimate_s, gang=True)
    orders = started(harness.submit(job("a" * 16, gang)))
    for number, key in orders:
        harness.observe(number, running=just_started(key))
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0], draining=True, leaves_in_s=leaves_in_s
    )
    return [
        number
        for number, key in sorted(orders)
        if harness.observe(number, running=just_started(key)).stops
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
    harness = EngineHarness(2)
    gang = model.Step(2, WORKER, 20.0, gang=True)
    (_, first), (_, second) = started(harness.submit(job("a" * 16, gang)))
    harness.observe(0, running=just_started(first))
    harness.observe(1, running=just_started(second))
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
    harness = EngineHarness(2)
    gang = model.Step(2, WORKER, 20.0, gang=True)
    (_, first), _ = started(harness.submit(job("a" * 16, gang)))
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0], draining=True, leaves_in_s=5.0
    )
    reported = runs.RunningTask(first, "", 90)
    assert not harness.observe(0, running=(reported,)).stops


def test_a_terminated_worker_releases_its_runs_at_once() -> None:
    harness = EngineHarness(2)
    ((number, key),) = started(harness.submit(job()))
    harness.observe(number, running=running(key), terminated=True)
    harness.plan()
    harness.record()
    ((_, restarted),) = started([harness.observe(1 - number)])
    assert restarted.run == 2


def test_a_guaranteed_job_preempts_others() -> None:
    harness = EngineHarness(1)
    batch = job("b" * 16, model.Step(8, GPU, 30.0))
    keys = [key for _, key in started(harness.submit(batch))]
    harness.observe(0, running=running(*keys))
    harness.clock.advance(10.0)
    harness.observe(0, running=running(*keys))
    harness.engine.put_job(
        job("c" * 16, model.Step(1, WORKER, 1.0), priority=0)
    )
    harness.plan()
    assert harness.observe(0, running=running(*keys)).stops == ()
    assert not harness.engine.needs_pass
    for waited_s in (
        reclaim.WAIT_FOR_LARGE_LOSS_S,
        reclaim.WAIT_FOR_ANY_LOSS_S - reclaim.WAIT_FOR_LARGE_LOSS_S,
    ):
        harness.clock.advance(waited_s)
        harness.engine.request_due_pass()
        assert harness.engine.needs_pass
        harness.observe(0, running=running(*keys))
        harness.plan()
    harness.record()
    assert set(harness.observe(0, running=running(*keys)).stops) == set(keys)
    ends = tuple(
        runs.EndedRun(number + 1, key, runs.EndCause.STOPPED, "")
        for number, key in enumerate(keys)
    )
    harness.observe(0, ended=ends)
    harness.plan()
    harness.record()
    instructions = harness.observe(0, ended=ends)
    assert [start.key.task[:16] for start in instructions.starts] == ["c" * 16]


# Guards against SHORT (issue 23): passes followed each other without a pause,
# as each job that couldn't preempt the others asked for the next one.
def test_a_job_that_can_never_preempt_requests_passes_at_an_interval() -> None:
    harness = EngineHarness(1)
    batch = job("b" * 16, model.Step(8, GPU, 300.0), account="no-guarantee")
    keys = [key for _, key in started(harness.submit(batch))]
    harness.observe(0, running=running(*keys))
    harness.clock.advance(100.0)
    harness.observe(0, running=running(*keys))
    harness.submit(
        job("c" * 16, model.Step(1, WORKER), priority=0, account="no-guarantee")
    )
    harness.clock.advance(reclaim.WAIT_FOR_ANY_LOSS_S)
    harness.observe(0, running=running(*keys))
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
    harness = EngineHarness(1)
    keys = [key for _, key in started(harness.submit(batch))]
    harness.observe(0, running=just_started(*keys))
    harness.clock.advance(ran_s)
    harness.observe(0, running=just_started(*keys))
    harness.engine.put_job(
        job("c" * 16, model.Step(1, WORKER), priority=0, account="no-guarantee")
    )
    for _ in range(3):
        harness.plan()
        harness.clock.advance(0.7)
        harness.observe(0, running=just_started(*keys))
    harness.record()
    return len(harness.observe(0, running=just_started(*keys)).stops)


def test_an_urgent_job_preempts_checkpointing_batch_runs_at_once() -> None:
    checkpointing = job("b" * 16, model.Step(8, GPU, 300.0, checkpointing=True))
    assert _count_preempted_runs(checkpointing, 90.0) == 8


def test_one_pass_preempts_for_all_tasks_of_an_urgent_job() -> None:
    harness = EngineHarness(3)
    checkpointing = model.Step(24, GPU, 300.0, checkpointing=True)
    keys_by_worker: dict[int, list[runs.RunKey]] = {}
    for number, key in started(harness.submit(job("b" * 16, checkpointing))):
        keys_by_worker.setdefault(number, []).append(key)
    for number, keys in keys_by_worker.items():
        harness.observe(number, running=running(*keys))
    harness.engine.put_job(job("c" * 16, model.Step(3, WORKER), priority=0))
    harness.plan()
    harness.record()
    stops = [
        len(harness.observe(number, running=running(*keys)).stops)
        for number, keys in keys_by_worker.items()
    ]
    assert stops == [8, 8, 8]


def test_an_urgent_job_without_guarantee_spares_long_unsaved_runs() -> None:
    plain = job("b" * 16, model.Step(8, GPU, 300.0))
    assert _count_preempted_runs(plain, 90.0) == 0
    assert _count_preempted_runs(plain, 0.1) == 8


def test_an_urgent_job_without_guarantee_does_not_preempt_urgent_jobs() -> None:
    urgent = job("b" * 16, model.Step(8, GPU, 1.0), priority=0)
    assert _count_preempted_runs(urgent, 0.0) == 0


# Guards against less urgent work that takes, task by task, what a wide task
# waits for: the shortfall of issue 20.
def test_less_urgent_tasks_do_not_take_what_a_wide_task_waits_for() -> None:
    harness = EngineHarness(2)
    batch = job("b" * 16, model.Step(12, GPU, 30.0), priority=2)
    keys_by_worker: dict[int, list[runs.RunKey]] = {0: [], 1: []}
    for number, key in started(harness.submit(batch)):
        keys_by_worker[number].append(key)
    assert sorted(len(keys) for keys in keys_by_worker.values()) == [4, 8]
    for number, keys in keys_by_worker.items():
        harness.observe(number, running=just_started(*keys))
    wide = job("c" * 16, model.Step(1, WORKER, 5.0), priority=1)
    more_batch = job("d" * 16, model.Step(9, GPU, 1.0), priority=2)
    names = [
        key.task[:16] for _, key in started(harness.submit(wide, more_batch))
    ]
    assert set(names) == {"b" * 16}
    half = next(n for n, keys in keys_by_worker.items() if len(keys) == 4)
    ends = tuple(
        runs.EndedRun(number + 1, key, runs.EndCause.DONE, "")
        for number, key in enumerate(keys_by_worker[half])
    )
    harness.observe(half, ended=ends)
    harness.plan()
    harness.record()
    starts = harness.observe(half, ended=ends).starts
    assert [start.key.task[:16] for start in starts] == ["c" * 16]


def _stops_for_middle_queue(batch: model.Step) -> int:
    """Returns how many batch runs a whole-worker task of queue 1 stops."""
    harness = EngineHarness(1)
    submission = job("b" * 16, batch, priority=2)
    keys = [key for _, key in started(harness.submit(submission))]
    harness.observe(0, running=running(*keys))
    harness.engine.put_job(job("c" * 16, model.Step(1, WORKER), priority=1))
    harness.plan()
    harness.record()
    return len(harness.observe(0, running=running(*keys)).stops)


# Guards against a wide task that waits for runs of less urgent jobs whose work
# is saved: issue 20.
def test_a_task_preempts_checkpointing_runs_of_less_urgent_queues() -> None:
    assert (
        _stops_for_middle_queue(model.Step(8, GPU, 300.0, checkpointing=True))
        == 8
    )


def test_a_task_that_is_not_urgent_preempts_no_unsaved_runs() -> None:
    assert _stops_for_middle_queue(model.Step(8, GPU, 300.0)) == 0


def test_tasks_of_the_same_queue_take_what_a_wide_task_waits_for() -> None:
    harness = EngineHarness(2)
    batch = job("b" * 16, model.Step(12, GPU, 30.0))
    harness.submit(batch)
    wide = job("c" * 16, model.Step(1, WORKER, 5.0))
    narrow = job("d" * 16, model.Step(4, GPU, 30.0))
    names = [key.task[:16] for _, key in started(harness.submit(wide, narrow))]
    assert names.count("d" * 16) == 4


# Guards against urgent runs that are discarded for another urgent job while
# runs of less urgent jobs could be: seen in issue 20.
def test_a_guaranteed_job_preempts_less_urgent_jobs_first() -> None:
    harness = EngineHarness(2)
    urgent = job(
        "b" * 16, model.Step(1, WORKER), priority=0, account="no-guarantee"
    )
    batch = job("c" * 16, model.Step(1, WORKER, 30.0), priority=2)
    worker_by_key: dict[runs.RunKey, int] = {}

    def observe_all() -> None:
        for key, number in worker_by_key.items():
            harness.observe(number, running=just_started(key))

    # The batch run has discarded more work by then, as it is the older one.
    for submission in (batch, urgent):
        for number, key in started(harness.submit(submission)):
            worker_by_key[key] = number
        observe_all()
        harness.clock.advance(1.0)
    harness.engine.put_job(job("d" * 16, model.Step(1, WORKER), priority=0))
    for _ in range(4):
        observe_all()
        harness.plan()
        harness.clock.advance(0.7)
    assert harness.jobs_being_stopped() == {"c" * 16}


# Guards against a job that uses up its attempts on the worker that has just
# failed it: seen on the grown site in issue 20.
def test_a_failed_task_is_retried_on_another_worker() -> None:
    harness = EngineHarness(2)
    [(number, key)] = started(harness.submit(job()))
    ends = ended(key, runs.EndCause.FAILED)
    harness.observe(number, ended=ends)
    harness.plan()
    harness.record()
    assert started([harness.observe(0), harness.observe(1)]) == [
        (1 - number, runs.RunKey(key.task, 2))
    ]


def test_a_worker_that_fails_several_jobs_is_ejected() -> None:
    harness = EngineHarness(1)
    first = job("a" * 16)
    second = job("b" * 16)
    keys = [key for _, key in started(harness.submit(first, second))]
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


def test_checkpoints_are_recorded_while_a_task_runs() -> None:
    harness = EngineHarness(1)
    checkpointing = job("a" * 16, model.Step(1, GPU, 30.0, checkpointing=True))
    ((_, key),) = started(harness.submit(checkpointing))
    harness.clock.advance(engine_lib.CHECKPOINT_RECORD_INTERVAL_S)
    harness.observe(0, running=(runs.RunningTask(key, "saved", 20),))
    harness.engine.record_checkpoints()
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.id in harness.engine.dirty_by_id
    stored = progress_lib.decode_progress(
        progress_lib.encode_progress(tracked.progress)
    )
    assert next(stored.units())[2].checkpoint == "saved"


def _count_stops(
    harness: EngineHarness, key: runs.RunKey, percents: list[int]
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
    harness = EngineHarness(1)
    ((_, key),) = started(harness.submit(job()))
    assert _count_stops(harness, key, [5, 10, 15] + [15] * 14) == 1


def test_a_run_at_100_percent_is_not_stalled() -> None:
    harness = EngineHarness(1)
    ((_, key),) = started(harness.submit(job()))
    assert _count_stops(harness, key, [50] + [100] * 20) == 0


def test_a_new_scheduler_counts_work_done_before_its_takeover() -> None:
    harness = EngineHarness(1)
    long = job("b" * 16, model.Step(8, GPU, 100.0))
    keys = [key for _, key in started(harness.submit(long))]
    record = harness.engine.jobs_by_id[types.JobId("b" * 16)].progress
    harness.engine = harness.new_engine()
    harness.engine.put_job(long, record, revision=5)
    reported = tuple(runs.RunningTask(key, "", 90) for key in keys)
    harness.observe(0, running=reported)
    harness.engine.put_job(
        job("c" * 16, model.Step(1, WORKER), priority=0, account="no-guarantee")
    )
    harness.plan()
    harness.record()
    assert harness.observe(0, running=reported).stops == ()


def test_a_slow_run_is_not_stalled() -> None:
    harness = EngineHarness(1)
    ((_, key),) = started(harness.submit(job()))
    slow = [number // 4 for number in range(60)]
    assert _count_stops(harness, key, slow) == 0


def test_a_long_running_task_is_restarted_however_it_ends() -> None:
    harness = EngineHarness(1)
    long_running_step = model.Step(1, GPU, 5.0, long_running=True)
    orders = harness.submit(job("b" * 16, long_running_step))
    causes = [runs.EndCause.FAILED] * 3 + [runs.EndCause.DONE]
    for number, cause in enumerate(causes, start=1):
        [(_, key)] = started(orders)
        assert key.run == number
        harness.observe(0, running=running(key))
        harness.observe(0, ended=ended(key, cause, number))
        harness.plan()
        harness.record()
        orders = harness.observe_all()
    [(_, key)] = started(orders)
    assert key.run == len(causes) + 1
    assert not harness.engine.jobs_by_id[types.JobId("b" * 16)].state.ended


def test_an_occurrence_starts_only_when_it_is_due() -> None:
    harness = EngineHarness(1)
    scheduled = job(
        "a" * 16, occurrences=2, first_due_ms=105_000, interval_ms=10_000
    )
    assert started(harness.submit(scheduled)) == []
    harness.clock.advance(5.0)
    harness.observe_all()
    harness.plan()
    harness.record()
    ((_, key),) = started(harness.observe_all())
    assert key.task == "a" * 16 + ".0.0.0"


def test_a_worker_whose_agent_stops_gets_no_new_tasks() -> None:
    harness = EngineHarness(1)
    harness.observe(0, agent_stopping=True)
    assert started(harness.submit(job())) == []
    harness.observe(0)
    assert len(started(harness.submit())) == 1


def _gang_on_two_workers() -> tuple[EngineHarness, list[runs.RunKey]]:
    """Starts a gang with one member on each of two workers."""
    harness = EngineHarness(2)
    whole = model.Step(2, WORKER, 5.0, gang=True)
    orders = started(harness.submit(job("a" * 16, whole)))
    return harness, [key for _, key in sorted(orders)]


# Guards against GANG (issue 23): the members waited until their time was over
# for one that couldn't start, as its worker had crashed.
def test_a_gang_is_stopped_if_a_member_can_not_start() -> None:
    harness, (first, _) = _gang_on_two_workers()
    harness.observe(0, running=just_started(first))
    harness.observe(1, reachable=False)
    assert harness.observe(0, running=just_started(first)).stops == (first,)


def test_a_gang_at_work_is_not_stopped_if_a_worker_is_unreachable() -> None:
    harness, (first, second) = _gang_on_two_workers()
    harness.observe(0, running=running(first))
    harness.observe(1, running=running(second))
    harness.observe(1, running=running(second), reachable=False)
    assert harness.observe(0, running=running(first)).stops == ()


# Guards against BUDGET (issue 23): the ends of a gang's other members came
# before the crash was reported, which then counted for none of its tasks.
def test_a_crash_counts_though_the_other_members_have_ended() -> None:
    harness, (first, second) = _gang_on_two_workers()
    harness.observe(1, running=just_started(second))
    harness.observe(0, ended=ended(first, runs.EndCause.GANG_BROKEN))
    crashed = harness.incarnations[1].key
    harness.incarnations[1] = harness.incarnation(1, started_ms=2)
    harness.observe(1, crashes=(runs.Crash(crashed, (second,)),))
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    (unit,) = [unit for _, _, unit in tracked.progress.units()]
    assert unit.crashed_on_by_member == {1: [types.Address("agent-1")]}
