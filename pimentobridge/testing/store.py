"""Fake store with outages, delays and lost responses."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import result
import trio

from pimentobridge.platform import store

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

LINK_CUT_TIMEOUT_S = 2.0


@dataclasses.dataclass
class StoreFaults:
    """Current faults of the store.

    Attributes:
        down: whether every call fails as unavailable.
        delay_s: duration of each call, in seconds.
        lost_answers: probability that a write takes effect, but is reported
            as unavailable.
    """

    down: bool = False
    delay_s: float = 0.002
    lost_answers: float = 0.0


class MemoryStore:
    """Key-value store with compare-and-swap, leases and watches.

    Attributes:
        calls: number of calls by operation.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.faults = StoreFaults()
        self._rng = rng
        self._revision = 0
        self._entries_by_key: dict[str, tuple[store.Entry, float]] = {}
        self._changed = trio.Event()
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def entry_count(self) -> int:
        """Number of entries written, including those with expired leases."""
        return len(self._entries_by_key)

    async def get(
        self, key: str
    ) -> result.Result[store.Entry | None, store.StoreError]:
        """Returns the entry at `key`, or None if there is none."""
        if not await self._begin_call("get"):
            return result.Err(store.StoreError.UNAVAILABLE)
        return result.Ok(self._unexpired_entry(key))

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_s: float | None = None,
    ) -> result.Result[store.Entry, store.StoreError]:
        """Writes `value` if the key still has the expected revision."""
        if not await self._begin_call("compare_and_swap"):
            return result.Err(store.StoreError.UNAVAILABLE)
        if len(value) > store.MAX_VALUE_BYTES:
            return result.Err(store.StoreError.TOO_LARGE)
        stored = self._unexpired_entry(key)
        if (stored.revision if stored else 0) != expected_revision:
            return result.Err(store.StoreError.CONFLICT)
        self._revision += 1
        entry = store.Entry(key, value, self._revision)
        ttl_s = float("inf") if lease_s is None else lease_s
        self._entries_by_key[key] = (entry, trio.current_time() + ttl_s)
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        if self._rng.random() < self.faults.lost_answers:
            await trio.sleep(1.0)
            return result.Err(store.StoreError.UNAVAILABLE)
        return result.Ok(entry)

    async def watch(
        self, key: str, *, after_revision: int, timeout_s: float
    ) -> result.Result[store.Entry | None, store.StoreError]:
        """Returns the entry once it is newer, or None after the timeout."""
        if not await self._begin_call("watch"):
            return result.Err(store.StoreError.UNAVAILABLE)
        with trio.move_on_after(timeout_s):
            while True:
                if self.faults.down:
                    return result.Err(store.StoreError.UNAVAILABLE)
                stored = self._unexpired_entry(key)
                if stored is not None and stored.revision > after_revision:
                    return result.Ok(stored)
                await self._changed.wait()
        return result.Ok(None)

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage; a new outage fails the waiting watches."""
        self.faults.down = down
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _begin_call(self, operation: str) -> bool:
        self.calls[operation] += 1
        await trio.sleep(self.faults.delay_s)
        return not self.faults.down

    def _unexpired_entry(self, key: str) -> store.Entry | None:
        stored = self._entries_by_key.get(key)
        if stored is None or stored[1] < trio.current_time():
            return None
        return stored[0]


class RemoteStore:
    """The store as one process accesses it over a link that may be cut.

    Args:
        inner: the store.
        delay_s: delay of a message over the link, in seconds.
        is_cut: returns whether the link is cut.
    """

    def __init__(
        self,
        inner: MemoryStore,
        *,
        delay_s: float,
        is_cut: Callable[[], bool],
    ) -> None:
        self._inner = inner
        self._delay_s = delay_s
        self._is_cut = is_cut

    async def get(
        self, key: str
    ) -> result.Result[store.Entry | None, store.StoreError]:
        """Returns the entry at `key`, or None if there is none."""
        if not await self._cross_link():
            return result.Err(store.StoreError.UNAVAILABLE)
        return await self._inner.get(key)

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_s: float | None = None,
    ) -> result.Result[store.Entry, store.StoreError]:
        """Writes `value` if the key still has the expected revision."""
        if not await self._cross_link():
            return result.Err(store.StoreError.UNAVAILABLE)
        return await self._inner.compare_and_swap(
            key, value, expected_revision=expected_revision, lease_s=lease_s
        )

    async def watch(
        self, key: str, *, after_revision: int, timeout_s: float
    ) -> result.Result[store.Entry | None, store.StoreError]:
        """Returns the entry once it is newer, or None after the timeout."""
        if not await self._cross_link():
            return result.Err(store.StoreError.UNAVAILABLE)
        response = await self._inner.watch(
            key, after_revision=after_revision, timeout_s=timeout_s
        )
        # A response in transit when the link is cut is lost.
        if not await self._cross_link():
            return result.Err(store.StoreError.UNAVAILABLE)
        return response

    async def _cross_link(self) -> bool:
        await trio.sleep(self._delay_s)
        if self._is_cut():
            await trio.sleep(LINK_CUT_TIMEOUT_S)
            return False
        return True
