"""Cancels of jobs whose submissions are on their way to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import result
import trio

from pimentobridge.core import types
from pimentobridge.daemons import keys
from pimentobridge.daemons import stored_jobs
from pimentobridge.lab import callers
from pimentobridge.lab import faulty_client
from pimentobridge.lab import scenario as scenario_lib

if TYPE_CHECKING:
    import pytest

    from pimentobridge.lab import world as world_lib

JOB = callers.one_task_job(1.0)
JOB_ID = types.JobId(JOB.id)
BODY = {"spec": JOB.spec, "steps": JOB.steps}
# The store carries out a late call within this time, and a task then starts.
SETTLED_S = 12.0


class _Client:
    """Calls the entries, and counts the runs of the job."""

    def __init__(self, world: world_lib.World) -> None:
        self.world = world
        world.checker.jobs_by_id[JOB.id] = callers.one_task_job(1.0)

    async def call(self, method: str, entry: int, *, id_: str = JOB_ID) -> int:
        body = BODY if method == "POST" else None
        return await scenario_lib.call(
            self.world, method, f"/queue-0/{id_}", body, entry=entry
        )

    @property
    def started(self) -> int:
        return self.world.checker.started


def _run(scenario: Any) -> Any:
    return scenario_lib.run(lambda world: scenario(_Client(world)), entries=2)


# Guards against UNASKED (issue 48, review/9): a submission that was held up in
# a suspended entry was stored after another entry had answered its cancel.
def test_a_submission_after_its_cancel_is_not_stored() -> None:
    async def scenario(client: _Client) -> Any:
        statuses = [
            await client.call("DELETE", 1),
            await client.call("GET", 1),
            await client.call("POST", 0),
            await client.call("POST", 1),
        ]
        await trio.sleep(SETTLED_S)
        statuses.append(await client.call("GET", 0))
        return statuses, client.started

    assert _run(scenario) == ([410, 410, 410, 410, 410], 0)


# Guards against UNASKED (issue 48, review/9): the store carries out a write
# late, after the cancel of the job.
def test_a_submission_that_the_store_executes_late_has_no_effect() -> None:
    async def scenario(client: _Client) -> Any:
        client.world.store_faults.late_execution_rate = 1.0
        submitted = await client.call("POST", 0)
        client.world.store_faults.late_execution_rate = 0.0
        cancelled = await client.call("DELETE", 1)
        await trio.sleep(SETTLED_S)
        state = await client.call("GET", 0)
        return submitted, cancelled, state, client.started

    assert _run(scenario) == (504, 410, 410, 0)


# Guards against UNASKED (issue 48, review/9): an entry that the store doesn't
# answer cancels through another one.
def test_a_relayed_cancel_keeps_the_submission_from_being_stored() -> None:
    async def scenario(client: _Client) -> Any:
        outages = client.world.store_faults.outage_by_node
        outages["entry-0"] = faulty_client.OutageMode.BUSY
        await trio.sleep(2.0)
        cancelled = await client.call("DELETE", 0)
        outages.clear()
        submitted = await client.call("POST", 0)
        await trio.sleep(SETTLED_S)
        return cancelled, submitted, client.started

    assert _run(scenario) == (410, 410, 0)


# Guards against a cancel that is lost because the job is stored at that moment.
def test_a_cancel_that_meets_the_submission_cancels_the_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(client: _Client) -> Any:
        entry = client.world.entries[1].entry
        assert entry is not None
        submitted = await client.call("POST", 0)

        async def get_before_submission(key: str) -> Any:
            del key
            return result.Ok(None)

        monkeypatch.setattr(entry._store, "get", get_before_submission)
        cancelled = await client.call("DELETE", 1)
        monkeypatch.undo()
        await trio.sleep(0.5)
        state = await entry.state_of(JOB_ID, trio.current_time() + 1.0)
        return submitted, cancelled, state.value

    assert _run(scenario) == (200, 200, "cancelled")


def test_tombstones_are_deleted_after_the_retention_of_jobs() -> None:
    async def scenario(client: _Client) -> Any:
        for number in range(40):
            await client.call("DELETE", 0, id_=f"{number:016x}")
        stored = [key for key in client.world.store.keys if keys.JOBS in key]
        await trio.sleep(200.0)
        left = [key for key in client.world.store.keys if keys.JOBS in key]
        entries = [host.entry for host in client.world.entries]
        known = [
            len(entry.stored_jobs.seen_s_by_tombstone)
            for entry in entries
            if entry is not None
        ]
        return len(stored), left, known

    assert _run(scenario) == (40, [], [0, 0])


# Guards against an entry whose memory callers fill with cancels.
def test_cancels_beyond_the_limit_on_tombstones_are_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stored_jobs, "MAX_TOMBSTONES", 2)

    async def scenario(client: _Client) -> Any:
        submitted = await client.call("POST", 0)
        statuses = [
            await client.call("DELETE", 0, id_=f"{number:016x}")
            for number in range(3)
        ]
        return submitted, statuses, await client.call("DELETE", 0)

    assert _run(scenario) == (200, [410, 410, 503], 200)
