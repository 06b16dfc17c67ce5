"""Checks the system's guarantees against what callers and runners observe.

Each violation is a finding that starts with the name of the broken rule:

- `BUDGET`: a task was started after it had used up its attempts, or three times
  after three runners had crashed under it.
- `EVAC`: a task was started in a data centre under evacuation.
- `FAULT`: a process of the system ended by itself, or logged an unexpected
  error.
- `GANG`: a gang member stopped waiting because the others did not all start.
- `LIMIT`: a start brought a runner over its capacity.
- `LOST`: an accepted job is unknown or did not end, or a job was reported as
  cancelled without a request or as failed with attempts left.
- `MIXED`: a job was reported as completed without all of its tasks done.
- `ORDER`: a task was started before the tasks that it depends on were done.
- `REFUSED`: a job was started although every submission was rejected.
- `TWICE`: two runs of a task overlapped, or it ran again after it was done.
- `UNASKED`: a task of an unknown or cancelled job was started.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.testing import platform_runner

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

# A task may still start this long after the cancellation was acknowledged.
CANCEL_GRACE_S = 3.0
# Crashes of runners under a task after which the starts of it are counted, and
# how many of these are too many.
MAX_CRASHES = 3
EXCESS_STARTS = 3
# Crashes of runners under a task after which it may be given up.
MIN_CRASHES_TO_GIVE_UP = 2
# A capacity that has shrunk counts this long afterwards: `contactMs` and one
# heartbeat.
SHRINK_GRACE_S = 5.5
# A task may still start in a data centre this long after the store acknowledged
# its evacuation (`evacuateMs`), or was last down, slow or lost answers.
EVACUATE_S = 5.0
# A gang that does not assemble is no finding while a fault is active and for
# this long afterwards.
FAULT_GRACE_S = 10.0


@dataclasses.dataclass
class SubmittedJob:
    """A job as its caller sees it.

    Attributes:
        statuses: HTTP status of each submission; 0 if there was no response.
        cancelled_s: time at which a cancellation was acknowledged, in seconds;
            None if none was.
        cancel_sent: whether the caller has requested a cancellation.
        observed_states: states that callers were told, with their times in
            seconds.
        last_poll: time in seconds and HTTP status of the latest request for
            the state; the status is 0 if there was no response.
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
    last_poll: tuple[float, int] | None = None

    @property
    def accepted(self) -> bool:
        """Whether any submission succeeded."""
        return 200 in self.statuses


@dataclasses.dataclass
class _RunEnd:
    """The end of one run, as its runner reported it."""

    ended_s: float
    cause: str
    runner: platform_runner.PlatformRunner
    acknowledged: bool = False


