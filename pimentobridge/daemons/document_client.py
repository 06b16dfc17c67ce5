"""Follows a document of the store through other processes."""

from __future__ import annotations

from typing import TYPE_CHECKING
import zlib

import trio
import xxhash

from pimentobridge.core import clock as clock_lib
from pimentobridge.daemons import logs
from pimentobridge.platform import kv_store
from pimentobridge.protocol import documents

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import types
    from pimentobridge.daemons import document as document_lib
    from pimentobridge.protocol import transport

QUERY_INTERVAL_S = 0.5
# A source that hasn't answered a query for this time is replaced. A part takes
# a fifth of it on an idle link of 5 Mbit/s; one that comes later is taken, too.
ANSWER_TIMEOUT_S = 0.5
# A source that has answered within this time is taken to be there.
ANSWER_VALIDITY_S = 1.0
# Other sources that are asked whether they are there when one was silent.
MAX_PROBES = 4
# The parts count as arriving until this time after the latest one.
RECEIVING_S = 0.5
# A source that hasn't heard from the store for this time is replaced.
MAX_SOURCE_AGE_S = 2.5
# Time that a source has to read the document once it is first asked.
SOURCE_START_S = 1.5
# Limit on what a version may decompress to.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024


class _Assembly:
    """A version of which the parts before `offset` have arrived.

    Attributes:
        digest: digest of the whole encoding.
    """

    def __init__(self, part: documents.DocumentPart) -> None:
        self.revision = part.revision
        self.digest = part.digest
        self._size = part.size
        self._data = bytearray()

    @property
    def offset(self) -> int:
        """Where the next missing part starts, in bytes."""
        return len(self._data)

    def add(self, part: documents.DocumentPart) -> None:
        """Appends the next part; any other one is ignored."""
        if part.offset == self.offset:
            self._data += part.data

    @property
    def complete(self) -> bool:
        """Whether all parts have arrived."""
        return self.offset >= self._size

    def value(self) -> bytes | None:
        """Returns the document, or None if what arrived can't be right."""
        if xxhash.xxh3_128_digest(bytes(self._data)) != self.digest:
            return None
        try:
            return zlib.decompressobj().decompress(
                bytes(self._data), MAX_DOCUMENT_BYTES
            )
        except zlib.error:
            return None


