"""A request that must not run twice is dispatched by one entry."""

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


class Entry:
    """One entry's claims, without the rest of it."""

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
        """Claims the request for this entry's own agent."""
        claim = claims.Claim(
            KEY, types.Address(f"agent-{self._name}"), types.Incarnation(1)
        )
        self._claimant.start(claim, self.decisions.append)

    def release(self) -> None:
        """Frees what `claim` was granted."""
        held = self.decisions[-1]
        self._claimant.release(
            claims.Release(
                KEY, held.attempt, held.agent, held.agent_incarnation
            )
        )

    @property
    def verdicts(self) -> list[claims.Verdict]:
        """How the claims ended."""
        return [decision.verdict for decision in self.decisions]

    async def _tick(self) -> None:
        while True:
            await trio.sleep(0.05)
            self._claimant.on_timer()


def play(
    script: Callable[[store_lib.MemoryStore, Entry, Entry], Awaitable[None]],
) -> tuple[Entry, Entry]:
    async def main() -> tuple[Entry, Entry]:
        async with trio.open_nursery() as nursery:
            store = store_lib.MemoryStore(rng=random.Random(1))
            first = Entry("a", store, nursery)
            second = Entry("b", store, nursery)
            await script(store, first, second)
            nursery.cancel_scope.cancel()
        return first, second

    return harness.run_virtual(main)


def test_a_later_claim_learns_where_the_request_is() -> None:
    async def script(
        store: store_lib.MemoryStore, first: Entry, second: Entry
    ) -> None:
        first.claim()
        await trio.sleep(0.5)
        second.claim()
        await trio.sleep(0.5)

    first, second = play(script)
    assert first.verdicts == [claims.Verdict.GRANTED]
    assert second.verdicts == [claims.Verdict.HELD]
    assert second.decisions[0].agent == "agent-a"


def test_nothing_is_granted_while_the_store_is_away() -> None:
    async def script(
        store: store_lib.MemoryStore, first: Entry, second: Entry
    ) -> None:
        first.claim()
        await trio.sleep(0.5)
        store.set_down(True)
        second.claim()
        await trio.sleep(claims.PATIENCE_S + 1.0)

    first, second = play(script)
    assert first.verdicts == [claims.Verdict.GRANTED]
    assert second.verdicts == [claims.Verdict.UNDECIDED]


def test_a_short_outage_is_waited_out() -> None:
    async def script(
        store: store_lib.MemoryStore, first: Entry, second: Entry
    ) -> None:
        store.set_down(True)
        first.claim()
        await trio.sleep(1.0)
        store.set_down(False)
        await trio.sleep(claims.PATIENCE_S)

    first, _ = play(script)
    assert first.verdicts == [claims.Verdict.GRANTED]


def test_a_claim_whose_answer_was_lost_is_still_its_claimants() -> None:
    async def script(
        store: store_lib.MemoryStore, first: Entry, second: Entry
    ) -> None:
        store.faults.lost_answers = 1.0
        first.claim()
        await trio.sleep(0.3)
        store.faults.lost_answers = 0.0
        second.claim()
        await trio.sleep(claims.PATIENCE_S)

    first, second = play(script)
    assert first.verdicts == [claims.Verdict.GRANTED]
    assert second.verdicts == [claims.Verdict.HELD]


def test_a_freed_claim_is_granted_with_the_next_attempt() -> None:
    async def script(
        store: store_lib.MemoryStore, first: Entry, second: Entry
    ) -> None:
        first.claim()
        await trio.sleep(0.5)
        first.release()
        await trio.sleep(0.5)
        second.claim()
        await trio.sleep(0.5)

    _, second = play(script)
    assert second.verdicts == [claims.Verdict.GRANTED]
    assert second.decisions[0].attempt == 2
