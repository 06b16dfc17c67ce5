"""Records of claims in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import result
import trio

from pimentobridge.core import budget
from pimentobridge.core import claims
from pimentobridge.core import types
from pimentobridge.platform import store as store_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

CLAIM_TIMEOUT_S = 0.5
# Pause after a call without an answer, so that an outage isn't pressed.
BREAK_S = 0.5

# A process's share of the store's several hundred writes a second.
CLAIMS_PER_S = 100.0
CLAIMS_BURST = 200.0


class _Record(msgspec.Struct, frozen=True, array_like=True):
    attempt: int
    agent: types.Address
    agent_incarnation: types.Incarnation
    claimant: types.Address
    released: bool = False


class StoredClaims:
    """Records claims by compare-and-swap; the platform's lease drops them.

    Args:
        spawn: starts a task in the owning process's nursery.
        call_soon: runs a call in the task that owns the dispatcher.
    """

    def __init__(
        self,
        *,
        store: store_lib.Store,
        claimant: types.Address,
        spawn: Callable[[Callable[[], Awaitable[None]]], None],
        call_soon: Callable[[Callable[[], None]], None],
    ) -> None:
        self._store = store
        self._claimant = claimant
        self._spawn = spawn
        self._call_soon = call_soon
        self._broken_until_s = 0.0
        self._budget = budget.TokenBucket(
            rate_per_s=CLAIMS_PER_S,
            burst=CLAIMS_BURST,
            now_s=trio.current_time(),
        )

    def claim(
        self,
        request: claims.Claim,
        on_reply: Callable[[claims.Holder | None], None],
    ) -> None:
        """Records a claim unless one is held; None means no answer."""

        async def vote() -> None:
            reply = None
            if self._may_call():
                with trio.move_on_after(CLAIM_TIMEOUT_S):
                    reply = await self._vote(request)
                if reply is None:
                    self._broken_until_s = trio.current_time() + BREAK_S
            self._call_soon(lambda: on_reply(reply))

        self._spawn(vote)

    def release(self, release: claims.Release) -> None:
        """Frees a claim, as far as the store answers."""

        async def free() -> None:
            with trio.move_on_after(CLAIM_TIMEOUT_S):
                await self._free(release)

        self._spawn(free)

    def _may_call(self) -> bool:
        """Returns whether the store seems up and the budget allows a claim."""
        now_s = trio.current_time()
        if now_s < self._broken_until_s:
            return False
        return self._budget.try_spend(1.0, now_s)

    async def _vote(self, request: claims.Claim) -> claims.Holder | None:
        key = _key(request.id)
        fresh = _Record(
            1, request.agent, request.agent_incarnation, self._claimant
        )
        written = await self._write(key, fresh, expected_revision=0)
        if isinstance(written, result.Ok):
            return _holder(fresh, granted=True)
        if written.err_value is not store_lib.StoreError.CONFLICT:
            return None
        found = await self._store.get(key)
        if isinstance(found, result.Err) or found.ok_value is None:
            return None
        held = msgspec.msgpack.decode(found.ok_value.value, type=_Record)
        if not held.released:
            same = msgspec.structs.replace(held, attempt=1) == fresh
            return _holder(held, granted=same)
        again = msgspec.structs.replace(fresh, attempt=held.attempt + 1)
        revision = found.ok_value.revision
        written = await self._write(key, again, expected_revision=revision)
        if isinstance(written, result.Ok):
            return _holder(again, granted=True)
        return None

    async def _free(self, release: claims.Release) -> None:
        found = await self._store.get(_key(release.id))
        if isinstance(found, result.Err) or found.ok_value is None:
            return
        entry = found.ok_value
        held = msgspec.msgpack.decode(entry.value, type=_Record)
        same = (held.agent, held.agent_incarnation) == (
            release.agent,
            release.agent_incarnation,
        )
        if same and held.attempt <= release.attempt:
            freed = msgspec.structs.replace(
                held, released=True, attempt=release.attempt
            )
            await self._write(
                entry.key, freed, expected_revision=entry.revision
            )

    async def _write(
        self, key: str, record: _Record, *, expected_revision: int
    ) -> result.Result[store_lib.Entry, store_lib.StoreError]:
        return await self._store.compare_and_swap(
            key,
            msgspec.msgpack.encode(record),
            expected_revision=expected_revision,
            lease_s=claims.CLAIM_RETENTION_S,
        )


def _key(request_id: types.RequestId) -> str:
    return f"claims/{request_id}"


def _holder(held: _Record, *, granted: bool) -> claims.Holder:
    return claims.Holder(
        granted,
        held.attempt,
        held.agent,
        held.agent_incarnation,
    )
