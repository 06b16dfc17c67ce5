"""Passes a document of the store on to other processes, compressed.

A process with a fast link reads the document once; those with slow links get
each version from it in parts, and a part that is lost is sent again by itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
import zlib

import msgspec
import xxhash

from pimentobridge.protocol import documents

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.daemons import document as document_lib
    from pimentobridge.protocol import transport

# A tenth of a second on a link of 5 Mbit/s.
PART_BYTES = 64 * 1024
COMPRESSION_LEVEL = 1
# Time after its latest query for which a process is told of newer versions.
SUBSCRIPTION_S = 2.0
# Versions whose encodings are kept, so that who is in the middle of one can
# finish it while newer ones come.
MAX_ENCODINGS = 3


class _Encoding(msgspec.Struct, frozen=True):
    """A version as it is sent."""

    revision: int
    data: bytes
    digest: bytes


class DocumentServer:
    """Answers queries for a document, and announces newer versions.

    Args:
        document: this process's copy.
        endpoint: transport to the other processes.
        clock: source of time.
        reads_store: whether this process reads the store while it is asked;
            otherwise it passes on what it has.
    """

    def __init__(
        self,
        *,
        document: document_lib.Document,
        endpoint: transport.Outbox,
        clock: clock_lib.Clock,
        reads_store: bool = False,
    ) -> None:
        self._document = document
        self._endpoint = endpoint
        self._clock = clock
        self._reads_store = reads_store
        self._encodings: list[_Encoding] = []
        self._queried_s_by_address: dict[types.Address, float] = {}

    @property
    def in_use(self) -> bool:
        """Whether another process has asked for the document lately."""
        return bool(self._subscribers())

    async def run(self) -> None:
        """Announces each newer version to those that asked lately."""
        while True:
            await self._document.changed.wait()
            for address in self._subscribers():
                self._endpoint.send(address, self._status())

    def announce_shutdown(self) -> None:
        """Tells those that asked lately to ask another process from now on."""
        leaving = msgspec.structs.replace(self._status(), leaving=True)
        for address in self._subscribers():
            self._endpoint.send(address, leaving)

    def on_query(
        self, sender: types.Address, query: documents.DocumentQuery
    ) -> None:
        """Answers with a part of a version, or says which is the newest."""
        if query.key != self._document.key:
            return
        if query.status_only:
            self._endpoint.send(sender, self._status())
            return
        self._queried_s_by_address[sender] = self._clock.monotonic()
        encoding = self._encoding_for(query)
        if encoding is None:
            self._endpoint.send(sender, self._status())
            return
        offset = query.offset if query.digest == encoding.digest else 0
        status = self._status()
        self._endpoint.send(
            sender,
            msgspec.structs.replace(
                status,
                revision=encoding.revision,
                size=len(encoding.data),
                digest=encoding.digest,
                offset=offset,
                data=encoding.data[offset : offset + PART_BYTES],
            ),
        )

    def _encoding_for(self, query: documents.DocumentQuery) -> _Encoding | None:
        """Returns the encoding to send; None if there is no newer version."""
        for encoding in self._encodings:
            if encoding.digest == query.digest:
                return encoding
        if self._document.revision <= query.revision:
            return None
        return self._newest_encoding()

    def _newest_encoding(self) -> _Encoding | None:
        item = self._document.item
        if item is None or item.value is None:
            return None
        if self._encodings and self._encodings[-1].revision == item.revision:
            return self._encodings[-1]
        data = zlib.compress(item.value, COMPRESSION_LEVEL)
        encoding = _Encoding(item.revision, data, xxhash.xxh3_128_digest(data))
        self._encodings = [*self._encodings, encoding][-MAX_ENCODINGS:]
        return encoding

    def _status(self) -> documents.DocumentPart:
        return documents.DocumentPart(
            key=self._document.key,
            newest=self._document.revision,
            age_s=self._document.age_s,
            reads_store=self._reads_store,
        )

    def _subscribers(self) -> list[types.Address]:
        now_s = self._clock.monotonic()
        self._queried_s_by_address = {
            address: queried_s
            for address, queried_s in self._queried_s_by_address.items()
            if now_s - queried_s < SUBSCRIPTION_S
        }
        return sorted(self._queried_s_by_address)
