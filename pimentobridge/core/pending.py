"""State of a request that an entry has accepted and not yet completed."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from pimentobridge.core import types

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import backends
    from pimentobridge.core import request as request_lib


class Stage(enum.Enum):
    """Stage of a request at its entry.

    `CLAIMING` waits for the claim on the request's key, `FETCHING` for the rest
    of the answer, and `WITHDRAWING` for the agent to confirm that the work will
    not start.
    """

    QUEUED = "queued"
    CLAIMING = "claiming"
    SENT = "sent"
    ACCEPTED = "accepted"
    RUNNING = "running"
    FETCHING = "fetching"
    WITHDRAWING = "withdrawing"


@dataclasses.dataclass
class Pending:
    """One request without an outcome. Times are seconds of the entry's clock.

    Attributes:
        waiters: callbacks that receive the outcome.
        agent: address of the agent that the request is bound to; empty if none.
        last_heard_s: when the agent last sent a message about the request.
        sent_s: when a message about the request was last sent to the agent.
        withdraw_started_s: when the first withdrawal was sent.
        reported_slow: whether the running attempt was reported as slow.
        attempts: times the request was bound to a server.
        sends: times the current attempt was dispatched.
        binding: capacity taken up at the server; None if not bound.
        attached: whether the request waits for an execution that another
            request with its key started.
        keyed: whether its key may have been sent through another entry.
        claim_granted: whether a claim was granted, which shows that the key has
            not run before.
        may_have_run: whether an earlier attempt may have run, so that "not run"
            would no longer be true.
        abort: whether a withdrawal also aborts work that already runs.
        failed_agents: agents to avoid in the next attempt.
    """

    request: request_lib.Request
    work_class: request_lib.WorkClass
    submitted_s: float
    deadline_s: float
    waiters: list[Callable[[request_lib.Outcome], None]]
    stage: Stage = Stage.QUEUED
    agent: types.Address = types.Address("")
    agent_incarnation: types.Incarnation = types.Incarnation(0)
    last_heard_s: float = 0.0
    sent_s: float = 0.0
    withdraw_started_s: float = 0.0
    started_s: float = 0.0
    reported_slow: bool = False
    attempts: int = 0
    sends: int = 0
    binding: backends.Binding | None = None
    attached: bool = False
    keyed: bool = False
    claim_granted: bool = False
    may_have_run: bool = False
    abort: bool = False
    failed_agents: frozenset[types.Address] = frozenset()

    @property
    def id(self) -> types.RequestId:
        """Identifier of the request's execution."""
        return self.request.id


@dataclasses.dataclass
class Counters:
    """Totals since the entry started.

    Attributes:
        submitted: requests submitted, including repeats of a known request.
        answered: requests answered with a status below 500.
        refused: requests that were not run.
        unknown: requests that may have run.
        failed: requests answered with a status of 500 or above.
        retried: repeated attempts of idempotent requests.
        remote: attempts bound to a server in another region.
        remote_bytes: payload bytes of those attempts.
    """

    submitted: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    failed: int = 0
    retried: int = 0
    remote: int = 0
    remote_bytes: int = 0
