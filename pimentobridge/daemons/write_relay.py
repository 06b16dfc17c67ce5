"""Makes writes through other entries while the store answers those only."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import trio

from pimentobridge.protocol import control

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import types
    from pimentobridge.protocol import transport

ANSWER_TIMEOUT_S = 0.6
# Limit on the entries that are asked to make one write.
MAX_PEERS = 3
# Size of the first sequence number.
SEQUENCE_BITS = 48


class Relay:
    """Asks other entries to make writes, and waits for their answers.

    Args:
        endpoint: transport to the other entries.
        peers: returns the entries to ask, in the order of preference.
    """

    def __init__(
        self,
        *,
        endpoint: transport.Outbox,
        peers: Callable[[], list[types.Address]],
    ) -> None:
        self._endpoint = endpoint
        self._peers = peers
        self._writes_by_sequence: dict[int, _Write] = {}
        # An answer to a request of the process that ran here before may arrive
        # late, and must not count as one to a request of this one.
        self._sequence = secrets.randbits(SEQUENCE_BITS)

    async def write(
        self, job_id: types.JobId, value: bytes | None
    ) -> control.WriteOutcome:
        """Asks entries at the same time, until one of them has made the write.

        Two of them make the same write; the store takes it once.

        Args:
            job_id: the job to write.
            value: the submission; None to cancel the job.
        """
        peers = self._peers()[:MAX_PEERS]
        if not peers:
            return control.WriteOutcome.NOT_WRITTEN
        self._sequence += 1
        sequence = self._sequence
        write = self._writes_by_sequence[sequence] = _Write(len(peers))
        for peer in peers:
            self._endpoint.send(
                peer, control.WriteRelay(sequence, job_id, value)
            )
        try:
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                await write.settled.wait()
        finally:
            del self._writes_by_sequence[sequence]
        return write.outcome

    def on_outcome(self, message: control.WriteRelayed) -> None:
        """Passes an answer to the write that waits for it."""
        write = self._writes_by_sequence.get(message.sequence)
        if write is not None:
            write.on_answer(message.outcome)


class _Write:
    """A write that several entries were asked to make.

    Attributes:
        settled: set once the write is made, or everybody has answered.
    """

    def __init__(self, asked: int) -> None:
        self._unanswered = asked
        self._best = control.WriteOutcome.NOT_WRITTEN
        self.settled = trio.Event()

    def on_answer(self, outcome: control.WriteOutcome) -> None:
        """Notes an entry's answer."""
        self._unanswered -= 1
        made = outcome in (
            control.WriteOutcome.WRITTEN,
            control.WriteOutcome.ABSENT,
        )
        if made or self._best is control.WriteOutcome.NOT_WRITTEN:
            self._best = outcome
        if made or not self._unanswered:
            self.settled.set()

    @property
    def outcome(self) -> control.WriteOutcome:
        """What is known; an entry that is silent may still make the write."""
        if self.settled.is_set() or not self._unanswered:
            return self._best
        return control.WriteOutcome.UNKNOWN
