"""Encoding of messages: MessagePack with a version in front."""

from __future__ import annotations

import functools
from typing import Any
from typing import Union

import msgspec

from pimentobridge.core import types
from pimentobridge.protocol import cluster  # noqa: F401  registers messages
from pimentobridge.protocol import control  # noqa: F401  registers messages
from pimentobridge.protocol import gangs  # noqa: F401  registers messages
from pimentobridge.protocol import jobs  # noqa: F401  registers messages
from pimentobridge.protocol import messages

PROTOCOL_VERSION = 1


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """What travels: the protocol's version, the sender and the message."""

    version: int
    sender: types.Address
    message: msgspec.Raw


class DecodeError(Exception):
    """A frame that this version can't read; it is counted and dropped."""


def _leaves(base: type[Any]) -> list[type[Any]]:
    found: list[type[Any]] = []
    children: list[type[Any]] = base.__subclasses__()
    for child in children:
        found.append(child)
        found.extend(_leaves(child))
    return found


_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(Frame)


@functools.cache
def _message_decoder() -> msgspec.msgpack.Decoder[Any]:
    union: Any = Union[tuple(_leaves(messages.Message))]  # noqa: UP007
    return msgspec.msgpack.Decoder(union)


def encode(sender: types.Address, message: messages.Message) -> bytes:
    """Returns the frame that carries `message`."""
    body = msgspec.Raw(_encoder.encode(message))
    return _encoder.encode(Frame(PROTOCOL_VERSION, sender, body))


def decode(data: bytes) -> tuple[types.Address, messages.Message]:
    """Returns the sender and message of a frame.

    Raises:
        DecodeError: the frame is of another version or isn't well formed.
    """
    try:
        frame = _frame_decoder.decode(data)
        if frame.version != PROTOCOL_VERSION:
            raise DecodeError(
                f"received protocol version {frame.version}; expected"
                f" {PROTOCOL_VERSION}. Upgrade the sender."
            )
        return frame.sender, _message_decoder().decode(frame.message)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DecodeError(f"received a malformed frame: {error}.") from error
