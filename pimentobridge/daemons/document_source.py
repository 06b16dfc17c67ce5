"""Reads a document of the store for other processes, while they ask for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pimentobridge.daemons import document as document_lib
from pimentobridge.daemons import document_server

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.platform import kv_store
    from pimentobridge.protocol import transport


# The copies of those who ask are confirmed at this interval. It is short, so
# that they can find another source before theirs counts as out of date.
WATCH_WAIT_S = 0.75


class DocumentSource:
    """Follows a document on demand and passes it on.

    Args:
        key: key of the document in the store.
        store: the platform's store.
        endpoint: transport to the other processes.
        clock: source of time.

    Attributes:
        server: answers the other processes' queries.
    """

    def __init__(
        self,
        *,
        key: str,
        store: kv_store.KvStore,
        endpoint: transport.Outbox,
        clock: clock_lib.Clock,
    ) -> None:
        document = document_lib.Document(key=key, clock=clock)
        self.server = document_server.DocumentServer(
            document=document,
            endpoint=endpoint,
            clock=clock,
            reads_store=True,
        )
        self._reader = document_lib.StoreReader(
            document=document,
            store=store,
            wanted=lambda: self.server.in_use,
            clock=clock,
            watch_wait_s=WATCH_WAIT_S,
        )

    async def run(self) -> None:
        """Follows the document until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._reader.run)
            nursery.start_soon(self.server.run)
