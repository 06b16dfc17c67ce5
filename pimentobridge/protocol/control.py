"""Messages between the scheduler, the agents and the entries.

Messages about workers carry state, not changes: each holds all that the
receiver needs, so that a lost one is made good by the next.
"""

from __future__ import annotations

import enum

from pimentobridge.core import types
from pimentobridge.core.jobs import runs
from pimentobridge.protocol import messages


class WorkerReport(messages.Message, frozen=True):
    """What an agent knows of its worker.

    Attributes:
        agent: address to send orders to.
        token: highest fencing token that the agent has obeyed.
        sent_s: boot-time clock of the agent's machine, in seconds.
        answered_s: `sent_s` of the newest report that was answered.
        worker: None until the worker has announced itself.
    """

    agent: types.Address
    token: int
    sent_s: float
    answered_s: float
    worker: runs.Observation | None = None


class WorkerOrders(messages.Message, frozen=True):
    """What the scheduler wants of an agent.

    Attributes:
        scheduler: address to report to.
        token: the scheduler's fencing token.
        echo_s: `sent_s` of the newest report; 0 for none. The agent acts on
            the orders, and keeps the worker's lease, for a limited time from
            then.
        worker: None while the scheduler doesn't know the worker.
        entries: entries to report to when the scheduler is silent.
    """

    scheduler: types.Address
    token: int
    echo_s: float
    worker: runs.Instructions | None = None
    entries: tuple[types.Address, ...] = ()


class WriteOutcome(enum.Enum):
    """What became of a write that a caller waits for.

    `NOT_WRITTEN` is sure: nothing of it will take effect later. `ABSENT`: there
    is no such job to cancel.
    """

    WRITTEN = "written"
    NOT_WRITTEN = "not-written"
    UNKNOWN = "unknown"
    ABSENT = "absent"


class WriteRelay(messages.Message, frozen=True):
    """A write that another entry should make, because the store refuses us.

    Attributes:
        sequence: counts the sender's relays.
        value: the stored form of the submission; None to cancel the job.
    """

    sequence: int
    job: types.JobId
    value: bytes | None


class WriteRelayed(messages.Message, frozen=True):
    """What became of a relayed write."""

    sequence: int
    outcome: WriteOutcome


class ConfigurationQuery(messages.Message, frozen=True):
    """Asks for a newer configuration, from an entry that the store refuses.

    Attributes:
        revision: the store's revision of the document at hand; 0 for none.
    """

    revision: int


class ConfigurationCopy(messages.Message, frozen=True):
    """The newest configuration document that an entry has."""

    revision: int
    value: bytes
