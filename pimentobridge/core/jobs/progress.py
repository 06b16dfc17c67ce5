"""Progress of a job, in the form kept in the store."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
import zlib

import msgspec

from pimentobridge.core import decoding
from pimentobridge.core import types
from pimentobridge.core.jobs import model

if TYPE_CHECKING:
    from collections.abc import Iterator


# Progress of at least this size is compressed.
MIN_COMPRESSED_BYTES = 16 * 1024
# Start of compressed data. Other records start with an array.
COMPRESSED_PREFIX = b"\x78"
# Limit on what a record may decompress to.
MAX_PROGRESS_BYTES = 32 * 1024 * 1024
# Limit of the remembered workers on which a task has failed.
MAX_WORKERS_FAILED_ON = 8


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Whether the state is final: no further task will be started."""
        return self in (
            JobState.COMPLETED,
            JobState.FAILED,
            JobState.CANCELLED,
        )


class UnitStatus(enum.Enum):
    """State of a unit.

    `ENDING`: a member of the latest run has ended or was released, but other
    members may still execute on their workers.
    """

    WAITING = "w"
    ACTIVE = "a"
    ENDING = "e"
    DONE = "d"


class Placement(msgspec.Struct, array_like=True):
    """Assignment of one member of a run to an incarnation of a worker.

    Attributes:
        started_ms: Unix time at which the incarnation started, in
            milliseconds.
        agent: address of the agent on the worker's machine.
        released: the run certainly doesn't execute there and never will, so
            that its resources are free.
        ticket: the policy's ticket, if the queue requires one.
    """

    worker: types.WorkerId
    started_ms: int
    agent: types.Address
    released: bool = False
    ticket: str = ""


class Unit(msgspec.Struct, array_like=True):
    """Tasks that are started as one: a gang or a single task.

    Attributes:
        first: index of the first task.
        size: number of tasks.
        run: number of the latest run; 0 before the first.
        failures: number of failed runs.
        checkpoint: latest checkpoint to resume from; empty for none.
        placements: assignments of the latest run, by member.
        counted_run: latest run whose failure is counted in `failures`; a run
            counts once, however many of its members fail.
        crashed_on_by_member: agents of the machines on which the worker
            crashed under a member, one for each crash.
        failed_on: workers on which a run has failed, the latest last.
    """

    first: int
    size: int
    status: UnitStatus = UnitStatus.WAITING
    run: int = 0
    failures: int = 0
    checkpoint: str = ""
    placements: list[Placement] = []
    counted_run: int = 0
    crashed_on_by_member: dict[int, list[types.Address]] = {}
    failed_on: list[types.WorkerId] = []

    @property
    def crashed_on(self) -> set[types.Address]:
        """Agents of the machines on which the worker crashed under the unit."""
        return {
            machine
            for machines in self.crashed_on_by_member.values()
            for machine in machines
        }

    def note_failure_on(self, worker: types.WorkerId) -> None:
        """Notes that a run has failed on a worker, and forgets old failures.

        A task that lasts may fail any number of times.
        """
        if worker in self.failed_on:
            self.failed_on.remove(worker)
        self.failed_on.append(worker)
        del self.failed_on[:-MAX_WORKERS_FAILED_ON]

    def requeue_if_released(self) -> None:
        """Puts the unit back to waiting once no member can still execute."""
        if self.status is UnitStatus.ENDING and all(
            placement.released for placement in self.placements
        ):
            self.status = UnitStatus.WAITING
            self.placements = []


class Occurrence(msgspec.Struct, array_like=True):
    """One execution of a job's steps: the units of each step."""

    steps: list[list[Unit]]

    def step_done(self, step: int) -> bool:
        """Returns whether all units of a step are done."""
        return all(unit.status is UnitStatus.DONE for unit in self.steps[step])

    @property
    def done(self) -> bool:
        """Whether all units are done."""
        return all(self.step_done(step) for step in range(len(self.steps)))


