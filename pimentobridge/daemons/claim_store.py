"""Claims on requests, recorded in the platform's store."""

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
# No claims are sent for this long after one that wasn't answered, so that calls
# don't add to an overload of the store.
CIRCUIT_OPEN_S = 0.5

# A process's share of the store's several hundred writes a second.
CLAIMS_PER_S = 100.0
CLAIMS_BURST = 200.0


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """The stored form of a claim.

    Attributes:
        attempt: counts the claims on the request, from 1.
    """

    attempt: int
    agent: types.Address
    agent_incarnation: types.Incarnation
    claimant: types.Address
    released: bool = False


class StoredClaims:
    """Records claims by compare-and-swap.

    The store deletes a record when its lease ends.

    Args:
        store: the platform's store.
        claimant: this entry's address.
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
        self._circuit_open_until_s = 0.0
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
        """Records a claim unless the request is claimed already.

        Args:
            request: the claim.
            on_reply: receives the claim that is stored, or None if it isn't
                known: the store wasn't asked, didn't answer in time, or another
                entry wrote at the same time.
        """

        async def record_claim() -> None:
            reply = None
            if self._may_claim():
                with trio.move_on_after(CLAIM_TIMEOUT_S):
                    reply = await self._record_claim(request)
                if reply is None:
                    self._circuit_open_until_s = (
                        trio.current_time() + CIRCUIT_OPEN_S
                    )
            self._call_soon(lambda: on_reply(reply))

        self._spawn(record_claim)

    def release(self, release: claims.Release) -> None:
        """Releases a claim, which stays if the store doesn't answer in time."""

        async def record_release() -> None:
            with trio.move_on_after(CLAIM_TIMEOUT_S):
                await self._record_release(release)

        self._spawn(record_release)

    def _may_claim(self) -> bool:
        """Returns whether the circuit is closed and the rate allows a claim."""
        now_s = trio.current_time()
        if now_s < self._circuit_open_until_s:
            return False
        return self._budget.try_spend(1.0, now_s)

    async def _record_claim(
        self, request: claims.Claim
    ) -> claims.Holder | None:
        key = _key_of(request.id)
        first_attempt = _Record(
            1, request.agent, request.agent_incarnation, self._claimant
        )
        written = await self._write(key, first_attempt, expected_revision=0)
        if isinstance(written, result.Ok):
            return _holder_of(first_attempt, granted=True)
        if written.err_value is not store_lib.StoreError.CONFLICT:
            return None
        entry_result = await self._store.get(key)
        if (
            isinstance(entry_result, result.Err)
            or entry_result.ok_value is None
        ):
            return None
        stored = msgspec.msgpack.decode(
            entry_result.ok_value.value, type=_Record
        )
        if not stored.released:
            same_claim = (
                msgspec.structs.replace(stored, attempt=1) == first_attempt
            )
            return _holder_of(stored, granted=same_claim)
        next_attempt = msgspec.structs.replace(
            first_attempt, attempt=stored.attempt + 1
        )
        revision = entry_result.ok_value.revision
        written = await self._write(
            key, next_attempt, expected_revision=revision
        )
        if isinstance(written, result.Ok):
            return _holder_of(next_attempt, granted=True)
        return None

    async def _record_release(self, release: claims.Release) -> None:
        entry_result = await self._store.get(_key_of(release.id))
        if (
            isinstance(entry_result, result.Err)
            or entry_result.ok_value is None
        ):
            return
        entry = entry_result.ok_value
        stored = msgspec.msgpack.decode(entry.value, type=_Record)
        same_claim = (stored.agent, stored.agent_incarnation) == (
            release.agent,
            release.agent_incarnation,
        )
        if same_claim and stored.attempt <= release.attempt:
            released_record = msgspec.structs.replace(
                stored, released=True, attempt=release.attempt
            )
            await self._write(
                entry.key, released_record, expected_revision=entry.revision
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


def _key_of(request_id: types.RequestId) -> str:
    return f"claims/{request_id}"


def _holder_of(stored: _Record, *, granted: bool) -> claims.Holder:
    return claims.Holder(
        granted,
        stored.attempt,
        stored.agent,
        stored.agent_incarnation,
    )
