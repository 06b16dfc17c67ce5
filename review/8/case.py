"""A large job takes a runner out of use, with what runs there for others."""

from __future__ import annotations

import asyncio
import json

from stand_ins import deployment as deployment_lib

RUNNERS = 5
# The large job: small tasks that fit on one runner beside the urgent one, and
# the longest `spec` that a client may send.
COUNT = 1100
TASK = {"cpu": 100, "memMb": 100}
SPEC_BYTES = 4000
URGENT = {"cpu": 5000, "memMb": 1000, "gpu": 1}
URGENT_WORK_S = 20
# `finish_s`, and the 3 s for which LOST lets a job have nothing running.
FINISH_S = 14.0
IDLE_S = 3.0


async def play(deployment: deployment_lib.Deployment) -> bool:
    """Plays the case; returns whether LOST held."""
    await deployment.start(
        [
            deployment_lib.route("checks", 0),
            deployment_lib.route("batches", 2),
        ],
        [
            deployment_lib.tenant("guides", 8),
            deployment_lib.tenant("desks", 0),
        ],
    )
    urgent = await deployment.submit(
        "checks",
        [URGENT | {"count": 1, "estimateMs": URGENT_WORK_S * 1000}],
        URGENT | {"work_s": URGENT_WORK_S},
        tenant="guides",
    )
    if not await deployment.wait_for(
        lambda: bool(deployment.running(urgent)), 10.0
    ):
        raise deployment_lib.CannotRunError("the urgent task doesn't run")
    jobs = [urgent]
    if deployment_lib.trouble():
        spec = TASK | {"work_s": 5, "text": ""}
        spec["text"] = "x" * (SPEC_BYTES - len(json.dumps(spec)))
        jobs.append(
            await deployment.submit(
                "batches",
                [TASK | {"count": COUNT, "estimateMs": 5000}],
                spec,
                tenant="desks",
            )
        )
    await asyncio.sleep(URGENT_WORK_S + FINISH_S + IDLE_S)
    _note_use(deployment)
    held = True
    for job, tenant in zip(jobs, ("guides", "desks"), strict=False):
        state = await deployment.state(job, tenant=tenant, entry=1)
        runs = bool(deployment.running(job))
        deployment.note(f"{job}: {state}; a task at work: {runs}")
        held = held and (state == "completed" or runs)
    return held


def _note_use(deployment: deployment_lib.Deployment) -> None:
    cores = sum(one.used("cpu") for one in deployment.runners) / 1000
    gpus = sum(one.used("gpu") for one in deployment.runners)
    deployment.note(
        f"in use: {cores:g} of {RUNNERS * 128} cores, {gpus} of"
        f" {RUNNERS * 8} gpu"
    )


if __name__ == "__main__":
    deployment_lib.main(__file__, entries=3, kinds=["a"] * RUNNERS, play=play)
