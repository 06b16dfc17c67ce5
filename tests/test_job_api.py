"""Responses to callers, from the HTTP API down to a simulated store."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
import trio

from pimentobridge.bench import harness
from pimentobridge.daemons import fleet_record
from pimentobridge.daemons import http
from pimentobridge.daemons import http_limits
from pimentobridge.daemons import job_api
from pimentobridge.daemons import leadership
from pimentobridge.lab import faulty_client
from pimentobridge.lab import world as world_lib

JOB_ID = "0123456789abcdef"
STEP = {"count": 1, "cpu": 1, "memMb": 1, "gpu": 1, "estimateMs": 1000}
SPEC = json.dumps({"seconds": 1.0, "request": [1, 1, 1]})
VALID_JOB = {"spec": SPEC, "steps": [STEP]}


class Caller:
    """Calls the HTTP API of the entries of a simulated deployment."""

    def __init__(self, world: world_lib.World) -> None:
        self._world = world

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        key: str = world_lib.KEY,
        entry: int = 0,
        timeout_ms: int | str | None = None,
        refused: bool = False,
    ) -> tuple[int, Any]:
        api = self._world.entries[entry].api
        assert api is not None
        encoded_body = (
            body if isinstance(body, bytes) else json.dumps(body).encode()
        )
        sent: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            if refused:
                return {"type": http.REFUSED}
            return {"type": "http.request", "body": encoded_body}

        async def send(event: dict[str, Any]) -> None:
            sent.append(event)

        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "headers": [
                (b"host", b"host.example"),
                (b"authorization", f"Bearer {key}".encode()),
            ],
        }
        if timeout_ms is not None:
            scope["headers"].append(  # type: ignore[attr-defined]
                (b"timeout-ms", str(timeout_ms).encode("latin-1"))
            )
        await api(scope, receive, send)
        answer = sent[1]["body"]
        return sent[0]["status"], json.loads(answer) if answer else None


def run_scenario(
    scenario: Any, *, configured: bool = True, entries: int = 2
) -> Any:
    """Returns a scenario's result from a deployment in virtual time."""

    async def main() -> Any:
        async with trio.open_nursery() as nursery:
            world = world_lib.World(
                rng=random.Random(1),
                nursery=nursery,
                entries=entries,
                workers=2,
            )
            if configured:
                world.put_configuration()
            world.start()
            await trio.sleep(3.0)
            outcome = await scenario(world, Caller(world))
            nursery.cancel_scope.cancel()
        return outcome

    return harness.run_virtual(main)


@pytest.mark.parametrize(
    ("body", "status", "expected_text"),
    [
        (b"{", 400, "can't be read"),
        (b"\xff\xfe", 400, "can't be read"),
        ({"spec": SPEC}, 400, "steps"),
        ({"spec": SPEC, "steps": []}, 400, "no steps"),
        ({"spec": "x" * 4001, "steps": [STEP]}, 400, "4001 bytes"),
        ({"spec": SPEC, "steps": [{**STEP, "after": [0]}]}, 400, "earlier"),
        ({"spec": SPEC, "steps": [{**STEP, "count": 0}]}, 400, "no tasks"),
        ({"spec": SPEC, "steps": [{**STEP, "gpu": -1}]}, 400, "negative"),
        ({"spec": SPEC, "steps": [{**STEP, "gpu": "1"}]}, 400, "read"),
        (b" " * 300_000, 413, "limit"),
        (VALID_JOB, 200, ""),
    ],
)
def test_submission_bodies_are_checked(
    body: object, status: int, expected_text: str
) -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        return await caller.call("POST", f"/queue-1/{JOB_ID}", body)

    actual_status, answer = run_scenario(scenario)
    assert actual_status == status
    assert expected_text in json.dumps(answer)


@pytest.mark.parametrize(
    "timeout_ms",
    ["9" * 5000, "\u00b2", "-1", "1e9", ""],
    ids=["too long", "not ASCII", "negative", "float", "empty"],
)
def test_an_odd_timeout_counts_as_none(timeout_ms: str) -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        return await caller.call(
            "POST", f"/queue-1/{JOB_ID}", VALID_JOB, timeout_ms=timeout_ms
        )

    assert run_scenario(scenario)[0] == 200


