"""A crowded fleet during a rolling update, in virtual time.

The engine and the planner are the product's; workers, callers and the store are
simulated, without agents and without a network.
"""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

import msgspec

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import orders as orders_lib
from pimentobridge.testing import engine_harness

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pimentobridge.core import types

TICK_S = 0.1
REPORT_INTERVAL_S = 0.5
CAPACITY = model.Resources(32_000, 128_000, 8)
WORKERS_PER_RACK = 6
SPEEDS = (0.8, 1.0, 1.25)
# Time that a worker says it is left with, its longest overrun, and the time
# until its successor is up.
NOTICE_S = 4.0
MAX_OVERRUN_S = 3.0
RESTART_S = 1.0
STOP_S = 0.6
CHECKPOINT_INTERVAL_S = 2.0
# Interval at which workers begin to drain: 41 of them in 13 s.
DRAIN_INTERVAL_S = 0.32
# By priority: share of the jobs, mean run time in seconds, mean number of
# tasks, cores of a task, error of the caller's estimate.
_TYPES = (
    (0.60, 5.0, 5, 3_700, 0.5),
    (0.25, 17.0, 8, 13_000, 0.9),
    (0.15, 19.0, 39, 2_800, 0.9),
)
_MAX_TASKS = (32, 47, 230)
CHECKPOINTING_SHARE = 0.45


@dataclasses.dataclass
class _Run:
    """A run on a simulated worker.

    Attributes:
        work_s: work of the whole task, in seconds at speed 1.0.
        done_s: work that is done, with that of earlier runs.
        stops_at_s: time at which a requested stop takes effect.
    """

    key: runs.RunKey
    step: model.Step
    work_s: float
    done_s: float
    stops_at_s: float = float("inf")

    @property
    def saved(self) -> str:
        """The latest checkpoint that it has written by itself."""
        saved_s = self.done_s // CHECKPOINT_INTERVAL_S * CHECKPOINT_INTERVAL_S
        return f"{saved_s:.3f}" if self.step.checkpointing and saved_s else ""

    @property
    def listing(self) -> runs.RunningTask:
        """What the worker lists of it."""
        percent = min(100, int(100 * self.done_s / self.work_s))
        return runs.RunningTask(self.key, self.saved, percent)


@dataclasses.dataclass
class _Worker:
    """A simulated worker.

    Attributes:
        says_until_s: time until which it says that it serves.
        departs_at_s: time at which it departs; infinite if it stays.
        returns_at_s: time at which its successor is up.
    """

    speed: float
    says_until_s: float = float("inf")
    departs_at_s: float = float("inf")
    returns_at_s: float = float("inf")
    runs_by_key: dict[runs.RunKey, _Run] = dataclasses.field(
        default_factory=dict
    )
    ends: list[runs.EndedRun] = dataclasses.field(default_factory=list)
    ended: int = 0
    changed: bool = True

    def end(self, key: runs.RunKey, cause: runs.EndCause, saved: str) -> None:
        """Ends a run."""
        del self.runs_by_key[key]
        self.ended += 1
        self.ends.append(runs.EndedRun(self.ended, key, cause, saved))
        self.changed = True


