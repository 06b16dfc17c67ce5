"""Stand-in for a runner on a `side` machine, as PROTOCOL describes it."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time
from typing import TYPE_CHECKING
from typing import Any

from stand_ins import web

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_HOLD_S = 6.0
STOP_S = 0.3
HEARTBEAT_S = 1.5
TICK_S = 0.02


@dataclasses.dataclass(frozen=True)
class Event:
    """A start or an end of a run, with the monotonic time in seconds."""

    at_s: float
    runner: str
    task: str
    run: int
    what: str


@dataclasses.dataclass
class Run:
    """A run; `work_s` is its duration, infinite for a task that lasts."""

    task: str
    number: int
    fields: dict[str, Any]
    started_s: float
    work_s: float
    fails_after_s: float | None
    stops_s: float | None = None


class Runner:
    """A runner with one incarnation at a time.

    A task's `spec` is JSON: `cpu`, `memMb`, `gpu`, `work_s` (0: it lasts) and
    `fails`, by task, the time in seconds after which its first run fails;
    `each_fails` is such a time for all runs.

    Args:
        name: id, which it keeps when it starts again.
        address: `IP:PORT` on which it accepts calls.
        control: the address on its machine to which it sends heartbeats.
        service: name of its service.
        labels: its kind and its rack.
        capacity: `cpu`, `memMb` and `gpu`.
        note: writes a line into the record of the case.
        note_run: notes the start or the end of a run.
        note_end: notes that an end was taken note of.

    Attributes:
        up: whether an incarnation is there.
        ignores_failures: no run fails any more.
        runs: what runs now, by task.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        control: str,
        service: str,
        labels: list[str],
        capacity: dict[str, int],
        note: Callable[[str], None],
        note_run: Callable[[Event], None],
        note_end: Callable[[Event], None],
    ) -> None:
        self.name = name
        self._address = address
        self._control = control
        self._service = service
        self._labels = labels
        self._capacity = capacity
        self._note = note
        self._note_run = note_run
        self._note_end = note_end
        self._server = web.Server(address, self._handle)
        self._tasks: list[asyncio.Task[None]] = []
        self.up = False
        self.ignores_failures = False
        self.runs: dict[str, Run] = {}

    async def start(self) -> None:
        """Starts an incarnation, which knows nothing of those before."""
        self.up = True
        self._born_ms = int(time.time() * 1000)
        self._began_s = time.monotonic()
        self._sequence = 0
        self._token = 0
        self._lease_s = 0.0
        self.runs = {}
        self._closed: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._next_end = 1
        self._ended = asyncio.Event()
        await self._server.start()
        self._tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._advance_forever()),
        ]
        self._note(f"{self.name}: started, born {self._born_ms}")

    async def crash(self) -> None:
        """Ends the incarnation and everything that it runs, without notice."""
        self.up = False
        for task in self._tasks:
            task.cancel()
        await self._server.stop()
        for run in list(self.runs.values()):
            self._add_event(run, "lost in a crash")
        self.runs = {}
        self._note(f"{self.name}: crashed")

    def used(self, what: str) -> int:
        """Returns how much of a resource its runs use."""
        return sum(int(run.fields.get(what, 0)) for run in self.runs.values())

    @property
    def _clock_s(self) -> float:
        return time.monotonic() - self._began_s + 100.0

    def _answer(self, status: int, **fields: Any) -> web.Answer:
        clock = {"clockMs": int(self._clock_s * 1000), "born": self._born_ms}
        return web.Answer(status, clock | fields)

    async def _handle(self, request: web.Request) -> web.Answer:
        if request.path == "/health":
            return web.Answer(200)
        expected = request.headers.get("expected-instance", self.name)
        if expected != self.name:
            return self._answer(421)
        body = request.body
        token = int(body.get("fencingToken", 0))
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        if request.path == "/v1/run-start":
            return self._start(body)
        if request.path == "/v1/run-stop":
            return self._stop(str(body["task"]), int(body["run"]))
        if request.path == "/v1/hold":
            return await self._hold(body)
        return web.Answer(404)

    def _extend_lease(self, body: dict[str, Any]) -> None:
        until_s = int(body.get("deadlineMs", 0)) / 1000
        until_s = min(until_s, self._clock_s + MAX_HOLD_S)
        self._lease_s = max(self._lease_s, until_s)

    def _start(self, body: dict[str, Any]) -> web.Answer:
        task, number = str(body["task"]), int(body["run"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return self._answer(200)
        if int(body["deadlineMs"]) / 1000 <= self._clock_s:
            return self._answer(409, reason="late")
        self._extend_lease(body)
        if present is not None or number <= self._closed.get(task, 0):
            return self._answer(409, reason="old")
        fields = json.loads(body["spec"])
        if any(
            self.used(what) + int(fields.get(what, 0)) > room
            for what, room in self._capacity.items()
        ):
            return self._answer(409, reason="room")
        first_fails_s = fields.get("fails", {}).get(task.partition(".")[2])
        fails_s = first_fails_s if number == 1 else None
        run = Run(
            task=task,
            number=number,
            fields=fields,
            started_s=time.monotonic(),
            work_s=float(fields.get("work_s", 0)) or float("inf"),
            fails_after_s=fields.get("each_fails", fails_s),
        )
        self.runs[task] = run
        self._add_event(run, "start")
        return self._answer(200)

    def _stop(self, task: str, number: int) -> web.Answer:
        self._closed[task] = max(number, self._closed.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number == number and run.stops_s is None:
            run.stops_s = time.monotonic() + STOP_S
        return self._answer(200)

    async def _hold(self, body: dict[str, Any]) -> web.Answer:
        self._extend_lease(body)
        seen = int(body.get("lastSeen", 0))
        noted = [end for end in self._ends if end[0] <= seen]
        self._ends = [end for end in self._ends if end[0] > seen]
        now_s = time.monotonic()
        for _, task, run, how, _ in noted:
            self._note_end(
                Event(now_s, self.name, task, run, f"{how}, taken note of")
            )
        if not self._ends and body.get("waitMs"):
            try:
                async with asyncio.timeout(int(body["waitMs"]) / 1000):
                    await self._ended.wait()
            except TimeoutError:
                pass
        return self._answer(
            200,
            running=[
                [run.task, run.number, "", self._percent(run), 0]
                for run in self.runs.values()
            ],
            finished=self._ends[:500],
        )

    def _percent(self, run: Run) -> int:
        if run.work_s == float("inf"):
            return 100
        worked_s = time.monotonic() - run.started_s
        return min(100, int(100 * worked_s / run.work_s))

    async def _advance_forever(self) -> None:
        while True:
            self._advance()
            await asyncio.sleep(TICK_S)

    def _advance(self) -> None:
        now_s = time.monotonic()
        for run in list(self.runs.values()):
            worked_s = now_s - run.started_s
            if self._clock_s > self._lease_s:
                self._end(run, "lapsed")
            elif run.stops_s is not None and now_s >= run.stops_s:
                self._end(run, "stopped")
            elif (
                run.fails_after_s is not None
                and worked_s >= run.fails_after_s
                and not self.ignores_failures
            ):
                self._end(run, "failed")
            elif worked_s >= run.work_s:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._closed[run.task] = max(run.number, self._closed.get(run.task, 0))
        self._ends.append([self._next_end, run.task, run.number, how, ""])
        self._next_end += 1
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()
        self._add_event(run, how)

    def _add_event(self, run: Run, what: str) -> None:
        self._note_run(
            Event(time.monotonic(), self.name, run.task, run.number, what)
        )

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            answer = await web.call(
                self._control,
                "POST",
                f"/v1/instances/{self.name}/heartbeat",
                body=self._heartbeat(),
                timeout_s=1.0,
            )
            await asyncio.sleep(HEARTBEAT_S if answer.status == 200 else 0.3)

    def _heartbeat(self) -> dict[str, Any]:
        return {
            "service": self._service,
            "address": self._address,
            "zone": "north-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": self._capacity,
            "labels": self._labels,
            "clockMs": int(self._clock_s * 1000),
            "born": self._born_ms,
            "sequence": self._sequence,
        }