def test_refusals_name_what_is_wrong() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        return [
            (await caller.call("POST", f"/queue-9/{JOB_ID}", VALID_JOB))[0],
            (
                await caller.call(
                    "POST", f"/queue-1/{JOB_ID}", VALID_JOB, key="x"
                )
            )[0],
            (await caller.call("POST", "/queue-1/short", VALID_JOB))[0],
            (await caller.call("PUT", f"/queue-1/{JOB_ID}", VALID_JOB))[0],
            (await caller.call("GET", f"/queue-1/{JOB_ID}"))[0],
            (await caller.call("DELETE", f"/queue-1/{JOB_ID}"))[0],
        ]

    assert run_scenario(scenario) == [404, 401, 400, 405, 410, 410]


def test_requests_are_refused_without_a_configuration() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        return [
            (await caller.call("POST", f"/queue-1/{JOB_ID}", VALID_JOB))[0],
            (await caller.call("GET", "/v1/readiness"))[0],
        ]

    assert run_scenario(scenario, configured=False) == [503, 503]


def test_a_request_waits_for_the_configuration_of_a_new_entry() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        world.entries[0].kill()
        while world.entries[0].api is not None:
            await trio.sleep(0.01)
        while world.entries[0].api is None:
            await trio.sleep(0.01)
        return (await caller.call("POST", f"/queue-1/{JOB_ID}", VALID_JOB))[0]

    assert run_scenario(scenario) == 200


def test_a_job_from_submission_to_its_end() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        answers = [
            (await caller.call("POST", f"/queue-1/{JOB_ID}", VALID_JOB))[0]
        ]
        answers.append(
            (await caller.call("POST", f"/queue-1/{JOB_ID}", VALID_JOB))[0]
        )
        await trio.sleep(0.5)
        for entry in (0, 1):
            _, answer = await caller.call(
                "GET", f"/queue-1/{JOB_ID}", entry=entry
            )
            answers.append(answer["state"])
        await trio.sleep(1.5)
        for entry in (0, 1):
            _, answer = await caller.call(
                "GET", f"/queue-1/{JOB_ID}", entry=entry
            )
            answers.append(answer["state"])
        return answers, world.checker.started

    answers, started = run_scenario(scenario)
    assert answers == [200, 200, *["running"] * 2, *["completed"] * 2]
    assert started == 1


def test_pending_counts_jobs_that_have_not_begun() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        unplaceable = {"spec": SPEC, "steps": [{**STEP, "gpu": 99}]}
        await caller.call("POST", f"/queue-1/{JOB_ID}", unplaceable)
        await trio.sleep(1.0)
        return [
            (await caller.call("GET", "/queue-1/", entry=entry))[1]
            for entry in (0, 1)
        ]

    assert run_scenario(scenario) == [{"pending": 1}, {"pending": 1}]


def test_ended_jobs_are_deleted_after_their_retention() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        await caller.call("POST", f"/queue-1/{JOB_ID}", VALID_JOB)
        await trio.sleep(122.0)
        during, answer = await caller.call("GET", f"/queue-1/{JOB_ID}")
        await trio.sleep(80.0)
        after, _ = await caller.call("GET", f"/queue-1/{JOB_ID}", entry=1)
        remaining = [key for key in world.store.keys if JOB_ID in key]
        return during, answer, after, remaining

    assert run_scenario(scenario) == (200, {"state": "completed"}, 410, [])


def test_an_isolated_entry_gets_the_configuration_from_another() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        world.store_faults.outage_by_node[world.entries[0].node] = (
            faulty_client.OutageMode.SILENT
        )
        await trio.sleep(3.0)
        world.put_configuration()
        await trio.sleep(2.0)
        return [
            host.entry.configuration.version == world.version
            for host in world.entries
            if host.entry is not None and host.entry.configuration is not None
        ]

    assert run_scenario(scenario) == [True, True]


