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


def test_log_writer_never_blocks_and_reports_dropped_lines() -> None:
    reader, writer = os.pipe()
    lines = logs.LineWriter(writer)
    for number in range(20_000):
        lines.write(f'{{"line": {number}}}\n')
    assert lines.total_dropped > 0
    os.set_blocking(reader, False)
    first_output = os.read(reader, 10_000_000)
    lines._tokens = 10.0
    lines.write('{"line": "last"}\n')
    lines.flush()
    output = first_output + os.read(reader, 10_000_000)
    entries = [json.loads(line) for line in output.splitlines()]
    notices = [entry for entry in entries if entry.get("message")]
    assert sum(notice["count"] for notice in notices) == lines.total_dropped


def test_a_metrics_port_in_use_is_logged_and_not_fatal() -> None:
    metrics = job_metrics.Metrics(dict)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        before = _count_of("metrics not served")
        trio.run(http_server.serve_metrics, metrics, address, trio.Event())
    assert _count_of("metrics not served") == before + 1


def _count_of(message: str) -> int:
    return sum(
        count
        for (name, _), count in logs.event_counts.items()
        if name == message
    )


def test_log_writer_can_be_closed() -> None:
    reader, writer = os.pipe()
    lines = logs.LineWriter(writer)
    lines.write("last\n")
    lines.close()
    assert os.read(reader, 100) == b"last\n"
