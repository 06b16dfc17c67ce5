"""Entries that another writer may leave in the store, for tests.

Each is malformed in a way that has ended processes which read it.
"""

from __future__ import annotations

import msgspec

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress
from pimentobridge.daemons import keys
from pimentobridge.platform import operator_requests
from pimentobridge.testing import engine_harness

NESTING = 100_000
NESTED_JSON = (
    b'{"unknown": ' + b"[" * NESTING + b"]" * NESTING + b', "version": 1}'
)
NESTED_RECORD = b"\x91" * NESTING + b"\x90"
ADDRESSES = (
    "",
    "garbage",
    "tcp://127.0.0.1:x",
    "tcp://127.0.0.1:0",
    "tcp://127.0.0.1:99999",
    "tcp://[::1",
    "tcp://[:::1]:7000",
    "tcp://*:7000",
    "tcp://" + "a" * 1000 + ":7000",
    "tcp://127.0.0.1:7000\n",
    "inproc://x",
)
JOB = types.JobId("f" * 16)


def job_records() -> dict[str, bytes]:
    """Returns malformed records of the job `JOB`, by what is odd in them."""
    job = engine_harness.job(JOB)
    negative = model.Step(1, model.Resources(-1))
    circular = model.Step(1, engine_harness.GPU, after=(0,))
    return {
        "nested": NESTED_RECORD,
        "garbage": b"garbage",
        "empty": b"",
        "truncated": progress.encode_job(job)[:-3],
        "no steps": progress.encode_job(msgspec.structs.replace(job, steps=())),
        "negative amount": progress.encode_job(
            engine_harness.job(JOB, negative)
        ),
        "step after itself": progress.encode_job(
            engine_harness.job(JOB, circular)
        ),
        "another job's": progress.encode_job(engine_harness.job("e" * 16)),
    }


def values_by_key() -> dict[str, bytes]:
    """Returns odd entries among the agents, entries, jobs and evacuations.

    They include the leader's key, which no process holds then.
    """
    entries = {
        keys.LEADER: NESTED_JSON,
        operator_requests.EVACUATE: b"{}",
        operator_requests.EVACUATE + "z" * 1000: b"{}",
        operator_requests.EVACUATE + "nowhere": NESTED_JSON,
    }
    for number, address in enumerate(ADDRESSES):
        prefix = (keys.AGENTS, keys.ENTRIES)[number % 2]
        entries[prefix + address] = b"odd"
    for number, record in enumerate(job_records().values()):
        entries[keys.job(types.JobId(f"{number:016x}"))] = record
    return entries
