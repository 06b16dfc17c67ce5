"""Heartbeats that another writer may send to an agent, for tests.

None of them names a runner to use.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from pimentobridge.testing import odd_entries

if TYPE_CHECKING:
    from pimentobridge.core.jobs import runs

INSTANCES_PATH = "/v1/instances/"
# Far beyond the start of any runner.
LATER_MS = 10**13
OTHER_ID = "i-other"
# Percent-encoded ids that no header can hold, or that are no ids.
ODD_IDS = (
    "i-%FF%FE%E9",
    "i-%E2%82%AC",
    "i-%00",
    "i-1%0D%0AFencing-Token:%209",
    "i-%7F",
    "%20",
    "",
    "i-" + "1" * 5000,
)


class OddHeartbeat(msgspec.Struct, frozen=True):
    """A heartbeat of another writer.

    Attributes:
        kind: what is odd in it.
        path: path of the request, percent-encoded.
        body: body of the request.
    """

    kind: str
    path: str
    body: bytes


def for_worker(own: runs.IncarnationKey) -> list[OddHeartbeat]:
    """Returns heartbeats for the agent of a worker.

    Args:
        own: the present incarnation of the worker.
    """
    whole = _fields()
    odd = [
        _of("other service", OTHER_ID, whole),
        _of("own id, later start", own.worker, whole),
        _of("own id, endless start", own.worker, {**whole, "born": 2**53}),
        _of(
            "own incarnation, other service",
            own.worker,
            {**whole, "born": own.started_ms, "sequence": 2**53},
        ),
        _of(
            "drains under a later start",
            own.worker,
            {**whole, "state": "draining", "remainingMs": 0},
        ),
        _of("unknown state", own.worker, {**whole, "state": "hibernating"}),
        *(
            _of(f"id {number}", worker, {**whole, "service": "plans"})
            for number, worker in enumerate(ODD_IDS)
        ),
        OddHeartbeat("unreadable", _path(own.worker), b"\xff\xfe{"),
        OddHeartbeat("nested", _path(own.worker), odd_entries.NESTED_JSON),
        OddHeartbeat("empty", _path(own.worker), b""),
    ]
    odd += [
        _of(f"without {name}", own.worker, _without(whole, name))
        for name in ("service", "state", "capacity", "sequence", "born")
    ]
    odd += [
        _of(f"{name} of another type", own.worker, {**whole, name: [None]})
        for name in whole
    ]
    return odd


def _fields() -> dict[str, Any]:
    """Returns the fields of a whole heartbeat of an unknown service."""
    return {
        "service": "not-configured",
        "address": "127.0.0.1:9",
        "zone": "north-a",
        "state": "ready",
        "capacity": {"cpu": 32_000, "memMb": 128_000, "gpu": 8},
        "labels": ["a", "rack-0"],
        "clockMs": 1000,
        "sequence": 1,
        "born": LATER_MS,
    }


def _without(fields: dict[str, Any], name: str) -> dict[str, Any]:
    return {key: value for key, value in fields.items() if key != name}


def _path(worker: str) -> str:
    return f"{INSTANCES_PATH}{worker}/heartbeat"


def _of(kind: str, worker: str, fields: dict[str, Any]) -> OddHeartbeat:
    return OddHeartbeat(kind, _path(worker), msgspec.json.encode(fields))
