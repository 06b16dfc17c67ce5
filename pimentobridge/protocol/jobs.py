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
        id: chosen by the submitter; a second submission with the same id
            refers to the same job.
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
    """State of a job.

    Attributes:
        state: value of the job's `JobState`.
        durable: whether the store holds the job. While the store is down the
            job is kept in memory only; submitting its id again is safe.
        epoch: number of the latest attempt to run the job; 0 if there was none
            or the job has ended.
    """

    id: types.JobId
    state: str
    durable: bool
    epoch: types.Epoch = types.Epoch(0)


class JobSubmit(messages.Message, frozen=True):
    """Submits a job to the entry that places jobs."""

    spec: JobSpec


class JobCancel(messages.Message, frozen=True):
    """Cancels a job."""

    id: types.JobId


class JobQuery(messages.Message, frozen=True):
    """Asks for the state of a job."""

    id: types.JobId


class JobReply(messages.Message, frozen=True):
    """Answer to a submission, cancellation or query: a status or a problem."""

    id: types.JobId
    status: JobStatus | None
    problem: errors.Problem | None
