"""A fleet whose workers differ in speed, in virtual time without a network.

Workers report whole percentages twice a second and nothing about their speed. A
gang moves at the pace of its slowest member. Tasks may be slowed by co-located
ones, and serving tasks report the latency that results.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import msgspec

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import durations
from pimentobridge.core.scheduling import speeds as speeds_lib
from pimentobridge.testing import engine_harness

if TYPE_CHECKING:
    from collections.abc import Mapping
    import random

WORKERS_PER_RACK = 5
# Tail latency of a serving task by itself, as a share of its target.
LATENCY_SHARE = 0.7
TICK_S = 0.1
TICKS_PER_REPORT = 5
# Completion targets by priority: multiple of the work, and seconds on top.
TARGETS = {0: (1.5, 0.6), 1: (3.0, 1.5), 2: (3.0, 3.0)}
URGENT_ERROR = 0.2
OTHER_ERROR = 0.9


@dataclasses.dataclass
class _Run:
    """A run on a worker; `done` is the share of the work."""

    worker: int
    task: model.TaskName
    done: float = 0.0


@dataclasses.dataclass
class _Worker:
    """A simulated worker, its runs, and its ends that aren't acknowledged."""

    speed: float
    runs_by_key: dict[runs.RunKey, _Run] = dataclasses.field(
        default_factory=dict
    )
    ended: list[runs.EndedRun] = dataclasses.field(default_factory=list)
    ends: int = 0

    def end(self, key: runs.RunKey, cause: runs.EndCause) -> None:
        """Ends a run."""
        self.ends += 1
        saved = f"{self.runs_by_key.pop(key).done:.2f}"
        self.ended.append(runs.EndedRun(self.ends, key, cause, saved))