def test_a_submission_fails_at_once_while_the_store_is_unavailable() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        world.store_faults.outage = faulty_client.OutageMode.BUSY
        await trio.sleep(2.0)
        start_s = trio.current_time()
        status, answer = await caller.call(
            "POST", f"/queue-1/{JOB_ID}", VALID_JOB
        )
        world.store_faults.outage = None
        await trio.sleep(10.0)
        return (
            status,
            trio.current_time() - 10.0 - start_s,
            answer,
            world.checker.started,
        )

    status, waited_s, answer, started = run_scenario(scenario)
    assert status == 503
    assert "not run" in answer["error"]
    assert waited_s < 0.15
    assert started == 0


# Guards against refusals that wait for entries which are known to lack the
# store as well: seen in a trial of relays through several entries, issue 20.
def test_no_write_is_relayed_while_the_store_is_away_for_all() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        world.store_faults.outage = faulty_client.OutageMode.BUSY
        await trio.sleep(2.0)
        start_s = trio.current_time()
        await caller.call("POST", f"/queue-1/{JOB_ID}", VALID_JOB)
        return trio.current_time() - start_s

    assert run_scenario(scenario, entries=3) == 0.0


def test_a_write_that_may_take_effect_is_not_reported_as_not_run() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        world.store_faults.late_execution_rate = 1.0
        statuses = []
        for _ in range(3):
            status, _ = await caller.call(
                "POST", f"/queue-1/{JOB_ID}", VALID_JOB
            )
            statuses.append(status)
        world.store_faults.late_execution_rate = 0.0
        await trio.sleep(12.0)
        _, answer = await caller.call("GET", f"/queue-1/{JOB_ID}")
        return statuses, answer

    statuses, answer = run_scenario(scenario)
    assert 503 not in statuses
    assert answer == {"state": "completed"}


def test_an_uncertain_write_is_remembered_through_an_outage() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        world.store_faults.late_execution_rate = 1.0
        first, _ = await caller.call("POST", f"/queue-1/{JOB_ID}", VALID_JOB)
        world.store_faults.late_execution_rate = 0.0
        world.store_faults.outage = faulty_client.OutageMode.BUSY
        await trio.sleep(1.0)
        second, _ = await caller.call("POST", f"/queue-1/{JOB_ID}", VALID_JOB)
        return first, second

    assert run_scenario(scenario) == (504, 504)


def test_a_retry_succeeds_soon_after_the_store_is_back() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        world.store_faults.outage = faulty_client.OutageMode.BUSY
        await trio.sleep(2.0)
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:

            async def restore_store() -> None:
                await trio.sleep(0.6)
                world.store_faults.outage = None

            nursery.start_soon(restore_store)
            status = 503
            while status == 503:
                status, answer = await caller.call(
                    "POST", f"/queue-1/{JOB_ID}", VALID_JOB
                )
                if status == 503:
                    await trio.sleep(answer["retry_after_s"])
        return status, trio.current_time() - start_s

    status, waited_s = run_scenario(scenario)
    assert status == 200
    # Half of a caller's timeout remains for a second outage.
    assert waited_s < job_api.DEFAULT_TIMEOUT_S / 2


def test_an_isolated_entry_submits_through_another() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        cut_off_node = world.entries[0].node
        world.store_faults.outage_by_node[cut_off_node] = (
            faulty_client.OutageMode.BUSY
        )
        await trio.sleep(1.0)
        status, _ = await caller.call("POST", f"/queue-1/{JOB_ID}", VALID_JOB)
        await trio.sleep(5.0)
        _, answer = await caller.call("GET", f"/queue-1/{JOB_ID}", entry=1)
        return status, answer

    assert run_scenario(scenario) == (200, {"state": "completed"})


# Guards against writes that are relayed only to the scheduler, though it is cut
# off from the store too: five callers of one zone in a play of issue 20.
@pytest.mark.parametrize("mode", list(faulty_client.OutageMode))
def test_an_isolated_entry_submits_through_any_other(
    mode: faulty_client.OutageMode,
) -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        leader = next(
            number
            for number, host in enumerate(world.entries)
            if host.entry is not None and host.entry.leadership.is_leader
        )
        for number in (leader, leader - 1):
            node = world.entries[number].node
            world.store_faults.outage_by_node[node] = mode
        await trio.sleep(1.0)
        status, _ = await caller.call(
            "POST",
            f"/queue-1/{JOB_ID}",
            VALID_JOB,
            entry=(leader - 1) % len(world.entries),
        )
        return status

    assert run_scenario(scenario, entries=3) == 200


