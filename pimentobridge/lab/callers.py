"""Simulated callers: submit a job, retry, poll its state and cancel it."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import trio

from pimentobridge.lab import checkers
from pimentobridge.lab import operator_documents
from pimentobridge.lab import world as world_lib
from pimentobridge.testing import asgi

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    Call = Callable[[str, str, bytes], Awaitable[tuple[int, bytes]]]

SUBMIT_ATTEMPTS = 5
CALL_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.7
# After these, the job may be stored or may still be.
UNCERTAIN_STATUSES = (0, 502, 504)
POLL_INTERVAL_S = 2.0
# How many of the simulation's six workers the policy permits for each step; the
# policy is `world._is_permitted`.
PERMITTED_WORKERS = 4


def random_job(
    rng: random.Random, number: int, *, advised: tuple[int, ...] = ()
) -> tuple[checkers.SubmittedJob, int]:
    """Returns a random job and the priority of its queue.

    Args:
        rng: source of randomness.
        number: sequence number of the job, used as the prefix of its id.
        advised: priorities of the queues that are subject to a placement
            policy.
    """
    priority = rng.choice(operator_documents.PRIORITIES)
    gang = rng.random() < 0.35
    count = rng.choice([1, 2, 3, 4, 6] if gang else [1, 1, 2, 4, 9])
    accelerators = rng.choice([1, 1, 2, 4, 8])
    if gang and priority in advised:
        # The gang has to fit on the workers that the policy permits.
        count = min(count, PERMITTED_WORKERS * (8 // accelerators))
    seconds = round(rng.uniform(1.0, 6.0), 2)
    checkpointing = rng.random() < 0.4
    step: dict[str, object] = {
        "count": count,
        "cpu": 1000,
        "memMb": 1000,
        "gpu": accelerators,
        "estimateMs": seconds * 1000 * rng.uniform(0.5, 1.5),
    }
    if gang:
        step["gang"] = True
    if checkpointing:
        step["checkpointing"] = True
    steps = [step]
    if not gang and rng.random() < 0.2:
        steps.append(dict(step) | {"after": [0], "count": 1})
    failing_runs = rng.choice([0, 0, 0, 0, 1, 9])
    spec = {
        "seconds": seconds,
        "request": [1000, 1000, accelerators],
        "gang": count if gang else 0,
        "failing_runs": failing_runs,
        "checkpointing": checkpointing,
        "advised": priority in advised,
    }
    job = checkers.SubmittedJob(
        id=f"{number:04x}{rng.getrandbits(48):012x}",
        spec=json.dumps(spec),
        steps=steps,
        max_attempts=operator_documents.MAX_ATTEMPTS,
    )
    return job, priority


def one_task_job(seconds: float) -> checkers.SubmittedJob:
    """Returns a job of one small task.

    Args:
        seconds: work of the task, which is also its estimate.
    """
    step = {
        "count": 1,
        "cpu": 1000,
        "memMb": 1000,
        "gpu": 1,
        "estimateMs": seconds * 1000,
    }
    return checkers.SubmittedJob(
        id="a" * 16,
        spec=json.dumps({"seconds": seconds, "request": [1000, 1000, 1]}),
        steps=[dict(step)],
        max_attempts=operator_documents.MAX_ATTEMPTS,
    )


class Caller:
    """A caller that submits one job and follows it.

    Args:
        call: sends a request, given as method, path and body, to an entry;
            returns the HTTP status and the body, or status 0 if there was
            no response.
        checker: notified of the job states that the caller observes.
        job: the job to submit.
        path: URL path of the job.
        cancels_after_s: delay between acceptance and cancellation, in
            seconds; None to never cancel.
        until_s: time at which the caller stops polling, in seconds.
    """

    def __init__(
        self,
        call: Call,
        checker: checkers.Checker,
        job: checkers.SubmittedJob,
        *,
        path: str,
        cancels_after_s: float | None,
        until_s: float,
    ) -> None:
        self._send_call = call
        self._checker = checker
        self._job = job
        self._path = path
        self._cancels_after_s = cancels_after_s
        self._until_s = until_s

    async def run(self) -> None:
        """Submits the job and polls it until it ends.

        A caller that doesn't learn whether its job was accepted gives it up.
        """
        self._checker.jobs_by_id[self._job.id] = self._job
        body = json.dumps(
            {"spec": self._job.spec, "steps": self._job.steps}
        ).encode()
        for _ in range(SUBMIT_ATTEMPTS):
            status, _ = await self._call("POST", body)
            self._job.statuses.append(status)
            if status in (200, 400, 401, 404):
                break
            await trio.sleep(RETRY_DELAY_S)
        if not self._job.accepted:
            if self._job.statuses[-1] in UNCERTAIN_STATUSES:
                await self._cancel()
            return
        if self._cancels_after_s is not None:
            await trio.sleep(self._cancels_after_s)
            await self._cancel()
        await self._poll()

    async def _cancel(self) -> None:
        self._job.cancel_sent = True
        while trio.current_time() < self._until_s:
            status, _ = await self._call("DELETE", b"")
            if status == 410:
                self._checker.on_not_found(self._job)
            if status in (200, 410):
                self._job.cancelled_s = trio.current_time()
                return
            await trio.sleep(RETRY_DELAY_S)

    async def _poll(self) -> None:
        while trio.current_time() < self._until_s:
            status, response_body = await self._call("GET", b"")
            self._job.last_poll = (trio.current_time(), status)
            if status == 410:
                self._checker.on_not_found(self._job)
            elif status == 200:
                state = json.loads(response_body)["state"]
                self._checker.on_state_reported(self._job, state)
                if state in ("completed", "failed", "cancelled"):
                    return
            await trio.sleep(POLL_INTERVAL_S)

    async def _call(self, method: str, body: bytes) -> tuple[int, bytes]:
        return await self._send_call(method, self._path, body)


def make_call(world: world_lib.World, account: str) -> Call:
    """Returns a function that sends an account's requests to random entries."""

    async def call(method: str, path: str, body: bytes) -> tuple[int, bytes]:
        host = world.rng.choice(world.entries)
        api = host.api
        if api is None:
            await trio.sleep(0.01)
            return 0, b""
        headers = {
            "Host": "host.example",
            "Authorization": f"Bearer key-of-{account}",
            "Timeout-Ms": str(int(CALL_TIMEOUT_S * 1000)),
        }
        answer = None
        with trio.move_on_after(CALL_TIMEOUT_S):
            answer = await asgi.call(api, method, path, body, headers=headers)
        if answer is None or host.api is not api:
            return 0, b""
        return answer

    return call


def follow(
    world: world_lib.World, job: checkers.SubmittedJob, *, for_s: float
) -> Caller:
    """Returns a caller that submits a job to the most urgent queue.

    Args:
        world: the deployment.
        job: the job.
        for_s: how long it polls from now on, in seconds.
    """
    return Caller(
        make_call(world, operator_documents.ACCOUNTS[0]),
        world.checker,
        job,
        path=f"/queue-0/{job.id}",
        cancels_after_s=None,
        until_s=trio.current_time() + for_s,
    )