class Progress(msgspec.Struct, array_like=True):
    """Progress of a job; it is stored separately from the submission.

    Attributes:
        occurrences_by_number: open occurrences: due, and not yet done.
        finished_occurrences: number of occurrences that are done.
    """

    state: JobState = JobState.QUEUED
    occurrences_by_number: dict[int, Occurrence] = {}
    finished_occurrences: int = 0

    def units(self) -> Iterator[tuple[int, int, Unit]]:
        """Yields (occurrence number, step index, unit) of open occurrences."""
        for number, occurrence in self.occurrences_by_number.items():
            for step, units in enumerate(occurrence.steps):
                for unit in units:
                    yield number, step, unit

    def unit_of(self, name: model.TaskName) -> Unit | None:
        """Returns the unit that contains a task, or None if it isn't open."""
        occurrence = self.occurrences_by_number.get(name.occurrence)
        if occurrence is None or not 0 <= name.step < len(occurrence.steps):
            return None
        for unit in occurrence.steps[name.step]:
            if unit.first <= name.task < unit.first + unit.size:
                return unit
        return None


def new_occurrence(job: model.Job) -> Occurrence:
    """Returns an occurrence with all units waiting."""
    return Occurrence(
        [
            [Unit(first, size) for first, size in step.unit_ranges]
            for step in job.steps
        ]
    )


_submission_decoder: msgspec.msgpack.Decoder[model.Job | dict[str, int]] = (
    msgspec.msgpack.Decoder(model.Job | dict[str, int])
)
_tombstone_decoder = msgspec.msgpack.Decoder(model.Tombstone)
_progress_decoder = msgspec.msgpack.Decoder(Progress)


def encode_job(job: model.Job | model.Tombstone) -> bytes:
    """Encodes a submission, or the tombstone of one, for the store."""
    return msgspec.msgpack.encode(job)


def decode_job(data: bytes) -> model.Job | model.Tombstone:
    """Decodes a submission, or the tombstone of one, from the store.

    Raises:
        decoding.MalformedError: the data is malformed, or describes a job that
            callers can't submit.
    """
    record = decoding.decode(_submission_decoder, data)
    if isinstance(record, dict):
        return decoding.decode(_tombstone_decoder, data)
    problem = model.problem_in(record)
    if problem:
        raise decoding.MalformedError(problem, data)
    return record


def encode_progress(progress: Progress) -> bytes:
    """Encodes a job's progress for the store.

    That of a job of many tasks is compressed: it is written again and again,
    over links that may be slow, and its tasks have much in common.
    """
    data = msgspec.msgpack.encode(progress)
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return zlib.compress(data, zlib.Z_BEST_SPEED)


def decode_progress(data: bytes, job: model.Job) -> Progress:
    """Decodes a job's progress from the store.

    Args:
        data: the record.
        job: the submission that the record belongs to.

    Raises:
        decoding.MalformedError: the data is malformed, or doesn't match the
            job's steps.
    """
    progress = decoding.decode(_progress_decoder, _decompressed(data))
    if not all(
        _matches(occurrence, job)
        for occurrence in progress.occurrences_by_number.values()
    ):
        raise decoding.MalformedError(
            "the units don't match the job's steps", data
        )
    return progress


def _decompressed(data: bytes) -> bytes:
    """Returns the encoded progress in a record.

    Raises:
        decoding.MalformedError: the record is compressed and malformed.
    """
    if not data.startswith(COMPRESSED_PREFIX):
        return data
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_PROGRESS_BYTES)
    except zlib.error as error:
        raise decoding.MalformedError(str(error), data) from error
    if not decompressor.eof:
        raise decoding.MalformedError("the record is cut or too long", data)
    return decompressed


def _matches(occurrence: Occurrence, job: model.Job) -> bool:
    """Returns whether the units are those of the job's steps."""
    if len(occurrence.steps) != len(job.steps):
        return False
    return all(
        [(unit.first, unit.size) for unit in units] == step.unit_ranges
        and all(_has_valid_placements(unit) for unit in units)
        for units, step in zip(occurrence.steps, job.steps, strict=True)
    )


def _has_valid_placements(unit: Unit) -> bool:
    """Returns whether each member of a started unit has a placement."""
    expected = (
        unit.size
        if unit.status in (UnitStatus.ACTIVE, UnitStatus.ENDING)
        else len(unit.placements)
    )
    return (
        len(unit.placements) == expected
        and 0 <= unit.run <= decoding.MAX_INTEGER
        and 0 <= unit.failures <= decoding.MAX_INTEGER
        and all(
            0 <= placed.started_ms <= decoding.MAX_INTEGER
            for placed in unit.placements
        )
    )