# Guards against SHORT (issue 23): jobs waited until the lease had expired of a
# scheduler that the store turned away.
@pytest.mark.parametrize(
    "mode",
    [faulty_client.OutageMode.BUSY, faulty_client.OutageMode.RESET],
)
def test_a_scheduler_that_the_store_turns_away_hands_over(
    mode: faulty_client.OutageMode,
) -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        leader = _leader_of(world)
        node = world.entries[leader].node
        world.store_faults.outage_by_node[node] = mode
        await trio.sleep(leadership.HANDOVER_AFTER_S + 0.7)
        return leader, _leader_of(world)

    before, after = run_scenario(scenario)
    assert after not in (None, before)


def test_a_scheduler_stays_while_the_store_turns_everybody_away() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        leader = _leader_of(world)
        world.store_faults.outage = faulty_client.OutageMode.BUSY
        await trio.sleep(1.5)
        after = _leader_of(world)
        world.store_faults.outage = None
        return leader, after

    before, after = run_scenario(scenario)
    assert after == before


def _leader_of(world: world_lib.World) -> int | None:
    return next(
        (
            number
            for number, host in enumerate(world.entries)
            if host.entry is not None and host.entry.leadership.is_leader
        ),
        None,
    )


# Guards against callers that are held until their own timeout while several
# entries are asked in turn: seen on lunetta-try with issue 20.
def test_a_write_asks_silent_entries_at_the_same_time() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        for host in world.entries[1:]:
            world.network.faults.isolated.add(host.address)
        cut_off_node = world.entries[0].node
        world.store_faults.outage_by_node[cut_off_node] = (
            faulty_client.OutageMode.BUSY
        )
        await trio.sleep(1.0)
        start_s = trio.current_time()
        await caller.call("POST", f"/queue-1/{JOB_ID}", VALID_JOB)
        return trio.current_time() - start_s

    waited_s = run_scenario(scenario, entries=4)
    assert waited_s < job_api.DEFAULT_TIMEOUT_S / 3


# Guards against an answer that comes after its caller's timeout, when little of
# it is left: seen on lunetta-try with issue 20.
def test_an_answer_comes_before_a_short_timeout() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        world.store_faults.outage = faulty_client.OutageMode.SILENT
        start_s = trio.current_time()
        status, _ = await caller.call(
            "POST", f"/queue-1/{JOB_ID}", VALID_JOB, timeout_ms=400
        )
        return status, trio.current_time() - start_s

    status, waited_s = run_scenario(scenario)
    assert status == 504
    assert waited_s < 0.4


# Guards against an end that callers of a cut-off entry learn only when the
# store answers that entry again: found with issue 20.
@pytest.mark.parametrize("mode", list(faulty_client.OutageMode))
def test_an_isolated_entry_tells_the_end_of_a_job(
    mode: faulty_client.OutageMode,
) -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        await caller.call("POST", f"/queue-1/{JOB_ID}", VALID_JOB)
        cut_off_node = world.entries[0].node
        world.store_faults.outage_by_node[cut_off_node] = mode
        await trio.sleep(5.0)
        return (await caller.call("GET", f"/queue-1/{JOB_ID}"))[1]

    assert run_scenario(scenario) == {"state": "completed"}


@pytest.mark.parametrize("delay_s", [0.001, 0.3])
def test_an_isolated_entry_learns_of_a_job_submitted_elsewhere(
    delay_s: float,
) -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        world.network.local_s = delay_s
        cut_off_node = world.entries[0].node
        world.store_faults.outage_by_node[cut_off_node] = (
            faulty_client.OutageMode.RESET
        )
        await trio.sleep(1.0)
        await caller.call("POST", f"/queue-1/{JOB_ID}", VALID_JOB, entry=1)
        await trio.sleep(8.0)
        return (await caller.call("GET", f"/queue-1/{JOB_ID}"))[1]

    assert run_scenario(scenario, entries=4) == {"state": "completed"}


