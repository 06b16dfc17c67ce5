"""Evacuations of data centres in the scheduler's state.

The load is that of the address look-up deployment: gangs, tasks that
checkpoint and long-running tasks, while the operator evacuates a data centre.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from pimentobridge.core import types
from pimentobridge.core.jobs import configuration
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import departures
from pimentobridge.core.scheduling import placement
from pimentobridge.testing import engine_harness

EVACUATED = types.DataCentreName("north-a")


def _harness(workers: int = 2) -> engine_harness.EngineHarness:
    """Returns a harness whose worker 0 is in the data centre `EVACUATED`."""
    harness = engine_harness.EngineHarness(workers)
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0], data_centre=EVACUATED
    )
    harness.observe_all()
    return harness


def _evacuate(harness: engine_harness.EngineHarness) -> None:
    harness.engine.set_evacuations({EVACUATED: 7})


def _job(name: str, count: int = 1, **fields: Any) -> model.Job:
    step = model.Step(count, engine_harness.WORKER, 30.0, **fields)
    return engine_harness.job(name * 16, step)


# Guards against starts there 5.5 s and more after the request.
def test_nothing_is_placed_in_an_evacuated_data_centre() -> None:
    harness = _harness()
    _evacuate(harness)
    jobs = [_job("a"), _job("b")]
    orders = engine_harness.started(harness.submit(*jobs))
    assert [number for number, _ in orders] == [1]
    harness.engine.set_evacuations({})
    assert {n for n, _ in engine_harness.started(harness.submit())} == {0, 1}


def test_a_start_that_was_not_carried_out_is_withdrawn() -> None:
    harness = _harness(1)
    ((_, key),) = engine_harness.started(harness.submit(_job("a")))
    _evacuate(harness)
    # The orders change at once, before the next report.
    assert harness.jobs_being_stopped() == {"a" * 16}
    instructions = harness.observe(0)
    assert (instructions.starts, instructions.stops) == ((), (key,))
    # It waits again only once the worker has confirmed that it never runs.
    harness.incarnations.append(harness.incarnation(1))
    harness.observe(1)
    assert engine_harness.started(harness.submit()) == []
    harness.observe(0, stop_confirmed=(key,))
    orders = engine_harness.started(harness.submit())
    assert [(number, run.run) for number, run in orders] == [(1, key.run + 1)]


def test_a_new_scheduler_withdraws_what_the_last_one_ordered() -> None:
    harness = _harness(1)
    job = _job("a")
    harness.submit(job)
    progress = harness.engine.jobs_by_id[job.id].progress
    harness.engine = harness.new_engine()
    harness.engine.put_job(job, progress, revision=1)
    _evacuate(harness)
    instructions = harness.observe(0)
    assert not instructions.starts
    assert len(instructions.stops) == 1


# Guards against stops of all tasks of a service, which count as not started if
# an error has ended the processing of their worker's report.
def test_what_runs_is_not_withdrawn_after_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = _harness(1)
    service = model.Step(
        2, engine_harness.GPU, long_running=True, max_unavailable=1
    )
    orders = harness.submit(engine_harness.job("a" * 16, service))
    keys = [key for _, key in engine_harness.started(orders)]
    running = engine_harness.running(*keys)

    def fail(*_: object) -> None:
        raise RuntimeError("unexpected")

    monkeypatch.setattr(harness.engine, "_update_running", fail)
    with pytest.raises(RuntimeError, match="unexpected"):
        harness.observe(0, running=running)
    _evacuate(harness)
    assert not harness.observe(0, running=running).stops


def test_a_gang_is_withdrawn_as_a_whole() -> None:
    harness = _harness(2)
    gang = _job("a", 2, gang=True)
    (_, first), (_, second) = engine_harness.started(harness.submit(gang))
    _evacuate(harness)
    assert harness.observe(0).stops == (first,)
    waiting = engine_harness.just_started(second)
    assert harness.observe(1, running=waiting).stops == (second,)


def _stopped(harness: engine_harness.EngineHarness, job: model.Job) -> bool:
    """Returns whether an evacuation stops a job that runs on worker 0.

    The other workers join once it runs there.
    """
    joining = harness.incarnations[1:]
    del harness.incarnations[1:]
    for worker in joining:
        harness.engine.workers_by_incarnation.pop(worker.key)
    ((_, key),) = engine_harness.started(harness.submit(job))
    running = engine_harness.running(key)
    harness.observe(0, running=running)
    harness.incarnations += joining
    for number in range(1, len(harness.incarnations)):
        harness.observe(number)
    _evacuate(harness)
    harness.plan()
    return harness.observe(0, running=running).stops == (key,)


def test_only_runs_that_checkpoint_and_fit_elsewhere_are_moved() -> None:
    assert _stopped(_harness(2), _job("a", checkpointing=True))
    assert not _stopped(_harness(1), _job("a", checkpointing=True))
    assert not _stopped(_harness(2), _job("a"))
    lasting = _job("a", checkpointing=True, long_running=True)
    assert not _stopped(_harness(2), lasting)
    # `mayMiss` limits how many tasks of the step may be away at a time.
    limited = _job("a", checkpointing=True, max_unavailable=1)
    assert not _stopped(_harness(2), limited)


# Guards against runs that never move as the policy's tickets have expired.
def test_the_policy_is_asked_where_a_run_may_go() -> None:
    policy = configuration.AdvicePolicy(0.1, 0.1, 3.0)
    queue = msgspec.structs.replace(engine_harness.queue(), advice=policy)
    harness = _harness(1)
    job = _job("a", checkpointing=True)
    ((_, key),) = engine_harness.started(harness.submit(job))
    harness.engine.jobs_by_id[job.id].job = msgspec.structs.replace(
        job, queue=queue
    )
    harness.observe(0, running=engine_harness.running(key))
    harness.incarnations.append(harness.incarnation(1))
    harness.observe(1)
    _evacuate(harness)
    harness.plan()
    question = harness.engine.advice.next_question(
        harness.engine.placeable_workers(), harness.clock.monotonic()
    )
    assert question is not None
    assert question.incarnations == (harness.incarnations[1].key,)


def test_no_more_runs_are_stopped_than_fit_elsewhere() -> None:
    harness = _harness(1)
    half = model.Resources(8_000, 8_000, 4)
    step = model.Step(2, half, 30.0, checkpointing=True)
    orders = harness.submit(engine_harness.job("a" * 16, step))
    keys = [key for _, key in engine_harness.started(orders)]
    running = engine_harness.running(*keys)
    harness.observe(0, running=running)
    small = msgspec.structs.replace(harness.incarnation(1), capacity=half)
    harness.incarnations.append(small)
    harness.observe(1)
    _evacuate(harness)
    harness.plan()
    harness.plan()
    assert len(harness.observe(0, running=running).stops) == 1


# Guards against passes that search the whole fleet again for each of the many
# tasks that a full fleet has no room for.
def test_room_for_the_tasks_of_a_step_is_sought_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = _harness(1)
    step = model.Step(8, engine_harness.GPU, 30.0, checkpointing=True)
    orders = harness.submit(engine_harness.job("a" * 16, step))
    keys = [key for _, key in engine_harness.started(orders)]
    harness.observe(0, running=engine_harness.running(*keys))
    _evacuate(harness)
    searches = 0
    place = placement.place

    def counted(*args: Any, **kwargs: Any) -> Any:
        nonlocal searches
        searches += 1
        return place(*args, **kwargs)

    monkeypatch.setattr(placement, "place", counted)
    harness.plan()
    assert searches == 1


# Guards against runs that are stopped and then wait, because less urgent work
# takes the room elsewhere during the stop.
def test_room_for_a_migrated_run_is_held_from_less_urgent_jobs() -> None:
    harness = _harness(1)
    job = _job("a", checkpointing=True)
    ((_, key),) = engine_harness.started(harness.submit(job))
    running = engine_harness.running(key)
    harness.observe(0, running=running)
    harness.incarnations.append(harness.incarnation(1))
    harness.observe(1)
    _evacuate(harness)
    harness.plan()
    assert harness.observe(0, running=running).stops == (key,)
    batch = engine_harness.job(
        "b" * 16, model.Step(1, engine_harness.WORKER, 30.0), priority=2
    )
    harness.engine.put_job(batch)
    harness.plan()
    harness.record()
    harness.observe(0, ended=engine_harness.ended(key, runs.EndCause.STOPPED))
    harness.plan()
    harness.record()
    assert [start.key.task for start in harness.observe(1).all_starts] == [
        key.task
    ]


# Guards against gangs that are moved twice: during a rolling update, the room
# elsewhere may be on workers that are replaced next.
def test_a_gang_is_not_migrated_to_workers_that_are_replaced_next() -> None:
    harness = _harness(1)
    harness.incarnations[0] = msgspec.structs.replace(
        harness.incarnations[0], version="v2"
    )
    gang = _job("a", gang=True, checkpointing=True)
    ((_, key),) = engine_harness.started(harness.submit(gang))
    running = engine_harness.running(key)
    for number in (1, 2):
        older = msgspec.structs.replace(
            harness.incarnation(number, started_ms=0), version="v1"
        )
        harness.incarnations.append(older)
        harness.observe(number)
    harness.incarnations[2] = msgspec.structs.replace(
        harness.incarnations[2], draining=True, leaves_in_s=4.0
    )
    harness.observe(0, running=running)
    harness.observe(2)
    _evacuate(harness)
    harness.plan()
    assert not harness.observe(0, running=running).stops
    harness.clock.advance(departures.UPDATE_WINDOW_S)
    harness.observe(1)
    harness.plan()
    assert harness.observe(0, running=running).stops == (key,)


def test_a_data_centre_without_workers_is_logged_once() -> None:
    harness = engine_harness.EngineHarness(1)
    event = "evacuated data centre has no workers"
    _evacuate(harness)
    assert harness.engine.evacuations.gauges() == {"evacuated_data_centres": 1}
    for _ in range(3):
        harness.engine.log_unmatched_evacuations()
        harness.clock.advance(2.0)
    assert harness.logged_events.count(event) == 1
    # Workers that join later get nothing.
    joined = msgspec.structs.replace(
        harness.incarnation(1), data_centre=EVACUATED
    )
    harness.incarnations.append(joined)
    harness.observe_all()
    placeable = [worker.key for worker in harness.engine.placeable_workers()]
    assert placeable == [harness.incarnations[0].key]
    harness.engine.set_evacuations({})
    assert harness.logged_events.count("evacuation in force") == 1
    assert harness.logged_events.count("evacuation ended") == 1
