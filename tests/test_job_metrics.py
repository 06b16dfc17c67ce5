from __future__ import annotations

import json
import os
import socket

import trio

from pimentobridge.daemons import http_server
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


def test_a_process_works_on_without_its_metrics_port() -> None:
    metrics = job_metrics.Metrics(dict)
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        before = _logged("metrics not served")
        trio.run(http_server.serve_metrics, metrics, address, trio.Event())
    assert _logged("metrics not served") == before + 1


def _logged(message: str) -> int:
    return sum(
        count for (name, _), count in logs.counts.items() if name == message
    )


def test_logs_can_be_closed() -> None:
    reader, writer = os.pipe()
    lines = logs.LineWriter(writer)
    lines.write("last\n")
    lines.close()
    assert os.read(reader, 100) == b"last\n"
