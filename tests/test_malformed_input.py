"""One odd message or entry of another writer must not end a process.

Operators of similar systems reported entries that were deeply nested, held
numbers that are too large or named a port out of range: processes that read
them ended again and again.
"""

from __future__ import annotations

import base64
import json
import random
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest
import trio

from pimentobridge.bench import harness
from pimentobridge.core import decoding
from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.daemons import job_items
from pimentobridge.daemons import keys
from pimentobridge.daemons import scheduling
from pimentobridge.daemons import unreadable
from pimentobridge.lab import callers
from pimentobridge.lab import world as world_lib
from pimentobridge.platform import heartbeats
from pimentobridge.platform import http_client
from pimentobridge.platform import kv_store
from pimentobridge.platform import operator_configuration
from pimentobridge.platform import submissions
from pimentobridge.protocol import addresses
from pimentobridge.protocol import control
from pimentobridge.protocol import zmq_transport
from pimentobridge.testing import engine_harness
from pimentobridge.testing import odd_entries

fuzz = settings(derandomize=True, max_examples=150, deadline=None)


@pytest.mark.parametrize(
    "decode",
    [
        lambda body: heartbeats.decode("w", body),
        operator_configuration.decode,
    ],
    ids=["heartbeat", "configuration"],
)
def test_a_deeply_nested_body_is_a_typed_error(decode: Any) -> None:
    with pytest.raises(decoding.MalformedError):
        decode(odd_entries.NESTED_JSON)


def test_a_deeply_nested_submission_is_invalid() -> None:
    decoded = submissions.decode(
        odd_entries.NESTED_JSON,
        job=odd_entries.JOB,
        queue=engine_harness.queue(),
        account=types.AccountName("t"),
        now_ms=1,
    )
    assert decoded.is_err()


def test_a_deeply_nested_answer_counts_as_empty() -> None:
    assert http_client._decoded(odd_entries.NESTED_JSON) == {}  # noqa: SLF001


@pytest.mark.parametrize("number", [10**30, -1, 2**63], ids=str)
@pytest.mark.parametrize("field", ["cpu", "memMb", "gpu"])
def test_a_heartbeat_with_an_impossible_capacity_is_malformed(
    field: str, number: int
) -> None:
    body = {
        "service": "s",
        "address": "a:1",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 1, "memMb": 1, "gpu": 1, field: number},
        "labels": [],
        "sequence": 1,
        "born": 1,
    }
    with pytest.raises(decoding.MalformedError):
        heartbeats.decode("w", json.dumps(body).encode())


@pytest.mark.parametrize("revision", [float("inf"), float("nan"), 10**30, "1"])
def test_an_item_with_an_odd_revision_is_left_out(revision: Any) -> None:
    row = {"key": "k", "value": "", "revision": revision}
    assert kv_store._decoded_item(row) is None  # noqa: SLF001


@fuzz
@given(data=strategies.binary(max_size=80))
def test_record_decoders_raise_only_their_typed_error(data: bytes) -> None:
    with pytest.raises(decoding.MalformedError):
        progress_lib.decode_job(data)
    job = engine_harness.job()
    try:
        progress = progress_lib.decode_progress(data, job)
    except decoding.MalformedError:
        return
    assert isinstance(progress, progress_lib.Progress)


def test_progress_of_other_steps_is_malformed() -> None:
    job = engine_harness.job()
    other = engine_harness.job("e" * 16, model.Step(3, engine_harness.GPU))
    progress = progress_lib.Progress(
        occurrences_by_number={0: progress_lib.new_occurrence(other)}
    )
    with pytest.raises(decoding.MalformedError):
        progress_lib.decode_progress(
            progress_lib.encode_progress(progress), job
        )


def test_an_active_unit_without_placements_is_malformed() -> None:
    job = engine_harness.job()
    occurrence = progress_lib.new_occurrence(job)
    occurrence.steps[0][0].status = progress_lib.UnitStatus.ACTIVE
    record = progress_lib.encode_progress(
        progress_lib.Progress(occurrences_by_number={0: occurrence})
    )
    with pytest.raises(decoding.MalformedError):
        progress_lib.decode_progress(record, job)


