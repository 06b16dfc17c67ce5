"""A machine's network link in virtual time."""

from __future__ import annotations

import trio


class Link:
    """One direction of a link, on which bytes leave in the order of arrival.

    Bytes that nobody waits for any more still take their time.

    Args:
        bytes_per_s: bandwidth.

    Attributes:
        carried_bytes: bytes that were put on the link so far.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_s = float("-inf")
        self.carried_bytes = 0

    def reserve(self, size: int, *, from_s: float | None = None) -> float:
        """Puts bytes on the link; returns when the last of them has left.

        Args:
            size: number of bytes.
            from_s: time before which they can't leave; None for now.
        """
        start_s = trio.current_time() if from_s is None else from_s
        self._free_s = max(self._free_s, start_s) + size / self._bytes_per_s
        self.carried_bytes += size
        return self._free_s
