"""Delivery of frames between endpoints over real loopback sockets."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import trio

from pimentobridge.core import types
from pimentobridge.protocol import codec
from pimentobridge.protocol import messages
from pimentobridge.protocol import zmq_transport

if TYPE_CHECKING:
    from collections.abc import Iterator

# Time limit that fails a test in which no message arrives; it affects no other
# outcome.
RECEIVE_TIMEOUT_S = 20.0


def _address() -> types.Address:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return types.Address(f"tcp://127.0.0.1:{probe.getsockname()[1]}")


@contextlib.contextmanager
def _endpoint(
    address: types.Address | None = None,
) -> Iterator[zmq_transport.ZmqEndpoint]:
    endpoint = zmq_transport.ZmqEndpoint(address or _address())
    try:
        yield endpoint
    finally:
        endpoint.close()


def _ack(name: str) -> messages.AnswerAck:
    return messages.AnswerAck(types.RequestId(name))


async def _first_message(
    sender: zmq_transport.ZmqEndpoint, receiver: zmq_transport.ZmqEndpoint
) -> object:
    """Returns the first message that arrives while both endpoints receive."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sender.receive)
        with trio.fail_after(RECEIVE_TIMEOUT_S):
            envelope = await receiver.receive()
        nursery.cancel_scope.cancel()
    return envelope.message


def test_the_first_message_to_a_peer_arrives() -> None:
    async def main() -> object:
        with _endpoint() as sender, _endpoint() as receiver:
            sender.send(receiver.address, _ack("first"))
            return await _first_message(sender, receiver)

    assert trio.run(main) == _ack("first")


def test_a_message_sent_right_after_a_reset_arrives() -> None:
    async def main() -> list[object]:
        with _endpoint() as sender, _endpoint() as receiver:
            sender.send(receiver.address, _ack("first"))
            received = [await _first_message(sender, receiver)]
            sender.reset(receiver.address)
            sender.send(receiver.address, _ack("second"))
            return [*received, await _first_message(sender, receiver)]

    assert trio.run(main) == [_ack("first"), _ack("second")]


# Guards against LOST (issue 48, review/8): a frame over the limit made the
# receiver close the connection, and each later message was as long.
def test_a_message_over_the_limit_is_dropped_and_the_next_arrives() -> None:
    async def main() -> tuple[object, int]:
        with _endpoint() as sender, _endpoint() as receiver:
            sender.send(receiver.address, _ack("first"))
            await _first_message(sender, receiver)
            sender.send(receiver.address, _ack("x" * codec.MAX_FRAME_BYTES))
            sender.send(receiver.address, _ack("next"))
            message = await _first_message(sender, receiver)
            return message, sender.dropped_frames

    assert trio.run(main) == (_ack("next"), 1)


def test_a_peer_that_comes_up_late_gets_no_expired_message() -> None:
    async def keep_sending(
        sender: zmq_transport.ZmqEndpoint, to: types.Address
    ) -> None:
        while True:
            sender.send(to, _ack("fresh"))
            await trio.sleep(0.1)

    async def main() -> object:
        peer_address = _address()
        with _endpoint() as sender:
            sender.send(peer_address, _ack("stale"))
            await trio.sleep(zmq_transport.UNSENT_LIFETIME_S * 1.5)
            with _endpoint(peer_address) as receiver:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(keep_sending, sender, peer_address)
                    received = await _first_message(sender, receiver)
                    nursery.cancel_scope.cancel()
                return received

    assert trio.run(main) == _ack("fresh")
