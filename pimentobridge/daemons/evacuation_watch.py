"""Keeps an entry informed of the data centres that the operator evacuates."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core import decoding
from pimentobridge.daemons import containment
from pimentobridge.daemons import store_mirror
from pimentobridge.daemons import unreadable
from pimentobridge.platform import operator_requests

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.platform import kv_store


class EvacuationWatch:
    """Mirrors the operator's evacuations, which the existence of keys requests.

    A value that can't be decoded is logged, and the evacuation is in force all
    the same: nothing may start in a data centre while its key exists.

    Args:
        store: the platform's store.
        clock: source of time.
        on_change: called when an evacuation has begun, changed or ended.

    Attributes:
        mirror: the mirrored keys.
        revision_by_data_centre: the evacuated data centres, with the store's
            revision at the last write of the key.
    """

    def __init__(
        self,
        *,
        store: kv_store.KvStore,
        clock: clock_lib.Clock,
        on_change: Callable[[], None],
    ) -> None:
        self._on_change = on_change
        self.revision_by_data_centre: dict[types.DataCentreName, int] = {}
        self.mirror = store_mirror.StoreMirror(
            store=store,
            prefix=operator_requests.EVACUATE,
            clock=clock,
            on_change=self._handle_item,
        )

    async def run(self) -> None:
        """Follows the store until cancelled."""
        await self.mirror.run()

    async def wait_until_read(self) -> None:
        """Returns once all evacuations have been read, here or by a peer."""
        await self.mirror.wait_for_revision(0)

    def _handle_item(self, item: kv_store.Item) -> None:
        with containment.contained("handling an evacuation", key=item.key):
            self._on_item(item)

    def _on_item(self, item: kv_store.Item) -> None:
        try:
            data_centre = operator_requests.data_centre_of(item.key)
        except decoding.MalformedError as error:
            unreadable.log_skipped(item.key, error)
            return
        if item.value is None:
            self.revision_by_data_centre.pop(data_centre, None)
        else:
            try:
                operator_requests.check_evacuation(item.value)
            except decoding.MalformedError as error:
                unreadable.log_skipped(item.key, error)
            self.revision_by_data_centre[data_centre] = item.revision
        self._on_change()
