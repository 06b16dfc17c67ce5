"""Jobs: gangs of tasks that run on accelerators together or not at all."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from pimentobridge.core import types

if TYPE_CHECKING:
    from pimentobridge.core import account as account_lib
    from pimentobridge.core import cells


class JobState(enum.Enum):
    """State of a job in its life cycle."""

    QUEUED = "queued"
    RESERVED = "reserved"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"


ENDED = frozenset(
    {
        JobState.FINISHED,
        JobState.FAILED,
        JobState.CANCELLED,
        JobState.REFUSED,
    }
)


@dataclasses.dataclass
class Job:
    """A gang of tasks that is placed and preempted as a whole.

    Attributes:
        shape: accelerators that it needs at the same time.
        guaranteed: whether it claims a guaranteed shape of its account.
        declared_run_s: run time that its submitter declared; often inaccurate.
        cells: cells that it occupies; empty while it is queued.
        checkpointed_s: when it started or its work was last saved.
        saved_s: seconds of work that checkpoints have saved.
        failures: failures that weren't attributed to a worker.
        moves: times that it was requeued to rebuild the guarantee plan.
    """

    id: types.JobId
    account: types.AccountName
    team: types.TeamName
    shape: account_lib.Shape
    submitted_s: float
    guaranteed: bool = False
    urgency: types.Urgency = types.Urgency.NORMAL
    declared_run_s: float = 3600.0
    state: JobState = JobState.QUEUED
    cells: list[cells.Cell] = dataclasses.field(default_factory=list)
    started_s: float = 0.0
    checkpointed_s: float = 0.0
    saved_s: float = 0.0
    failures: int = 0
    moves: int = 0

    @property
    def accelerators(self) -> int:
        """Number of accelerators that the job occupies when it runs."""
        return self.shape.total_accelerators

    def unsaved_s(self, now_s: float) -> float:
        """Returns the accelerator seconds of work lost by preemption now."""
        return (now_s - self.checkpointed_s) * self.accelerators
