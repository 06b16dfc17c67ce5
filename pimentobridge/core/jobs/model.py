"""A job as its caller submitted it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Self

import msgspec

from pimentobridge.core import types
from pimentobridge.core.jobs import configuration

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_SPEC_BYTES = 4000


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of processor, memory and accelerators."""

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

    def fits_in(self, room: Resources) -> bool:
        """Returns whether `room` holds this amount."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mib <= room.memory_mib
            and self.accelerators <= room.accelerators
        )

    def copies_in(self, room: Resources) -> int:
        """Returns how many times this amount fits in `room`."""
        counts = [
            have // need
            for have, need in zip(
                msgspec.structs.astuple(room),
                msgspec.structs.astuple(self),
                strict=True,
            )
            if need > 0
        ]
        return max(0, min(counts, default=UNBOUNDED_COPIES))

    def dominant_share(self, whole: Resources) -> float:
        """Returns the largest share of `whole` that this amount takes."""
        return max(
            (
                need / have
                for need, have in zip(
                    msgspec.structs.astuple(self),
                    msgspec.structs.astuple(whole),
                    strict=True,
                )
                if have > 0
            ),
            default=0.0,
        )


# Copies that fit where a task asks for nothing; bounds loops over them.
UNBOUNDED_COPIES = 10_000
NOTHING = Resources()


def total(amounts: Iterable[Resources]) -> Resources:
    """Returns the sum of amounts."""
    result = NOTHING
    for amount in amounts:
        result += amount
    return result


class Step(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of the same shape.

    Attributes:
        count: how many tasks.
        request: what each task needs.
        estimate_s: rough run time of a task, in seconds.
        after: numbers of earlier steps that must be done first.
        gang: the tasks run only together.
        same_rack: the tasks are slow when they span racks.
        required_label: label that the worker must have; empty for none.
        affinity_rack: rack near the step's data; empty for none.
        max_per_worker: most tasks of the step on a worker; 0 for no limit.
        allow_duplicates: copies of a task may run side by side.
        long_running: the tasks run until the job is cancelled.
        checkpointing: the tasks save their progress.
        image: what the tasks run; tasks of one image behave alike.
        target_ms: tail latency a serving task must stay under; 0 for none.
        uses_spare_cpu: the tasks use only processor time that others leave.
        max_unavailable: serving tasks that may be away through our acts.
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
        """Room that a task takes on its worker."""
        if not self.uses_spare_cpu:
            return self.request
        return Resources(0, self.request.memory_mib, self.request.accelerators)


class Job(msgspec.Struct, frozen=True, array_like=True):
    """A submitted job.

    Attributes:
        queue: the queue that took it, as it was then.
        account: client account whose key submitted it.
        spec: opaque text for the worker.
        submitted_ms: Unix time of acceptance, in milliseconds.
        occurrences: how often the steps run; 0 for a plain job.
        first_due_ms: Unix time at which the first occurrence is due.
        interval_ms: time between due times.
        cancelled: the caller has cancelled it.
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


class TaskName(NamedTuple):
    """Names a task of a job across the system."""

    job: types.JobId
    occurrence: int
    step: int
    task: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.task}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Returns the name that `text` spells.

        Raises:
            ValueError: it isn't JOB.OCCURRENCE.STEP.INDEX.
        """
        parts = text.split(".")
        if len(parts) != 4:
            raise ValueError(f"received task name {text!r}; expected 4 parts.")
        occurrence, step, task = (int(part) for part in parts[1:])
        return cls(types.JobId(parts[0]), occurrence, step, task)
