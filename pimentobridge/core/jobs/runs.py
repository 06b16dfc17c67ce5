"""Data on workers and their runs that agents and the scheduler exchange."""

from __future__ import annotations

import enum

import msgspec

from pimentobridge.core import types
from pimentobridge.core.jobs import model


class EndCause(enum.Enum):
    """Why a run ended.

    `LEASE_EXPIRED`: the worker's lease expired. `GANG_BROKEN`: another member
    of the gang ended. `GANG_INCOMPLETE`: the gang's other members didn't start
    in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


class AgentState(enum.Enum):
    """What an agent says of itself.

    `STOPPING`: it is about to stop; whether another one follows on the machine
    isn't known. `STOPPED`: this is its last report, and it won't renew the
    worker's lease any more.
    """

    SERVING = "serving"
    STOPPING = "stopping"
    STOPPED = "stopped"


class IncarnationKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one incarnation (process start) of a worker.

    Attributes:
        started_ms: Unix time at which it started, in milliseconds.
    """

    worker: types.WorkerId
    started_ms: int


class WorkerIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """Properties of a worker, as this incarnation reports them.

    Attributes:
        draining: it accepts no new tasks and is about to shut down.
        leaves_in_s: minimum time until it shuts down, in seconds; None if no
            shutdown is planned.
        version: version of the worker's software; empty if unknown.
    """

    key: IncarnationKey
    service: str
    data_centre: types.DataCentreName
    rack: types.RackName
    labels: tuple[str, ...]
    capacity: model.Resources
    draining: bool = False
    leaves_in_s: float | None = None
    version: str = ""


class RunKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one run of a task."""

    task: str
    run: int


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """A run that a worker is executing.

    Attributes:
        checkpoint: its latest checkpoint; empty for none.
        percent: progress from 0 to 100.
    """

    key: RunKey
    checkpoint: str
    percent: int

    @property
    def metric(self) -> int | None:
        """Figure that the worker reports of the run; None if unknown."""
        return None


class MeasuredTask(RunningTask, frozen=True, array_like=True):
    """A run that a worker is executing, with the figure that it reports of it.

    A report lists runs without a figure as `RunningTask`, which is encoded
    without the last field, and reads both kinds as this one.

    Attributes:
        reported: rough figure of the last half second: tail latency in
            milliseconds for a task with a latency target, CPU in use in
            millicores for others; None if unknown.
    """

    reported: int | None = None

    @property
    def metric(self) -> int | None:
        """Figure that the worker reports of the run; None if unknown."""
        return self.reported


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that has ended.

    Attributes:
        number: sequence number of the end within the incarnation, from 1.
    """

    number: int
    key: RunKey
    cause: EndCause
    checkpoint: str


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """An order to start a run that is recorded in the store.

    Attributes:
        checkpoint: checkpoint to resume from; empty for none.
        ticket: the policy's ticket, if the queue requires one.
    """

    key: RunKey
    spec: str
    checkpoint: str
    ticket: str = ""


class SharedStart(msgspec.Struct, frozen=True, array_like=True):
    """A start of the same job as another one in the same instructions.

    Attributes:
        first: index of the start that has the job's spec.
        checkpoint: checkpoint to resume from; empty for none.
        ticket: the policy's ticket, if the queue requires one.
    """

    key: RunKey
    first: int
    checkpoint: str
    ticket: str = ""


class PaceOrder(msgspec.Struct, frozen=True, array_like=True):
    """An order to limit the work of a run.

    Attributes:
        percent: share of its work that it may do, from 0 to 100.
    """

    key: RunKey
    percent: int


class Instructions(msgspec.Struct, frozen=True, array_like=True):
    """Set of current orders for one incarnation of a worker.

    It is complete but for the starts, of which some may follow.

    Attributes:
        acknowledged_end: all ends up to this number are recorded in the
            store, and the worker may discard them.
        starts: runs that should be running, at least one of each job.
        stops: runs that must not be running.
        paces: what running tasks that use spare CPU may do.
        shared_starts: further runs that should be running, of the jobs in
            `starts`.
        more_starts_follow: whether there are starts that are sent once the
            worker lists these runs.
    """

    incarnation: IncarnationKey
    acknowledged_end: int = 0
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[RunKey, ...] = ()
    paces: tuple[PaceOrder, ...] = ()
    shared_starts: tuple[SharedStart, ...] = ()
    more_starts_follow: bool = False

    @property
    def all_starts(self) -> tuple[StartOrder, ...]:
        """All starts, each with its spec."""
        return (
            *self.starts,
            *(
                StartOrder(
                    start.key,
                    self.starts[start.first].spec,
                    start.checkpoint,
                    start.ticket,
                )
                for start in self.shared_starts
            ),
        )


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A worker's incarnation that ended without notice.

    Attributes:
        started: runs that were there.
        unanswered: runs whose start order wasn't answered, so that they may
            have been there.
    """

    incarnation: IncarnationKey
    started: tuple[RunKey, ...]
    unanswered: tuple[RunKey, ...] = ()


class Observation(msgspec.Struct, frozen=True, array_like=True):
    """Complete state of a worker, as its agent reports it.

    Attributes:
        ended: ends that the scheduler hasn't acknowledged yet.
        refused: runs that the worker refused to start and never will start.
        stop_confirmed: runs whose stop the worker has confirmed: they don't
            run and never will.
        terminated: the incarnation has ended, and with it all its runs.
        reachable: whether the worker accepted the latest connection.
        crashes: incarnations on the machine that ended without notice while
            this agent served them.
        agent_state: what the agent says of itself.
    """

    incarnation: WorkerIncarnation
    running: tuple[MeasuredTask, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    refused: tuple[RunKey, ...] = ()
    stop_confirmed: tuple[RunKey, ...] = ()
    terminated: bool = False
    crashes: tuple[Crash, ...] = ()
    reachable: bool = True
    agent_state: AgentState = AgentState.SERVING
