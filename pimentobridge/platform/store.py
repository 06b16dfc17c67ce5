"""Interface to the platform's key-value store for calls on single keys."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import Protocol

import msgspec

if TYPE_CHECKING:
    import result

MAX_VALUE_BYTES = 1_000_000


class StoreError(enum.Enum):
    """Why a call to the store gave no result.

    `CONFLICT`: the key doesn't have the expected revision. `TOO_LARGE`: the
    value is longer than `MAX_VALUE_BYTES`.
    """

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    TOO_LARGE = "too-large"


class Entry(msgspec.Struct, frozen=True):
    """A key with its value and the revision of its last write.

    Attributes:
        revision: the store's revision, which grows with each write; 0 is never
            used.
    """

    key: str
    value: bytes
    revision: int


class Store(Protocol):
    """Single-key calls; each one counts against the platform's rate limits."""

    async def get(self, key: str) -> result.Result[Entry | None, StoreError]:
        """Returns the entry at `key`, or None if there is none."""

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_s: float | None = None,
    ) -> result.Result[Entry, StoreError]:
        """Writes `value` if the key still has the expected revision.

        Args:
            key: key to write.
            value: new value, of at most `MAX_VALUE_BYTES`.
            expected_revision: revision that the key must have; 0 if it must
                not exist.
            lease_s: seconds after which the platform deletes the entry; None
                to keep it.

        Returns:
            The new entry, or the error. After `UNAVAILABLE` the write may or
            may not have taken effect.
        """

    async def watch(
        self, key: str, *, after_revision: int, timeout_s: float
    ) -> result.Result[Entry | None, StoreError]:
        """Returns the entry once it is newer, or None after the timeout."""
