"""Requests, the classes of work they belong to, and their outcomes."""

from __future__ import annotations

import msgspec

from pimentobridge.core import types


class WorkClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One class of work that a service accepts.

    Attributes:
        name: unique name of the class.
        urgency: order of service relative to other classes.
        deadline_s: seconds within which an answer is still useful.
        idempotent: whether running the work twice is harmless.
        floor: fraction of the slots reserved for the class under overload.
        expected_run_s: declared run time, used until enough runs are measured.
        objective: target fraction of requests answered within the deadline.
    """

    name: types.ClassName
    urgency: types.Urgency
    deadline_s: float
    idempotent: bool = True
    floor: float = 0.0
    expected_run_s: float = 0.1
    objective: float = 0.99


class Request(msgspec.Struct, frozen=True, array_like=True):
    """A request as sent from an entry to an agent.

    Attributes:
        id: identifies the execution; retries with the same key share it if the
            work must not run twice.
        key: idempotency key passed to the backend server.
        remaining_s: seconds left until the deadline when the request was sent.
        attempt: fencing token; an agent refuses attempts up to the one that its
            tombstone records.
        inline_bytes: bytes of the answer that the agent may send unrequested.
    """

    id: types.RequestId
    key: str
    account: types.AccountName
    caller: types.CallerId
    work_class: types.ClassName
    idempotent: bool
    remaining_s: float
    payload: bytes
    attempt: int = 1
    inline_bytes: int = 32 * 1024


class Outcome(msgspec.Struct, frozen=True):
    """Result of a request as reported to its caller.

    Attributes:
        ran: whether the work was started, as far as is known.
        status: status code of the backend server's answer, 0 if there is none.
        body: the complete answer.
        reason: why there is no answer, with the remedy.
        retry_after_s: seconds after which a retry may succeed.
    """

    ran: types.Ran
    status: int = 0
    body: bytes = b""
    reason: str = ""
    retry_after_s: float = 0.0

    @property
    def answered(self) -> bool:
        """Whether the outcome contains the backend server's answer."""
        return self.status != 0


def refused(reason: str, retry_after_s: float = 1.0) -> Outcome:
    """Returns the outcome of work that was never started."""
    return Outcome(ran=types.Ran.NO, reason=reason, retry_after_s=retry_after_s)


def unknown(reason: str) -> Outcome:
    """Returns the outcome of work that may have been started."""
    return Outcome(ran=types.Ran.UNKNOWN, reason=reason)
