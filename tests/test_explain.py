from __future__ import annotations

import io
import json
from typing import TYPE_CHECKING

from pimentobridge.cli import main

if TYPE_CHECKING:
    import pytest

EVENTS = [
    {
        "time": 2.0,
        "node": "agent",
        "message": "start ordered",
        "task": "ab.0.0.1",
    },
    {"time": 1.0, "node": "entry", "message": "job submitted", "job": "ab"},
    {"time": 1.5, "node": "entry", "message": "store lost", "why": "unknown"},
    {"time": 1.2, "node": "entry", "message": "job submitted", "job": "abc"},
    {"time": 1.6, "node": "entry", "message": "worker gone", "worker": "w"},
]


def _explain(
    monkeypatch: pytest.MonkeyPatch, *arguments: str
) -> tuple[int, str]:
    text = "\n".join(f" 12.3 entry {json.dumps(event)}" for event in EVENTS)
    stdout = io.StringIO()
    monkeypatch.setattr("sys.stdin", io.StringIO(text + "\nnot json {\n"))
    monkeypatch.setattr("sys.stdout", stdout)
    return main.main(["explain", *arguments]), stdout.getvalue()


def test_events_of_one_id_are_printed_in_time_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    code, output = _explain(monkeypatch, "ab")
    assert code == 0
    assert [line.split()[3:5] for line in output.splitlines()] == [
        ["job", "submitted:"],
        ["start", "ordered:"],
    ]


def test_context_adds_events_that_may_affect_any_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _, output = _explain(monkeypatch, "ab", "--context")
    assert "store lost" in output
    assert "worker gone" in output
    assert "abc" not in output


def test_an_unknown_id_exits_with_1_and_a_hint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    code, output = _explain(monkeypatch, "zz")
    assert code == 1
    assert "logs of all machines" in output
