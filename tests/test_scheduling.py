"""The scheduler's state against scripted agents, in virtual time."""

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
    """An engine with agents whose reports the test writes."""

    def __init__(self, workers: int = 2) -> None:
        self.clock = clock_lib.ManualClock(100.0)
        self.revision = 0
        self.engine = self.new_engine()
        self.incarnations = [
            self.incarnation(number) for number in range(workers)
        ]
        self.observe_all()

    def new_engine(self) -> engine_lib.Engine:
        self.lines: list[str] = []
        engine = engine_lib.Engine(
            clock=self.clock,
            max_lease_s=MAX_LEASE_S,
            log=lambda message, **_: self.lines.append(message),
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
        self.engine.open_due_occurrences(0.25)
        planner_lib.Planner(
            self.engine,
            clock=self.clock,
            log=lambda message, **_: self.lines.append(message),
        ).run()

    def record(self) -> None:
        for tracked in list(self.engine.dirty_by_id.values()):
            self.revision += 1
            self.engine.on_recorded(tracked.id, tracked.changes, self.revision)

    def submit(self, *jobs: model.Job) -> list[runs.Instructions]:
        for item in jobs:
            self.engine.put_job(item)
        self.plan()
        self.record()
        return self.observe_all()


def started(
    orders: list[runs.Instructions],
) -> list[tuple[int, runs.RunKey]]:
    return [
        (number, start.key)
        for number, order in enumerate(orders)
        for start in order.starts
    ]


def running(*keys: runs.RunKey) -> tuple[runs.RunningTask, ...]:
    return tuple(runs.RunningTask(key, "", 10) for key in keys)


def just_begun(*keys: runs.RunKey) -> tuple[runs.RunningTask, ...]:
    return tuple(runs.RunningTask(key, "", 0) for key in keys)


def ended(
    key: runs.RunKey, cause: runs.EndCause, number: int = 1
) -> tuple[runs.EndedRun, ...]:
    return (runs.EndedRun(number, key, cause, ""),)


def test_a_start_leaves_only_after_its_record() -> None:
    harness = EngineHarness()
    harness.engine.put_job(job())
    harness.plan()
    assert started(harness.observe_all()) == []
    harness.record()
    assert len(started(harness.observe_all())) == 1


def test_an_end_is_recorded_before_the_worker_may_forget_it() -> None:
    harness = EngineHarness()
    ((number, key),) = started(harness.submit(job()))
    order = harness.observe(number, ended=ended(key, runs.EndCause.DONE))
    assert order.seen == 0
    harness.record()
    order = harness.observe(number, ended=ended(key, runs.EndCause.DONE))
    assert order.seen == 1
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.state is progress_lib.JobState.COMPLETED


def test_a_silent_worker_keeps_its_runs_until_its_lease_is_over() -> None:
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
    ((_, again),) = started([harness.observe(1)])
    assert again == runs.RunKey(key.task, key.run + 1)


def test_a_new_life_on_the_machine_frees_its_runs_at_once() -> None:
    harness = EngineHarness(1)
    started(harness.submit(job()))
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnation(0),
        key=runs.IncarnationKey(types.WorkerId("other"), 2),
    )
    harness.observe(0)
    harness.plan()
    harness.record()
    ((_, again),) = started(harness.observe_all())
    assert again.run == 2


def test_a_successor_knows_by_machine_that_a_life_was_replaced() -> None:
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
    ((_, again),) = started(harness.observe_all())
    assert again.run == 2


def test_a_successor_adopts_what_runs() -> None:
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


def test_a_successor_repeats_a_start_that_was_recorded_but_not_sent() -> None:
    harness = EngineHarness()
    ((number, key),) = started(harness.submit(job()))
    record = harness.engine.jobs_by_id[types.JobId("a" * 16)].progress
    harness.engine = harness.new_engine()
    harness.engine.put_job(job(), record, revision=5)
    harness.plan()
    harness.record()
    assert started([harness.observe(number)]) == [(0, key)]


