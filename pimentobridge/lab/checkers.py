"""Checks the promises from what callers and runners have seen."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.testing import platform_runner

if TYPE_CHECKING:
    from collections.abc import Callable

# A start may follow the acknowledgement of a cancel by this much.
CANCEL_S = 3.0
# Days with faults this close excuse a gang member that waited alone.
CALM_S = 10.0


@dataclasses.dataclass
class SubmittedJob:
    """A job as its caller knows it.

    Attributes:
        statuses: how each attempt to hand it in was answered; 0 for no answer.
        observed_states: states that callers were told, with their times in
            seconds.
    """

    id: str
    spec: str
    steps: list[dict[str, object]]
    max_attempts: int
    statuses: list[int] = dataclasses.field(default_factory=list)
    cancelled_s: float | None = None
    cancel_sent: bool = False
    observed_states: list[tuple[float, str]] = dataclasses.field(
        default_factory=list
    )

    @property
    def accepted(self) -> bool:
        """Whether some attempt was answered with success."""
        return 200 in self.statuses


@dataclasses.dataclass
class _End:
    ended_s: float
    cause: str
    runner: platform_runner.PlatformRunner
    seen: bool = False


class Checker(platform_runner.Watcher):
    """Collects what is seen and names the broken promises.

    Args:
        clock: returns the steady time in seconds.
        last_fault_s: returns when a fault was last at work.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        last_fault_s: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._last_fault_s = last_fault_s
        self.jobs_by_id: dict[str, SubmittedJob] = {}
        self.findings: list[str] = []
        self._starts: dict[str, list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )
        self._ends: dict[str, list[_End]] = collections.defaultdict(list)
        self._live: dict[str, list[platform_runner.PlatformRunner]] = (
            collections.defaultdict(list)
        )
        self.started = 0

    def _find(self, rule: str, detail: str) -> None:
        self.findings.append(f"{rule} at {self._clock():.2f} s: {detail}")

    # What runners see.

    def on_start(
        self,
        runner: platform_runner.PlatformRunner,
        run: platform_runner.Run,
    ) -> None:
        """Checks a start."""
        self.started += 1
        now_s = self._clock()
        name = model.TaskName.parse(run.task)
        self._starts[run.task].append((now_s, run.number))
        job = self.jobs_by_id.get(name.job)
        if job is None:
            self._find("UNASKED", f"{run.task} was never submitted")
            return
        if self._live[run.task]:
            self._find("TWICE", f"{run.task} run {run.number} beside another")
        self._live[run.task].append(runner)
        if job.cancelled_s is not None and (now_s > job.cancelled_s + CANCEL_S):
            self._find("UNASKED", f"{run.task} started after its cancel")
        self._check_order(job, name)
        failed = sum(
            1
            for end in self._ends[run.task]
            if end.cause == "failed" and end.seen
        )
        if failed >= job.max_attempts:
            self._find("BUDGET", f"{run.task} started after {failed} failures")

    def _check_order(self, job: SubmittedJob, name: model.TaskName) -> None:
        step = job.steps[name.step]
        earlier = step.get("after", [])
        if not isinstance(earlier, list):
            return
        for number in earlier:
            count = int(str(job.steps[number]["count"]))
            for index in range(count):
                task = str(model.TaskName(name.job, 0, number, index))
                if not self._was_done(job, number, task):
                    self._find("ORDER", f"{name} started before {task} ended")

    def _was_done(self, job: SubmittedJob, step: int, task: str) -> bool:
        if job.steps[step].get("gang"):
            stem = task.rpartition(".")[0]
            count = int(str(job.steps[step]["count"]))
            tasks = [f"{stem}.{index}" for index in range(count)]
        else:
            tasks = [task]
        return any(
            end.cause == "done" for other in tasks for end in self._ends[other]
        )

    def on_end(
        self,
        runner: platform_runner.PlatformRunner,
        run: platform_runner.Run,
        cause: str,
    ) -> None:
        """Notes an end."""
        if runner in self._live[run.task]:
            self._live[run.task].remove(runner)
        self._ends[run.task].append(_End(self._clock(), cause, runner))
        calm = self._clock() - self._last_fault_s() > CALM_S
        job = self.jobs_by_id.get(model.TaskName.parse(run.task).job)
        cancelled = job is not None and job.cancel_sent
        if cause == "alone" and calm and not cancelled:
            self._find("GANG", f"{run.task} waited alone")

    def on_seen(
        self,
        runner: platform_runner.PlatformRunner,
        task: str,
        cause: str,
    ) -> None:
        """Notes that an end was taken note of."""
        for end in self._ends[task]:
            if end.runner is not runner or end.cause != cause:
                continue
            # What ended before a lapse that nobody had noted may run again.
            end.seen = end.seen or not any(
                lapsed_s > end.ended_s for lapsed_s in runner.lapsed_s
            )

    # What callers see.

    def on_shown(self, job: SubmittedJob, state: str) -> None:
        """Checks a state that a caller was shown."""
        job.observed_states.append((self._clock(), state))
        if state == "completed":
            for number, step in enumerate(job.steps):
                for index in range(int(str(step["count"]))):
                    task = str(model.TaskName(job.id, 0, number, index))  # type: ignore[arg-type]
                    if not self._was_done(job, number, task):
                        self._find("MIXED", f"{job.id} lacks {task}")
        if state == "cancelled" and not job.cancel_sent:
            self._find("LOST", f"{job.id} shown as cancelled without cause")
        if state == "failed" and not self._has_failed(job):
            self._find("LOST", f"{job.id} shown as failed without cause")

    def _has_failed(self, job: SubmittedJob) -> bool:
        failed: collections.Counter[str] = collections.Counter()
        for task, ends in self._ends.items():
            if task.startswith(job.id):
                unit = task
                step = job.steps[model.TaskName.parse(task).step]
                if step.get("gang"):
                    unit = task.rpartition(".")[0]
                failed[unit] += sum(end.cause == "failed" for end in ends)
        return any(count >= job.max_attempts for count in failed.values())

    def on_absent(self, job: SubmittedJob) -> None:
        """Checks that a caller was told that there is no such job."""
        if job.accepted:
            self._find("LOST", f"{job.id} was accepted and isn't known")

    # At the end of the day.

    def finish(self) -> list[str]:
        """Returns all findings of the day."""
        for task, ends in self._ends.items():
            done_s = [
                end.ended_s for end in ends if end.cause == "done" and end.seen
            ]
            for started_s, number in self._starts[task]:
                if any(started_s > ended_s for ended_s in done_s):
                    self._find("TWICE", f"{task} run {number} after its end")
        for job in self.jobs_by_id.values():
            started = any(task.startswith(job.id) for task in self._starts)
            refused = job.statuses and set(job.statuses) <= {429, 503}
            if started and refused:
                self._find("REFUSED", f"{job.id} was refused and started")
            last = job.observed_states[-1][1] if job.observed_states else ""
            ended = last in ("completed", "failed", "cancelled")
            if job.accepted and not ended:
                self._find("LOST", f"{job.id} ended the day as {last!r}")
        return self.findings
