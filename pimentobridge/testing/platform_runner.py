"""Stand-in of a worker's runner, as its published protocol has it."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING
from typing import Any

import trio

from pimentobridge.core.jobs import model
from pimentobridge.platform import http_client

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.testing import platform_advice

GANG_WAIT_S = 3.0
STOP_S = 0.4
CHECKPOINT_S = 2.0
RESTORE_S = 0.25


class Spec:
    """What a task does, carried as JSON in a job's spec."""

    def __init__(self, text: str) -> None:
        fields = json.loads(text)
        self.seconds = float(fields["seconds"])
        self.request = model.Resources(*fields["request"])
        self.gang = int(fields.get("gang", 0))
        self.failing_runs = int(fields.get("failing_runs", 0))
        self.checkpointing = bool(fields.get("checkpointing", False))
        self.advised = bool(fields.get("advised", False))


@dataclasses.dataclass
class Run:
    """A run on a runner.

    Attributes:
        work_left_s: work that is still to be done.
        began_s: steady time at which it began to work; None while a gang's
            members are awaited.
        stops_s: steady time at which a stop takes effect.
    """

    task: str
    number: int
    spec: Spec
    accepted_s: float
    work_left_s: float
    base: float
    began_s: float | None = None
    stops_s: float | None = None

    def done_s(self, now_s: float) -> float:
        """Returns seconds of work done, that of earlier runs included."""
        worked = 0.0 if self.began_s is None else now_s - self.began_s
        return self.base + min(worked, self.work_left_s)

    def checkpoint(self, now_s: float, *, exact: bool = False) -> str:
        """Returns the newest checkpoint, or an empty string."""
        if not self.spec.checkpointing:
            return ""
        done = self.done_s(now_s)
        if not exact:
            done = done // CHECKPOINT_S * CHECKPOINT_S
        done = max(self.base, done)
        return f"{self.spec.seconds:g}:{done:.3f}" if done > 0 else ""


class RunObserver:
    """Told of what runners do; a checker derives from it."""

    def on_start(self, runner: PlatformRunner, run: Run) -> None:
        """A run has started."""

    def on_end(self, runner: PlatformRunner, run: Run, cause: str) -> None:
        """A run has ended."""

    def on_end_acknowledged(
        self, runner: PlatformRunner, task: str, cause: str
    ) -> None:
        """The runner may forget an end."""


