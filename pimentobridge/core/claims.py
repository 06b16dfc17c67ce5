"""Claims: at most one dispatch of a request that must not run twice.

The platform's store holds the only record of a claim, so any two claims of a
request meet there, and the later one attaches to the earlier one's execution.
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

# Longer than any caller repeats a key.
CLAIM_RETENTION_S = 300.0
ASK_INTERVAL_S = 0.2
# Time after which a request no longer waits for a store that is away.
PATIENCE_S = 2.0


@dataclasses.dataclass(frozen=True)
class Claim:
    """Where a request that runs once is to be sent.

    Attributes:
        agent: empty for a probe, which only asks whether the key is free.
    """

    id: types.RequestId
    agent: types.Address
    agent_incarnation: types.Incarnation


@dataclasses.dataclass(frozen=True)
class Release:
    """Frees one agent's claim, whose attempt is known not to have run."""

    id: types.RequestId
    attempt: int
    agent: types.Address
    agent_incarnation: types.Incarnation


@dataclasses.dataclass(frozen=True)
class Holder:
    """States who holds a claim.

    Attributes:
        granted: whether the asker holds it now.
    """

    granted: bool
    attempt: int
    agent: types.Address
    agent_incarnation: types.Incarnation


class Verdict(enum.Enum):
    """How a claim ended."""

    GRANTED = "granted"
    HELD = "held"
    UNDECIDED = "undecided"


@dataclasses.dataclass(frozen=True)
class Decision:
    """Result of a claim: who may dispatch, or where the execution is."""

    verdict: Verdict
    attempt: int
    agent: types.Address
    agent_incarnation: types.Incarnation


class ClaimStore(Protocol):
    """The store's records; answers come through the callback."""

    def claim(
        self, request: Claim, on_reply: Callable[[Holder | None], None]
    ) -> None:
        """Records a claim unless one is held; None means no answer."""

    def release(self, release: Release) -> None:
        """Frees a claim."""


@dataclasses.dataclass
class _Question:
    """One claim under way.

    Attributes:
        ask_s: when to ask again; infinite while an answer is awaited.
    """

    claim: Claim
    until_s: float
    on_decision: Callable[[Decision], None]
    ask_s: float = float("inf")


class Claimant:
    """Entry's side of the claims.

    Args:
        clock: source of time.
        store: holds the records.
    """

    def __init__(self, *, clock: clock_lib.Clock, store: ClaimStore) -> None:
        self._clock = clock
        self._store = store
        self._questions_by_id: dict[types.RequestId, _Question] = {}

    def start(
        self, claim: Claim, on_decision: Callable[[Decision], None]
    ) -> None:
        """Asks the store for a claim; `on_decision` is called once."""
        until_s = self._clock.monotonic() + PATIENCE_S
        question = _Question(claim, until_s, on_decision)
        self._questions_by_id[claim.id] = question
        self._ask(question)

    def release(self, release: Release) -> None:
        """Frees a claim whose attempt is known not to have run."""
        self._store.release(release)

    def on_timer(self) -> None:
        """Asks again where the store gave no answer."""
        now_s = self._clock.monotonic()
        for question in list(self._questions_by_id.values()):
            if now_s >= question.ask_s:
                self._ask(question)

    def next_wakeup_s(self) -> float:
        """Returns when `on_timer` is due, in seconds of the clock."""
        return min(
            (q.ask_s for q in self._questions_by_id.values()),
            default=float("inf"),
        )

    def _ask(self, question: _Question) -> None:
        question.ask_s = float("inf")
        self._store.claim(
            question.claim, lambda holder: self._on_reply(question, holder)
        )

    def _on_reply(self, question: _Question, holder: Holder | None) -> None:
        claim = question.claim
        if self._questions_by_id.get(claim.id) is not question:
            return
        now_s = self._clock.monotonic()
        if holder is None and now_s < question.until_s:
            question.ask_s = now_s + ASK_INTERVAL_S
            return
        del self._questions_by_id[claim.id]
        if holder is None:
            decision = Decision(
                Verdict.UNDECIDED, 1, claim.agent, claim.agent_incarnation
            )
        else:
            decision = Decision(
                Verdict.GRANTED if holder.granted else Verdict.HELD,
                holder.attempt,
                holder.agent,
                holder.agent_incarnation,
            )
        question.on_decision(decision)
