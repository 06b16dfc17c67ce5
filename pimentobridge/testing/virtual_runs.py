"""Executes what an engine orders, in virtual time, for tests of scheduling."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import runs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pimentobridge.testing import engine_harness

TICK_S = 0.5


@dataclasses.dataclass
class _Run:
    """A run on a simulated worker."""

    started_s: float
    run_time_s: float
    stopping: bool = False


class VirtualRuns:
    """Runs the tasks of an engine harness for their given times.

    A run reports its progress in each tick, and one that is stopped has ended
    by the next tick, with a checkpoint.

    Args:
        harness: the engine and its workers.
        run_time_s_by_job: run time of the tasks of each job, by the first
            letter of its id.

    Attributes:
        starts: time, first letter of the job's id, and worker of each start.
        stops: number of runs that were stopped, by the letter.
    """

    def __init__(
        self,
        harness: engine_harness.EngineHarness,
        run_time_s_by_job: Mapping[str, float],
    ) -> None:
        self._harness = harness
        self._run_time_s_by_job = run_time_s_by_job
        self._runs_by_worker: dict[int, dict[runs.RunKey, _Run]] = {
            number: {} for number in range(len(harness.incarnations))
        }
        self._ends: collections.Counter[int] = collections.Counter()
        self._origin_s = harness.clock.monotonic()
        self.starts: list[tuple[float, str, int]] = []
        self.stops: collections.Counter[str] = collections.Counter()

    def first_start_s(self, job: str) -> float:
        """Returns when a job first started; infinite if it hasn't."""
        times_s = [time_s for time_s, name, _ in self.starts if name == job]
        return min(times_s, default=float("inf"))

    def advance(self, duration_s: float) -> None:
        """Runs the tasks and the scheduling passes for some time."""
        until_s = self._harness.clock.monotonic() + duration_s
        self._schedule()
        while self._harness.clock.monotonic() < until_s:
            self._harness.clock.advance(TICK_S)
            self._schedule()

    def _schedule(self) -> None:
        for number in self._runs_by_worker:
            self._report(number, self._take_ends(number))
        self._harness.plan()
        self._harness.record()
        for number in self._runs_by_worker:
            self._apply_orders(number, self._report(number, ()))

    def _take_ends(self, number: int) -> tuple[runs.EndedRun, ...]:
        now_s = self._harness.clock.monotonic()
        ended = []
        for key, run in list(self._runs_by_worker[number].items()):
            if not run.stopping and now_s - run.started_s < run.run_time_s:
                continue
            del self._runs_by_worker[number][key]
            self._ends[number] += 1
            cause = (
                runs.EndCause.STOPPED if run.stopping else (runs.EndCause.DONE)
            )
            ended.append(runs.EndedRun(self._ends[number], key, cause, "c"))
        return tuple(ended)

    def _report(
        self, number: int, ended: tuple[runs.EndedRun, ...]
    ) -> runs.Instructions:
        now_s = self._harness.clock.monotonic()
        running = tuple(
            runs.RunningTask(
                key, "", int(99 * (now_s - run.started_s) / run.run_time_s)
            )
            for key, run in self._runs_by_worker[number].items()
        )
        return self._harness.observe(number, running=running, ended=ended)

    def _apply_orders(self, number: int, orders: runs.Instructions) -> None:
        now_s = self._harness.clock.monotonic()
        executing = self._runs_by_worker[number]
        for start in orders.all_starts:
            if start.key in executing:
                continue
            name = start.key.task[0]
            executing[start.key] = _Run(now_s, self._run_time_s_by_job[name])
            self.starts.append((now_s - self._origin_s, name, number))
        for key in orders.stops:
            if key in executing and not executing[key].stopping:
                executing[key].stopping = True
                self.stops[key.task[0]] += 1
