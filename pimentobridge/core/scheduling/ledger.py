"""Jobs as the scheduler tracks them, and what of them is recorded."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs

if TYPE_CHECKING:
    from pimentobridge.core import types


@dataclasses.dataclass
class TrackedJob:
    """A job with its progress and the state of its record.

    Attributes:
        first_seen_s: monotonic time at which this scheduler learned of it.
        changes: counts the changes to `progress`.
        recorded: the change up to which the store has the progress.
        revision: the record's revision in the store; 0 before the first.
        ended_s: monotonic time at which it was seen to have ended.
        new_checkpoints: a checkpoint has come since the last change.
        changed_s: monotonic time of the last change.
        misfit_noted: it was logged that a task fits no worker.
    """

    job: model.Job
    progress: progress_lib.Progress
    first_seen_s: float
    changes: int = 0
    recorded: int = 0
    revision: int = 0
    ended_s: float | None = None
    new_checkpoints: bool = False
    changed_s: float = 0.0
    misfit_noted: bool = False

    @property
    def id(self) -> types.JobId:
        """The job's id."""
        return self.job.id

    @property
    def state(self) -> progress_lib.JobState:
        """The job's state, cancelling included."""
        if self.job.cancelled and not self.progress.state.ended:
            return progress_lib.JobState.CANCELLED
        return self.progress.state

    def step_of(self, number: int) -> model.Step:
        """Returns a step by its number."""
        return self.job.steps[number]


@dataclasses.dataclass
class RunEntry:
    """A run that may exist on a worker.

    Attributes:
        member: its place among the unit's placements.
        ordered_at_change: the job's change that recorded it.
        stop: the run has no future and is to be stopped.
        percent: progress that the worker last listed; None before.
        started_s: monotonic time at which it was first listed as running.
        moved_s: monotonic time at which its progress last grew.
        first_percent: progress when it was first listed, which is more than
            none for a run that an earlier scheduler started.
    """

    tracked: TrackedJob
    name: model.TaskName
    unit: progress_lib.Unit
    run: int
    member: int
    ordered_at_change: int
    stop: bool = False
    percent: int | None = None
    started_s: float | None = None
    moved_s: float = 0.0
    first_percent: int = 0

    @property
    def key(self) -> runs.RunKey:
        """The run's key."""
        return runs.RunKey(str(self.name), self.run)

    @property
    def step(self) -> model.Step:
        """The step that the task belongs to."""
        return self.tracked.step_of(self.name.step)

    def note_progress(self, percent: int, now_s: float) -> None:
        """Takes what the worker lists of the run."""
        if self.started_s is None:
            self.started_s = now_s
            self.first_percent = percent
        if self.percent is None or percent > self.percent:
            self.moved_s = now_s
        self.percent = percent

    def worked_s(self, now_s: float) -> float:
        """Returns about how long the run has been at work, in seconds."""
        if self.started_s is None:
            return 0.0
        earlier_s = self.step.estimate_s * self.first_percent / 100
        return earlier_s + now_s - self.started_s

    @property
    def is_current(self) -> bool:
        """Whether the unit still counts on this run."""
        return (
            self.unit.run == self.run
            and self.unit.status is progress_lib.UnitStatus.ACTIVE
            and not self.tracked.state.ended
        )
