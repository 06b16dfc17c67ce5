"""Stand-in of a worker's runner, as a process of its own.

It follows the users' protocol page for `commandMode` `call`. A task's spec is
JSON: `seconds` of work, or none for a task that lasts, the `gpu` that it needs
and, for a task that fails by itself, how many of its first runs do so
(`failing_runs`) and after how much work (`fail_after_s`). A kill of the process
is a crash of the runner; the next process is another life of it.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import time
from typing import Any

import wire

HEARTBEAT_TIMEOUT_S = 1.0
MAX_ENDS = 500
# Time after which a task that lasts is at work.
STARTUP_S = 0.5


class Run:
    """A run of a task that hasn't ended."""

    def __init__(self, task: str, number: int, spec: dict[str, Any]) -> None:
        self.task = task
        self.number = number
        self.lasts = "seconds" not in spec
        self.seconds = float(spec.get("seconds", "inf"))
        self.gpu = int(spec["gpu"])
        fails = number <= int(spec.get("failing_runs", 0))
        self.fails_after_s = float(spec["fail_after_s"]) if fails else None
        self.started_s = time.monotonic()
        self.stops_s: float | None = None

    def percent(self, now_s: float) -> int:
        """Returns how much of the work is done; 100 for one that lasts."""
        if self.lasts:
            return 100 if now_s - self.started_s >= STARTUP_S else 0
        return min(100, int(100 * (now_s - self.started_s) / self.seconds))


