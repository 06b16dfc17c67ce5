"""Orders whose length callers set, by long specs and many tasks."""

from __future__ import annotations

import collections

import msgspec
import pytest
import trio

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import orders as orders_lib
from pimentobridge.core.scheduling import placement
from pimentobridge.daemons import logs
from pimentobridge.lab import callers
from pimentobridge.lab import scenario
from pimentobridge.lab import world as world_lib
from pimentobridge.protocol import codec
from pimentobridge.protocol import control
from pimentobridge.testing import engine_harness

TASKS = 1100
SMALL = model.Resources(10, 10, 0)
URGENT_S = 20.0
FOLLOW_S = 45.0


def _many_jobs(count: int, spec: str) -> list[model.Job]:
    return [
        msgspec.structs.replace(
            engine_harness.job(
                f"{number:016x}",
                model.Step(1, SMALL, 5.0),
                priority=0 if number == count - 1 else 2,
            ),
            spec=spec,
        )
        for number in range(count)
    ]


def _started_by_messages(jobs: list[model.Job]) -> list[list[runs.StartOrder]]:
    """Returns the starts in each message for one worker, which lists them."""
    fleet = engine_harness.EngineHarness(1)
    instructions = fleet.submit(*jobs)[0]
    messages = [list(instructions.all_starts)]
    running: list[runs.RunKey] = []
    while instructions.more_starts_follow:
        running += [start.key for start in messages[-1]]
        assert len(msgspec.msgpack.encode(instructions)) <= (
            orders_lib.MAX_START_BYTES
        )
        instructions = fleet.observe(
            0, running=engine_harness.running(*running)
        )
        messages.append(list(instructions.all_starts))
    return messages


# Guards against LOST (issue 48, review/8): orders for many tasks with a long
# spec were longer than a frame, so that none reached the worker any more.
def test_a_spec_is_sent_once_for_all_starts_of_a_job() -> None:
    spec = "x" * model.MAX_SPEC_BYTES
    job = engine_harness.job("a" * 16, model.Step(TASKS, SMALL, 5.0))
    messages = _started_by_messages([msgspec.structs.replace(job, spec=spec)])
    assert [len(starts) for starts in messages] == [TASKS]
    assert {start.spec for start in messages[0]} == {spec}
    assert len({start.key for start in messages[0]}) == TASKS


# Guards against LOST (issue 48, review/8), as above.
def test_starts_without_room_follow_and_the_urgent_ones_come_first() -> None:
    jobs = _many_jobs(100, "x" * model.MAX_SPEC_BYTES)
    messages = _started_by_messages(jobs)
    assert len(messages) > 1
    keys = [start.key for starts in messages for start in starts]
    assert sorted(key.task[:16] for key in keys) == [job.id for job in jobs]
    assert keys[0].task.startswith(jobs[-1].id)


# Guards against LOST (issue 48, review/8): a report on any number of tasks that
# request next to nothing would be longer than a frame, too.
def test_the_runs_of_a_worker_fit_into_a_report() -> None:
    fleet = engine_harness.EngineHarness(1)
    tiny = model.Step(placement.MAX_RUNS_PER_WORKER + 100, model.NO_RESOURCES)
    urgent = model.Step(8, model.NO_RESOURCES)
    fleet.submit(engine_harness.job("a" * 16, tiny, priority=2))
    fleet.submit(engine_harness.job("b" * 16, urgent, priority=0))
    (worker,) = fleet.engine.workers_by_incarnation.values()
    keys = list(worker.entries_by_key)
    assert len(keys) == placement.MAX_RUNS_PER_WORKER + 8
    running = tuple(
        runs.MeasuredTask(key, "00000bb87a21d94b", 100, 128_000) for key in keys
    )
    report = control.WorkerReport(
        agent=types.Address("tcp://10.200.130.17:7000"),
        process="a" * 32,
        token=1,
        sent_s=1.0,
        answered_s=1.0,
        worker=runs.Observation(fleet.incarnations[0], running),
    )
    encoded = codec.encode(report.agent, report)
    assert len(encoded) < codec.MAX_FRAME_BYTES / 2


class _EarlierInstructions(msgspec.Struct, frozen=True, array_like=True):
    """Orders as versions without shared starts send and read them."""

    incarnation: runs.IncarnationKey
    acknowledged_end: int = 0
    starts: tuple[runs.StartOrder, ...] = ()
    stops: tuple[runs.RunKey, ...] = ()
    paces: tuple[runs.PaceOrder, ...] = ()


# Guards against an agent of an earlier version that starts a task without its
# spec, or not all members of a gang: it reads only the starts that have one.
@pytest.mark.parametrize(("gang", "read"), [(False, 1), (True, 3)])
def test_an_earlier_agent_reads_only_starts_with_their_spec(
    read: int, *, gang: bool
) -> None:
    fleet = engine_harness.EngineHarness(1)
    job = engine_harness.job("a" * 16, model.Step(3, SMALL, 5.0, gang=gang))
    instructions = fleet.submit(job)[0]
    encoded = msgspec.msgpack.encode(instructions)
    earlier = msgspec.msgpack.decode(encoded, type=_EarlierInstructions)
    assert [start.spec for start in earlier.starts] == [job.spec] * read
    received = msgspec.msgpack.decode(
        msgspec.msgpack.encode(earlier), type=runs.Instructions
    )
    assert len(received.all_starts) == read
    assert len(instructions.all_starts) == 3


# Guards against LOST (issue 48, review/8): a large job cut its worker off from
# all orders, and a task of another account there ended with the lease. With
# slow calls, most of its starts timed out without a connection, again and
# again.
@pytest.mark.parametrize("call_s", [0.002, 0.1])
def test_a_large_job_with_a_long_spec_harms_no_other_task(
    monkeypatch: pytest.MonkeyPatch, call_s: float
) -> None:
    outcomes: collections.Counter[str] = collections.Counter()
    log = logs.event

    def count_outcomes(message: str, **fields: object) -> None:
        if message == "start ordered":
            outcomes[str(fields["outcome"])] += 1
        log(message, **fields)

    monkeypatch.setattr(logs, "event", count_outcomes)
    urgent = callers.one_task_job(URGENT_S)
    large = scenario.job_of_small_tasks(
        "b" * 16, TASKS, seconds=3.0, spec_bytes=model.MAX_SPEC_BYTES
    )

    async def play(world: world_lib.World) -> tuple[list[str], int]:
        world.runner_faults.delay_factor = call_s / world_lib.RUNNER_CALL_S
        async with trio.open_nursery() as traffic:
            for job in (urgent, large):
                follower = callers.follow(world, job, for_s=FOLLOW_S)
                traffic.start_soon(follower.run)
                await trio.sleep(1.0)
        return world.checker.finish(), world.checker.started

    assert scenario.run(play) == ([], TASKS + 1)
    assert outcomes == {"running": TASKS + 1}
    assert urgent.observed_states[-1][1] == "completed"
    assert large.observed_states[-1][1] == "completed"
