"""Lists of ends that leave some out, as a runner lists 500 at a time."""

from __future__ import annotations

import pytest
import trio

from pimentobridge.core.jobs import runs
from pimentobridge.daemons import worker_view
from pimentobridge.lab import callers
from pimentobridge.lab import checkers
from pimentobridge.lab import faulty_client
from pimentobridge.lab import machines
from pimentobridge.lab import scenario
from pimentobridge.lab import world as world_lib
from pimentobridge.platform import runner_status

JOBS = 10
TASK_S = 6.0
OUTAGE_S = 12.0
FOLLOW_S = 40.0
RUN = runs.RunKey("a.0.0.0", 1)


def _jobs(tasks: int) -> list[checkers.SubmittedJob]:
    return [
        scenario.job_of_small_tasks(
            f"{number:016x}", tasks // JOBS, seconds=TASK_S
        )
        for number in range(JOBS)
    ]


def _busiest(world: world_lib.World) -> machines.WorkerHost:
    return max(world.workers, key=lambda host: len(host.runner.runs_by_task))


async def _run_until_first_ends(
    world: world_lib.World,
    jobs: list[checkers.SubmittedJob],
    traffic: trio.Nursery,
) -> machines.WorkerHost:
    """Has one worker run all tasks; returns it shortly before their ends."""
    for job in jobs:
        traffic.start_soon(callers.follow(world, job, for_s=FOLLOW_S).run)
    tasks = sum(job.steps[0]["count"] for job in jobs)
    while len(_busiest(world).runner.runs_by_task) < tasks:
        await trio.sleep(0.05)
    busiest = _busiest(world)
    started = [run.accepted_s for run in busiest.runner.runs_by_task.values()]
    await trio.sleep_until(min(started) + TASK_S - 0.4)
    return busiest


# Guards against TWICE (issue 48, review/6): a run whose end was left out of a
# list of 500 counted as one that never started, or that a stop had prevented.
@pytest.mark.parametrize("tasks", [510, 600])
@pytest.mark.parametrize("disruption", ["agent killed", "store away"])
def test_no_task_whose_end_is_left_out_starts_again(
    disruption: str, tasks: int
) -> None:
    jobs = _jobs(tasks)

    async def play(world: world_lib.World) -> list[str]:
        async with trio.open_nursery() as traffic:
            busiest = await _run_until_first_ends(world, jobs, traffic)
            if disruption == "agent killed":
                busiest.kill()
            else:
                world.store_faults.outage = faulty_client.OutageMode.SILENT
                await trio.sleep(OUTAGE_S)
                world.store_faults.outage = None
        return world.checker.finish()

    assert scenario.run(play) == []
    assert {job.observed_states[-1][1] for job in jobs} == {"completed"}


# Guards against innocent tasks that count as having crashed their worker
# (issue 48, review/6): ends that a list left out didn't clear them.
def test_a_crash_isnt_blamed_on_runs_whose_ends_are_left_out() -> None:
    async def play(world: world_lib.World) -> int:
        async with trio.open_nursery() as traffic:
            busiest = await _run_until_first_ends(world, _jobs(600), traffic)
            world.store_faults.outage = faulty_client.OutageMode.SILENT
            while busiest.runner.runs_by_task:
                await trio.sleep(0.05)
            await trio.sleep(1.0)
            busiest.crash_runner()
            await trio.sleep(1.0)
            world.store_faults.outage = None
            await trio.sleep(5.0)
            entry = world.entries[0].entry
            assert entry is not None and entry.scheduler is not None
            blamed = [
                unit
                for tracked in entry.scheduler.engine.jobs_by_id.values()
                for _, _, unit in tracked.progress.units()
                if unit.crashed_on
            ]
            traffic.cancel_scope.cancel()
        return len(blamed)

    assert scenario.run(play) == 0


def _status(ends: int, clock_s: float) -> runner_status.RunnerStatus:
    return runner_status.RunnerStatus(
        clock_s=clock_s,
        running=(),
        ended=tuple(
            runs.EndedRun(
                number, runs.RunKey("b", number), runs.EndCause.DONE, ""
            )
            for number in range(1, ends + 1)
        ),
    )


# Guards against TWICE (issue 48, review/6), as above.
@pytest.mark.parametrize(
    ("ends", "sent_s", "reported"),
    [(499, 11.0, True), (500, 11.0, False), (0, 9.0, False)],
)
def test_closed_runs_are_reported_after_a_later_list_of_all_ends(
    ends: int, sent_s: float, *, reported: bool
) -> None:
    view = worker_view.WorkerView(6.0)
    view.closed_runs.on_refused(RUN, 10.0)
    view.closed_runs.on_stopped(RUN, 10.0)
    view.apply(_status(ends, 5.0), 12.0, sent_s=sent_s)
    assert (RUN in view.refused) is (RUN in view.stop_confirmed) is reported


# Guards against ends that are lost with a machine which its agent leaves while
# more of them are to be listed.
def test_an_end_that_is_left_out_is_unacknowledged() -> None:
    view = worker_view.WorkerView(6.0)
    view.apply(_status(500, 5.0), 12.0, sent_s=11.0)
    view.acknowledged_end = 500
    assert view.has_unacknowledged_ends
    view.apply(_status(0, 6.0), 13.0, sent_s=12.0)
    assert not view.has_unacknowledged_ends
