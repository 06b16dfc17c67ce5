"""Runs a scenario in a simulated deployment, in virtual time."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING
from typing import TypeVar

import trio

from pimentobridge.bench import harness
from pimentobridge.lab import checkers
from pimentobridge.lab import operator_documents
from pimentobridge.lab import world as world_lib
from pimentobridge.testing import asgi
from pimentobridge.testing import platform_store

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

T = TypeVar("T")

# Time in which all processes start and an entry begins to schedule.
START_S = 4.0
HEADERS = {"Host": "host.example", "Authorization": f"Bearer {world_lib.KEY}"}


def run(
    scenario: Callable[[world_lib.World], Awaitable[T]],
    *,
    entries: int = 1,
    workers: int = 2,
    max_value_bytes: int = platform_store.MAX_VALUE_BYTES,
) -> T:
    """Returns the result of a scenario.

    Args:
        scenario: runs once all processes have started.
        entries: number of entries.
        workers: number of workers.
        max_value_bytes: limit of the store on a value.
    """

    async def main() -> T:
        async with trio.open_nursery() as nursery:
            world = world_lib.World(
                rng=random.Random(1),
                nursery=nursery,
                entries=entries,
                workers=workers,
            )
            world.store.max_value_bytes = max_value_bytes
            world.put_configuration()
            world.start()
            await trio.sleep(START_S)
            outcome = await scenario(world)
            nursery.cancel_scope.cancel()
        return outcome

    result: T = harness.run_virtual(main)
    return result


async def call(
    world: world_lib.World,
    method: str,
    path: str,
    body: object | None = None,
    *,
    entry: int = 0,
) -> int:
    """Returns the status of a call at an entry; 0 if there is no response."""
    api = world.entries[entry].api
    data = b"" if body is None else json.dumps(body).encode()
    answer = await asgi.call(api, method, path, data, headers=HEADERS)
    return 0 if answer is None else answer[0]


def job_of_small_tasks(
    job_id: str, tasks: int, *, seconds: float, spec_bytes: int = 0
) -> checkers.SubmittedJob:
    """Returns a job of tasks of which over a thousand fit on a worker.

    Args:
        job_id: id of the job.
        tasks: number of its tasks.
        seconds: work of a task, which is also its estimate.
        spec_bytes: length to which the spec is filled up.
    """
    spec = {"seconds": seconds, "request": [20, 50, 0], "text": ""}
    spec["text"] = "x" * (spec_bytes - len(json.dumps(spec)))
    step: dict[str, object] = {
        "count": tasks,
        "cpu": 20,
        "memMb": 50,
        "estimateMs": seconds * 1000,
    }
    return checkers.SubmittedJob(
        id=job_id,
        spec=json.dumps(spec),
        steps=[step],
        max_attempts=operator_documents.MAX_ATTEMPTS,
    )
