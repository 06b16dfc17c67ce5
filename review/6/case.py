"""Tasks that are done start again after the agent beside them was killed."""

from __future__ import annotations

import asyncio
import signal
import time

from stand_ins import deployment as deployment_lib

# Each job has no more tasks than the widest on the sheets; all of them fit on
# one runner, and their number is just above the 500 ends of one list.
TASKS_BY_JOB = (50, 50, 50, 50, 50, 50, 50, 50, 50, 53)
WORK_S = 10
# The agent is killed this long before the first task is done. The platform
# starts it again after a short delay.
KILL_BEFORE_S = 0.5
RESTART_DELAY_S = 1.2
WATCH_S = 16.0
RUNNERS = 7


async def play(deployment: deployment_lib.Deployment) -> bool:
    """Plays the case; returns whether TWICE held."""
    await deployment.start(
        [deployment_lib.route("batches", 2)],
        [deployment_lib.tenant("desks", 0)],
    )
    task = {"cpu": 100, "memMb": 256}
    jobs = await asyncio.gather(
        *(
            deployment.submit(
                "batches",
                [task | {"count": count, "estimateMs": WORK_S * 1000}],
                task | {"work_s": WORK_S},
                tenant="desks",
            )
            for count in TASKS_BY_JOB
        )
    )
    tasks = sum(TASKS_BY_JOB)
    busiest = deployment.runners[0]
    if not await deployment.wait_for(lambda: len(busiest.runs) == tasks, 8.0):
        raise deployment_lib.CannotRunError("not all tasks run on one runner")
    deployment.note(f"{tasks} tasks run on {busiest.name}")
    first_s = min(event.at_s for event in deployment.events)
    await asyncio.sleep(first_s + WORK_S - KILL_BEFORE_S - time.monotonic())
    if deployment_lib.trouble():
        deployment.signal("side-0", signal.SIGKILL)
        await asyncio.sleep(RESTART_DELAY_S)
        deployment.restart("side-0")
    await asyncio.sleep(WATCH_S)
    for job in jobs:
        await deployment.state(job, tenant="desks")
    return _judge(deployment)


def _judge(deployment: deployment_lib.Deployment) -> bool:
    """Returns whether no task started after an end `done` that was noted."""
    done_s: dict[str, float] = {}
    noted: set[str] = set()
    for event in deployment.events:
        if event.what == "done":
            done_s.setdefault(event.task, event.at_s)
        elif event.what == "done, taken note of":
            noted.add(event.task)
    again = [
        event
        for event in deployment.events
        if event.what == "start"
        and event.task in noted
        and event.at_s > done_s[event.task]
    ]
    lapsed = sum(event.what == "lapsed" for event in deployment.events)
    deployment.note(
        f"{len(done_s)} tasks done, {len(noted)} such ends taken note of;"
        f" {lapsed} runs lapsed; {len(again)} starts after an end `done`"
    )
    for event in again:
        late_s = event.at_s - done_s[event.task]
        deployment.note(
            f"{event.task} run {event.run} started on {event.runner}"
            f" {late_s:.2f} s after the task was done"
        )
    return not again


if __name__ == "__main__":
    deployment_lib.main(__file__, entries=3, kinds=["a"] * RUNNERS, play=play)
