"""Fetching of answers in chunks, paced on the inter-region link.

The entry that receives an answer requests its chunks. Chunks of non-urgent
answers that cross the inter-region link are requested at the rate of the
entry's share of the link, so they never queue ahead of urgent answers.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core import budget
from pimentobridge.core import transfer
from pimentobridge.protocol import messages

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.protocol import transport

# Fraction of the inter-region link that all entries' paced traffic may use.
BULK_SHARE = 0.5
CHUNK_RETRY_AFTER_S = 0.6
MAX_CHUNKS_IN_FLIGHT = 16
BURST_BYTES = 2.0 * transfer.CHUNK_BYTES


class LinkBudget:
    """An entry's share of the inter-region link, per direction.

    Args:
        bytes_per_s: bandwidth of the link in each direction.
        entries: number of entries that share the link.
        now_s: current time in seconds of the clock.
    """

    def __init__(
        self, *, bytes_per_s: float, entries: int, now_s: float = 0.0
    ) -> None:
        self._bytes_per_s = bytes_per_s * BULK_SHARE
        self._entries = max(1, entries)
        rate = self._bytes_per_s / max(1, entries)
        self.outgoing = budget.TokenBucket(
            rate_per_s=rate, burst=BURST_BYTES, now_s=now_s
        )
        self.incoming = budget.TokenBucket(
            rate_per_s=rate, burst=BURST_BYTES, now_s=now_s
        )

    @property
    def bytes_per_s(self) -> float:
        """This entry's bandwidth share in each direction."""
        return self._bytes_per_s / self._entries

    def set_bandwidth(self, bytes_per_s: float) -> None:
        """Sets the bandwidth of the link in each direction."""
        self._bytes_per_s = bytes_per_s * BULK_SHARE
        self.set_entries(self._entries)

    def set_entries(self, entries: int) -> None:
        """Sets the number of live entries that share the link."""
        self._entries = max(1, entries)
        rate = self._bytes_per_s / self._entries
        self.outgoing.set_rate(rate)
        self.incoming.set_rate(rate)


@dataclasses.dataclass
class _Fetch:
    agent: types.Address
    head: messages.AnswerHead
    assembly: transfer.Assembly
    paced: bool
    requested_s_by_offset: dict[int, float] = dataclasses.field(
        default_factory=dict
    )


class Fetcher:
    """Fetches answers that are larger than the part sent in their head.

    Args:
        clock: source of time.
        outbox: sends chunk requests to agents.
        link: bandwidth budget of paced fetches.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        outbox: transport.Outbox,
        link: LinkBudget,
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._link_budget = link
        self._fetches_by_id: dict[types.RequestId, _Fetch] = {}
        self._due_s = float("inf")

    def start(
        self, agent: types.Address, head: messages.AnswerHead, *, paced: bool
    ) -> bytes | None:
        """Starts fetching an answer; returns its body if the head holds it all.

        Args:
            agent: agent that holds the answer.
            head: head of the answer.
            paced: whether chunk requests are limited by the link budget.
        """
        if head.id in self._fetches_by_id:
            return None
        assembly = transfer.Assembly(length=head.length, digest=head.digest)
        assembly.add(0, head.first)
        body = assembly.body()
        if body is None:
            self._fetches_by_id[head.id] = _Fetch(agent, head, assembly, paced)
            self.on_timer()
        return body

    def on_chunk(
        self, chunk: messages.Chunk
    ) -> tuple[messages.AnswerHead, bytes] | None:
        """Adds one chunk; returns the head and body of a complete answer."""
        fetch = self._fetches_by_id.get(chunk.id)
        if fetch is None:
            return None
        fetch.assembly.add(chunk.offset, chunk.data)
        fetch.requested_s_by_offset.pop(chunk.offset, None)
        body = fetch.assembly.body()
        if body is None:
            self._request_missing(fetch)
            return None
        del self._fetches_by_id[chunk.id]
        return fetch.head, body

    def cancel(self, request_id: types.RequestId) -> None:
        """Stops fetching the answer to a request."""
        self._fetches_by_id.pop(request_id, None)

    def on_timer(self) -> None:
        """Requests the chunks that are due."""
        self._due_s = float("inf")
        for fetch in self._fetches_by_id.values():
            self._request_missing(fetch)

    def next_wakeup_s(self) -> float:
        """Returns when `on_timer` is due, in seconds of the clock."""
        return self._due_s if self._fetches_by_id else float("inf")

    def _wake_at(self, due_s: float) -> None:
        self._due_s = min(self._due_s, due_s)

    def _request_missing(self, fetch: _Fetch) -> None:
        now_s = self._clock.monotonic()
        for offset, length in fetch.assembly.missing():
            requested_s = fetch.requested_s_by_offset.get(offset)
            if (
                requested_s is not None
                and now_s - requested_s < CHUNK_RETRY_AFTER_S
            ):
                self._wake_at(requested_s + CHUNK_RETRY_AFTER_S)
                continue
            if len(fetch.requested_s_by_offset) >= MAX_CHUNKS_IN_FLIGHT and (
                requested_s is None
            ):
                return
            if fetch.paced and not self._link_budget.incoming.try_spend(
                length, now_s
            ):
                self._wake_at(self._link_budget.incoming.ready_at(now_s))
                return
            fetch.requested_s_by_offset[offset] = now_s
            self._wake_at(now_s + CHUNK_RETRY_AFTER_S)
            request = messages.ChunkRequest(fetch.head.id, offset, length)
            self._outbox.send(fetch.agent, request)
