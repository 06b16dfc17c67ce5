"""Room for the records and the tasks of accepted jobs."""

from __future__ import annotations

from typing import Any

from pimentobridge.daemons import http_limits
from pimentobridge.daemons import job_api
from pimentobridge.daemons import record_room
from pimentobridge.lab import scenario
from pimentobridge.lab import world as world_lib

MAX_TASKS = 10_000


def _limits(*, record_bytes: int) -> http_limits.Limits:
    return http_limits.Limits(
        request_bytes=1000,
        connections=1,
        unread=1,
        record_bytes=record_bytes,
        tasks=MAX_TASKS,
    )


def _admits(
    room: record_room.RecordRoom, record_bytes: int, steps: int
) -> bool:
    return room.problem_with(record_room.Need(record_bytes, steps)) is None


def test_large_records_leave_room_for_ordinary_ones() -> None:
    stored = 0
    large = record_room.LARGE_RECORD_BYTES + 1
    room = record_room.RecordRoom(
        _limits(record_bytes=4 * large), lambda: stored, lambda: 0
    )
    assert _admits(room, large, 0)
    with room.reserved(record_room.Need(large)):
        assert _admits(room, large, 0)
        with room.reserved(record_room.Need(large)):
            assert not _admits(room, large, 0)
            assert _admits(room, 1000, 1)
    stored = 4 * large
    assert not _admits(room, 1000, 1)


def test_jobs_of_many_steps_are_written_one_at_a_time() -> None:
    # A decoded step takes many times its bytes in a body.
    room = record_room.RecordRoom(
        _limits(record_bytes=1_000_000), lambda: 0, lambda: 0
    )
    assert _admits(room, 200_000, 20_000)
    with room.reserved(record_room.Need(200_000, 20_000)):
        assert not _admits(room, 200_000, 20_000)
    assert _admits(room, 200_000, 20_000)


# Guards against an entry whose memory a few short submissions fill (issue 44):
# twenty jobs of 100,000 tasks took one for 200 MB to over 700 MB.
def test_jobs_whose_tasks_exceed_the_memory_of_an_entry_are_refused() -> None:
    async def play(world: world_lib.World) -> Any:
        machine = world.entries[0]
        assert machine.api is not None
        clock = machine.api._clock
        machine.api = job_api.CallerApi(
            machine.api._entry,
            clock=clock,
            ledger=http_limits.Ledger(_limits(record_bytes=100_000), clock),
        )

        async def submit(number: int, tasks: int) -> int:
            job = scenario.job_of_small_tasks(
                f"{number:016x}", tasks, seconds=1.0
            )
            body = {"spec": job.spec, "steps": job.steps}
            return await scenario.call(
                world, "POST", f"/queue-0/{job.id}", body
            )

        statuses = [await submit(number, 4000) for number in range(3)]
        return statuses, await submit(0, 4000), await submit(9, 100)

    outcome = scenario.run(play, workers=0)
    assert outcome == ([200, 200, 503], 200, 200)
