"""Removes a worker's machine from a fleet of workers of two sizes."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

import deployment as deployment_lib

ENTRIES = 2
WORKERS = 6
SMALL_WORKERS = 2
WORK_S = 6.0
REMOVE_AFTER_S = 2.0
# The lease (6 s), the validity of orders, the work once more, and the users'
# finish_s (14 s) are over by then.
CHECK_AFTER_S = 45.0
IDLE_S = 3.0


async def _play(deployment: deployment_lib.Deployment) -> str:
    job = deployment_lib.new_job_id()
    # The fleet has been in use for some seconds.
    await asyncio.sleep(3.0)
    await deployment.submit(
        job, task={"seconds": WORK_S}, gpu=2, estimateMs=6000
    )
    run = await deployment.wait_for("start", 20.0, task=f"{job}.0.0.0")
    await asyncio.sleep(REMOVE_AFTER_S)
    if deployment_lib.has_trouble():
        worker = int(run["runner"].removeprefix("i-"), 16)
        deployment.remove_machine(worker)
    state = await deployment.wait_for_end(job, CHECK_AFTER_S)
    await asyncio.sleep(IDLE_S)
    starts = [
        event["run"]
        for event in deployment.events()
        if event["event"] == "start" and event["task"] == f"{job}.0.0.0"
    ]
    if state == "completed" or len(starts) > 1:
        return ""
    return (
        f"LOST: {CHECK_AFTER_S:g} s after the machine was removed, the accepted"
        f" job {job} is shown as {state!r} with nothing running, while all"
        f" {WORKERS - 1} other workers are idle"
    )


if __name__ == "__main__":
    # With SAME_SIZE=1 all workers are alike, to compare.
    small = 0 if os.environ.get("SAME_SIZE") == "1" else SMALL_WORKERS
    sys.exit(
        deployment_lib.run(
            deployment_lib.Deployment(
                entries=ENTRIES, workers=WORKERS, small_workers=small
            ),
            _play,
            pathlib.Path(__file__).parent,
        )
    )
