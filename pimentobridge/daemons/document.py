"""Copy of one large document of the store, and its direct reader.

Only the newest version counts, so that a reader which is behind never
transfers the versions between.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import result
import trio

from pimentobridge.daemons import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.platform import kv_store

WATCH_WAIT_S = 1.5
RETRY_PAUSE_S = 0.1
IDLE_PAUSE_S = 0.1


class Document:
    """The newest version of a document that this process has.

    Args:
        key: key of the document in the store.
        clock: source of time.
        on_version: called with each newer version.

    Attributes:
        item: the newest version; None before the first.
        confirmed_s: monotonic time at which the store last said, to this
            process or to the one that passed it on, that this version is
            the newest; minus infinity before the first time.
        changed: set, and replaced, when there is a newer version.
    """

    def __init__(
        self,
        *,
        key: str,
        clock: clock_lib.Clock,
        on_version: Callable[[kv_store.Item], None] | None = None,
    ) -> None:
        self.key = key
        self._clock = clock
        self._on_version = on_version
        self.item: kv_store.Item | None = None
        self.confirmed_s = float("-inf")
        self.changed = trio.Event()

    @property
    def revision(self) -> int:
        """Revision of the version that this process has; 0 for none."""
        return 0 if self.item is None else self.item.revision

    @property
    def age_s(self) -> float:
        """Time since this version was last known to be the newest."""
        return self._clock.monotonic() - self.confirmed_s

    def offer(self, item: kv_store.Item, *, via: str) -> None:
        """Takes a version unless this process has that or a newer one.

        Args:
            item: the version.
            via: whom it came from, for the log.
        """
        if item.value is None or item.revision <= self.revision:
            return
        logs.event(
            "document changed",
            key=self.key,
            revision=item.revision,
            earlier=self.revision,
            bytes=len(item.value),
            via=via,
            age_s=round(min(self.age_s, logs.MAX_LOGGED_S), 3),
        )
        self.item = item
        changed, self.changed = self.changed, trio.Event()
        changed.set()
        if self._on_version is not None:
            self._on_version(item)

    def confirm(self, at_s: float) -> None:
        """Notes when the store knew no newer version than this one."""
        self.confirmed_s = max(self.confirmed_s, at_s)


class StoreReader:
    """Follows a document by reads and watches of the store.

    Args:
        document: the copy to keep up to date.
        store: the platform's store.
        clock: source of time.
        wanted: returns whether to follow at the moment; a call under way is
            abandoned when that ends.
        watch_wait_s: time within which the store answers a watch, in seconds.
    """

    def __init__(
        self,
        *,
        document: Document,
        store: kv_store.KvStore,
        clock: clock_lib.Clock,
        wanted: Callable[[], bool],
        watch_wait_s: float = WATCH_WAIT_S,
    ) -> None:
        self._document = document
        self._store = store
        self._clock = clock
        self._wanted = wanted
        self._watch_wait_s = watch_wait_s
        # Revision of the store at the latest answer; 0 if the newest version
        # must be read, as watches would return each version since.
        self._watched_revision = 0

    async def run(self) -> None:
        """Follows the document while that is wanted, until cancelled."""
        while True:
            if not self._wanted():
                self._watched_revision = 0
                await trio.sleep(IDLE_PAUSE_S)
            elif not await self._ask_while_wanted():
                self._watched_revision = 0
                await trio.sleep(RETRY_PAUSE_S)

    async def _ask_while_wanted(self) -> bool:
        """Reads or watches once; returns whether the store answered."""
        answered = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_unwanted, nursery.cancel_scope)
            answered = await self._ask()
            nursery.cancel_scope.cancel()
        return answered

    async def _cancel_when_unwanted(self, call: trio.CancelScope) -> None:
        while self._wanted():
            await trio.sleep(IDLE_PAUSE_S)
        call.cancel()

    async def _ask(self) -> bool:
        """Reads or watches once; returns whether the store answered."""
        if not self._watched_revision:
            return await self._read()
        changes = await self._store.watch(
            self._document.key,
            after_revision=self._watched_revision,
            wait_s=self._watch_wait_s,
        )
        if isinstance(changes, result.Err):
            return False
        page = changes.ok_value
        versions = [
            item for item in page.items if item.key == self._document.key
        ]
        if versions:
            self._document.offer(versions[-1], via="store")
        self._document.confirm(self._clock.monotonic())
        self._watched_revision = max(
            self._watched_revision, page.store_revision
        )
        return True

    async def _read(self) -> bool:
        response = await self._store.page(self._document.key)
        if isinstance(response, result.Err):
            return False
        page = response.ok_value
        for item in page.items:
            if item.key == self._document.key:
                self._document.offer(item, via="store")
        self._document.confirm(self._clock.monotonic())
        self._watched_revision = page.store_revision
        return True
