"""Tests that of two entries only one is granted the claim on a key."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from pimentobridge.bench import harness
from pimentobridge.core import claims
from pimentobridge.core import types
from pimentobridge.daemons import claim_store
from pimentobridge.daemons import trio_clock
from pimentobridge.testing import store as store_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

KEY = types.RequestId("account/key")


class ClaimingEntry:
    """An entry reduced to its claims."""

    def __init__(
        self, name: str, store: store_lib.MemoryStore, nursery: trio.Nursery
    ) -> None:
        self.decisions: list[claims.Decision] = []
        self._name = name
        self._claimant = claims.Claimant(
            clock=trio_clock.TrioClock(),
            store=claim_store.StoredClaims(
                store=store,
                claimant=types.Address(name),
                spawn=nursery.start_soon,
                call_soon=lambda call: call(),
            ),
        )
        nursery.start_soon(self._tick)

    def claim(self) -> None:
        """Claims the key for an agent of this entry."""
        claim = claims.Claim(
            KEY, types.Address(f"agent-{self._name}"), types.Incarnation(1)
        )
        self._claimant.start(claim, self.decisions.append)

    def release(self) -> None:
        """Releases the last claim."""
        decision = self.decisions[-1]
        self._claimant.release(
            claims.Release(
                KEY,
                decision.attempt,
                decision.agent,
                decision.agent_incarnation,
            )
        )

    @property
    def statuses(self) -> list[claims.ClaimStatus]:
        """Statuses of the completed claims."""
        return [decision.status for decision in self.decisions]

    async def _tick(self) -> None:
        while True:
            await trio.sleep(0.05)
            self._claimant.on_timer()


def run_script(
    script: Callable[
        [store_lib.MemoryStore, ClaimingEntry, ClaimingEntry], Awaitable[None]
    ],
) -> tuple[ClaimingEntry, ClaimingEntry]:
    async def main() -> tuple[ClaimingEntry, ClaimingEntry]:
        async with trio.open_nursery() as nursery:
            store = store_lib.MemoryStore(rng=random.Random(1))
            first = ClaimingEntry("a", store, nursery)
            second = ClaimingEntry("b", store, nursery)
            await script(store, first, second)
            nursery.cancel_scope.cancel()
        return first, second

    return harness.run_virtual(main)


def test_a_later_claim_is_told_the_holders_agent() -> None:
    async def script(
        store: store_lib.MemoryStore,
        first: ClaimingEntry,
        second: ClaimingEntry,
    ) -> None:
        first.claim()
        await trio.sleep(0.5)
        second.claim()
        await trio.sleep(0.5)

    first, second = run_script(script)
    assert first.statuses == [claims.ClaimStatus.GRANTED]
    assert second.statuses == [claims.ClaimStatus.HELD]
    assert second.decisions[0].agent == "agent-a"


def test_no_claim_is_granted_while_the_store_is_unavailable() -> None:
    async def script(
        store: store_lib.MemoryStore,
        first: ClaimingEntry,
        second: ClaimingEntry,
    ) -> None:
        first.claim()
        await trio.sleep(0.5)
        store.set_down(True)
        second.claim()
        await trio.sleep(claims.DECISION_TIMEOUT_S + 1.0)

    first, second = run_script(script)
    assert first.statuses == [claims.ClaimStatus.GRANTED]
    assert second.statuses == [claims.ClaimStatus.UNDECIDED]


def test_a_claim_is_retried_through_a_short_outage() -> None:
    async def script(
        store: store_lib.MemoryStore,
        first: ClaimingEntry,
        second: ClaimingEntry,
    ) -> None:
        store.set_down(True)
        first.claim()
        await trio.sleep(1.0)
        store.set_down(False)
        await trio.sleep(claims.DECISION_TIMEOUT_S)

    first, _ = run_script(script)
    assert first.statuses == [claims.ClaimStatus.GRANTED]


def test_a_claim_whose_reply_was_lost_stays_with_its_claimant() -> None:
    async def script(
        store: store_lib.MemoryStore,
        first: ClaimingEntry,
        second: ClaimingEntry,
    ) -> None:
        store.faults.lost_answers = 1.0
        first.claim()
        await trio.sleep(0.3)
        store.faults.lost_answers = 0.0
        second.claim()
        await trio.sleep(claims.DECISION_TIMEOUT_S)

    first, second = run_script(script)
    assert first.statuses == [claims.ClaimStatus.GRANTED]
    assert second.statuses == [claims.ClaimStatus.HELD]


def test_a_released_claim_is_granted_with_the_next_attempt() -> None:
    async def script(
        store: store_lib.MemoryStore,
        first: ClaimingEntry,
        second: ClaimingEntry,
    ) -> None:
        first.claim()
        await trio.sleep(0.5)
        first.release()
        await trio.sleep(0.5)
        second.claim()
        await trio.sleep(0.5)

    _, second = run_script(script)
    assert second.statuses == [claims.ClaimStatus.GRANTED]
    assert second.decisions[0].attempt == 2
