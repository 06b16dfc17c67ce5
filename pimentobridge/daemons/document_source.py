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
            document=document, endpoint=endpoint, clock=clock
        )
        self._reader = document_lib.StoreReader(
            document=document,
            store=store,
            clock=clock,
            wanted=lambda: self.server.in_use,
        )

    async def run(self) -> None:
        """Follows the document until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._reader.run)
            nursery.start_soon(self.server.run)
