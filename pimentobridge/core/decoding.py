"""Decoding of data that other programs have written."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import Annotated
from typing import TypeVar

import msgspec

if TYPE_CHECKING:
    from typing import Protocol

    T_co = TypeVar("T_co", covariant=True)

    class Decoder(Protocol[T_co]):
        """A decoder of JSON or MessagePack into one type."""

        def decode(self, data: bytes, /) -> T_co:
            """Returns the decoded value."""


T = TypeVar("T")

# Largest integer that JSON readers agree on, and that every encoder accepts.
MAX_INTEGER = 2**53
# Limit on the text that an error quotes from a decoder's message.
MAX_REASON_LENGTH = 200
DIGEST_LENGTH = 12  # hexadecimal digits

# Amounts, counts and times in external data. Values beyond the limit could be
# decoded, but neither encoded again nor converted.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Number = Annotated[float, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]


class MalformedError(Exception):
    """External data that can't be decoded or has impossible values.

    Attributes:
        reason: what is wrong, in at most `MAX_REASON_LENGTH` characters.
        size: length of the data, in bytes.
        digest: start of the SHA-256 digest of the data.
    """

    def __init__(self, reason: str, data: bytes) -> None:
        self.reason = reason[:MAX_REASON_LENGTH]
        self.size = len(data)
        self.digest = hashlib.sha256(data).hexdigest()[:DIGEST_LENGTH]
        super().__init__(
            f"received {self.size} bytes (digest {self.digest}) that can't be"
            f" read: {self.reason}"
        )


def decode(decoder: Decoder[T], data: bytes) -> T:
    """Returns the value that `data` encodes.

    Raises:
        MalformedError: the data is malformed, too deeply nested, or has values
            of the wrong type or out of range.
    """
    try:
        return decoder.decode(data)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
        OverflowError,
    ) as error:
        raise MalformedError(str(error), data) from error


def integer(value: object) -> int:
    """Returns an untyped decoded value that must be an integer.

    Raises:
        ValueError: the value is no integer, or out of range.
    """
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"expected an integer, received {value!r:.40}")
    if abs(value) > MAX_INTEGER:
        raise ValueError("received an integer that is out of range")
    return value


def number(value: object) -> float:
    """Returns an untyped decoded value that must be a finite number.

    Raises:
        ValueError: the value is no number, or out of range.
    """
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"expected a number, received {value!r:.40}")
    if not abs(value) <= MAX_INTEGER:
        raise ValueError("received a number that is out of range")
    return float(value)
