"""Local copy of the store's items under a prefix, updated by a watch."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result
import trio

from pimentobridge.daemons import logs
from pimentobridge.platform import kv_store

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib

# The store answers a watch within this time. A lost connection is noticed after
# this time and the margin that the client adds to it.
WATCH_WAIT_S = 1.5
RETRY_PAUSE_S = 0.1
# A probe that was sent just before the store's return waits in vain for its
# whole timeout, so the next one doesn't wait for it.
PROBE_INTERVAL_S = 0.25
# Answers with values of at least this size are logged, with their times.
LOGGED_ANSWER_BYTES = 64 * 1024


class StoreMirror:
    """Mirrors the items under a prefix; an item's revision never goes back.

    Args:
        store: the platform's store.
        prefix: start of the mirrored keys.
        clock: source of time.
        on_change: called with each changed item, in order.

    Attributes:
        items_by_key: the items that exist.
        revision: store revision up to which all changes are applied.
        value_bytes: total size of the items' values.
        loaded: whether all items have been read once.
        synchronised_s: monotonic time of the latest answered read or watch.
    """

    def __init__(
        self,
        *,
        store: kv_store.KvStore,
        prefix: str,
        clock: clock_lib.Clock,
        on_change: Callable[[kv_store.Item], None],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._on_change = on_change
        self._changed = trio.Event()
        self.items_by_key: dict[str, kv_store.Item] = {}
        self.revision = 0
        self.value_bytes = 0
        self.loaded = False
        self.synchronised_s = clock.monotonic()
        self._reachable = True

    @property
    def reachable(self) -> bool:
        """Whether the store answered the latest read or watch."""
        return self._reachable

    async def run(self) -> None:
        """Reads and watches the store until cancelled."""
        while True:
            if not await self._read_all():
                await trio.sleep(RETRY_PAUSE_S)
                continue
            await self._watch()

    async def wait_for_revision(self, revision: int) -> None:
        """Returns once the mirror is at least as new as `revision`."""
        while not self.loaded or self.revision < revision:
            await self._changed.wait()

    def offer(self, item: kv_store.Item) -> None:
        """Applies an item of a copy or of this process's own writes.

        An item that the mirror has in a newer revision changes nothing. Nor
        does one that the mirror lacks although it is as new as the item: it was
        deleted since.
        """
        deleted = (
            item.key not in self.items_by_key and item.revision <= self.revision
        )
        if not deleted:
            self._apply(item)

    def replace(self, items: list[kv_store.Item], revision: int) -> None:
        """Takes over all items of another mirror, unless that one is older.

        Args:
            items: the items that exist.
            revision: store revision up to which the other has all changes.
        """
        if revision <= self.revision:
            return
        existing = {item.key for item in items}
        for key in [key for key in self.items_by_key if key not in existing]:
            self._apply(kv_store.Item(key, None, revision))
        for item in items:
            self._apply(item)
        self.loaded = True
        self._set_revision(revision)

    def _apply(self, item: kv_store.Item) -> None:
        """Applies an item unless the mirror has a newer revision of it."""
        current = self.items_by_key.get(item.key)
        if current is not None and current.revision >= item.revision:
            return
        if current is not None:
            self.value_bytes -= len(current.value or b"")
        self.value_bytes += len(item.value or b"")
        if item.value is None:
            self.items_by_key.pop(item.key, None)
        else:
            self.items_by_key[item.key] = item
        self._on_change(item)

    async def _read_all(self) -> bool:
        """Reads all items; returns whether that succeeded.

        A mirrored item that no page contains is taken as deleted, unless its
        revision is later than the first page's, as it may have been written
        after its page was read.
        """
        read_by_key: dict[str, kv_store.Item] = {}
        after, first_revision = "", None
        while True:
            called_s = self._clock.monotonic()
            response = await self._store.page(self._prefix, after=after)
            if isinstance(response, result.Err):
                self._set_reachable(False, response.err_value.value)
                return False
            page = response.ok_value
            self._log_large_answer(page.items, called_s)
            if first_revision is None:
                first_revision = page.store_revision
            read_by_key |= {item.key: item for item in page.items}
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        self._set_reachable(True, "read succeeded")
        for key in [key for key in self.items_by_key if key not in read_by_key]:
            missing = self.items_by_key[key]
            if missing.revision <= first_revision:
                self._apply(kv_store.Item(key, None, max(first_revision, 1)))
        # A copy from another entry may have been newer than the pages.
        outdated = first_revision < self.revision
        for item in read_by_key.values():
            (self.offer if outdated else self._apply)(item)
        self._advance(first_revision)
        self.loaded = True
        return True

    async def _watch(self) -> None:
        """Applies changes until the store has dropped the ones needed next."""
        while True:
            called_s = self._clock.monotonic()
            changes = await self._store.watch(
                self._prefix,
                after_revision=self.revision,
                wait_s=WATCH_WAIT_S,
            )
            if isinstance(changes, result.Ok):
                self._set_reachable(True, "watch succeeded")
                self._log_large_answer(changes.ok_value.items, called_s)
                # A copy from another entry may have been newer.
                for item in changes.ok_value.items:
                    self.offer(item)
                self._advance(changes.ok_value.store_revision)
                continue
            error = changes.err_value
            self._set_reachable(False, error.value)
            if error is kv_store.StoreError.HISTORY_LOST:
                return
            await self._wait_until_reachable()

    async def _wait_until_reachable(self) -> None:
        """Sends short calls at an interval until one of them is answered.

        A watch could hang for the rest of an outage.
        """
        async with trio.open_nursery() as probes:
            while True:
                await trio.sleep(PROBE_INTERVAL_S)
                probes.start_soon(self._probe, probes.cancel_scope)

    async def _probe(self, outage: trio.CancelScope) -> None:
        """Asks the store once; an answer ends the outage."""
        # No item has this key, so that the answer is always short.
        if (await self._store.get(f"{self._prefix}?")).is_ok():
            outage.cancel()

    def _log_large_answer(
        self, items: list[kv_store.Item], called_s: float
    ) -> None:
        size = sum(len(item.value or b"") for item in items)
        if size >= LOGGED_ANSWER_BYTES:
            logs.event(
                "items from the store",
                prefix=self._prefix,
                items=len(items),
                bytes=size,
                revision=max(item.revision for item in items),
                took_s=round(self._clock.monotonic() - called_s, 3),
            )

    def _advance(self, revision: int) -> None:
        self.synchronised_s = self._clock.monotonic()
        self._set_revision(revision)

    def _set_revision(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable is not self._reachable:
            self._reachable = reachable
            logs.event(
                "store regained" if reachable else "store lost",
                prefix=self._prefix,
                why=reason,
                revision=self.revision,
                age_s=round(self._clock.monotonic() - self.synchronised_s, 3),
            )
