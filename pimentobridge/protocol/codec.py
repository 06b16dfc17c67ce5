"""Encoding of messages as MessagePack, in frames with a protocol version."""

from __future__ import annotations

import functools
from typing import Any
from typing import Union

import msgspec

from pimentobridge.core import types
from pimentobridge.protocol import cluster  # noqa: F401  registers messages
from pimentobridge.protocol import control  # noqa: F401  registers messages
from pimentobridge.protocol import documents  # noqa: F401  registers messages
from pimentobridge.protocol import gangs  # noqa: F401  registers messages
from pimentobridge.protocol import jobs  # noqa: F401  registers messages
from pimentobridge.protocol import messages

PROTOCOL_VERSION = 1
# A receiver closes the connection on which a longer frame arrives.
MAX_FRAME_BYTES = 4 * 1024 * 1024


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Unit of transmission: protocol version, sender and encoded message."""

    version: int
    sender: types.Address
    message: msgspec.Raw


class DecodeError(Exception):
    """A frame is of another protocol version or malformed.

    The transport counts such frames and drops them.
    """


def _subclasses_of(base: type[Any]) -> list[type[Any]]:
    """Returns the direct and indirect subclasses of a class."""
    subclasses: list[type[Any]] = []
    children: list[type[Any]] = base.__subclasses__()
    for child in children:
        subclasses.append(child)
        subclasses.extend(_subclasses_of(child))
    return subclasses


_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(Frame)


@functools.cache
def _message_decoder() -> msgspec.msgpack.Decoder[Any]:
    union: Any = Union[tuple(_subclasses_of(messages.Message))]  # noqa: UP007
    return msgspec.msgpack.Decoder(union)


def encode(sender: types.Address, message: messages.Message) -> bytes:
    """Returns an encoded frame with `message`."""
    body = msgspec.Raw(_encoder.encode(message))
    return _encoder.encode(Frame(PROTOCOL_VERSION, sender, body))


def decode(data: bytes) -> tuple[types.Address, messages.Message]:
    """Returns the sender and message of an encoded frame.

    Raises:
        DecodeError: the frame is of another protocol version or malformed.
    """
    try:
        frame = _frame_decoder.decode(data)
        if frame.version != PROTOCOL_VERSION:
            raise DecodeError(
                f"received protocol version {frame.version}; expected"
                f" {PROTOCOL_VERSION}. Upgrade the older of the two nodes."
            )
        return frame.sender, _message_decoder().decode(frame.message)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DecodeError(f"received a malformed frame: {error}.") from error
