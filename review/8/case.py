"""A job whose workers crashed twice is given up as failed."""

from __future__ import annotations

import asyncio

from stand_ins import deployment as deployment_lib

# Time for which a runner is down (`gap_s` of `srv_flap`: its period).
DOWN_S = 1.4
WORK_S = 10
FLAPS = 2
# One runner of ten goes down.
RUNNERS = 10


async def play(deployment: deployment_lib.Deployment) -> bool:
    """Plays the case; returns whether LOST held."""
    await deployment.start(
        [deployment_lib.route("scans", 1)],
        [deployment_lib.tenant("guides", 8)],
    )
    task = {"cpu": 52_000, "memMb": 210_000, "gpu": 4}
    job = await deployment.submit(
        "scans",
        [task | {"count": 1, "estimateMs": WORK_S * 1000}],
        task | {"work_s": WORK_S},
        tenant="guides",
    )
    for _ in range(FLAPS if deployment_lib.trouble() else 0):
        if not await deployment.wait_for(
            lambda: bool(deployment.running(job)), 15.0
        ):
            break
        await asyncio.sleep(1.0)
        for one in deployment.runners:
            if any(job.endswith(name.partition(".")[0]) for name in one.runs):
                await one.crash()
                await asyncio.sleep(DOWN_S)
                await one.start()
                break
    state = ""
    for _ in range(25):
        await asyncio.sleep(1.0)
        state = await deployment.state(job, tenant="guides")
        if state in ("failed", "completed"):
            break
    failures = sum(
        event.what == "failed" for event in deployment.events_of(job)
    )
    deployment.note(f"{state}; {failures} runs have ended `failed`")
    return state != "failed" or bool(failures)


if __name__ == "__main__":
    deployment_lib.main(__file__, entries=3, kinds=["a"] * RUNNERS, play=play)