# Guards against callers that stay with an entry that can tell them nothing new:
# found with issue 20.
def test_an_entry_is_ready_unless_it_is_cut_off_from_all_others() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        async def status() -> int:
            await trio.sleep(5.0)
            return (await caller.call("GET", "/v1/readiness"))[0]

        statuses = [await status()]
        world.store_faults.outage = faulty_client.OutageMode.RESET
        statuses.append(await status())
        world.network.faults.isolated.add(world.entries[0].address)
        statuses.append(await status())
        world.store_faults.outage = None
        statuses.append(await status())
        return statuses

    assert run_scenario(scenario) == [200, 200, 503, 200]


# Guards against waits of urgent jobs for a worker that is down: its agent went
# on reporting it as free until it was back, seconds later.
def test_no_task_is_placed_on_a_worker_that_refuses_connections() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        for host in world.workers[:-1]:
            host.runner.crash()
        await trio.sleep(0.5)
        await caller.call("POST", f"/queue-0/{JOB_ID}", VALID_JOB)
        await trio.sleep(0.8)
        return world.checker.started

    assert run_scenario(scenario) == 1


def test_a_job_larger_than_the_whole_fleet_is_refused_at_once() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        await trio.sleep(fleet_record.SETTLE_S + 3.0)
        gang = {**STEP, "gpu": 8, "gang": True}
        path = f"/queue-1/{JOB_ID}"
        too_wide = {"spec": SPEC, "steps": [{**gang, "count": 3}]}
        fitting = {"spec": SPEC, "steps": [{**gang, "count": 2}]}
        return [
            await caller.call("POST", path, too_wide),
            await caller.call("GET", path),
            await caller.call("POST", path, fitting),
        ]

    refused, unknown, accepted = run_scenario(scenario)
    assert refused[0] == 400
    assert "needs 3 tasks" in refused[1]["error"]
    assert unknown[0] == 410
    assert accepted[0] == 200


def test_a_refused_submission_has_not_run() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        path = f"/queue-1/{JOB_ID}"
        refused = await caller.call("POST", path, VALID_JOB, refused=True)
        state = await caller.call("GET", path)
        return refused[0], state[0]

    assert run_scenario(scenario) == (503, 410)


def test_a_refused_repetition_of_a_submission_is_not_called_not_run() -> None:
    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        path = f"/queue-1/{JOB_ID}"
        accepted = await caller.call("POST", path, VALID_JOB)
        refused = await caller.call("POST", path, VALID_JOB, refused=True)
        return accepted[0], refused[0]

    assert run_scenario(scenario) == (200, 504)


def test_jobs_beyond_the_memory_of_an_entry_are_refused() -> None:
    record_bytes = 100_000
    large_job = {"spec": SPEC, "steps": [{**STEP, "image": "i" * 20_000}]}

    async def scenario(world: world_lib.World, caller: Caller) -> Any:
        machine = world.entries[0]
        assert machine.api is not None
        limits = http_limits.Limits(
            request_bytes=record_bytes,
            connections=1,
            unread=1,
            record_bytes=record_bytes,
            tasks=10_000,
        )
        machine.api = job_api.CallerApi(
            machine.api._entry,
            clock=machine.api._clock,
            ledger=http_limits.Ledger(limits, machine.api._clock),
        )
        statuses = [
            (await caller.call("POST", f"/queue-1/{n:016x}", large_job))[0]
            for n in range(6)
        ]
        repeated = await caller.call("POST", f"/queue-1/{0:016x}", large_job)
        small = await caller.call("POST", f"/queue-1/{JOB_ID}", VALID_JOB)
        return statuses, repeated[0], small[0]

    statuses, repeated, small = run_scenario(scenario)
    assert statuses[0] == 200
    assert statuses[-1] == 503
    assert sorted(statuses) == statuses
    assert (repeated, small) == (200, 200)