class RunnerPool:
    """All runners of a fleet, between which gangs meet.

    Args:
        clock: returns the steady time in seconds.
        watcher: told of each start and end.
        advice: whose tickets the starts of advised tasks need.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        observer: RunObserver,
        *,
        advice: platform_advice.PlatformAdvice | None = None,
    ) -> None:
        self.clock = clock
        self.observer = observer
        self.advice = advice
        self.ticket_rejections = 0
        self.runners: list[PlatformRunner] = []

    def gang(self, run: Run) -> list[tuple[PlatformRunner, Run]]:
        """Returns the runs that belong to the same run of the same gang."""
        step = run.task.rpartition(".")[0]
        return [
            (runner, other)
            for runner in self.runners
            if runner.up
            for other in runner.runs_by_task.values()
            if other.number == run.number
            and other.task.rpartition(".")[0] == step
        ]

    def step(self) -> None:
        """Lets time take its effect everywhere."""
        for runner in self.runners:
            if runner.up:
                runner.step()

    async def run(self, tick_s: float = 0.02) -> None:
        """Steps until cancelled."""
        while True:
            self.step()
            await trio.sleep(tick_s)


class PlatformRunner:
    """One life of a worker.

    Attributes:
        failing: every run fails soon.
        hanging: every run stands still.
        lapsed_s: steady times at which there was no lease.
    """

    def __init__(
        self,
        pool: RunnerPool,
        worker: str,
        capacity: model.Resources,
        *,
        started_ms: int,
        max_lease_s: float,
    ) -> None:
        self._pool = pool
        self.worker = worker
        self.capacity = capacity
        self.started_ms = started_ms
        self._max_lease_s = max_lease_s
        self._started_s = pool.clock()
        self._lease_until_s = 0.0
        self._token = 0
        self.up = True
        self.draining = False
        self.failing = False
        self.hanging = False
        self._stepped_s = pool.clock()
        self.times_without_lease_s: list[float] = []
        self.runs_by_task: dict[str, Run] = {}
        self._sealed: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._next_end = 1
        self._ended = trio.Event()
        pool.runners.append(self)

    @property
    def clock_s(self) -> float:
        """The runner's own steady clock."""
        return self._pool.clock() - self._started_s + 1.0

    def crash(self) -> None:
        """Ends this life and all that runs in it."""
        self.up = False
        for run in list(self.runs_by_task.values()):
            self._pool.observer.on_end(self, run, "crash")
        self.runs_by_task.clear()

    async def handle(
        self, path: str, body: dict[str, Any], expected: str
    ) -> http_client.Answer:
        """Carries out one call."""
        if expected and expected != self.worker:
            return self._answer(421)
        if int(body.get("fencingToken", 0)) < self._token:
            return self._answer(409, reason="fence")
        self._token = int(body.get("fencingToken", 0))
        if path == "/v1/run-start":
            return self._start(body)
        if path == "/v1/run-stop":
            return self._stop(body["task"], int(body["run"]))
        if path == "/v1/hold":
            return await self._hold(body)
        return self._answer(404)

    def _answer(self, status: int, **fields: Any) -> http_client.Answer:
        return http_client.Answer(
            status,
            {"clockMs": self.clock_s * 1000, "born": self.started_ms} | fields,
        )

    def _extend(self, body: dict[str, Any]) -> None:
        until_s = float(body.get("deadlineMs", 0)) / 1000
        until_s = min(until_s, self.clock_s + self._max_lease_s)
        self._lease_until_s = max(self._lease_until_s, until_s)

    def _start(self, body: dict[str, Any]) -> http_client.Answer:
        task, number = str(body["task"]), int(body["run"])
        held = self.runs_by_task.get(task)
        if held is not None and held.number == number:
            return self._answer(200)
        if float(body["deadlineMs"]) / 1000 <= self.clock_s:
            return self._answer(409, reason="late")
        self._extend(body)
        if number <= self._sealed.get(task, 0) or held is not None:
            return self._answer(409, reason="old")
        spec = Spec(body["spec"])
        if spec.advised and not self._has_ticket(task, body):
            self._pool.ticket_rejections += 1
            return self._answer(409, reason="ticket")
        used = model.total(
            run.spec.request for run in self.runs_by_task.values()
        )
        if not spec.request.fits_in(self.capacity - used):
            return self._answer(409, reason="room")
        base = 0.0
        if body.get("checkpoint"):
            base = float(str(body["checkpoint"]).partition(":")[2])
        left = max(0.0, spec.seconds - base)
        left += RESTORE_S if base else 0.0
        now_s = self._pool.clock()
        run = Run(task, number, spec, now_s, left, base)
        self.runs_by_task[task] = run
        self._pool.observer.on_start(self, run)
        if not spec.gang:
            run.began_s = now_s
        else:
            members = self._pool.gang(run)
            if len(members) == spec.gang:
                for _, member in members:
                    member.began_s = now_s
        return self._answer(200)

    def _has_ticket(self, task: str, body: dict[str, Any]) -> bool:
        advice = self._pool.advice
        return advice is not None and advice.accepts(
            task, self.worker, str(body.get("ticket", ""))
        )

    def _stop(self, task: str, number: int) -> http_client.Answer:
        self._sealed[task] = max(self._sealed.get(task, 0), number)
        run = self.runs_by_task.get(task)
        if run is not None and run.number == number and run.stops_s is None:
            run.stops_s = self._pool.clock() + STOP_S
        return self._answer(200)

    async def _hold(self, body: dict[str, Any]) -> http_client.Answer:
        self._extend(body)
        self._forget(int(body.get("lastSeen", 0)))
        with trio.move_on_after(float(body.get("waitMs", 0)) / 1000):
            while not self._ends:
                await self._ended.wait()
        now_s = self._pool.clock()
        return self._answer(
            200,
            running=[
                [
                    run.task,
                    run.number,
                    run.checkpoint(now_s),
                    int(100 * run.done_s(now_s) / max(0.001, run.spec.seconds)),
                ]
                for run in self.runs_by_task.values()
            ],
            finished=[list(end) for end in self._ends[:500]],
        )

    def _forget(self, seen: int) -> None:
        for end in self._ends:
            if end[0] <= seen:
                self._pool.observer.on_end_acknowledged(self, end[1], end[3])
        self._ends = [end for end in self._ends if end[0] > seen]

    def step(self) -> None:
        """Ends what time has ended."""
        now_s = self._pool.clock()
        if self.hanging:
            for run in self.runs_by_task.values():
                if run.began_s is not None:
                    run.began_s += now_s - self._stepped_s
        self._stepped_s = now_s
        if self.clock_s > self._lease_until_s:
            self.times_without_lease_s.append(now_s)
            for run in list(self.runs_by_task.values()):
                self._end(run, "lapsed")
        for run in list(self.runs_by_task.values()):
            if run.task not in self.runs_by_task:
                continue
            if run.stops_s is not None and now_s >= run.stops_s:
                self._end(run, "stopped")
            elif run.began_s is None:
                if now_s - run.accepted_s > GANG_WAIT_S:
                    self._end(run, "alone")
            elif self.failing and now_s - run.began_s > 0.5:
                self._end(run, "failed")
            elif now_s - run.began_s >= run.work_left_s:
                failed = run.number <= run.spec.failing_runs
                self._end(run, "failed" if failed else "done")

    def _end(self, run: Run, cause: str) -> None:
        now_s = self._pool.clock()
        members = self._pool.gang(run) if run.spec.gang else []
        del self.runs_by_task[run.task]
        self._sealed[run.task] = max(self._sealed.get(run.task, 0), run.number)
        checkpoint = run.checkpoint(now_s, exact=cause == "stopped")
        self._ends.append(
            [self._next_end, run.task, run.number, cause, checkpoint]
        )
        self._next_end += 1
        ended, self._ended = self._ended, trio.Event()
        ended.set()
        self._pool.observer.on_end(self, run, cause)
        for runner, member in members:
            if member.task in runner.runs_by_task and member is not run:
                together = cause == "done" and run.began_s is not None
                runner._end(member, "done" if together else "broken")
