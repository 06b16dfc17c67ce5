"""Messages between the scheduler, the agents and the entries.

Messages about workers carry full state rather than changes, so that the next
message replaces a lost one.
"""

from __future__ import annotations

import enum

import msgspec

from pimentobridge.core import types
from pimentobridge.core.jobs import runs
from pimentobridge.protocol import messages


class WorkerReport(messages.Message, frozen=True):
    """State of a worker as its agent knows it.

    Attributes:
        agent: address to send orders to.
        token: highest fencing token that the agent has accepted.
        process: identifies the agent's process. The clock of the next one may
            have begun anew.
        sent_s: when the report was sent, on the boot-time clock of the agent's
            machine, in seconds.
        answered_s: `sent_s` of the newest report that the scheduler has
            answered.
        worker: state of the worker; None until the worker has announced
            itself.
    """

    agent: types.Address
    process: str
    token: int
    sent_s: float
    answered_s: float
    worker: runs.Observation | None = None


class WorkerOrders(messages.Message, frozen=True):
    """Orders of the scheduler to an agent.

    Attributes:
        scheduler: address to report to.
        token: the scheduler's fencing token.
        process: `process` of the newest report; empty for none.
        echo_s: `sent_s` of the newest report; 0 for none. The agent acts on
            the orders, and renews the worker's lease, for a limited time
            after `echo_s`.
        worker: orders for the worker; None while the scheduler doesn't know
            the worker.
        entries: addresses of the entries to report to when the scheduler
            doesn't answer.
    """

    scheduler: types.Address
    token: int
    process: str
    echo_s: float
    worker: runs.Instructions | None = None
    entries: tuple[types.Address, ...] = ()


class WriteOutcome(enum.Enum):
    """Outcome of a write that a caller waits for.

    `NOT_WRITTEN`: the write had no effect and will have none. `UNKNOWN`: it may
    have taken effect or may still do so. `ABSENT`: the job to cancel doesn't
    exist and can't be submitted any more, or the job to submit was cancelled
    before.
    """

    WRITTEN = "written"
    NOT_WRITTEN = "not-written"
    UNKNOWN = "unknown"
    ABSENT = "absent"


class WriteRelay(messages.Message, frozen=True):
    """Asks another entry to make a write.

    Sent by an entry whose calls the store refuses.

    Attributes:
        sequence: number of the request, counted by the sender.
        job: the job to write.
        value: the submission as it is stored; None to cancel the job.
    """

    sequence: int
    job: types.JobId
    value: bytes | None


class WriteRelayed(messages.Message, frozen=True):
    """Outcome of a relayed write.

    Attributes:
        sequence: `sequence` of the `WriteRelay`.
    """

    sequence: int
    outcome: WriteOutcome


class StoreProbe(messages.Message, frozen=True):
    """Asks another entry to call the store, and to answer if that succeeds."""


class StoreProbed(messages.Message, frozen=True):
    """Answers a `StoreProbe`: the store has just answered the sender."""


class LeaseRelease(messages.Message, frozen=True):
    """Asks another entry to end a lease of the sender's in the store.

    Sent by a scheduler whose calls the store refuses, after its term.
    """

    lease: int


class MirrorQuery(messages.Message, frozen=True):
    """Asks another entry for items of the store that have changed.

    Sent by an entry that the store doesn't answer.

    Attributes:
        prefix: start of the keys.
        revision: store revision up to which the sender has all changes.
    """

    prefix: str
    revision: int


class MirroredItem(msgspec.Struct, frozen=True, array_like=True):
    """An item of the store, as an entry has it.

    Attributes:
        revision: the store's revision at the item's last change.
    """

    key: str
    value: bytes
    revision: int


class MirrorCopy(messages.Message, frozen=True):
    """Items that are newer than the revision in a `MirrorQuery`.

    Deleted items aren't listed; a whole copy shows them by what it lacks.

    Attributes:
        current: whether the store answers the sender; without that, the copy
            holds nothing.
        revision: store revision up to which the receiver then has all changes.
        items: the items.
        whole: whether the items are all that exist at `revision`.
    """

    prefix: str
    current: bool
    revision: int = 0
    items: tuple[MirroredItem, ...] = ()
    whole: bool = False
