"""Cuts runners off, which crash behind the cut and start under their ids."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
from typing import Any

import deployment as deployment_lib

ENTRIES = 2
WORKERS = 8
ROUNDS = 6
GPUS = 8
WORK_S = 4.0
SUBMIT_AFTER_S = 0.2
CRASH_AFTER_S = 1.0
RESTART_AFTER_S = 0.5
CUT_S = (3.0, 4.5)
END_TIMEOUT_S = 25.0


async def _play(deployment: deployment_lib.Deployment) -> str:
    for _ in range(ROUNDS):
        broken = await _play_round(deployment)
        if broken:
            return broken
    return ""


async def _play_round(deployment: deployment_lib.Deployment) -> str:
    job = deployment_lib.new_job_id()
    # An idle fleet's first worker by id gets the task.
    worker = 0
    if not deployment_lib.has_trouble():
        await deployment.submit(
            job, task={"seconds": WORK_S}, gpu=GPUS, estimateMs=4000
        )
    else:
        await deployment.cut(worker)
        await asyncio.sleep(SUBMIT_AFTER_S)
        await deployment.submit(
            job, task={"seconds": WORK_S}, gpu=GPUS, estimateMs=4000
        )
        await asyncio.sleep(CRASH_AFTER_S)
        deployment.crash_runner(worker)
        await asyncio.sleep(RESTART_AFTER_S)
        deployment.start_runner(worker, f"i-{worker:08x}")
        await asyncio.sleep(
            random.uniform(*CUT_S)
            - SUBMIT_AFTER_S
            - CRASH_AFTER_S
            - RESTART_AFTER_S
        )
        deployment.heal(worker)
    await deployment.wait_for_end(job, END_TIMEOUT_S)
    return _overlap_in(deployment.events())


def _overlap_in(events: list[dict[str, Any]]) -> str:
    """Returns which task ran twice at the same time, or an empty text."""
    runs_by_task: dict[str, list[dict[str, Any]]] = {}
    for event in events:
        if event["event"] == "crash":
            for task, runs in runs_by_task.items():
                runs_by_task[task] = [
                    run for run in runs if run["runner"] != event["runner"]
                ]
        elif event["event"] == "end":
            runs = runs_by_task[event["task"]]
            runs_by_task[event["task"]] = [
                run
                for run in runs
                if (run["run"], run["runner"])
                != (event["run"], event["runner"])
            ]
        elif event["event"] == "start":
            others = runs_by_task.setdefault(event["task"], [])
            others.append(event)
            if len(others) > 1:
                where = ", ".join(
                    f"run {run['run']} on {run['runner']}" for run in others
                )
                return f"TWICE: task {event['task']} runs as {where}"
    return ""


if __name__ == "__main__":
    sys.exit(
        deployment_lib.run(
            deployment_lib.Deployment(
                entries=ENTRIES, workers=WORKERS, links=True
            ),
            _play,
            pathlib.Path(__file__).parent,
        )
    )
