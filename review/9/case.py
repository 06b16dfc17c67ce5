"""A task that lasts and has failed once isn't started again."""

from __future__ import annotations

import asyncio

from stand_ins import deployment as deployment_lib

# LOST holds for a task that lasts from 6 s after its last run, and lets it
# wait for 3 s after that.
LOST_AFTER_S = 6.0 + 3.0
WATCH_S = 40.0
FAILS_AFTER_S = 6.0


async def play(deployment: deployment_lib.Deployment) -> bool:
    """Plays the case; returns whether LOST held."""
    await deployment.start(
        [deployment_lib.route("services", 1)],
        [
            deployment_lib.tenant("guides", 0),
            deployment_lib.tenant("desks", 0),
        ],
    )
    others = await deployment.submit(
        "services",
        [
            {
                "count": 2,
                "cpu": 11_000,
                "memMb": 46_000,
                "gpu": 8,
                "estimateMs": 2000,
                "longRunning": True,
            }
        ],
        {"cpu": 11_000, "memMb": 46_000, "gpu": 8},
        tenant="desks",
    )
    if not await deployment.wait_for(
        lambda: len(deployment.running(others)) == 2, 10.0
    ):
        raise deployment_lib.CannotRunError("the tasks that last don't run")
    spec = {"cpu": 11_000, "memMb": 46_000, "gpu": 4}
    if deployment_lib.trouble():
        spec["fails"] = {"0.0.0": FAILS_AFTER_S}
    job = await deployment.submit(
        "services",
        [
            {
                "count": 1,
                "cpu": 11_000,
                "memMb": 46_000,
                "gpu": 4,
                "estimateMs": 2000,
                "longRunning": True,
            }
        ],
        spec,
        tenant="guides",
    )
    if not await deployment.wait_for(
        lambda: bool(deployment.running(job)), 10.0
    ):
        raise deployment_lib.CannotRunError("the task doesn't run")
    if not deployment_lib.trouble():
        await asyncio.sleep(WATCH_S / 2)
        return bool(deployment.running(job))
    if not await deployment.wait_for(
        lambda: any(
            event.what == "failed" for event in deployment.events_of(job)
        ),
        FAILS_AFTER_S + 5.0,
    ):
        raise deployment_lib.CannotRunError("the task hasn't failed")
    held = await deployment.wait_for(
        lambda: bool(deployment.running(job)), LOST_AFTER_S
    )
    deployment.note(f"runs again {LOST_AFTER_S} s after its end: {held}")
    for one in deployment.runners:
        deployment.note(f"{one.name}: {one.used('gpu')} of 8 gpu in use")
    if not held:
        again = await deployment.wait_for(
            lambda: bool(deployment.running(job)), WATCH_S - LOST_AFTER_S
        )
        deployment.note(f"runs again {WATCH_S} s after its end: {again}")
    await deployment.state(job, tenant="guides")
    return held


if __name__ == "__main__":
    deployment_lib.main(__file__, entries=3, kinds=["a", "a", "a"], play=play)
