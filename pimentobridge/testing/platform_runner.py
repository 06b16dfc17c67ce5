"""Fake of a worker's runner that implements the runner's published protocol."""

from __future__ import annotations

import dataclasses
import json
import random
from typing import TYPE_CHECKING
from typing import Any
import zlib

import trio

from pimentobridge.core.jobs import model
from pimentobridge.platform import http_client

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.testing import platform_advice

GANG_ASSEMBLY_TIMEOUT_S = 3.0
STOP_DURATION_S = 0.4
# Longest duration of a stop on any site.
MAX_STOP_DURATION_S = 0.9
# Statuses of the answers of an unhealthy runner to starts.
UNHEALTHY_STATUSES = (429, 503)
CHECKPOINT_INTERVAL_S = 2.0
RESTORE_DURATION_S = 0.25
# Time from the start of a deadly task to the crash of its runner.
DEADLY_AFTER_S = 0.4
# Time from a pace call until it takes effect.
PACE_DELAY_S = 0.1
# Tail latency of a serving task relative to its target: by itself, and beside
# tasks that use spare CPU and do more than a share of their work.
LATENCY_ALONE = 0.5
LATENCY_DISTURBED = 2.0


class TaskSpec:
    """Behaviour of a task, given as JSON in the job's spec.

    Attributes:
        seconds: amount of work, in seconds.
        request: resources that the task uses.
        gang: number of tasks in its gang; 0 for a single task.
        failing_runs: how many of its first runs fail.
        checkpointing: whether it writes checkpoints.
        advised: whether a start needs a ticket of the policy service.
        target_ms: target of a serving task; 0 for others.
        fills: whether it uses spare CPU.
    """

    def __init__(self, text: str) -> None:
        fields = json.loads(text)
        self.seconds = float(fields["seconds"])
        self.request = model.Resources(*fields["request"])
        self.gang = int(fields.get("gang", 0))
        self.failing_runs = int(fields.get("failing_runs", 0))
        self.checkpointing = bool(fields.get("checkpointing", False))
        self.advised = bool(fields.get("advised", False))
        self.target_ms = int(fields.get("target_ms", 0))
        self.fills = bool(fields.get("fills", False))


@dataclasses.dataclass
class Run:
    """A run of a task on a runner.

    Attributes:
        accepted_s: monotonic time at which the runner accepted the run.
        work_left_s: work to do in this run, in seconds.
        restored_work_s: work that earlier runs completed and a checkpoint
            restored, in seconds.
        working_since_s: monotonic time at which it started to work, moved on by
            the time for which the runner hung; None while it waits for the
            other members of its gang.
        stops_at_s: monotonic time at which a requested stop takes effect; None
            if no stop was requested.
        percent: share of its work that it may do.
        paced: a later share and the monotonic time from which it applies.
    """

    task: str
    number: int
    spec: TaskSpec
    accepted_s: float
    work_left_s: float
    restored_work_s: float
    working_since_s: float | None = None
    stops_at_s: float | None = None
    percent: int = 100
    paced: tuple[int, float] | None = None

    def completed_work_s(self, now_s: float) -> float:
        """Returns the work completed by this and earlier runs, in seconds."""
        worked_s = (
            0.0
            if self.working_since_s is None
            else now_s - self.working_since_s
        )
        return self.restored_work_s + min(worked_s, self.work_left_s)

    def checkpoint(self, now_s: float, *, exact: bool = False) -> str:
        """Returns the newest checkpoint, or an empty string if there is none.

        Args:
            now_s: current monotonic time.
            exact: whether a checkpoint is written now, rather than at the last
                multiple of `CHECKPOINT_INTERVAL_S`.
        """
        if not self.spec.checkpointing:
            return ""
        checkpoint_s = self.completed_work_s(now_s)
        if not exact:
            checkpoint_s = (
                checkpoint_s // CHECKPOINT_INTERVAL_S * CHECKPOINT_INTERVAL_S
            )
        checkpoint_s = max(self.restored_work_s, checkpoint_s)
        return (
            f"{self.spec.seconds:g}:{checkpoint_s:.3f}"
            if checkpoint_s > 0
            else ""
        )


class RunObserver:
    """Receives the events of runners; the base class does nothing."""

    def on_start(self, runner: PlatformRunner, run: Run) -> None:
        """Called when a run has started."""

    def on_end(self, runner: PlatformRunner, run: Run, cause: str) -> None:
        """Called when a run has ended."""

    def on_end_acknowledged(
        self, runner: PlatformRunner, task: str, cause: str
    ) -> None:
        """Called when the scheduler has acknowledged the end of a run."""