class Checker(platform_runner.RunObserver):
    """Collects observations and reports violated guarantees.

    Args:
        clock: returns the monotonic time in seconds.
        last_fault_s: returns the time at which a fault was last active.
        last_store_fault_s: returns the time at which the store was last down,
            slow or lost answers for all; None if it never is.

    Attributes:
        findings: violations, in the order in which they were detected.
        started: number of runs that runners have started.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        last_fault_s: Callable[[], float],
        *,
        last_store_fault_s: Callable[[], float] | None = None,
    ) -> None:
        self._clock = clock
        self._last_fault_s = last_fault_s
        self._last_store_fault_s = last_store_fault_s
        self._evacuated_s_by_data_centre: dict[str, float] = {}
        self.jobs_by_id: dict[str, SubmittedJob] = {}
        self.findings: list[str] = []
        self._starts_by_task: dict[str, list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )
        self._ends_by_task: dict[str, list[_RunEnd]] = collections.defaultdict(
            list
        )
        self._active_runners_by_task: dict[
            str, list[platform_runner.PlatformRunner]
        ] = collections.defaultdict(list)
        self.started = 0

    def _report(self, rule: str, detail: str) -> None:
        self.findings.append(f"{rule} at {self._clock():.2f} s: {detail}")

    @contextlib.contextmanager
    def detect_crash(self, node: str) -> Iterator[None]:
        """Reports an error that ends the process of a machine."""
        try:
            yield
        except Exception as error:  # noqa: BLE001  whatever ended it
            self._report("FAULT", f"{node} ended by itself: {error!r:.300}")

    def on_unexpected_error(self, description: str) -> None:
        """Reports an error that a process has contained and logged."""
        self._report("FAULT", description)

    # Requests of the operator.

    def on_evacuation(self, data_centre: str) -> None:
        """Records that the store has acknowledged an evacuation."""
        self._evacuated_s_by_data_centre[data_centre] = self._clock()

    def on_evacuation_ended(self, data_centre: str) -> None:
        """Records that the operator is about to delete an evacuation."""
        self._evacuated_s_by_data_centre.pop(data_centre, None)

    def _check_evacuation(
        self,
        runner: platform_runner.PlatformRunner,
        run: platform_runner.Run,
    ) -> None:
        since_s = self._evacuated_s_by_data_centre.get(runner.data_centre)
        if since_s is None:
            return
        late_s = self._clock() - since_s
        if self._last_store_fault_s is not None:
            since_s = max(since_s, self._last_store_fault_s())
        if self._clock() - since_s > EVACUATE_S:
            self._report(
                "EVAC",
                f"{run.task} run {run.number} started in {runner.data_centre}"
                f" {late_s:.2f} s after the request to evacuate it",
            )

    # Events reported by runners.

    def on_start(
        self,
        runner: platform_runner.PlatformRunner,
        run: platform_runner.Run,
    ) -> None:
        """Checks that a run was allowed to start."""
        self.started += 1
        now_s = self._clock()
        name = model.TaskName.parse(run.task)
        self._starts_by_task[run.task].append((now_s, run.number))
        self._check_evacuation(runner, run)
        job = self.jobs_by_id.get(name.job)
        if job is None:
            self._report("UNASKED", f"{run.task} was never submitted")
            return
        if self._active_runners_by_task[run.task]:
            self._report(
                "TWICE", f"{run.task} run {run.number} overlaps another"
            )
        self._active_runners_by_task[run.task].append(runner)
        if job.cancelled_s is not None and (
            now_s > job.cancelled_s + CANCEL_GRACE_S
        ):
            self._report(
                "UNASKED", f"{run.task} started after its cancellation"
            )
        self._check_order(job, name)
        self._check_crashes(run)
        self._check_capacity(runner, run)
        failures = sum(
            1
            for end in self._ends_by_task[run.task]
            if end.cause == "failed" and end.acknowledged
        )
        if failures >= job.max_attempts:
            self._report(
                "BUDGET", f"{run.task} started after {failures} failures"
            )

    def _check_crashes(self, run: platform_runner.Run) -> None:
        crashed_s = self._crash_times_s(run.task)
        if len(crashed_s) < MAX_CRASHES:
            return
        excess = sum(
            started_s > crashed_s[MAX_CRASHES - 1]
            for started_s, _ in self._starts_by_task[run.task]
        )
        if excess >= EXCESS_STARTS:
            self._report(
                "BUDGET",
                f"{run.task} run {run.number} is start {excess} after"
                f" {MAX_CRASHES} runners had crashed under it",
            )

    def _crash_times_s(self, task: str) -> list[float]:
        return [
            end.ended_s
            for end in self._ends_by_task[task]
            if end.cause == "crash"
        ]

    def _check_capacity(
        self,
        runner: platform_runner.PlatformRunner,
        run: platform_runner.Run,
    ) -> None:
        """Checks a start that the runner has just added to its runs."""
        if self._clock() - runner.shrunk_s <= SHRINK_GRACE_S:
            return
        if not runner.used.fits_in(runner.capacity):
            self._report(
                "LIMIT",
                f"{run.task} run {run.number} brought {runner.worker} to"
                f" {runner.used} of {runner.capacity}",
            )

    def _check_order(self, job: SubmittedJob, name: model.TaskName) -> None:
        step = job.steps[name.step]
        dependencies = step.get("after", [])
        if not isinstance(dependencies, list):
            return
        for number in dependencies:
            count = int(str(job.steps[number]["count"]))
            for index in range(count):
                task = str(model.TaskName(name.job, 0, number, index))
                if not self._has_completed(job, number, task):
                    self._report(
                        "ORDER", f"{name} started before {task} was done"
                    )

    def _has_completed(self, job: SubmittedJob, step: int, task: str) -> bool:
        # A gang completes as a whole, so one member that is done is enough.
        if job.steps[step].get("gang"):
            step_name = task.rpartition(".")[0]
            count = int(str(job.steps[step]["count"]))
            tasks = [f"{step_name}.{index}" for index in range(count)]
        else:
            tasks = [task]
        return any(
            end.cause == "done"
            for member in tasks
            for end in self._ends_by_task[member]
        )

    def on_end(
        self,
        runner: platform_runner.PlatformRunner,
        run: platform_runner.Run,
        cause: str,
    ) -> None:
        """Records the end of a run."""
        if runner in self._active_runners_by_task[run.task]:
            self._active_runners_by_task[run.task].remove(runner)
        self._ends_by_task[run.task].append(
            _RunEnd(self._clock(), cause, runner)
        )
        faults_are_over = self._clock() - self._last_fault_s() > FAULT_GRACE_S
        job = self.jobs_by_id.get(model.TaskName.parse(run.task).job)
        cancelled = job is not None and job.cancel_sent
        if cause == "alone" and faults_are_over and not cancelled:
            self._report("GANG", f"{run.task} timed out waiting for its gang")

    def on_end_acknowledged(
        self,
        runner: platform_runner.PlatformRunner,
        task: str,
        cause: str,
    ) -> None:
        """Records that the scheduler acknowledged the end of a run."""
        for end in self._ends_by_task[task]:
            if end.runner is not runner or end.cause != cause:
                continue
            # If the runner's lease expired before the end was acknowledged, the
            # task may run again.
            end.acknowledged = end.acknowledged or not any(
                time_s > end.ended_s for time_s in runner.times_without_lease_s
            )

    # Responses received by callers.

    def on_state_reported(self, job: SubmittedJob, state: str) -> None:
        """Checks a job state that a caller was told."""
        job.observed_states.append((self._clock(), state))
        if state == "completed":
            for number, step in enumerate(job.steps):
                for index in range(int(str(step["count"]))):
                    task = str(model.TaskName(job.id, 0, number, index))  # type: ignore[arg-type]
                    if not self._has_completed(job, number, task):
                        self._report(
                            "MIXED",
                            f"{job.id} reported as completed without {task}",
                        )
        if state == "cancelled" and not job.cancel_sent:
            self._report(
                "LOST", f"{job.id} reported as cancelled without a request"
            )
        if state == "failed" and not self._has_exhausted_attempts(job):
            self._report(
                "LOST", f"{job.id} reported as failed with attempts left"
            )

    def _has_exhausted_attempts(self, job: SubmittedJob) -> bool:
        failures: collections.Counter[str] = collections.Counter()
        for task, ends in self._ends_by_task.items():
            if task.startswith(job.id):
                # The members of a gang share their attempts.
                task_or_gang = task
                step = job.steps[model.TaskName.parse(task).step]
                if step.get("gang"):
                    task_or_gang = task.rpartition(".")[0]
                failures[task_or_gang] += sum(
                    end.cause == "failed" for end in ends
                )
                if len(self._crash_times_s(task)) >= MIN_CRASHES_TO_GIVE_UP:
                    return True
        return any(count >= job.max_attempts for count in failures.values())

    def on_not_found(self, job: SubmittedJob) -> None:
        """Checks a response that says that the job does not exist."""
        if job.accepted:
            self._report(
                "LOST", f"{job.id} was accepted, but is reported as unknown"
            )

    # Checks at the end of the simulation.

    def finish(self) -> list[str]:
        """Runs the final checks and returns all findings."""
        for task, ends in self._ends_by_task.items():
            completion_times_s = [
                end.ended_s
                for end in ends
                if end.cause == "done" and end.acknowledged
            ]
            for started_s, number in self._starts_by_task[task]:
                if any(started_s > ended_s for ended_s in completion_times_s):
                    self._report(
                        "TWICE",
                        f"{task} run {number} started after the task was done",
                    )
        for job in self.jobs_by_id.values():
            started = any(
                task.startswith(job.id) for task in self._starts_by_task
            )
            refused = job.statuses and set(job.statuses) <= {429, 503}
            if started and refused:
                self._report(
                    "REFUSED",
                    f"{job.id} was started, but every submission was rejected",
                )
            last_state = (
                job.observed_states[-1][1] if job.observed_states else ""
            )
            ended = last_state in ("completed", "failed", "cancelled")
            if job.accepted and not ended:
                self._report(
                    "LOST",
                    f"{job.id} did not end; last reported as {last_state!r},"
                    f" last asked for (s, status): {job.last_poll}",
                )
        return self.findings
