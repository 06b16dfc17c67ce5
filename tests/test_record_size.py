"""Records whose size callers set, by the number of tasks or occurrences."""

from __future__ import annotations

import base64
import json
from typing import Any

import msgspec
import pytest
import trio

from pimentobridge.core import decoding
from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import record_size
from pimentobridge.daemons import keys
from pimentobridge.lab import callers
from pimentobridge.lab import scenario
from pimentobridge.lab import world as world_lib
from pimentobridge.testing import engine_harness

MAX_VALUE_BYTES = 64 * 1024
FOLLOW_S = 25.0
SMALL = model.Resources(10, 10, 0)
SMALL_STEP = {"cpu": 10, "memMb": 10, "estimateMs": 1000}
SPEC = json.dumps({"seconds": 1.0, "request": [10, 10, 0]})
PATH = f"/queue-0/{'b' * 16}"
WORKER = types.WorkerId("i-0a000000000000000")
AGENT = types.Address("tcp://10.200.130.17:7000")


def _place_all(job: model.Job, failures: int) -> progress_lib.Progress:
    """Returns progress with every task placed, after some failures each."""
    progress = progress_lib.Progress(
        progress_lib.JobState.RUNNING, {0: progress_lib.new_occurrence(job)}
    )
    for _, _, unit in progress.units():
        unit.status = progress_lib.UnitStatus.ACTIVE
        unit.run = unit.counted_run = 300
        unit.failures = failures
        unit.checkpoint = "00000bb87a21d94b"
        unit.placements = [
            progress_lib.Placement(WORKER, 1_796_592_315_694, AGENT)
            for _ in range(unit.size)
        ]
        for number in range(failures):
            unit.note_failure_on(types.WorkerId(f"{WORKER[:-2]}{number:02}"))
    return progress


# Guards against LOST (issue 48, review/7 and 8): an accepted job whose record
# the store refuses; tasks that last may fail any number of times.
@pytest.mark.parametrize(
    ("long_running", "failures"), [(False, 1), (True, 1000)]
)
def test_the_record_of_the_largest_accepted_job_fits_into_the_store(
    failures: int, *, long_running: bool
) -> None:
    limit = record_size.DEFAULT_MAX_BYTES
    each = (
        record_size.LASTING_TASK_BYTES
        if long_running
        else record_size.TASK_BYTES
    )
    count = (limit - record_size.OVERHEAD_BYTES) // each

    def job_of(tasks: int) -> model.Job:
        step = model.Step(tasks, SMALL, long_running=long_running)
        return engine_harness.job("a" * 16, step)

    assert record_size.problem_in(job_of(count), limit) == ""
    assert f"{count + 1} tasks" in record_size.problem_in(
        job_of(count + 1), limit
    )
    progress = _place_all(job_of(count), failures)
    # Also before it is compressed.
    assert len(msgspec.msgpack.encode(progress)) <= limit


def test_large_progress_is_compressed_and_read_again() -> None:
    job = engine_harness.job("a" * 16, model.Step(8000, SMALL))
    progress = _place_all(job, 1)
    record = progress_lib.encode_progress(progress)
    assert len(record) < len(msgspec.msgpack.encode(progress)) / 5
    assert progress_lib.decode_progress(record, job) == progress
    for malformed in (record[:-5], record[:1] + b"?" + record[2:]):
        with pytest.raises(decoding.MalformedError):
            progress_lib.decode_progress(malformed, job)


def test_a_record_that_decompresses_to_too_much_is_malformed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    job = engine_harness.job("a" * 16, model.Step(8000, SMALL))
    record = progress_lib.encode_progress(_place_all(job, 1))
    monkeypatch.setattr(progress_lib, "MAX_PROGRESS_BYTES", 10_000)
    with pytest.raises(decoding.MalformedError, match="too long"):
        progress_lib.decode_progress(record, job)


def _run(play: Any) -> Any:
    return scenario.run(play, max_value_bytes=MAX_VALUE_BYTES)


async def _follow_another_job(world: world_lib.World) -> str:
    """Returns the last state of a small job in the same queue."""
    job = callers.one_task_job(1.0)
    await callers.follow(world, job, for_s=FOLLOW_S).run()
    assert world.checker.finish() == []
    return job.observed_states[-1][1] if job.observed_states else "none"


# Guards against LOST (issue 48, review/8): the record of an accepted job of
# 90,000 tasks was refused for ever, and with it those of all other jobs.
def test_a_job_with_too_many_tasks_is_refused_at_once() -> None:
    async def play(world: world_lib.World) -> tuple[int, str]:
        steps = [SMALL_STEP | {"count": 90_000}]
        status = await scenario.call(
            world, "POST", PATH, {"spec": SPEC, "steps": steps}
        )
        return status, await _follow_another_job(world)

    assert _run(play) == (400, "completed")


# Guards against LOST (issue 48, review/8): many occurrences that are due at
# once made a record that the store refused.
def test_many_due_occurrences_are_opened_as_the_record_has_room() -> None:
    async def play(world: world_lib.World) -> tuple[int, str, bool]:
        body = {
            "spec": SPEC,
            "steps": [SMALL_STEP | {"count": 1, "cpu": 2000}],
            "times": 20_000,
            "firstRunMs": 1,
            "intervalMs": 1,
        }
        world.checker.jobs_by_id["b" * 16] = scenario.job_of_small_tasks(
            "b" * 16, 1, seconds=1.0
        )
        status = await scenario.call(world, "POST", PATH, body)
        state = await _follow_another_job(world)
        entry = world.entries[0].entry
        assert entry is not None and entry.scheduler is not None
        tracked = entry.scheduler.engine.jobs_by_id[types.JobId("b" * 16)]
        return status, state, tracked.progress.finished_occurrences > 0

    assert _run(play) == (200, "completed", True)


# Guards against LOST (issue 48, review/8): a job that an earlier version has
# accepted and that can't be recorded stops no other job.
def test_a_stored_job_that_cannot_be_recorded_fails_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # As with checkpoints, which have nothing in common.
    monkeypatch.setattr(progress_lib, "MIN_COMPRESSED_BYTES", 2**40)

    async def play(world: world_lib.World) -> tuple[str, str]:
        step = model.Step(20_000, SMALL, 1.0)
        job = engine_harness.job("b" * 16, step, priority=0)
        value = base64.b64encode(progress_lib.encode_job(job)).decode()
        world.store.put(keys.job(job.id), value)
        state = await _follow_another_job(world)
        entry = world.entries[0].entry
        assert entry is not None
        stored = await entry.state_of(job.id, trio.current_time() + 1.0)
        return state, stored.value

    assert _run(play) == ("completed", "failed")
