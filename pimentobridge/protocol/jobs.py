"""Messages that carry jobs between entries."""

from __future__ import annotations

import msgspec

from pimentobridge.core import account as account_lib
from pimentobridge.core import errors
from pimentobridge.core import types
from pimentobridge.protocol import messages


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as its submitter declares it.

    Attributes:
        id: chosen by the submitter; a repeat names the same job.
        run_s: expected run time in seconds.
    """

    id: types.JobId
    account: types.AccountName
    team: types.TeamName
    shape: account_lib.Shape
    guaranteed: bool = False
    urgency: types.Urgency = types.Urgency.NORMAL
    run_s: float = 3600.0


class JobStatus(msgspec.Struct, frozen=True):
    """What is known of a job.

    Attributes:
        durable: whether the store holds it; while the store is down a job is
            kept in memory only, and a repeat of its id is safe.
    """

    id: types.JobId
    state: str
    durable: bool
    epoch: types.Epoch = types.Epoch(0)


class JobSubmit(messages.Message, frozen=True):
    """Hands a job to the entry that places jobs."""

    spec: JobSpec


class JobCancel(messages.Message, frozen=True):
    """Cancels a job."""

    id: types.JobId


class JobQuery(messages.Message, frozen=True):
    """Asks for a job."""

    id: types.JobId


class JobReply(messages.Message, frozen=True):
    """Answer to any of the above; a problem, or what is known."""

    id: types.JobId
    status: JobStatus | None
    problem: errors.Problem | None
