"""Jobs and runs as the scheduler tracks them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import observed_progress
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import kinds

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from pimentobridge.core import types

# Run time assumed for tasks without an estimate.
DEFAULT_ESTIMATE_S = 5.0


class StopReason(enum.Enum):
    """Why the scheduler stops a run.

    `DEPARTURE`: its worker is about to depart, or in an evacuated data centre.
    `PREEMPTION`: a more urgent job needs the resources.
    """

    DEPARTURE = "departure"
    PREEMPTION = "preemption"
    OTHER = "other"


@dataclasses.dataclass
class TrackedJob:
    """A job with its progress and the state of its record in the store.

    Attributes:
        first_seen_s: monotonic time at which this scheduler learned of the job.
        changes: number of changes made to `progress`.
        recorded_change: number of the latest change that the store holds.
        revision: store revision of the progress record; 0 if there is none.
        ended_s: monotonic time at which the job ended, or at which this
            scheduler learned of an ended job; None while it hasn't ended.
        new_checkpoints: a checkpoint was reported since the last change.
        changed_s: monotonic time of the last change.
        oversize_logged: it was logged that a task is too large for any worker.
        expected_s_by_step: expected run times of the tasks of steps on a worker
            of average speed, in seconds, where they are learned.
        awaits_faster_from_s: monotonic time from which a unit has waited for
            faster workers although others were free; None if none has.
    """

    job: model.Job
    progress: progress_lib.Progress
    first_seen_s: float
    changes: int = 0
    recorded_change: int = 0
    revision: int = 0
    ended_s: float | None = None
    new_checkpoints: bool = False
    changed_s: float = 0.0
    oversize_logged: bool = False
    expected_s_by_step: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    awaits_faster_from_s: float | None = None

    @property
    def id(self) -> types.JobId:
        """The job's id."""
        return self.job.id

    @property
    def state(self) -> progress_lib.JobState:
        """The job's state; cancelled as soon as the submission says so."""
        if self.job.cancelled and not self.progress.state.ended:
            return progress_lib.JobState.CANCELLED
        return self.progress.state

    def step_of(self, number: int) -> model.Step:
        """Returns a step by its index."""
        return self.job.steps[number]


