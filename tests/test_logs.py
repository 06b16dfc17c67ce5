"""Logs of a process: JSON on standard output, and never in its way."""

from __future__ import annotations

import json
import subprocess
import sys
import time

# Several times what a pipe holds that nobody reads.
LINES = 20_000
SCRIPT = f"""
from pimentobridge.daemons import logs
logs.set_up("node-1")
for number in range({LINES}):
    logs.event("number counted", number=number)
"""
# A process that writes without blocking takes under 2 s.
TIMEOUT_S = 20.0


# Guards against blocking: lines went to standard error, which has no limit and
# waits for its reader, with a first line that isn't JSON.
def test_events_go_to_standard_output_as_json_only() -> None:
    ended = subprocess.run(
        [sys.executable, "-c", SCRIPT],
        capture_output=True,
        timeout=TIMEOUT_S,
        check=True,
    )
    assert ended.stderr == b""
    lines = ended.stdout.splitlines()
    assert json.loads(lines[0])["message"] == "number counted"
    # Lines beyond the rate limit are left out.
    assert 0 < len(lines) < LINES


def test_a_process_whose_logs_nobody_reads_goes_on() -> None:
    with subprocess.Popen(
        [sys.executable, "-c", SCRIPT],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as process:
        until_s = time.monotonic() + TIMEOUT_S
        while process.poll() is None and time.monotonic() < until_s:
            time.sleep(0.05)
        ended = process.poll()
        process.kill()
    assert ended == 0
