"""A job runs after its client was told that there is none to cancel."""

from __future__ import annotations

import asyncio
import json
import secrets
import signal
import time

from stand_ins import deployment as deployment_lib

# A frozen machine stands still for this long (`for_s` of `node_freeze`).
FREEZE_S = 5.0
# `cancel_ms`, `stopTimeoutMs` and `contactMs` of the small sites' sheets.
CANCEL_S = 3.0
STOP_TIMEOUT_S = 0.9
CONTACT_S = 4.0
WORK_S = 6
WATCH_S = 22.0
# With three entries, one of ten machines stands still.
RUNNERS = 7


async def play(deployment: deployment_lib.Deployment) -> bool:
    """Plays the case; returns whether UNASKED held."""
    await deployment.start(
        [deployment_lib.route("checks", 0)],
        [deployment_lib.tenant("guides", 8)],
    )
    frozen, other = deployment.followers()[:2]
    path = f"/checks/{secrets.token_hex(8)}"
    task = {"cpu": 15_000, "memMb": 79_000, "gpu": 1}
    step = task | {"count": 1, "estimateMs": 5000}
    body = {
        "spec": json.dumps(task | {"work_s": WORK_S}),
        "steps": [step, step | {"after": [0]}],
    }
    process = f"edge-{frozen}"
    frozen_s = time.monotonic()
    if deployment_lib.trouble():
        deployment.signal(process, signal.SIGSTOP)
    # The client waits for its timeout of 3 s and goes away without an answer.
    await deployment.request(
        "POST", path, tenant="guides", entry=frozen, body=body
    )
    # It gives the job up, through another entry.
    cancelled = await deployment.request(
        "DELETE", path, tenant="guides", entry=other
    )
    acknowledged_s = time.monotonic()
    # It makes sure that there is no such job.
    await deployment.state(path, tenant="guides", entry=other)
    if deployment_lib.trouble():
        await asyncio.sleep(max(0.0, frozen_s + FREEZE_S - acknowledged_s))
        deployment.signal(process, signal.SIGCONT)
    if cancelled.status not in (200, 410):
        raise deployment_lib.CannotRunError("the cancel wasn't acknowledged")
    await asyncio.sleep(WATCH_S)
    await deployment.state(path, tenant="guides", entry=other)
    return _judge(deployment, path, cancelled.status, acknowledged_s)


def _judge(
    deployment: deployment_lib.Deployment,
    path: str,
    status: int,
    acknowledged_s: float,
) -> bool:
    """Returns whether no task was started too late after the cancel.

    All machines have been in touch again since `CONTACT_S` after the freeze.
    """
    calm_s = acknowledged_s + FREEZE_S + CONTACT_S
    held = True
    for event in deployment.events_of(path):
        late_s = event.at_s - acknowledged_s
        deployment.note(
            f"{event.task} {event.what} {late_s:.1f} s after its cancel was"
            f" acknowledged with {status}"
        )
        if event.what == "start":
            held = held and late_s <= CANCEL_S
        elif event.what == "done":
            limit_s = calm_s + CANCEL_S + STOP_TIMEOUT_S
            held = held and event.at_s <= limit_s
    return held


if __name__ == "__main__":
    deployment_lib.main(__file__, entries=3, kinds=["a"] * RUNNERS, play=play)
