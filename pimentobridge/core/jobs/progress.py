"""What has happened to a job so far, in the form that the store keeps."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from pimentobridge.core import types
from pimentobridge.core.jobs import model

if TYPE_CHECKING:
    from collections.abc import Iterator


class JobState(enum.Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Whether nothing of the job runs or will run."""
        return self in (
            JobState.COMPLETED,
            JobState.FAILED,
            JobState.CANCELLED,
        )


class UnitStatus(enum.Enum):
    """State of a unit.

    `ENDING` means that the run has no future, but may still be at work on a
    worker.
    """

    WAITING = "w"
    ACTIVE = "a"
    ENDING = "e"
    DONE = "d"


class Placement(msgspec.Struct, array_like=True):
    """A member of a run on one life of a worker.

    Attributes:
        started_ms: start of the worker's life, Unix milliseconds.
        agent: address of the agent beside the worker.
        over: the run surely doesn't exist there and never will.
        ticket: the policy's consent, where the queue needs it.
    """

    worker: types.WorkerId
    started_ms: int
    agent: types.Address
    over: bool = False
    ticket: str = ""


class Unit(msgspec.Struct, array_like=True):
    """Tasks that start together: a gang, or one task.

    Attributes:
        first: index of the first task.
        size: number of tasks.
        run: number of the newest run; 0 before the first.
        failures: runs that failed.
        checkpoint: newest checkpoint worth resuming from.
        placements: where the newest run was ordered, by member.
        counted_run: newest run whose failure has been counted.
    """

    first: int
    size: int
    status: UnitStatus = UnitStatus.WAITING
    run: int = 0
    failures: int = 0
    checkpoint: str = ""
    placements: list[Placement] = []
    counted_run: int = 0


class Occurrence(msgspec.Struct, array_like=True):
    """The units of each step, for one time that the steps run."""

    steps: list[list[Unit]]

    def step_done(self, step: int) -> bool:
        """Returns whether all tasks of a step have ended as done."""
        return all(unit.status is UnitStatus.DONE for unit in self.steps[step])

    @property
    def done(self) -> bool:
        """Whether all tasks have ended as done."""
        return all(self.step_done(step) for step in range(len(self.steps)))


class Progress(msgspec.Struct, array_like=True):
    """A job's record beside its submission.

    Attributes:
        occurrences_by_number: those that have come due and aren't done.
        finished_occurrences: how many are done.
    """

    state: JobState = JobState.QUEUED
    occurrences_by_number: dict[int, Occurrence] = {}
    finished_occurrences: int = 0

    def units(self) -> Iterator[tuple[int, int, Unit]]:
        """Yields occurrence, step and unit of all open occurrences."""
        for number, occurrence in self.occurrences_by_number.items():
            for step, units in enumerate(occurrence.steps):
                for unit in units:
                    yield number, step, unit

    def unit_of(self, name: model.TaskName) -> Unit | None:
        """Returns the unit that a task belongs to."""
        occurrence = self.occurrences_by_number.get(name.occurrence)
        if occurrence is None or not 0 <= name.step < len(occurrence.steps):
            return None
        for unit in occurrence.steps[name.step]:
            if unit.first <= name.task < unit.first + unit.size:
                return unit
        return None


def new_occurrence(job: model.Job) -> Occurrence:
    """Returns an occurrence of which nothing has started."""
    return Occurrence(
        [
            [Unit(0, step.count)]
            if step.gang
            else [Unit(index, 1) for index in range(step.count)]
            for step in job.steps
        ]
    )


_job_decoder = msgspec.msgpack.Decoder(model.Job)
_progress_decoder = msgspec.msgpack.Decoder(Progress)


def encode_job(job: model.Job) -> bytes:
    """Returns the stored form of a submission."""
    return msgspec.msgpack.encode(job)


def decode_job(data: bytes) -> model.Job:
    """Returns a submission from its stored form.

    Raises:
        msgspec.MsgspecError: the data isn't one.
    """
    return _job_decoder.decode(data)


def encode_progress(progress: Progress) -> bytes:
    """Returns the stored form of a job's progress."""
    return msgspec.msgpack.encode(progress)


def decode_progress(data: bytes) -> Progress:
    """Returns a job's progress from its stored form.

    Raises:
        msgspec.MsgspecError: the data isn't one.
    """
    return _progress_decoder.decode(data)
