"""Reassembly of answers that are transferred in chunks."""

from __future__ import annotations

import xxhash

CHUNK_BYTES = 32 * 1024


def digest_of(body: bytes) -> bytes:
    """Returns the digest used to verify a reassembled body."""
    return xxhash.xxh3_128_digest(body)


class Assembly:
    """Partly received body, returned only once its digest matches.

    Args:
        length: length of the body in bytes.
        digest: expected digest of the body.
    """

    def __init__(self, *, length: int, digest: bytes) -> None:
        self._length = length
        self._digest = digest
        self._data_by_offset: dict[int, bytes] = {}

    def add(self, offset: int, data: bytes) -> None:
        """Stores one chunk; adding the same chunk again has no effect."""
        if data and offset + len(data) <= self._length:
            self._data_by_offset[offset] = data

    def missing(self) -> list[tuple[int, int]]:
        """Returns the offset and length of each missing chunk."""
        gaps = []
        position = 0
        while position < self._length:
            chunk = self._data_by_offset.get(position)
            if chunk is not None:
                position += len(chunk)
                continue
            length = min(CHUNK_BYTES, self._length - position)
            gaps.append((position, length))
            position += length
        return gaps

    def body(self) -> bytes | None:
        """Returns the body, or None while it is incomplete.

        All chunks are dropped if the digest doesn't match.
        """
        if self.missing():
            return None
        body = b"".join(
            self._data_by_offset[offset]
            for offset in sorted(self._data_by_offset)
        )
        if len(body) != self._length or digest_of(body) != self._digest:
            self._data_by_offset.clear()
            return None
        return body
