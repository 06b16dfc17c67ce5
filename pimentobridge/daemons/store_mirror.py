"""A process's copy of the store's items under a prefix, kept by a watch."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result
import trio

from pimentobridge.daemons import logs
from pimentobridge.platform import kv_store

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib

# A watch that has gone silent shows within this and the client's slack.
WATCH_WAIT_S = 1.5
RETRY_PAUSE_S = 0.1


class StoreMirror:
    """Items under a prefix, never older than one it showed before.

    Args:
        store: the platform's store.
        prefix: start of the mirrored keys.
        clock: source of time.
        on_change: is told of each item that changed, in order.
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
        self.loaded = False
        self.heard_s = clock.monotonic()
        self._reachable = True

    @property
    def reachable(self) -> bool:
        """Whether the newest call was answered."""
        return self._reachable

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            if not await self._load():
                await trio.sleep(RETRY_PAUSE_S)
                continue
            await self._follow()

    async def wait_for_revision(self, revision: int) -> None:
        """Returns once the mirror is at least as new as `revision`."""
        while not self.loaded or self.revision < revision:
            await self._changed.wait()

    def offer(self, item: kv_store.Item) -> None:
        """Takes an item that came another way; an older one is ignored."""
        held = self.items_by_key.get(item.key)
        if held is not None and held.revision >= item.revision:
            return
        if item.value is None:
            self.items_by_key.pop(item.key, None)
        else:
            self.items_by_key[item.key] = item
        self._on_change(item)

    async def _load(self) -> bool:
        """Reads all items; returns whether that went well."""
        found: dict[str, kv_store.Item] = {}
        after, first_revision = "", None
        while True:
            page = await self._store.page(self._prefix, after=after)
            if isinstance(page, result.Err):
                self._note_reachable(False, page.err_value.value)
                return False
            got = page.ok_value
            if first_revision is None:
                first_revision = got.store_revision
            found |= {item.key: item for item in got.items}
            if not got.has_more or not got.items:
                break
            after = got.items[-1].key
        self._note_reachable(True, "read")
        for key in [key for key in self.items_by_key if key not in found]:
            gone = self.items_by_key[key]
            if gone.revision <= first_revision:
                self.offer(kv_store.Item(key, None, max(first_revision, 1)))
        for item in found.values():
            self.offer(item)
        self._advance(first_revision)
        self.loaded = True
        return True

    async def _follow(self) -> None:
        """Watches until the history is lost."""
        while True:
            changes = await self._store.watch(
                self._prefix,
                after_revision=self.revision,
                wait_s=WATCH_WAIT_S,
            )
            if isinstance(changes, result.Ok):
                self._note_reachable(True, "watched")
                for item in changes.ok_value.items:
                    self.offer(item)
                self._advance(changes.ok_value.store_revision)
                continue
            error = changes.err_value
            self._note_reachable(False, error.value)
            if error is kv_store.StoreError.HISTORY_LOST:
                return
            await self._wait_reachable()

    async def _wait_reachable(self) -> None:
        """Asks with short calls: a watch would hang in an outage's rest."""
        while True:
            await trio.sleep(RETRY_PAUSE_S)
            if (await self._store.get(self._prefix)).is_ok():
                return

    def _advance(self, revision: int) -> None:
        self.heard_s = self._clock.monotonic()
        self.revision = max(self.revision, revision)
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _note_reachable(self, reachable: bool, why: str) -> None:
        if reachable is not self._reachable:
            self._reachable = reachable
            logs.event(
                "store regained" if reachable else "store lost",
                prefix=self._prefix,
                why=why,
                revision=self.revision,
                age_s=round(self._clock.monotonic() - self.heard_s, 3),
            )
