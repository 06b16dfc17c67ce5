"""Makes writes through other entries while the store answers those only."""

from __future__ import annotations

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
        self._events_by_sequence: dict[int, trio.Event] = {}
        self._outcomes_by_sequence: dict[int, control.WriteOutcome] = {}
        self._sequence = 0

    async def write(
        self, job_id: types.JobId, value: bytes | None
    ) -> control.WriteOutcome:
        """Asks entries in turn, until one of them has made the write.

        Args:
            job_id: the job to write.
            value: the submission; None to cancel the job.
        """
        outcome = control.WriteOutcome.NOT_WRITTEN
        for peer in self._peers()[:MAX_PEERS]:
            answer = await self._ask(peer, job_id, value)
            if answer in (
                control.WriteOutcome.WRITTEN,
                control.WriteOutcome.ABSENT,
            ):
                return answer
            if answer is control.WriteOutcome.UNKNOWN:
                outcome = answer
        return outcome

    def on_outcome(self, message: control.WriteRelayed) -> None:
        """Passes an answer to the write that waits for it."""
        answered = self._events_by_sequence.get(message.sequence)
        if answered is not None:
            self._outcomes_by_sequence[message.sequence] = message.outcome
            answered.set()

    async def _ask(
        self, peer: types.Address, job_id: types.JobId, value: bytes | None
    ) -> control.WriteOutcome:
        self._sequence += 1
        sequence = self._sequence
        answered = self._events_by_sequence[sequence] = trio.Event()
        self._endpoint.send(peer, control.WriteRelay(sequence, job_id, value))
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            await answered.wait()
        del self._events_by_sequence[sequence]
        return self._outcomes_by_sequence.pop(
            sequence, control.WriteOutcome.UNKNOWN
        )