@dataclasses.dataclass
class RunEntry:
    """One member of a unit's run, which may exist on a worker.

    Attributes:
        run: number of the run.
        member: index of the member among the unit's placements.
        ordered_at_change: number of the job's change that contains the
            placement; the run is started once that change is recorded.
        stop_requested: the run must be stopped, for example because its job
            has ended or because it stalled.
        stop_reason: why it must be stopped, if that is requested.
        expected_s: expected run time on its workers, in seconds; 0 if only the
            step's estimate is known, as after a change of scheduler.
        observed: progress that the worker has reported to this scheduler.
        backfilled_for: the job in whose reserved capacity this scheduler has
            placed the run; None if it is of another priority or there is none.
        neighbours: kinds of the other tasks on its worker at the last report;
            None before the first.
        neighbours_since_s: monotonic time from which they were the same.
        throttled_s: monotonic time at which it was last known to be throttled;
            None if it never was.
    """

    tracked: TrackedJob
    name: model.TaskName
    unit: progress_lib.Unit
    run: int
    member: int
    ordered_at_change: int
    stop_requested: bool = False
    stop_reason: StopReason = StopReason.OTHER
    expected_s: float = 0.0
    observed: observed_progress.ObservedProgress = dataclasses.field(
        default_factory=observed_progress.ObservedProgress
    )
    backfilled_for: types.JobId | None = None
    neighbours: frozenset[kinds.Kind] | None = None
    neighbours_since_s: float = 0.0
    throttled_s: float | None = None

    @property
    def key(self) -> runs.RunKey:
        """The run's key."""
        return runs.RunKey(str(self.name), self.run)

    @property
    def step(self) -> model.Step:
        """The step that the task belongs to."""
        return self.tracked.step_of(self.name.step)

    @property
    def is_recorded(self) -> bool:
        """Whether an earlier scheduler has placed the run."""
        return self.ordered_at_change == 0

    @property
    def kind(self) -> kinds.Kind:
        """The kind of the task."""
        return kinds.kind_of(self.tracked.job, self.name.step)

    def execution_time_s(self, now_s: float) -> float:
        """Returns the approximate execution time so far, in seconds.

        The time before the first report is derived from the step's estimate.
        """
        observed = self.observed
        if observed.started_s is None:
            return 0.0
        earlier_s = self.step.estimate_s * observed.first_percent / 100
        return earlier_s + now_s - observed.started_s

    def unsaved_s(self, until_s: float) -> float:
        """Returns the execution time that no checkpoint has saved, in seconds.

        Args:
            until_s: monotonic time until which the run executed.
        """
        observed = self.observed
        if observed.started_s is None:
            return 0.0
        if observed.checkpointed_s is not None:
            return max(0.0, until_s - observed.checkpointed_s)
        if self.unit.checkpoint:
            # The run has resumed from it and hasn't listed it yet.
            return max(0.0, until_s - observed.started_s)
        return max(0.0, self.execution_time_s(until_s))

    def remaining_s(self, now_s: float) -> float:
        """Returns the expected remaining time of its own work, in seconds.

        A member of a gang also waits for the others.
        """
        if self.stop_requested or not self.is_current:
            return 0.0
        if self.step.long_running:
            return float("inf")
        by_rate_s = self.observed.remaining_s(now_s)
        if by_rate_s is not None:
            return by_rate_s
        elapsed_s = self.execution_time_s(now_s)
        percent = self.observed.percent
        if percent:
            return elapsed_s * (100 - percent) / percent
        expected_s = (
            self.expected_s or self.step.estimate_s or DEFAULT_ESTIMATE_S
        )
        return max(0.0, expected_s - elapsed_s)

    @property
    def is_current(self) -> bool:
        """Whether this is the unit's active run and the job hasn't ended."""
        return (
            self.is_latest
            and self.unit.status is progress_lib.UnitStatus.ACTIVE
        )

    @property
    def is_latest(self) -> bool:
        """Whether this is the unit's latest run, which may be ending.

        False once the unit is done or the job has ended.
        """
        return (
            self.unit.run == self.run
            and self.unit.status is not progress_lib.UnitStatus.DONE
            and not self.tracked.state.ended
        )


def remaining_s(members: Collection[RunEntry], now_s: float) -> float:
    """Returns the expected time until a unit's run ends, in seconds.

    A gang ends with its slowest member. Members whose progress isn't known, as
    after a change of scheduler, count as those with known progress.

    Args:
        members: the members of the run, at least one.
        now_s: current monotonic time.
    """
    known = [
        member for member in members if member.observed.percent is not None
    ]
    return max(member.remaining_s(now_s) for member in known or members)


def footprint_of(
    key: runs.RunKey, jobs_by_id: Mapping[types.JobId, TrackedJob]
) -> model.Resources:
    """Returns what a listed run reserves; nothing if its job isn't tracked."""
    found = job_of(key, jobs_by_id)
    if found is None or found[1].step >= len(found[0].job.steps):
        return model.NO_RESOURCES
    tracked, name = found
    return tracked.step_of(name.step).footprint


def unit_of(
    key: runs.RunKey, jobs_by_id: Mapping[types.JobId, TrackedJob]
) -> progress_lib.Unit | None:
    """Returns the unit that a listed run belongs to, or None if not open."""
    found = job_of(key, jobs_by_id)
    if found is None:
        return None
    tracked, name = found
    return tracked.progress.unit_of(name)


def job_of(
    key: runs.RunKey, jobs_by_id: Mapping[types.JobId, TrackedJob]
) -> tuple[TrackedJob, model.TaskName] | None:
    """Returns the job and the name of a listed run's task, if it is tracked."""
    try:
        name = model.TaskName.parse(key.task)
    except ValueError:
        return None
    tracked = jobs_by_id.get(name.job)
    return (tracked, name) if tracked is not None else None