class UnevenFleet:
    """A fleet of uneven workers and the jobs that it is given.

    Args:
        speeds: speed of each worker.
        learning: whether the scheduler learns speeds and durations.
        slowdowns: factor by which the tasks of an image are slower on a worker
            with another task, by the image and that of the other task.

    Attributes:
        work_s_by_job: work of each task of a job, in seconds.
    """

    def __init__(
        self,
        speeds: list[float],
        *,
        learning: bool = True,
        slowdowns: Mapping[tuple[str, str], float] | None = None,
    ) -> None:
        self._slowdowns = slowdowns or {}
        self.harness = engine_harness.EngineHarness(0)
        self.harness.incarnations = [
            msgspec.structs.replace(
                self.harness.incarnation(number),
                rack=types.RackName(f"rack-{number // WORKERS_PER_RACK}"),
            )
            for number in range(len(speeds))
        ]
        if not learning:
            self.harness.engine.speeds = speeds_lib.Speeds(
                {}, durations.Durations(), lambda *_, **__: None
            )
            self.harness.engine.speeds.on_progress = (  # type: ignore[method-assign]
                lambda *_: None
            )
            self.harness.engine.durations.on_done = (  # type: ignore[method-assign]
                lambda *_, **__: None
            )
        self.workers = [_Worker(speed) for speed in speeds]
        self.work_s_by_job: dict[str, float] = {}
        self._ticks = 0

    def submit(self, job: model.Job, work_s: float) -> None:
        """Submits a job of which each task has some work."""
        self.work_s_by_job[job.id] = work_s
        self.harness.engine.put_job(job)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        for _ in range(round(seconds / TICK_S)):
            self._ticks += 1
            self.harness.clock.advance(TICK_S)
            self._work()
            if self._ticks % TICKS_PER_REPORT == 0:
                for number in range(len(self.workers)):
                    self._report(number)
            engine = self.harness.engine
            engine.request_due_pass()
            if engine.needs_pass:
                self.harness.plan()
                self.harness.record()
                for number in range(len(self.workers)):
                    self._report(number)

    def counts_in_time(self, priority: int) -> tuple[int, int]:
        """Returns how many jobs of a priority ended in time, and their number.

        Jobs whose target lies ahead don't count.
        """
        now_s = self.harness.clock.monotonic()
        stretch, extra_s = TARGETS[priority]
        in_time = total = 0
        for tracked in self.harness.engine.jobs_by_id.values():
            if tracked.job.queue.priority != priority:
                continue
            target_s = stretch * self.work_s_by_job[tracked.id] + extra_s
            due_s = tracked.first_seen_s + target_s
            completed = tracked.state is progress.JobState.COMPLETED
            if due_s <= now_s:
                in_time += completed and (tracked.ended_s or 0.0) <= due_s
                total += 1
        return in_time, total

    def _work(self) -> None:
        paces: dict[tuple[str, int], float] = {}
        members: dict[tuple[str, int], int] = {}
        all_runs = [
            (worker, key, run)
            for worker in self.workers
            for key, run in worker.runs_by_key.items()
        ]
        for worker, key, run in all_runs:
            unit = run.task.job, key.run
            paces[unit] = min(paces.get(unit, worker.speed), worker.speed)
            members[unit] = members.get(unit, 0) + 1
        for worker, key, run in all_runs:
            step = self._step_of(run.task)
            speed = worker.speed
            if step.gang:
                unit = run.task.job, key.run
                if run.done == 0 and members[unit] < step.count:
                    continue
                speed = paces[unit]
            speed /= self._slowdown_of(worker, key, step)
            run.done += speed * TICK_S / self.work_s_by_job[run.task.job]
            if run.done >= 1 and not step.long_running:
                worker.end(key, runs.EndCause.DONE)

    def _step_of(self, task: model.TaskName) -> model.Step:
        return self.harness.engine.jobs_by_id[task.job].job.steps[task.step]

    def images_by_worker(self) -> list[list[str]]:
        """Returns the images of the runs on each worker."""
        return [
            [self._step_of(run.task).image for run in runs_by_key.values()]
            for runs_by_key in (worker.runs_by_key for worker in self.workers)
        ]

    def _slowdown_of(
        self, worker: _Worker, key: runs.RunKey, step: model.Step
    ) -> float:
        if not self._slowdowns:
            return 1.0
        others = {
            self._step_of(run.task).image
            for other, run in worker.runs_by_key.items()
            if other != key
        }
        return math.prod(
            self._slowdowns.get((step.image, other), 1.0) for other in others
        )

    def _listing_of(
        self, worker: _Worker, key: runs.RunKey, run: _Run
    ) -> runs.RunningTask:
        step = self._step_of(run.task)
        metric = None
        if step.target_ms:
            latency_ms = step.target_ms * LATENCY_SHARE
            metric = round(latency_ms * self._slowdown_of(worker, key, step))
        return runs.MeasuredTask(key, "", int(run.done * 100), metric)

    def _report(self, number: int) -> None:
        worker = self.workers[number]
        orders = self.harness.observe(
            number,
            running=tuple(
                self._listing_of(worker, key, run)
                for key, run in worker.runs_by_key.items()
            ),
            ended=tuple(worker.ended),
        )
        worker.ended = [
            end for end in worker.ended if end.number > orders.acknowledged_end
        ]
        over = {end.key for end in worker.ended}
        for key in orders.stops:
            if key in worker.runs_by_key:
                worker.end(key, runs.EndCause.STOPPED)
        for start in orders.all_starts:
            if start.key not in worker.runs_by_key and start.key not in over:
                task = model.TaskName.parse(start.key.task)
                run = _Run(number, task)
                if self._step_of(task).checkpointing and start.checkpoint:
                    run.done = float(start.checkpoint)
                worker.runs_by_key[start.key] = run


def drawn_job(
    rng: random.Random, number: int, *, priority: int
) -> tuple[model.Job, float]:
    """Returns a job of the load of the boat deployment and its tasks' work.

    The widths, times and demands are drawn around the means of its type.
    """
    mean_s = {0: 4.2, 1: 18.8, 2: 16.2}[priority]
    work_s = mean_s * rng.lognormvariate(-0.08, 0.4)
    error = URGENT_ERROR if priority == 0 else OTHER_ERROR
    width = {0: 5, 1: 6, 2: 20}[priority]
    step = model.Step(
        rng.randint(1, 2 * width - 1),
        model.Resources(1000, 1000, 1 if priority else rng.choice((1, 1, 2))),
        work_s * (1 + rng.uniform(-error, error)),
        gang=priority < 2,
        same_rack=priority < 2 and rng.random() < 0.8,
        checkpointing=priority > 0 and rng.random() < 0.45,
    )
    job = engine_harness.job(
        f"{number:016x}", step, priority=priority, account="other"
    )
    stretch, objective_s = TARGETS[priority]
    queue = msgspec.structs.replace(
        job.queue, stretch=stretch, objective_s=objective_s
    )
    return msgspec.structs.replace(job, queue=queue), work_s