class _Scheduler:
    """Collects what a snapshot adds to a scheduler."""

    def __init__(self) -> None:
        self.jobs: list[types.JobId] = []
        self.agents: list[types.Address] = []

    def put_job(
        self, job: model.Job, progress: Any = None, *, revision: int = 0
    ) -> None:
        del progress, revision
        self.jobs.append(job.id)

    def add_agent(self, agent: types.Address) -> None:
        self.agents.append(agent)

    add_agent_of = scheduling.Scheduler.add_agent_of


def _items(**values_by_key: bytes) -> dict[str, kv_store.Item]:
    return {
        key: kv_store.Item(key, value, 1)
        for key, value in values_by_key.items()
    }


@pytest.mark.parametrize(
    "record",
    odd_entries.job_records().values(),
    ids=odd_entries.job_records().keys(),
)
def test_a_new_scheduler_sets_an_odd_job_aside(record: bytes) -> None:
    good = engine_harness.job()
    items = _items(
        **{
            keys.job(odd_entries.JOB): record,
            keys.job(good.id): progress_lib.encode_job(good),
        }
    )
    scheduler = _Scheduler()
    scheduling.load_snapshot(scheduler, items)  # type: ignore[arg-type]
    assert scheduler.jobs == [good.id]


# A job whose progress can't be read may have run: starting it could run it
# twice, even when its submission changes later.
def test_a_job_with_odd_progress_is_not_started() -> None:
    job = engine_harness.job()
    items = _items(
        **{
            keys.job(job.id): progress_lib.encode_job(job),
            keys.progress(job.id): odd_entries.NESTED_RECORD,
        }
    )
    scheduler = _Scheduler()
    scheduling.load_snapshot(scheduler, items)  # type: ignore[arg-type]
    scheduling.load_job(scheduler, items[keys.job(job.id)], items)  # type: ignore[arg-type]
    assert scheduler.jobs == []


@pytest.mark.parametrize("address", odd_entries.ADDRESSES)
def test_an_odd_address_among_the_agents_is_skipped(address: str) -> None:
    good = types.Address("tcp://10.0.0.1:7000")
    items = _items(
        **{keys.AGENTS + address: b"north", keys.agent(good): b"north"}
    )
    scheduler = _Scheduler()
    scheduling.load_snapshot(scheduler, items)  # type: ignore[arg-type]
    assert scheduler.agents == [good]


@pytest.mark.parametrize(
    "address",
    ["tcp://10.0.0.7:7000", "tcp://[fe80::1]:65535", "tcp://host-1:1"],
)
def test_addresses_of_processes_are_valid(address: str) -> None:
    assert addresses.is_valid(address)


@pytest.mark.parametrize("address", odd_entries.ADDRESSES)
def test_sending_to_an_odd_address_drops_the_message(address: str) -> None:
    async def send() -> int:
        endpoint = zmq_transport.ZmqEndpoint(types.Address("tcp://127.0.0.1:*"))
        endpoint.send(types.Address(address), control.StoreProbe())
        endpoint.close()
        return endpoint.dropped_frames

    assert trio.run(send) == 1


def test_odd_data_is_logged_once(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[str] = []
    monkeypatch.setattr(
        unreadable.logs, "event", lambda message, **_: logged.append(message)
    )
    # Other tests leave other jobs' records.
    key = keys.job(types.JobId("9" * 16))
    item = kv_store.Item(key, odd_entries.NESTED_RECORD, 1)
    assert job_items.read_job(item) is None
    assert job_items.read_job(item) is None
    assert logged == ["unreadable data skipped"]


async def _answers_about_an_odd_job() -> list[int]:
    """Returns the statuses of calls for a job whose record is odd."""
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=1, workers=1
        )
        world.put_configuration()
        world.start()
        await trio.sleep(2.0)
        world.store.put(
            keys.job(odd_entries.JOB),
            base64.b64encode(odd_entries.NESTED_RECORD).decode(),
        )
        await trio.sleep(1.0)
        call = callers.make_call(world, "shop")
        path = f"/queue-0/{odd_entries.JOB}"
        body = b'{"spec": "", "steps": [{"count": 1, "gpu": 1}]}'
        answers = [
            await call("GET", path, b""),
            await call("POST", path, body),
            await call("DELETE", path, b""),
        ]
        nursery.cancel_scope.cancel()
    return [status for status, _ in answers]


# Whether the job has run isn't known: neither "accepted" nor "not run" nor "no
# such job" would be true.
def test_callers_are_told_that_an_odd_jobs_outcome_is_unknown() -> None:
    assert harness.run_virtual(_answers_about_an_odd_job, seed=1) == [504] * 3
