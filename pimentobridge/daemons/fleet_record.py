"""Keeps the largest known fleet in the store, for all entries to read."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result
import trio

from pimentobridge.core import decoding
from pimentobridge.core.scheduling import fleet_shape
from pimentobridge.daemons import keys
from pimentobridge.daemons import logs
from pimentobridge.daemons import unreadable
from pimentobridge.platform import kv_store

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.scheduling import engine as engine_lib

CHECK_INTERVAL_S = 1.0
# Workers start at about the same time. A fleet of which only some have reported
# would refuse jobs that fit on all of them.
SETTLE_S = 6.0


def read(
    items_by_key: Mapping[str, kv_store.Item],
) -> fleet_shape.FleetShape | None:
    """Returns the largest known fleet; None if there is no readable record."""
    item = items_by_key.get(keys.FLEET)
    if item is None or item.value is None:
        return None
    try:
        return fleet_shape.decode(item.value)
    except decoding.MalformedError as error:
        unreadable.log_skipped(item.key, error)
        return None


class FleetRecord:
    """Writes the largest known fleet whenever it has grown and settled.

    Args:
        store: the platform's store.
        engine: knows the workers.
        token: the term's fencing token; only the leader writes.
        items_by_key: the store's items, with what earlier terms have written.
        clock: source of time.
    """

    def __init__(
        self,
        *,
        store: kv_store.KvStore,
        engine: engine_lib.Engine,
        token: int,
        items_by_key: Mapping[str, kv_store.Item],
        clock: clock_lib.Clock,
    ) -> None:
        self._store = store
        self._engine = engine
        self._token = token
        self._clock = clock
        self._recorded = read(items_by_key) or fleet_shape.FleetShape()
        self._largest = self._recorded
        self._grown_s = clock.monotonic()

    async def run(self) -> None:
        """Checks for growth until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._include_workers()
            settled_s = self._clock.monotonic() - self._grown_s
            if self._largest != self._recorded and settled_s >= SETTLE_S:
                await self._write()

    def _include_workers(self) -> None:
        largest = self._largest.including(
            self._engine.workers_by_incarnation.values()
        )
        if largest != self._largest:
            self._largest = largest
            self._grown_s = self._clock.monotonic()

    async def _write(self) -> None:
        largest = self._largest
        written = await self._store.transact(
            expected={keys.LEADER: self._token},
            puts=[kv_store.Put(keys.FLEET, fleet_shape.encode(largest))],
        )
        succeeded = isinstance(written, result.Ok) and isinstance(
            written.ok_value, int
        )
        logs.event(
            "fleet recorded",
            workers=sum(count.workers for count in largest.counts),
            shapes=len(largest.counts),
            outcome="written" if succeeded else "not-written",
        )
        if succeeded:
            self._recorded = largest
