"""Keeps an entry's mirrors up to date through other entries.

An entry that the store doesn't answer asks another one for the items that have
changed, so that it can still tell callers how their jobs stand.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pimentobridge.daemons import logs
from pimentobridge.daemons import store_mirror
from pimentobridge.platform import kv_store
from pimentobridge.protocol import control

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.protocol import transport

QUERY_INTERVAL_S = 0.25
# An entry that hasn't answered for this time is replaced as the source.
SOURCE_TIMEOUT_S = 1.0
# The store answers a watch within its wait; an older mirror may miss changes.
OLD_MIRROR_S = store_mirror.WATCH_WAIT_S + 0.25
# Time for which an entry's word that the store doesn't answer it holds.
AWAY_S = 1.0
# Longer than an unanswered watch, and than a query of each of several entries.
ISOLATED_S = 3.0
# Limit on the values in a copy; the next query asks for the rest.
MAX_COPY_BYTES = 64 * 1024


class MirrorSharing:
    """Exchanges mirrored items with the other entries.

    Args:
        mirrors: the mirrors by prefix.
        endpoint: transport to the other entries.
        peers: returns the addresses of the other entries.
        clock: source of time.
        whole: prefixes of few items, of which a copy holds all, so that the
            receiver learns of deletions too.

    Attributes:
        source: the entry that last supplied items, or that is asked next; None
            if there is no other entry.
    """

    def __init__(
        self,
        *,
        mirrors: Mapping[str, store_mirror.StoreMirror],
        endpoint: transport.Outbox,
        peers: Callable[[], list[types.Address]],
        clock: clock_lib.Clock,
        whole: Collection[str] = (),
    ) -> None:
        self._whole = whole
        self._mirrors = mirrors
        self._endpoint = endpoint
        self._peers = peers
        self._clock = clock
        self.source: types.Address | None = None
        self._source_answered_s = float("-inf")
        # When another entry last said that the store doesn't answer it.
        self._away_s_by_peer: dict[types.Address, float] = {}
        # When any other entry last answered.
        self._heard_s = clock.monotonic()
        # Store revision up to which copies have supplied all changes.
        self._copied_by_prefix = dict.fromkeys(mirrors, 0)

    @property
    def working_source(self) -> types.Address | None:
        """The entry that supplies items at present; None if none does."""
        silent_s = self._clock.monotonic() - self._source_answered_s
        return self.source if silent_s < SOURCE_TIMEOUT_S else None

    def away_peers(self) -> set[types.Address]:
        """Returns the entries that have just said that they lack the store."""
        now_s = self._clock.monotonic()
        return {
            peer
            for peer, said_s in self._away_s_by_peer.items()
            if now_s - said_s < AWAY_S
        }

    @property
    def isolated(self) -> bool:
        """Whether neither the store nor another entry has answered lately."""
        now_s = self._clock.monotonic()
        heard_s = max(
            self._heard_s,
            *(mirror.synchronised_s for mirror in self._mirrors.values()),
        )
        return now_s - heard_s > ISOLATED_S

    async def run(self) -> None:
        """Asks for items while a mirror is out of date, until cancelled."""
        while True:
            await trio.sleep(QUERY_INTERVAL_S)
            old = [
                prefix
                for prefix, mirror in self._mirrors.items()
                if self._is_old(mirror)
            ]
            if old:
                self._choose_source()
            if self.source is None:
                continue
            for prefix in old:
                self._endpoint.send(
                    self.source,
                    control.MirrorQuery(prefix, self._known_revision(prefix)),
                )

    def _known_revision(self, prefix: str) -> int:
        return max(
            self._mirrors[prefix].revision, self._copied_by_prefix[prefix]
        )

    def _is_old(self, mirror: store_mirror.StoreMirror) -> bool:
        age_s = self._clock.monotonic() - mirror.synchronised_s
        return not mirror.reachable or age_s > OLD_MIRROR_S

    def _choose_source(self) -> None:
        """Passes to the next entry if the present one doesn't supply items."""
        peers = self._peers()
        if not peers:
            self.source = None
            return
        if self.working_source in peers:
            return
        following = [
            peer for peer in peers if self.source is None or peer > self.source
        ]
        self.source = (following or peers)[0]

    def on_query(
        self, sender: types.Address, query: control.MirrorQuery
    ) -> None:
        """Answers with the items that the sender lacks."""
        mirror = self._mirrors.get(query.prefix)
        if mirror is None:
            return
        if self._is_old(mirror):
            self._endpoint.send(
                sender, control.MirrorCopy(query.prefix, current=False)
            )
            return
        items = sorted(
            mirror.items_by_key.values(), key=lambda item: item.revision
        )
        newer = [item for item in items if item.revision > query.revision]
        copied, revision = _first_items(newer), mirror.revision
        if len(copied) < len(newer):
            revision = min(revision, copied[-1].revision)
        whole = query.prefix in self._whole and mirror.revision > query.revision
        if whole:
            all_items = _first_items(items)
            # Too many for one copy are sent like those of other prefixes.
            whole = len(all_items) == len(items)
            copied = all_items if whole else copied
        if copied:
            logs.event(
                "items to another entry",
                receiver=sender,
                prefix=query.prefix,
                items=len(copied),
                bytes=sum(len(item.value) for item in copied),
                known=query.revision,
                revision=revision,
            )
        self._endpoint.send(
            sender,
            control.MirrorCopy(
                query.prefix,
                current=True,
                revision=revision,
                items=copied,
                whole=whole,
            ),
        )

    def on_copy(self, sender: types.Address, copy: control.MirrorCopy) -> None:
        """Applies the items that another entry has supplied."""
        self._heard_s = self._clock.monotonic()
        if copy.current:
            self._away_s_by_peer.pop(sender, None)
        else:
            self._away_s_by_peer[sender] = self._heard_s
        mirror = self._mirrors.get(copy.prefix)
        if mirror is None or not copy.current:
            return
        # On a slow link, the answer may come after the next entry was asked.
        self.source, self._source_answered_s = sender, self._heard_s
        items = [
            kv_store.Item(item.key, item.value, item.revision)
            for item in copy.items
        ]
        if copy.whole:
            mirror.replace(items, copy.revision)
        else:
            for item in items:
                mirror.offer(item)
        if copy.revision > self._copied_by_prefix[copy.prefix]:
            self._copied_by_prefix[copy.prefix] = copy.revision
            logs.event(
                "items from another entry",
                source=sender,
                prefix=copy.prefix,
                items=len(copy.items),
                bytes=sum(len(item.value) for item in copy.items),
                revision=copy.revision,
            )


def _first_items(
    items: list[kv_store.Item],
) -> tuple[control.MirroredItem, ...]:
    """Returns the items up to the limit on a copy.

    The items of one revision, which were written together, are kept together.
    """
    chosen: list[control.MirroredItem] = []
    size = 0
    for item in items:
        value = item.value or b""
        size += len(value)
        if (
            size > MAX_COPY_BYTES
            and chosen
            and chosen[-1].revision != item.revision
        ):
            break
        chosen.append(control.MirroredItem(item.key, value, item.revision))
    return tuple(chosen)