def test_a_gang_starts_whole_or_not_at_all() -> None:
    harness = EngineHarness(2)
    wide = job("b" * 16, model.Step(17, GPU, 5.0, gang=True))
    assert started(harness.submit(wide)) == []
    fitting = job("c" * 16, model.Step(16, GPU, 5.0, gang=True))
    orders = started(harness.submit(fitting))
    assert len(orders) == 16
    assert {key.run for _, key in orders} == {1}


def test_a_gang_waits_until_no_member_can_be_at_work() -> None:
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


def test_a_gang_of_one_rack_waits_for_a_rack() -> None:
    harness = EngineHarness(4)
    one = job("e" * 16, model.Step(1, WORKER, 1.0))
    narrow = job(
        "d" * 16, model.Step(2, WORKER, 5.0, gang=True, same_rack=True)
    )
    wide = job("f" * 16, model.Step(2, WORKER, 9.0, gang=True, same_rack=True))
    ((taken, _),) = started(harness.submit(one))
    orders = started(harness.submit(narrow, wide))
    placed = {number for number, key in orders if key.task[0] == "d"}
    racks = {harness.incarnations[number].rack for number in placed}
    assert len(placed) == 2
    assert racks.isdisjoint({harness.incarnations[taken].rack})
    assert not [key for _, key in orders if key.task[0] == "f"]


def test_a_job_fails_after_its_attempts() -> None:
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


def test_a_lapse_is_no_attempt() -> None:
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


def test_a_refused_run_gets_a_higher_number() -> None:
    harness = EngineHarness(1)
    ((_, key),) = started(harness.submit(job()))
    harness.observe(0, refused=(key,))
    harness.plan()
    assert started(harness.observe_all()) == []
    harness.clock.advance(health.REFUSAL_PAUSE_S)
    harness.observe_all()
    harness.plan()
    harness.record()
    ((_, again),) = started(harness.observe_all())
    assert again.run == key.run + 1


def test_an_end_goes_before_a_refusal_of_the_same_run() -> None:
    harness = EngineHarness(1)
    ((_, key),) = started(harness.submit(job()))
    harness.observe(0, ended=ended(key, runs.EndCause.DONE), refused=(key,))
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.state is progress_lib.JobState.COMPLETED


def test_a_gang_ends_its_job_once() -> None:
    harness = EngineHarness(1)
    gang = job("a" * 16, model.Step(2, GPU, 5.0, gang=True))
    keys = [key for _, key in started(harness.submit(gang))]
    harness.lines.clear()
    harness.observe(
        0,
        ended=tuple(
            runs.EndedRun(number + 1, key, runs.EndCause.DONE, "")
            for number, key in enumerate(keys)
        ),
    )
    assert harness.lines.count("job ended") == 1


def test_an_end_after_the_cancel_leaves_the_job_cancelled() -> None:
    harness = EngineHarness(1)
    ((_, key),) = started(harness.submit(job()))
    harness.engine.put_job(msgspec.structs.replace(job(), cancelled=True))
    harness.observe(0, ended=ended(key, runs.EndCause.DONE))
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.state is progress_lib.JobState.CANCELLED


def test_a_cancelled_job_is_stopped_and_starts_nothing() -> None:
    harness = EngineHarness(1)
    two = job("a" * 16, model.Step(9, GPU, 5.0))
    keys = [key for _, key in started(harness.submit(two))]
    assert len(keys) == 8
    harness.engine.put_job(msgspec.structs.replace(two, cancelled=True))
    harness.plan()
    harness.record()
    order = harness.observe(0, running=running(*keys))
    assert set(order.stops) == set(keys)
    assert order.starts == ()


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


def test_at_most_so_many_tasks_of_a_step_go_to_a_worker() -> None:
    harness = EngineHarness(2)
    spread = job("a" * 16, model.Step(6, GPU, 5.0, max_per_worker=2))
    orders = started(harness.submit(spread))
    assert len(orders) == 4


