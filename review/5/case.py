"""Sends each agent one heartbeat of another writer, with an unknown service."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

import deployment as deployment_lib
import wire

ENTRIES = 2
WORKERS = 4
JOBS = 4
WORK_S = 2.0
# The users' finish_s, after which nothing may wait while workers are idle.
FINISH_S = 14.0
IDLE_S = 3.0


def _odd_heartbeat() -> dict[str, object]:
    return {
        "service": "not-configured",
        "address": "127.0.0.1:9",
        "zone": "sapa",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "capacity": {"cpu": 128000, "memMb": 524288, "gpu": 8},
        "labels": ["a", "r1-0"],
        "clockMs": 1000,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }


async def _play(deployment: deployment_lib.Deployment) -> str:
    if deployment_lib.has_trouble():
        for number in range(WORKERS):
            status, _ = await wire.call(
                deployment.control_of(number),
                "POST",
                f"/v1/instances/i-other-{number}/heartbeat",
                _odd_heartbeat(),
            )
            deployment.record("odd heartbeat", worker=number, status=status)
    await asyncio.sleep(2.0)
    jobs = [deployment_lib.new_job_id() for _ in range(JOBS)]
    for job in jobs:
        await deployment.submit(
            job, task={"seconds": WORK_S}, gpu=2, estimateMs=2000
        )
    await asyncio.sleep(FINISH_S)
    states = {job: await deployment.state_of(job) for job in jobs}
    await asyncio.sleep(IDLE_S)
    running = [e for e in deployment.events() if e["event"] == "start"]
    waiting = [job for job, state in states.items() if state != "completed"]
    if not waiting or running:
        return ""
    return (
        f"LOST: {len(waiting)} of {JOBS} accepted jobs have nothing running"
        f" {FINISH_S + IDLE_S:g} s after they were handed in, while all"
        f" {WORKERS} workers are idle; states: {sorted(states.values())}"
    )


if __name__ == "__main__":
    sys.exit(
        deployment_lib.run(
            deployment_lib.Deployment(entries=ENTRIES, workers=WORKERS),
            _play,
            pathlib.Path(__file__).parent,
        )
    )