class RunnerPool:
    """All runners of a fleet; their tasks can form gangs.

    Args:
        clock: returns the monotonic time in seconds.
        observer: receives the events of all runners.
        advice: policy service that issues the tickets for advised tasks.
        stop_s: duration of a stop, in seconds.
        rng: decides which starts unhealthy runners refuse.

    Attributes:
        ticket_rejections: number of starts rejected for lack of a valid ticket.
        deadly_share: share of the tasks first started now that crash each
            runner that starts them.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        observer: RunObserver,
        *,
        advice: platform_advice.PlatformAdvice | None = None,
        stop_s: float = STOP_DURATION_S,
        rng: random.Random | None = None,
    ) -> None:
        self.stop_s = stop_s
        self.rng = rng or random.Random(0)
        self.clock = clock
        self.observer = observer
        self.advice = advice
        self.ticket_rejections = 0
        self.runners: list[PlatformRunner] = []
        self.deadly_share = 0.0
        self._deadly_by_task: dict[str, bool] = {}

    def is_deadly(self, task: str) -> bool:
        """Returns whether a task crashes runners; it never changes."""
        if task not in self._deadly_by_task:
            drawn = zlib.crc32(task.encode()) % 1000 / 1000
            self._deadly_by_task[task] = drawn < self.deadly_share
        return self._deadly_by_task[task]

    def gang_members(self, run: Run) -> list[tuple[PlatformRunner, Run]]:
        """Returns the runs of a gang that have the same run number as `run`."""
        step = run.task.rpartition(".")[0]
        return [
            (runner, member)
            for runner in self.runners
            if runner.up
            for member in runner.runs_by_task.values()
            if member.number == run.number
            and member.task.rpartition(".")[0] == step
        ]

    def advance(self) -> None:
        """Brings every runner to the current time."""
        for runner in self.runners:
            if runner.up:
                runner.advance()

    async def run(self, tick_s: float = 0.02) -> None:
        """Advances the runners until cancelled."""
        while True:
            self.advance()
            await trio.sleep(tick_s)


class PlatformRunner:
    """One incarnation of a worker's runner.

    Attributes:
        started_ms: start of this incarnation, Unix milliseconds.
        capacity: what it says it has room for; `resize` changes it.
        guards_capacity: whether it rejects starts that don't fit.
        data_centre: where it is; empty if that doesn't matter.
        shrunk_s: monotonic time at which its capacity last shrank.
        up: whether the runner has not crashed.
        draining: whether the runner is being drained.
        failing: whether every run fails after 0.5 s of work.
        hanging: whether no run makes progress.
        refused_share: share of the starts that it refuses as unhealthy.
        times_without_lease_s: monotonic times, in seconds, at which `advance`
            found the lease expired.
        runs_by_task: current runs by the name of their task.
        harmless_percent: share of their work up to which tasks that use spare
            CPU don't disturb serving tasks.
        over_since_s: monotonic time since which a serving task has been over
            its target; None if none is.
        longest_excess_s: longest such time so far.
        pace_calls: percent and fencing token of each pace call.
    """

    def __init__(
        self,
        pool: RunnerPool,
        worker: str,
        capacity: model.Resources,
        *,
        started_ms: int,
        max_lease_s: float,
        guards_capacity: bool = True,
        data_centre: str = "",
    ) -> None:
        self._pool = pool
        self.data_centre = data_centre
        self.worker = worker
        self.capacity = capacity
        self.started_ms = started_ms
        self.guards_capacity = guards_capacity
        self.shrunk_s = float("-inf")
        self._max_lease_s = max_lease_s
        self._started_s = pool.clock()
        self._lease_until_s = 0.0
        self._fencing_token = 0
        self.up = True
        self.draining = False
        self.failing = False
        self.hanging = False
        self.refused_share = 0.0
        self._advanced_s = pool.clock()
        self.harmless_percent = 100
        self.over_since_s: float | None = None
        self.longest_excess_s = 0.0
        self.pace_calls: list[tuple[int, int]] = []
        self.times_without_lease_s: list[float] = []
        self.runs_by_task: dict[str, Run] = {}
        self._highest_closed_run_by_task: dict[str, int] = {}
        self._unacknowledged_ends: list[list[Any]] = []
        self._next_end_number = 1
        self._end_added = trio.Event()
        pool.runners.append(self)

    @property
    def clock_s(self) -> float:
        """Time of the runner's own monotonic clock, in seconds."""
        return self._pool.clock() - self._started_s + 1.0

    def crash(self) -> None:
        """Ends this incarnation and all of its runs, and breaks their gangs."""
        self.up = False
        crashed = list(self.runs_by_task.values())
        orphans = [
            (runner, member)
            for run in crashed
            if run.spec.gang
            for runner, member in self._pool.gang_members(run)
            if runner is not self
        ]
        self.runs_by_task.clear()
        for run in crashed:
            self._pool.observer.on_end(self, run, "crash")
        for runner, member in orphans:
            if member.task in runner.runs_by_task:
                runner._end(member, "broken")

    def resize(self, capacity: model.Resources) -> None:
        """Changes the capacity; what runs goes on, also beyond it."""
        if not self.capacity.fits_in(capacity):
            self.shrunk_s = self._pool.clock()
        self.capacity = capacity

    def halve_capacity(self) -> model.Resources:
        """Halves the capacity; returns what it was before."""
        before = self.capacity
        self.resize(
            model.Resources(
                before.cpu_millicores // 2,
                before.memory_mib // 2,
                before.accelerators // 2,
            )
        )
        return before

    @property
    def used(self) -> model.Resources:
        """What its runs use, those that are being stopped included."""
        return model.total(
            run.spec.request for run in self.runs_by_task.values()
        )

    async def handle(
        self, path: str, body: dict[str, Any], expected_worker: str
    ) -> http_client.Answer:
        """Handles one call.

        Args:
            path: URL path of the call.
            body: decoded body.
            expected_worker: worker to which the call is addressed; empty if the
                caller named none.
        """
        if expected_worker and expected_worker != self.worker:
            return self._answer(421)
        if path == "/v1/run-start" and self._refuses_as_unhealthy():
            return self._answer(self._pool.rng.choice(UNHEALTHY_STATUSES))
        if int(body.get("fencingToken", 0)) < self._fencing_token:
            return self._answer(409, reason="fence")
        self._fencing_token = int(body.get("fencingToken", 0))
        if path == "/v1/run-start":
            return self._start(body)
        if path == "/v1/run-stop":
            return self._stop(body["task"], int(body["run"]))
        if path == "/v1/pace":
            return self._pace(body)
        if path == "/v1/hold":
            return await self._hold(body)
        return self._answer(404)

    def _refuses_as_unhealthy(self) -> bool:
        return self.refused_share > 0 and (
            self._pool.rng.random() < self.refused_share
        )

    def _answer(self, status: int, **fields: Any) -> http_client.Answer:
        return http_client.Answer(
            status,
            {"clockMs": self.clock_s * 1000, "born": self.started_ms} | fields,
        )

    def _extend_lease(self, body: dict[str, Any]) -> None:
        until_s = float(body.get("deadlineMs", 0)) / 1000
        until_s = min(until_s, self.clock_s + self._max_lease_s)
        self._lease_until_s = max(self._lease_until_s, until_s)

    def _start(self, body: dict[str, Any]) -> http_client.Answer:
        task, number = str(body["task"]), int(body["run"])
        existing = self.runs_by_task.get(task)
        if existing is not None and existing.number == number:
            return self._answer(200)
        if float(body["deadlineMs"]) / 1000 <= self.clock_s:
            return self._answer(409, reason="late")
        self._extend_lease(body)
        if (
            number <= self._highest_closed_run_by_task.get(task, 0)
            or existing is not None
        ):
            return self._answer(409, reason="old")
        spec = TaskSpec(body["spec"])
        if spec.advised and not self._has_ticket(task, body):
            self._pool.ticket_rejections += 1
            return self._answer(409, reason="ticket")
        fits = spec.request.fits_in(self.capacity - self.used)
        if self.guards_capacity and not fits:
            return self._answer(409, reason="room")
        restored_work_s = 0.0
        if body.get("checkpoint"):
            restored_work_s = float(str(body["checkpoint"]).partition(":")[2])
        work_left_s = max(0.0, spec.seconds - restored_work_s)
        work_left_s += RESTORE_DURATION_S if restored_work_s else 0.0
        now_s = self._pool.clock()
        run = Run(task, number, spec, now_s, work_left_s, restored_work_s)
        self.runs_by_task[task] = run
        self._pool.observer.on_start(self, run)
        if not spec.gang:
            run.working_since_s = now_s
        else:
            members = self._pool.gang_members(run)
            if len(members) == spec.gang:
                for _, member in members:
                    member.working_since_s = now_s
        return self._answer(200)

    def _has_ticket(self, task: str, body: dict[str, Any]) -> bool:
        advice = self._pool.advice
        return advice is not None and advice.is_ticket_valid(
            task, self.worker, str(body.get("ticket", ""))
        )

    def _stop(self, task: str, number: int) -> http_client.Answer:
        self._highest_closed_run_by_task[task] = max(
            self._highest_closed_run_by_task.get(task, 0), number
        )
        run = self.runs_by_task.get(task)
        if run is not None and run.number == number and run.stops_at_s is None:
            run.stops_at_s = self._pool.clock() + self._pool.stop_s
        return self._answer(200)

    def _pace(self, body: dict[str, Any]) -> http_client.Answer:
        run = self.runs_by_task.get(str(body["task"]))
        if run is None or run.number != int(body["run"]):
            return self._answer(404)
        percent = int(body["percent"])
        self.pace_calls.append((percent, int(body["fencingToken"])))
        run.paced = percent, self._pool.clock() + PACE_DELAY_S
        return self._answer(200)

    def _latency_ms(self, run: Run) -> int:
        disturbed = any(
            other.spec.fills and other.percent > self.harmless_percent
            for other in self.runs_by_task.values()
        )
        share = LATENCY_DISTURBED if disturbed else LATENCY_ALONE
        return round(run.spec.target_ms * share)

    def _figures(self, run: Run) -> list[int]:
        if run.spec.target_ms:
            return [self._latency_ms(run)]
        if run.spec.fills:
            return [run.spec.request.cpu_millicores * run.percent // 100]
        return []

    def _apply_paces(self, now_s: float) -> None:
        for run in self.runs_by_task.values():
            if run.working_since_s is not None:
                idle_share = 1 - run.percent / 100
                run.working_since_s += idle_share * (now_s - self._advanced_s)
            if run.paced is not None and now_s >= run.paced[1]:
                run.percent = run.paced[0]
                run.paced = None
        over = any(
            run.spec.target_ms and self._latency_ms(run) > run.spec.target_ms
            for run in self.runs_by_task.values()
        )
        if not over:
            self.over_since_s = None
            return
        if self.over_since_s is None:
            self.over_since_s = now_s
        self.longest_excess_s = max(
            self.longest_excess_s, now_s - self.over_since_s
        )

    async def _hold(self, body: dict[str, Any]) -> http_client.Answer:
        self._extend_lease(body)
        self._acknowledge_ends(int(body.get("lastSeen", 0)))
        with trio.move_on_after(float(body.get("waitMs", 0)) / 1000):
            while not self._unacknowledged_ends:
                await self._end_added.wait()
        now_s = self._pool.clock()
        return self._answer(
            200,
            running=[
                [
                    run.task,
                    run.number,
                    run.checkpoint(now_s),
                    int(
                        100
                        * run.completed_work_s(now_s)
                        / max(0.001, run.spec.seconds)
                    ),
                    *self._figures(run),
                ]
                for run in self.runs_by_task.values()
            ],
            finished=[list(end) for end in self._unacknowledged_ends[:500]],
        )

    def _acknowledge_ends(self, last_acknowledged: int) -> None:
        # The fields of an end are number, task, run, cause and checkpoint.
        for end in self._unacknowledged_ends:
            if end[0] <= last_acknowledged:
                self._pool.observer.on_end_acknowledged(self, end[1], end[3])
        self._unacknowledged_ends = [
            end
            for end in self._unacknowledged_ends
            if end[0] > last_acknowledged
        ]

    def advance(self) -> None:
        """Ends the runs that are due to end at the current time."""
        now_s = self._pool.clock()
        if self.hanging:
            for run in self.runs_by_task.values():
                if run.working_since_s is not None:
                    run.working_since_s += now_s - self._advanced_s
        else:
            self._apply_paces(now_s)
        self._advanced_s = now_s
        if any(
            self._pool.is_deadly(run.task)
            and now_s - run.accepted_s >= DEADLY_AFTER_S
            for run in self.runs_by_task.values()
        ):
            self.crash()
            return
        if self.clock_s > self._lease_until_s:
            self.times_without_lease_s.append(now_s)
            for run in list(self.runs_by_task.values()):
                self._end(run, "lapsed")
        for run in list(self.runs_by_task.values()):
            if run.task not in self.runs_by_task:
                continue
            if run.stops_at_s is not None and now_s >= run.stops_at_s:
                self._end(run, "stopped")
            elif run.working_since_s is None:
                if now_s - run.accepted_s > GANG_ASSEMBLY_TIMEOUT_S:
                    self._end(run, "alone")
            elif self.failing and now_s - run.working_since_s > 0.5:
                self._end(run, "failed")
            elif now_s - run.working_since_s >= run.work_left_s:
                fails = run.number <= run.spec.failing_runs
                self._end(run, "failed" if fails else "done")

    def _end(self, run: Run, cause: str) -> None:
        now_s = self._pool.clock()
        members = self._pool.gang_members(run) if run.spec.gang else []
        del self.runs_by_task[run.task]
        self._highest_closed_run_by_task[run.task] = max(
            self._highest_closed_run_by_task.get(run.task, 0), run.number
        )
        checkpoint = run.checkpoint(now_s, exact=cause == "stopped")
        self._unacknowledged_ends.append(
            [self._next_end_number, run.task, run.number, cause, checkpoint]
        )
        self._next_end_number += 1
        end_added, self._end_added = self._end_added, trio.Event()
        end_added.set()
        self._pool.observer.on_end(self, run, cause)
        for runner, member in members:
            if member.task in runner.runs_by_task and member is not run:
                gang_completed = (
                    cause == "done" and run.working_since_s is not None
                )
                runner._end(member, "done" if gang_completed else "broken")
