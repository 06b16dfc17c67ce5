"""Workers and the runs on them, as agents and the scheduler exchange them."""

from __future__ import annotations

import enum

import msgspec

from pimentobridge.core import types
from pimentobridge.core.jobs import model


class EndCause(enum.Enum):
    """Why a run ended.

    `BROKEN`: another member of the gang ended. `ALONE`: the gang's other
    members didn't come in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class IncarnationKey(msgspec.Struct, frozen=True, array_like=True):
    """Names one life of a worker.

    Attributes:
        started_ms: start of the life, Unix milliseconds.
    """

    worker: types.WorkerId
    started_ms: int


class WorkerIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """One life of a worker, as it describes itself.

    Attributes:
        draining: it takes no new tasks and will leave.
        leaves_in_s: least time it will stay; None if it doesn't leave.
    """

    key: IncarnationKey
    service: str
    data_centre: types.DataCentreName
    rack: types.RackName
    labels: tuple[str, ...]
    capacity: model.Resources
    draining: bool = False
    leaves_in_s: float | None = None


class RunKey(msgspec.Struct, frozen=True, array_like=True):
    """Names one run of a task."""

    task: str
    run: int


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """A run that a worker is at work on.

    Attributes:
        checkpoint: its newest checkpoint, or empty.
        percent: progress from 0 to 100.
    """

    key: RunKey
    checkpoint: str
    percent: int


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that has ended.

    Attributes:
        number: counts the ends of the worker's life from 1.
    """

    number: int
    key: RunKey
    cause: EndCause
    checkpoint: str


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """A recorded run to start.

    Attributes:
        ticket: the policy's consent, where the queue needs it.
    """

    key: RunKey
    spec: str
    checkpoint: str
    ticket: str = ""


class Instructions(msgspec.Struct, frozen=True, array_like=True):
    """All that the scheduler wants of one life of a worker.

    Attributes:
        seen: end number up to which all ends are recorded.
    """

    incarnation: IncarnationKey
    seen: int = 0
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[RunKey, ...] = ()


class Observation(msgspec.Struct, frozen=True, array_like=True):
    """All that an agent knows of its worker.

    Attributes:
        refused: runs that the worker refused and never will start.
        stop_confirmed: runs whose stop was answered, and that don't run.
        terminated: the life has ended, and all that ran in it.
    """

    incarnation: WorkerIncarnation
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    refused: tuple[RunKey, ...] = ()
    stop_confirmed: tuple[RunKey, ...] = ()
    terminated: bool = False
