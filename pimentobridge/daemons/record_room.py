"""Admission of jobs by the room that their records take."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import record_size
from pimentobridge.daemons import http_limits

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from typing import Self

    from pimentobridge.core.jobs import model

# A job with a spec of the largest size has a smaller record than this.
LARGE_RECORD_BYTES = 16 * 1024
# Memory of one decoded step; a body of 262,000 bytes can hold 21,833 of them.
STEP_BYTES = 220


@dataclasses.dataclass(frozen=True)
class Need:
    """What a job takes.

    Attributes:
        record_bytes: size of its record.
        steps: number of its steps.
        tasks: number of its tasks that can be open at the same time.
    """

    record_bytes: int
    steps: int = 0
    tasks: int = 0

    @classmethod
    def of(cls, job: model.Job, max_value_bytes: int) -> Self:
        """Returns what a job takes.

        Args:
            job: the job.
            max_value_bytes: limit of the store on a value.
        """
        return cls(
            len(progress_lib.encode_job(job)),
            len(job.steps),
            record_size.open_tasks(job, max_value_bytes),
        )


class RecordRoom:
    """Room for the records of jobs that are accepted, and for their tasks.

    Args:
        limits: limits of the process.
        stored_bytes: returns the bytes of the records that are stored.
        stored_tasks: returns the number of their tasks.
    """

    def __init__(
        self,
        limits: http_limits.Limits,
        stored_bytes: Callable[[], int],
        stored_tasks: Callable[[], int],
    ) -> None:
        self._limits = limits
        self._stored_bytes = stored_bytes
        self._stored_tasks = stored_tasks
        self._written_bytes = 0
        self._written_tasks = 0

    def problem_with(self, need: Need) -> http_limits.Reason | None:
        """Returns why there is no room for a job; None if there is.

        Large records may take half of the room only, so that ordinary ones
        find room after them. A job that is written alone needs room for its
        record only, so that none is too large.
        """
        limit = self._limits.record_bytes
        size = need.record_bytes
        if self._written_bytes:
            size += self._written_bytes + need.steps * STEP_BYTES
        if need.record_bytes > LARGE_RECORD_BYTES:
            limit //= 2
        if self._stored_bytes() + size > limit:
            return http_limits.Reason.RECORD_BYTES
        tasks = self._stored_tasks() + self._written_tasks + need.tasks
        if tasks > self._limits.tasks:
            return http_limits.Reason.TASKS
        return None

    @contextlib.contextmanager
    def reserved(self, need: Need) -> Iterator[None]:
        """Reserves room for a job while it is being written."""
        size = need.record_bytes + need.steps * STEP_BYTES
        self._written_bytes += size
        self._written_tasks += need.tasks
        try:
            yield
        finally:
            self._written_bytes -= size
            self._written_tasks -= need.tasks