def test_a_label_binds_tasks_to_workers_that_have_it() -> None:
    harness = EngineHarness(4)
    bound = job("a" * 16, model.Step(3, GPU, 5.0, required_label="rack-1"))
    orders = started(harness.submit(bound))
    assert {harness.incarnations[number].rack for number, _ in orders} == {
        "rack-1"
    }


def test_a_task_that_fits_no_worker_is_named_once() -> None:
    harness = EngineHarness(1)
    huge = model.Step(1, model.Resources(1000, 1000, 9), 5.0)
    harness.submit(job("b" * 16, huge))
    harness.submit(job("c" * 16, model.Step(9, GPU, 5.0)))
    assert harness.lines.count("task fits no worker") == 1


def test_a_draining_worker_gets_nothing() -> None:
    harness = EngineHarness(2)
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0], draining=True
    )
    harness.observe(0)
    orders = started(harness.submit(job("a" * 16, model.Step(9, GPU, 5.0))))
    assert {number for number, _ in orders} == {1}


def test_saved_work_moves_off_a_draining_worker() -> None:
    harness = EngineHarness(1)
    saving = job("a" * 16, model.Step(1, GPU, 30.0, checkpointing=True))
    plain = job("b" * 16, model.Step(1, GPU, 30.0))
    keys = {
        key.task[0]: key for _, key in started(harness.submit(saving, plain))
    }
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0], draining=True
    )
    order = harness.observe(0, running=running(*keys.values()))
    assert order.stops == (keys["a"],)


def test_a_worker_that_left_frees_its_runs_at_once() -> None:
    harness = EngineHarness(2)
    ((number, key),) = started(harness.submit(job()))
    harness.observe(number, running=running(key), terminated=True)
    harness.plan()
    harness.record()
    ((other, again),) = started([harness.observe(1 - number)])
    assert again.run == 2


def test_a_guaranteed_job_displaces_others() -> None:
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
    assert harness.engine.needs_pass
    harness.clock.advance(reclaim.WAIT_FOR_ANY_LOSS_S)
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
    order = harness.observe(0, ended=ends)
    assert [start.key.task[:16] for start in order.starts] == ["c" * 16]


def _stops_for_an_urgent_job(batch: model.Job, ran_s: float) -> int:
    """Returns how many runs of a batch job an unguaranteed job displaces."""
    harness = EngineHarness(1)
    keys = [key for _, key in started(harness.submit(batch))]
    harness.observe(0, running=just_begun(*keys))
    harness.clock.advance(ran_s)
    harness.observe(0, running=just_begun(*keys))
    harness.engine.put_job(
        job("c" * 16, model.Step(1, WORKER), priority=0, account="stranger")
    )
    for _ in range(3):
        harness.plan()
        harness.clock.advance(0.7)
        harness.observe(0, running=just_begun(*keys))
    harness.record()
    return len(harness.observe(0, running=just_begun(*keys)).stops)


def test_an_urgent_job_never_waits_behind_saved_batch_work() -> None:
    saved = job("b" * 16, model.Step(8, GPU, 300.0, checkpointing=True))
    assert _stops_for_an_urgent_job(saved, 90.0) == 8


def test_room_for_all_tasks_of_an_urgent_job_is_made_at_once() -> None:
    harness = EngineHarness(3)
    saved = model.Step(24, GPU, 300.0, checkpointing=True)
    by_worker: dict[int, list[runs.RunKey]] = {}
    for number, key in started(harness.submit(job("b" * 16, saved))):
        by_worker.setdefault(number, []).append(key)
    for number, keys in by_worker.items():
        harness.observe(number, running=running(*keys))
    harness.engine.put_job(job("c" * 16, model.Step(3, WORKER), priority=0))
    harness.plan()
    harness.record()
    stops = [
        len(harness.observe(number, running=running(*keys)).stops)
        for number, keys in by_worker.items()
    ]
    assert stops == [8, 8, 8]


def test_an_urgent_job_without_guarantee_spares_much_unsaved_work() -> None:
    unsaved = job("b" * 16, model.Step(8, GPU, 300.0))
    assert _stops_for_an_urgent_job(unsaved, 90.0) == 0
    assert _stops_for_an_urgent_job(unsaved, 0.1) == 8