class DocumentClient:
    """Asks one process at a time for newer versions.

    One part is asked for at a time, so that not more than a part waits on the
    link; who is silent is replaced, and the parts received so far are kept.
    Several sources may be gone at once, so the next ones are probed meanwhile
    and those that answer are preferred.

    Args:
        document: the copy to keep up to date.
        endpoint: transport to the other processes.
        sources: returns the processes to ask, in the order of preference.
        clock: source of time.
        wanted: returns whether to follow at the moment.
    """

    def __init__(
        self,
        *,
        document: document_lib.Document,
        endpoint: transport.Outbox,
        sources: Callable[[], list[types.Address]],
        clock: clock_lib.Clock,
        wanted: Callable[[], bool],
    ) -> None:
        self._document = document
        self._endpoint = endpoint
        self._sources = sources
        self._clock = clock
        self._wanted = wanted
        self._source: types.Address | None = None
        self._source_since_s = 0.0
        self._replaced_s_by_source: dict[types.Address, float] = {}
        self._answered_s_by_source: dict[types.Address, float] = {}
        self._received_s = float("-inf")
        # When the query that waits for an answer was sent; None if none does.
        self._queried_s: float | None = None
        self._assembly: _Assembly | None = None
        self._query_now = trio.Event()

    @property
    def receiving(self) -> bool:
        """Whether parts of a newer version are arriving."""
        return self._clock.monotonic() - self._received_s < RECEIVING_S

    async def run(self) -> None:
        """Asks while that is wanted, until cancelled."""
        while True:
            pause_s = QUERY_INTERVAL_S
            if self._wanted():
                self._ask()
                pause_s = self._time_to_timeout_s
            with trio.move_on_after(pause_s):
                await self._query_now.wait()
            self._query_now = trio.Event()

    @property
    def _time_to_timeout_s(self) -> float:
        """Time until the latest query counts as unanswered."""
        if self._queried_s is None:
            return QUERY_INTERVAL_S
        waited_s = self._clock.monotonic() - self._queried_s
        return max(0.0, ANSWER_TIMEOUT_S - waited_s)

    def _ask(self) -> None:
        now_s = self._clock.monotonic()
        if self._queried_s is not None:
            if self._time_to_timeout_s > clock_lib.RESOLUTION_S:
                return
            self._replace_source("silent")
            self._probe_others()
        elif self._source is None:
            self._replace_source("first")
        if self._source is None:
            return
        self._queried_s = now_s
        assembly = self._assembly
        self._endpoint.send(
            self._source,
            documents.DocumentQuery(
                key=self._document.key,
                revision=self._document.revision,
                digest=assembly.digest if assembly else b"",
                offset=assembly.offset if assembly else 0,
            ),
        )

    def _probe_others(self) -> None:
        """Asks the next sources whether they are there."""
        others = [source for source in self._ranked() if source != self._source]
        for source in others[:MAX_PROBES]:
            self._endpoint.send(
                source,
                documents.DocumentQuery(
                    key=self._document.key,
                    revision=self._document.revision,
                    status_only=True,
                ),
            )

    def _ranked(self) -> list[types.Address]:
        """Returns the sources, the one to ask next first.

        Sources that are gone may be listed for ever. Those that have answered
        lately come first, then those that were never replaced, and of the
        others the one that was replaced least recently.
        """
        since_s = self._clock.monotonic() - ANSWER_VALIDITY_S

        def rank(source: types.Address) -> tuple[bool, float]:
            replaced_s = self._replaced_s_by_source.get(source, 0.0)
            answered_s = self._answered_s_by_source.get(source, 0.0)
            return answered_s <= max(since_s, replaced_s), replaced_s

        return sorted(self._sources(), key=rank)

    def _replace_source(self, reason: str) -> None:
        """Passes to the source that is to be asked next, if any."""
        now_s = self._clock.monotonic()
        replaced = self._source
        if replaced is not None:
            self._replaced_s_by_source[replaced] = now_s
        self._source = next(iter(self._ranked()), None)
        self._queried_s = None
        self._source_since_s = now_s
        if self._source != replaced:
            logs.event(
                "document source chosen",
                key=self._document.key,
                source=self._source,
                replaced=replaced,
                why=reason,
                revision=self._document.revision,
            )

    def on_part(
        self, sender: types.Address, part: documents.DocumentPart
    ) -> None:
        """Takes a part, and what the sender says about the newest version."""
        if part.key != self._document.key:
            return
        if not part.leaving:
            self._answered_s_by_source[sender] = self._clock.monotonic()
        # Without data in the middle of a version, this isn't the answer but an
        # announcement of another version.
        if sender == self._source and (part.data or self._assembly is None):
            self._queried_s = None
        if part.data:
            self._received_s = self._clock.monotonic()
            self._add(sender, part)
        if part.newest <= self._document.revision:
            self._document.confirm(self._clock.monotonic() - part.age_s)
        if sender != self._source:
            return
        if part.leaving:
            self._replace_source("leaving")
            self._query_now.set()
        elif part.newest > self._document.revision:
            self._query_now.set()
        elif part.age_s > MAX_SOURCE_AGE_S and not self._source_may_start(part):
            self._replace_source("out of date")

    def _source_may_start(self, part: documents.DocumentPart) -> bool:
        """Whether the source may not have read the document yet."""
        asked_for_s = self._clock.monotonic() - self._source_since_s
        return part.reads_store and asked_for_s < SOURCE_START_S

    def _add(self, sender: types.Address, part: documents.DocumentPart) -> None:
        if part.revision <= self._document.revision:
            return
        assembly = self._assembly
        if assembly is None or (
            assembly.digest != part.digest and part.offset == 0
        ):
            assembly = self._assembly = _Assembly(part)
        if assembly.digest == part.digest:
            assembly.add(part)
        if not assembly.complete:
            return
        self._assembly = None
        value = assembly.value()
        if value is None:
            logs.event("document unreadable", key=part.key, source=sender)
            return
        self._document.offer(
            kv_store.Item(part.key, value, assembly.revision), via=sender
        )
