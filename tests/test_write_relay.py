"""Writes that other entries make for one that the store refuses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pimentobridge.bench import harness
from pimentobridge.core import types
from pimentobridge.daemons import write_relay
from pimentobridge.protocol import control

if TYPE_CHECKING:
    from pimentobridge.protocol import messages

PEER = types.Address("tcp://peer:7000")
JOB = types.JobId("a" * 16)


class _Outbox:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []

    def send(self, recipient: types.Address, message: messages.Message) -> None:
        del recipient
        self.sent.append(message)

    def reset(self, recipient: types.Address) -> None:
        del recipient


async def _write_with_answers(
    relay: write_relay.Relay, outbox: _Outbox, *answers: int
) -> control.WriteOutcome:
    """Returns the outcome of a write.

    Args:
        relay: makes the write.
        outbox: what the relay sends through.
        *answers: sequence numbers of the answers that say it is made; none for
            the number of the request.
    """
    outcome = control.WriteOutcome.UNKNOWN

    async def write() -> None:
        nonlocal outcome
        outcome = await relay.write(JOB, b"job")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(write)
        await trio.sleep(0.1)
        request = outbox.sent[-1]
        assert isinstance(request, control.WriteRelay)
        for sequence in answers or (request.sequence,):
            relay.on_outcome(
                control.WriteRelayed(sequence, control.WriteOutcome.WRITTEN)
            )
    return outcome


def _relay(outbox: _Outbox) -> write_relay.Relay:
    return write_relay.Relay(endpoint=outbox, peers=lambda: [PEER])


# Guards against LOST (issue 35, related to review/3): an answer to the process
# that ran here before counted for the request of the same number, whose job was
# then reported as accepted without being stored.
def test_an_answer_to_an_earlier_process_counts_for_no_write() -> None:
    async def main() -> control.WriteOutcome:
        earlier = _Outbox()
        await _write_with_answers(_relay(earlier), earlier)
        sequences = [
            message.sequence
            for message in earlier.sent
            if isinstance(message, control.WriteRelay)
        ]
        outbox = _Outbox()
        return await _write_with_answers(_relay(outbox), outbox, *sequences)

    assert harness.run_virtual(main) is control.WriteOutcome.UNKNOWN


def test_an_answer_to_the_request_counts() -> None:
    async def main() -> control.WriteOutcome:
        outbox = _Outbox()
        return await _write_with_answers(_relay(outbox), outbox)

    assert harness.run_virtual(main) is control.WriteOutcome.WRITTEN