def test_an_urgent_job_without_guarantee_spares_other_urgent_jobs() -> None:
    urgent = job("b" * 16, model.Step(8, GPU, 1.0), priority=0)
    assert _stops_for_an_urgent_job(urgent, 0.0) == 0


def test_a_worker_that_fails_several_jobs_is_left_out() -> None:
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
    assert "worker ejected" in harness.lines


def test_checkpoints_are_recorded_while_a_task_runs() -> None:
    harness = EngineHarness(1)
    saving = job("a" * 16, model.Step(1, GPU, 30.0, checkpointing=True))
    ((_, key),) = started(harness.submit(saving))
    harness.clock.advance(engine_lib.CHECKPOINT_RECORD_INTERVAL_S)
    harness.observe(0, running=(runs.RunningTask(key, "saved", 20),))
    harness.engine.record_checkpoints()
    tracked = harness.engine.jobs_by_id[types.JobId("a" * 16)]
    assert tracked.id in harness.engine.dirty_by_id
    stored = progress_lib.decode_progress(
        progress_lib.encode_progress(tracked.progress)
    )
    assert next(stored.units())[2].checkpoint == "saved"


def _percents(
    harness: EngineHarness, key: runs.RunKey, percents: list[int]
) -> int:
    """Lists a run twice a second; returns how many stops that brings."""
    watch = stalls.StallDetector(
        harness.engine, clock=harness.clock, log=lambda *_, **__: None
    )
    for percent in percents:
        harness.clock.advance(0.5)
        harness.observe(0, running=(runs.RunningTask(key, "", percent),))
        watch.run()
    row = (runs.RunningTask(key, "", percents[-1]),)
    return len(harness.observe(0, running=row).stops)


def test_a_run_that_stands_still_is_moved() -> None:
    harness = EngineHarness(1)
    ((_, key),) = started(harness.submit(job()))
    assert _percents(harness, key, [5, 10, 15] + [15] * 14) == 1


def test_a_member_that_has_done_its_part_is_left_alone() -> None:
    harness = EngineHarness(1)
    ((_, key),) = started(harness.submit(job()))
    assert _percents(harness, key, [50] + [100] * 20) == 0


def test_a_successor_counts_the_work_from_before_its_term() -> None:
    harness = EngineHarness(1)
    long = job("b" * 16, model.Step(8, GPU, 100.0))
    keys = [key for _, key in started(harness.submit(long))]
    record = harness.engine.jobs_by_id[types.JobId("b" * 16)].progress
    harness.engine = harness.new_engine()
    harness.engine.put_job(long, record, revision=5)
    rows = tuple(runs.RunningTask(key, "", 90) for key in keys)
    harness.observe(0, running=rows)
    harness.engine.put_job(
        job("c" * 16, model.Step(1, WORKER), priority=0, account="stranger")
    )
    harness.plan()
    harness.record()
    assert harness.observe(0, running=rows).stops == ()


def test_a_slow_run_is_left_alone() -> None:
    harness = EngineHarness(1)
    ((_, key),) = started(harness.submit(job()))
    slow = [number // 4 for number in range(60)]
    assert _percents(harness, key, slow) == 0


def test_a_lasting_task_starts_again_however_it_ends() -> None:
    harness = EngineHarness(1)
    lasting = model.Step(1, GPU, 5.0, long_running=True)
    orders = harness.submit(job("b" * 16, lasting))
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


def test_an_occurrence_waits_for_its_time() -> None:
    harness = EngineHarness(1)
    timed = job(
        "a" * 16, occurrences=2, first_due_ms=105_000, interval_ms=10_000
    )
    assert started(harness.submit(timed)) == []
    harness.clock.advance(5.0)
    harness.observe_all()
    harness.plan()
    harness.record()
    ((_, key),) = started(harness.observe_all())
    assert key.task == "a" * 16 + ".0.0.0"
