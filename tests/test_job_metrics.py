from __future__ import annotations

import json
import os

from pimentobridge.daemons import job_metrics
from pimentobridge.daemons import logs


def test_events_and_requests_are_rendered() -> None:
    metrics = job_metrics.Metrics(lambda: {"workers": 3.0})
    logs.event("run ended", task="t", cause="done")
    metrics.observe_request("POST", 200, 0.03)
    text = metrics.render().decode()
    assert 'event="run ended",outcome="done"' in text
    assert "pimentobridge_workers 3" in text
    assert 'method="POST",status="200"' in text


def test_logs_never_wait_and_say_what_they_left_out() -> None:
    reader, writer = os.pipe()
    lines = logs.LineWriter(writer)
    for number in range(20_000):
        lines.write(f'{{"line": {number}}}\n')
    assert lines.total_left_out > 0
    os.set_blocking(reader, False)
    taken = os.read(reader, 10_000_000)
    lines._budget = 10.0
    lines.write('{"line": "last"}\n')
    lines.flush()
    rest = taken + os.read(reader, 10_000_000)
    notes = [json.loads(line) for line in rest.splitlines()]
    left = [note for note in notes if note.get("message")]
    assert sum(note["count"] for note in left) == lines.total_left_out
