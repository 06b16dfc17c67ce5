"""Rendezvous hashing: nodes compute the same owners without coordination."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

K = TypeVar("K", bound=str)


def score(key: str, candidate: str) -> int:
    """Returns the weight of `candidate` for `key`."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def ranked(key: str, candidates: Iterable[K]) -> list[K]:
    """Returns the candidates by descending weight, the owner of `key` first."""
    return sorted(candidates, key=lambda name: (-score(key, name), name))


def owner(key: str, candidates: Iterable[K]) -> K | None:
    """Returns the owner of `key`, or None if there are no candidates."""
    return max(
        candidates, key=lambda name: (score(key, name), name), default=None
    )
