"""Claims that let only one entry dispatch a request that must not run twice.

An entry claims the key of such a request before dispatching it. The platform's
store holds the only record of a claim, so concurrent claims of a key conflict
there, and the later request attaches to the earlier one's execution.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types

# Longer than the period in which a caller may repeat a key.
CLAIM_RETENTION_S = 300.0
RETRY_INTERVAL_S = 0.2
# How long a claim is retried while the store gives no answer.
DECISION_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True)
class Claim:
    """Claims the right to dispatch a request that must run at most once.

    Attributes:
        agent: agent that the request will be sent to; empty for a probe, which
            only checks whether the key is free.
    """

    id: types.RequestId
    agent: types.Address
    agent_incarnation: types.Incarnation


@dataclasses.dataclass(frozen=True)
class Release:
    """Releases an agent's claim, whose attempt is known not to have run."""

    id: types.RequestId
    attempt: int
    agent: types.Address
    agent_incarnation: types.Incarnation


@dataclasses.dataclass(frozen=True)
class Holder:
    """The store's record of who holds a claim.

    Attributes:
        granted: whether the requesting entry holds the claim now.
        attempt: attempt number under which the request is dispatched.
        agent: agent that the request is sent to; empty for a probe.
    """

    granted: bool
    attempt: int
    agent: types.Address
    agent_incarnation: types.Incarnation


class ClaimStatus(enum.Enum):
    """Status of a completed claim.

    `HELD` means that another request holds the claim, and `UNDECIDED` that the
    store gave no answer in time.
    """

    GRANTED = "granted"
    HELD = "held"
    UNDECIDED = "undecided"


@dataclasses.dataclass(frozen=True)
class Decision:
    """Result of a claim.

    Attributes:
        attempt: attempt number under which the request is dispatched.
        agent: agent that the holder of the claim dispatches to, or the agent
            named in the claim if it is undecided; empty for a probe.
    """

    status: ClaimStatus
    attempt: int
    agent: types.Address
    agent_incarnation: types.Incarnation


class ClaimStore(Protocol):
    """Asynchronous store of claims; replies arrive through callbacks."""

    def claim(
        self, request: Claim, on_reply: Callable[[Holder | None], None]
    ) -> None:
        """Records a claim unless one is held; a None reply means no answer."""

    def release(self, release: Release) -> None:
        """Releases a claim."""


@dataclasses.dataclass
class _PendingClaim:
    """One claim without a decision.

    Attributes:
        deadline_s: when to stop retrying.
        retry_at_s: when to call the store again; infinite during a call.
    """

    claim: Claim
    deadline_s: float
    on_decision: Callable[[Decision], None]
    retry_at_s: float = float("inf")


class Claimant:
    """Makes and releases claims on behalf of an entry.

    Args:
        clock: source of time.
        store: holds the claim records.
    """

    def __init__(self, *, clock: clock_lib.Clock, store: ClaimStore) -> None:
        self._clock = clock
        self._store = store
        self._pending_by_id: dict[types.RequestId, _PendingClaim] = {}

    def start(
        self, claim: Claim, on_decision: Callable[[Decision], None]
    ) -> None:
        """Requests a claim; `on_decision` is called once."""
        deadline_s = self._clock.monotonic() + DECISION_TIMEOUT_S
        pending = _PendingClaim(claim, deadline_s, on_decision)
        self._pending_by_id[claim.id] = pending
        self._send(pending)

    def release(self, release: Release) -> None:
        """Releases a claim whose attempt is known not to have run."""
        self._store.release(release)

    def on_timer(self) -> None:
        """Retries claims that the store has not answered."""
        now_s = self._clock.monotonic()
        for pending in list(self._pending_by_id.values()):
            if now_s >= pending.retry_at_s:
                self._send(pending)

    def next_wakeup_s(self) -> float:
        """Returns when `on_timer` is due, in seconds of the clock."""
        return min(
            (pending.retry_at_s for pending in self._pending_by_id.values()),
            default=float("inf"),
        )

    def _send(self, pending: _PendingClaim) -> None:
        pending.retry_at_s = float("inf")
        self._store.claim(
            pending.claim, lambda holder: self._on_reply(pending, holder)
        )

    def _on_reply(self, pending: _PendingClaim, holder: Holder | None) -> None:
        claim = pending.claim
        if self._pending_by_id.get(claim.id) is not pending:
            return
        now_s = self._clock.monotonic()
        if holder is None and now_s < pending.deadline_s:
            pending.retry_at_s = now_s + RETRY_INTERVAL_S
            return
        del self._pending_by_id[claim.id]
        if holder is None:
            decision = Decision(
                ClaimStatus.UNDECIDED, 1, claim.agent, claim.agent_incarnation
            )
        else:
            decision = Decision(
                ClaimStatus.GRANTED if holder.granted else ClaimStatus.HELD,
                holder.attempt,
                holder.agent,
                holder.agent_incarnation,
            )
        pending.on_decision(decision)
