"""A job as submitted by its caller."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Self

import msgspec

from pimentobridge.core import decoding
from pimentobridge.core import types
from pimentobridge.core.jobs import configuration

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_SPEC_BYTES = 4000
MAX_TASKS = 100_000


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of CPU, memory and accelerators."""

    cpu_millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, available: Resources) -> bool:
        """Returns whether this amount fits in `available`."""
        return (
            self.cpu_millicores <= available.cpu_millicores
            and self.memory_mib <= available.memory_mib
            and self.accelerators <= available.accelerators
        )

    def copies_in(self, available: Resources) -> int:
        """Returns how many times this amount fits in `available`."""
        # Written out, as a scheduling pass asks this of each worker for each
        # waiting unit.
        copies = None
        if self.cpu_millicores > 0:
            copies = available.cpu_millicores // self.cpu_millicores
        if self.memory_mib > 0:
            by_memory = available.memory_mib // self.memory_mib
            copies = by_memory if copies is None else min(copies, by_memory)
        if self.accelerators > 0:
            by_count = available.accelerators // self.accelerators
            copies = by_count if copies is None else min(copies, by_count)
        return UNBOUNDED_COPIES if copies is None else max(0, copies)

    def dominant_share(self, capacity: Resources) -> float:
        """Returns the largest fraction taken of any resource in `capacity`."""
        return max(
            (
                need / have
                for need, have in zip(
                    msgspec.structs.astuple(self),
                    msgspec.structs.astuple(capacity),
                    strict=True,
                )
                if have > 0
            ),
            default=0.0,
        )


# Number of copies that fit if a task requests no resources; it bounds the loops
# over them.
UNBOUNDED_COPIES = 10_000
NO_RESOURCES = Resources()


def total(amounts: Iterable[Resources]) -> Resources:
    """Returns the sum of the amounts; no resources if there are none."""
    result = NO_RESOURCES
    for amount in amounts:
        result += amount
    return result


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A group of tasks with the same resource request.

    Attributes:
        count: number of tasks.
        request: resources that each task requests.
        estimate_s: estimated run time of a task, in seconds; 0 if unknown.
        after: indexes of the steps that must be done before this one starts.
        gang: the tasks run all at the same time or not at all.
        same_rack: the gang waits for room in one rack, if any rack is large
            enough for it, because its tasks are slow across racks.
        required_label: label that the worker must have; empty for none.
        affinity_rack: rack that is preferred because it is close to the step's
            data; empty for none.
        max_per_worker: limit on the step's tasks on one worker; 0 for none.
        allow_duplicates: several copies of a task may run at the same time.
        long_running: the tasks run until the job is cancelled.
        checkpointing: the tasks save checkpoints and resume from them.
        image: image that the tasks run; tasks with the same image behave alike.
        target_ms: tail-latency target of a serving task, in milliseconds; 0
            for none.
        uses_spare_cpu: the tasks use only CPU time that other tasks leave
            idle.
        max_unavailable: number of serving tasks that the scheduler may make
            unavailable at the same time.
    """

    count: int
    request: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    affinity_rack: str = ""
    max_per_worker: int = 0
    allow_duplicates: bool = False
    long_running: bool = False
    checkpointing: bool = False
    image: str = ""
    target_ms: int = 0
    uses_spare_cpu: bool = False
    max_unavailable: int = 0

    @property
    def footprint(self) -> Resources:
        """Resources that a task reserves on its worker."""
        if not self.uses_spare_cpu:
            return self.request
        return Resources(0, self.request.memory_mib, self.request.accelerators)

    @property
    def unit_ranges(self) -> list[tuple[int, int]]:
        """First task and number of tasks of each unit: a gang, or a task."""
        if self.gang:
            return [(0, self.count)]
        return [(index, 1) for index in range(self.count)]


class Job(msgspec.Struct, frozen=True, array_like=True):
    """A submitted job.

    Attributes:
        queue: configuration of the queue when the job was accepted.
        account: client account that submitted the job.
        spec: task specification, opaque to the scheduler.
        submitted_ms: Unix time at which the job was accepted, in milliseconds.
        occurrences: how many times the steps run; 0 for a job without a
            schedule, which runs once.
        first_due_ms: Unix time at which the first occurrence is due, in
            milliseconds.
        interval_ms: interval between occurrences, in milliseconds.
        cancelled: whether the caller has cancelled the job.
    """

    id: types.JobId
    queue: configuration.Queue
    account: types.AccountName
    spec: str
    steps: tuple[Step, ...]
    submitted_ms: int
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    cancelled: bool = False


class Tombstone(msgspec.Struct, frozen=True):
    """Holds the place of a job that was cancelled before it was stored.

    It is stored under the key of the submission, which may be on its way yet
    and must not be stored any more. It is encoded as a map, and a job as an
    array.

    Attributes:
        cancelled_ms: Unix time of the cancellation, in milliseconds.
    """

    cancelled_ms: int


def problem_in(job: Job) -> str:
    """Returns what is invalid in a job, or an empty text."""
    size = len(job.spec.encode(errors="replace"))
    if size > MAX_SPEC_BYTES:
        return (
            f"received a spec of {size} bytes; at most"
            f" {MAX_SPEC_BYTES} are accepted."
        )
    if not job.steps:
        return "received no steps; at least one is needed."
    if sum(max(0, step.count) for step in job.steps) > MAX_TASKS:
        return f"received too many tasks; at most {MAX_TASKS} are accepted."
    for number, step in enumerate(job.steps):
        if step.count < 1:
            return f"received step {number} with no tasks; at least one."
        amounts = (*msgspec.structs.astuple(step.request), step.max_per_worker)
        if min(amounts) < 0:
            return f"received a negative amount in step {number}."
        if max(amounts) > decoding.MAX_INTEGER:
            return f"received an amount out of range in step {number}."
        if any(not 0 <= earlier < number for earlier in step.after):
            return (
                f"received step {number} after {step.after}; only earlier"
                " steps can be named."
            )
    if job.occurrences < 0 or job.interval_ms < 0:
        return "received a negative number of times or interval."
    return ""


class TaskName(NamedTuple):
    """Unique name of a task: JOB.OCCURRENCE.STEP.TASK as text."""

    job: types.JobId
    occurrence: int
    step: int
    task: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.task}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parses a task name.

        Raises:
            ValueError: `text` isn't of the form JOB.OCCURRENCE.STEP.TASK with
                three integers.
        """
        parts = text.split(".")
        if len(parts) != 4:
            raise ValueError(
                f"received task name {text!r};"
                " expected JOB.OCCURRENCE.STEP.TASK."
            )
        occurrence, step, task = (int(part) for part in parts[1:])
        return cls(types.JobId(parts[0]), occurrence, step, task)