class Runner:
    """One life of a runner."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._born_ms = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._fence = 0
        self._lease_until_s = 0.0
        self._runs_by_task: dict[str, Run] = {}
        self._closed_by_task: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._last_end = 0
        self._sequence = 0

    async def run(self) -> None:
        """Serves calls, sends heartbeats and ends runs until it is killed."""
        host, port = wire.host_and_port(self._options.listen)
        server = await asyncio.start_server(self._serve, host, port)
        self._record("born", born_ms=self._born_ms)
        async with server, asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_heartbeats())
            tasks.create_task(self._advance())

    def _record(self, event: str, **fields: Any) -> None:
        line = {"at_s": time.monotonic(), "event": event}
        line |= {"runner": self._options.id, "life": self._born_ms} | fields
        with open(self._options.record, "a", encoding="utf-8") as record:
            record.write(json.dumps(line) + "\n")

    def _clock_s(self) -> float:
        return time.monotonic() - self._born_s + 1.0

    # Heartbeats.

    async def _send_heartbeats(self) -> None:
        interval_s = self._options.heartbeat_s
        while True:
            begun_s = time.monotonic()
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                await asyncio.wait_for(
                    self._send_heartbeat(), HEARTBEAT_TIMEOUT_S
                )
            passed_s = time.monotonic() - begun_s
            await asyncio.sleep(max(0.0, interval_s - passed_s))

    async def _send_heartbeat(self) -> None:
        self._sequence += 1
        status, _ = await wire.call(
            self._options.control,
            "POST",
            f"/v1/instances/{self._options.id}/heartbeat",
            {
                "service": self._options.service,
                "address": self._options.listen,
                "zone": self._options.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {
                    "cpu": 128000,
                    "memMb": 524288,
                    "gpu": self._options.gpu,
                },
                "labels": ["a", self._options.rack],
                "clockMs": int(self._clock_s() * 1000),
                "sequence": self._sequence,
                "born": self._born_ms,
            },
        )
        if self._sequence == 1 or status != 200:
            self._record("heartbeat", status=status, sequence=self._sequence)

    # Calls of the agent.

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                request = await wire.read_request(reader)
                if request is None:
                    break
                status, body = await self._handle(request)
                body |= {"clockMs": int(self._clock_s() * 1000)}
                await wire.write_response(writer, status, body)
        writer.close()

    async def _handle(self, request: wire.Request) -> tuple[int, Any]:
        expected = request.headers.get("expected-instance", self._options.id)
        if expected != self._options.id:
            return 421, {}
        body = request.body
        if int(body.get("fencingToken", 0)) < self._fence:
            return 409, {"reason": "fence"}
        self._fence = int(body.get("fencingToken", 0))
        if request.path == "/v1/run-start":
            return self._start(body)
        if request.path == "/v1/run-stop":
            return self._stop(str(body["task"]), int(body["run"]))
        if request.path == "/v1/hold":
            return await self._hold(body)
        return 404, {}

    def _extend_lease(self, body: dict[str, Any]) -> None:
        until_s = float(body.get("deadlineMs", 0)) / 1000
        longest_s = self._clock_s() + self._options.max_hold_s
        self._lease_until_s = max(self._lease_until_s, min(until_s, longest_s))

    def _start(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number = str(body["task"]), int(body["run"])
        existing = self._runs_by_task.get(task)
        if existing is not None and existing.number == number:
            return 200, {}
        if float(body["deadlineMs"]) / 1000 <= self._clock_s():
            return 409, {"reason": "late"}
        self._extend_lease(body)
        closed = number <= self._closed_by_task.get(task, 0)
        if closed or existing is not None:
            return 409, {"reason": "old"}
        run = Run(task, number, json.loads(body["spec"]))
        used = sum(other.gpu for other in self._runs_by_task.values())
        if used + run.gpu > self._options.gpu:
            return 409, {"reason": "room"}
        self._runs_by_task[task] = run
        self._record("start", task=task, run=number)
        return 200, {}

    def _stop(self, task: str, number: int) -> tuple[int, Any]:
        closed = self._closed_by_task.get(task, 0)
        self._closed_by_task[task] = max(closed, number)
        run = self._runs_by_task.get(task)
        if run is not None and run.number == number and run.stops_s is None:
            run.stops_s = time.monotonic() + self._options.stop_s
            self._record("stop ordered", task=task, run=number)
        return 200, {}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        self._extend_lease(body)
        last_seen = int(body.get("lastSeen", 0))
        for end in self._ends:
            if end[0] <= last_seen:
                self._record("end seen", task=end[1], run=end[2], how=end[3])
        self._ends = [end for end in self._ends if end[0] > last_seen]
        until_s = time.monotonic() + int(body.get("waitMs", 0)) / 1000
        while not self._ends and time.monotonic() < until_s:
            await asyncio.sleep(0.01)
        now_s = time.monotonic()
        running = [
            [run.task, run.number, "", run.percent(now_s), 0]
            for run in self._runs_by_task.values()
        ]
        return 200, {
            "born": self._born_ms,
            "running": running,
            "finished": self._ends[:MAX_ENDS],
        }

    # The work.

    async def _advance(self) -> None:
        while True:
            now_s = time.monotonic()
            for run in list(self._runs_by_task.values()):
                if self._clock_s() > self._lease_until_s:
                    self._end(run, "lapsed")
                elif run.stops_s is not None and now_s >= run.stops_s:
                    self._end(run, "stopped")
                elif (
                    run.fails_after_s is not None
                    and now_s - run.started_s >= run.fails_after_s
                ):
                    self._end(run, "failed")
                elif now_s - run.started_s >= run.seconds:
                    self._end(run, "done")
            await asyncio.sleep(0.01)

    def _end(self, run: Run, how: str) -> None:
        del self._runs_by_task[run.task]
        closed = self._closed_by_task.get(run.task, 0)
        self._closed_by_task[run.task] = max(closed, run.number)
        self._last_end += 1
        self._ends.append([self._last_end, run.task, run.number, how, ""])
        self._record("end", task=run.task, run=run.number, how=how)


def main() -> None:
    """Serves until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("id", "listen", "control", "service", "zone", "rack"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--gpu", type=int, default=8)
    parser.add_argument("--heartbeat-s", type=float, default=1.5)
    parser.add_argument("--max-hold-s", type=float, default=6.0)
    parser.add_argument("--stop-s", type=float, default=0.2)
    asyncio.run(Runner(parser.parse_args()).run())


if __name__ == "__main__":
    main()