class RollingUpdate:
    """Simulates the fleet, and counts what the update costs.

    Args:
        seed: seed of the jobs and of the times.
        workers: number of workers.
        load: demand for accelerators, as a share of what there is.
    """

    def __init__(self, *, seed: int, workers: int, load: float) -> None:
        self._rng = random.Random(seed)
        self.harness = engine_harness.EngineHarness(0)
        self._workers = [
            _Worker(self._rng.choice(SPEEDS)) for _ in range(workers)
        ]
        self.harness.incarnations = [
            self._incarnation(number, 1, "v1") for number in range(workers)
        ]
        self.harness.observe_all()
        self._work_s_by_step: dict[tuple[str, int], float] = {}
        self._mean_gap_s = _mean_accelerator_seconds() / (
            workers * CAPACITY.accelerators * load
        )
        self._next_job_s = self._now_s

    @property
    def _now_s(self) -> float:
        return self.harness.clock.monotonic()

    def run(self, *, warm_up_s: float, drained: int, rest_s: float) -> None:
        """Runs the load, then the update, then the load for another time.

        Args:
            warm_up_s: time before the update, in seconds.
            drained: number of workers that are replaced.
            rest_s: time from the first drain to the end, in seconds.
        """
        first_s = self._now_s + warm_up_s
        drains = [
            (first_s + number * DRAIN_INTERVAL_S, number)
            for number in range(drained)
        ]
        tick = 0
        while self._now_s < first_s + rest_s:
            while drains and drains[0][0] <= self._now_s:
                self._drain(drains.pop(0)[1])
            self._submit_due()
            self._advance_workers()
            self._report(tick)
            if self.harness.engine.needs_pass or (
                self.harness.engine.passes.time_to_due_s <= 0
            ):
                self.harness.engine.request_due_pass()
                self.harness.plan()
                self.harness.record()
            self.harness.clock.advance(TICK_S)
            tick += 1

    def lost(self) -> dict[str, float]:
        """Returns the lost core-seconds by cause."""
        return self.harness.engine.lost_work.gauges()

    def open_jobs(self, older_than_s: float) -> list[types.JobId]:
        """Returns the jobs that were submitted before a time and are open."""
        return [
            tracked.id
            for tracked in self.harness.engine.jobs_by_id.values()
            if not tracked.state.ended
            and self._now_s - tracked.first_seen_s > older_than_s
        ]

    def completed(self) -> int:
        """Returns the number of jobs that were completed."""
        return sum(
            tracked.state is progress_lib.JobState.COMPLETED
            for tracked in self.harness.engine.jobs_by_id.values()
        )

    def _incarnation(
        self, number: int, started_ms: int, version: str
    ) -> runs.WorkerIncarnation:
        return msgspec.structs.replace(
            self.harness.incarnation(number, started_ms),
            rack=f"rack-{number % (len(self._workers) // WORKERS_PER_RACK)}",
            capacity=CAPACITY,
            version=version,
        )

    # Callers.

    def _submit_due(self) -> None:
        while self._next_job_s <= self._now_s:
            self._next_job_s += self._rng.expovariate(1 / self._mean_gap_s)
            name = f"{len(self.harness.engine.jobs_by_id):016x}"
            priority = self._rng.choices(
                range(3), [share for share, *_ in _TYPES]
            )[0]
            step, work_s = self._random_step(priority)
            self._work_s_by_step[name, 0] = work_s
            self.harness.engine.put_job(
                engine_harness.job(name, step, priority=priority)
            )

    def _random_step(self, priority: int) -> tuple[model.Step, float]:
        _, mean_s, mean_tasks, millicores, error = _TYPES[priority]
        rng = self._rng
        work_s = mean_s * rng.uniform(0.4, 1.6)
        tasks = 1 + int(rng.expovariate(1 / (mean_tasks - 1)))
        accelerators = 1 if priority == 2 else rng.choice((1, 2, 4, 8))
        step = model.Step(
            min(_MAX_TASKS[priority], tasks),
            model.Resources(millicores, 1000, accelerators),
            work_s * rng.uniform(1 - error, 1 + error),
            gang=priority < 2,
            checkpointing=priority > 0 and rng.random() < CHECKPOINTING_SHARE,
        )
        return step, work_s

    # Workers.

    def _drain(self, number: int) -> None:
        overrun_s = self._rng.uniform(0.0, MAX_OVERRUN_S)
        worker = self._workers[number]
        worker.says_until_s = self._now_s + NOTICE_S
        worker.departs_at_s = worker.says_until_s + overrun_s
        worker.changed = True

    def _advance_workers(self) -> None:
        speeds_by_key = {
            key: worker.speed
            for worker in self._workers
            for key in worker.runs_by_key
        }
        for number, worker in enumerate(self._workers):
            for run in list(worker.runs_by_key.values()):
                if run.key in worker.runs_by_key:
                    self._advance_run(worker, run, speeds_by_key)
            if worker.departs_at_s <= self._now_s:
                self._depart(number, worker)
            elif worker.returns_at_s <= self._now_s:
                worker.returns_at_s = float("inf")
                self.harness.incarnations[number] = self._incarnation(
                    number, int(self._now_s * 1000), "v2"
                )
                worker.changed = True

    def _advance_run(
        self,
        worker: _Worker,
        run: _Run,
        speeds_by_key: dict[runs.RunKey, float],
    ) -> None:
        speed = worker.speed
        if run.step.gang:
            # It runs at the speed of the slowest member, once all have started.
            speed = min(
                speeds_by_key.get(key, 0.0)
                for key in self._members(run.key, run.step.count)
            )
        run.done_s += speed * TICK_S
        if run.stops_at_s <= self._now_s:
            saved = f"{run.done_s:.3f}" if run.step.checkpointing else ""
            worker.end(run.key, runs.EndCause.STOPPED, saved)
            self._break_gang(run)
        elif run.done_s >= run.work_s:
            worker.end(run.key, runs.EndCause.DONE, "")

    def _members(self, key: runs.RunKey, count: int) -> Iterator[runs.RunKey]:
        step = key.task.rpartition(".")[0]
        for member in range(count):
            yield runs.RunKey(f"{step}.{member}", key.run)

    def _break_gang(self, run: _Run) -> None:
        if not run.step.gang:
            return
        members = set(self._members(run.key, run.step.count))
        for worker in self._workers:
            for key in members & worker.runs_by_key.keys():
                saved = worker.runs_by_key[key].saved
                worker.end(key, runs.EndCause.GANG_BROKEN, saved)

    def _depart(self, number: int, worker: _Worker) -> None:
        lost = list(worker.runs_by_key.values())
        worker.runs_by_key.clear()
        for run in lost:
            self._break_gang(run)
        self.harness.observe(number, terminated=True)
        self._workers[number] = _Worker(
            worker.speed, returns_at_s=self._now_s + RESTART_S
        )

    # Agents.

    def _report(self, tick: int) -> None:
        period = round(REPORT_INTERVAL_S / TICK_S)
        for number, worker in enumerate(self._workers):
            if worker.returns_at_s < float("inf"):
                continue
            if not worker.changed and (tick + number) % period:
                self._act(number, worker, self._instructions(number))
                continue
            worker.changed = False
            if worker.departs_at_s < float("inf"):
                left_s = worker.says_until_s - self._now_s
                self.harness.incarnations[number] = msgspec.structs.replace(
                    self.harness.incarnations[number],
                    draining=True,
                    leaves_in_s=max(0.0, left_s),
                )
            instructions = self.harness.observe(
                number,
                running=tuple(
                    run.listing for run in worker.runs_by_key.values()
                ),
                ended=tuple(worker.ends),
            )
            self._act(number, worker, instructions)

    def _instructions(self, number: int) -> runs.Instructions | None:
        key = self.harness.incarnations[number].key
        worker = self.harness.engine.workers_by_incarnation.get(key)
        if worker is None:
            return None
        return orders_lib.instructions_for(
            worker, self.harness.engine.jobs_by_id
        )

    def _act(
        self,
        number: int,
        worker: _Worker,
        instructions: runs.Instructions | None,
    ) -> None:
        if instructions is None:
            return
        acknowledged = instructions.acknowledged_end
        worker.ends = [end for end in worker.ends if end.number > acknowledged]
        ended = {end.key for end in worker.ends}
        for order in instructions.all_starts:
            if order.key not in worker.runs_by_key and order.key not in ended:
                self._start(worker, order)
        for key in instructions.stops:
            run = worker.runs_by_key.get(key)
            if run is not None:
                run.stops_at_s = min(run.stops_at_s, self._now_s + STOP_S)

    def _start(self, worker: _Worker, order: runs.StartOrder) -> None:
        if any(
            key.task == order.key.task
            for other in self._workers
            for key in other.runs_by_key
        ):
            raise RuntimeError(f"two runs of task {order.key.task} at a time")
        name = model.TaskName.parse(order.key.task)
        tracked = self.harness.engine.jobs_by_id[name.job]
        worker.runs_by_key[order.key] = _Run(
            order.key,
            tracked.step_of(name.step),
            self._work_s_by_step[name.job, name.step],
            float(order.checkpoint or 0.0),
        )
        worker.changed = True


def _mean_accelerator_seconds() -> float:
    """Returns what a job takes on average."""
    accelerators = (15 / 4, 15 / 4, 1.0)
    return sum(
        share * mean_s * tasks * each
        for (share, mean_s, tasks, _, _), each in zip(
            _TYPES, accelerators, strict=True
        )
    )
