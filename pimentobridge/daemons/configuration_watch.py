"""Watches the store for newer configurations, in a few entries per region."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import result
import trio

from pimentobridge.core import configuration
from pimentobridge.core import rendezvous

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from pimentobridge.core import types
    from pimentobridge.platform import store as store_lib

KEY = "configuration/current"
WATCH_TIMEOUT_S = 30.0
MIN_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 4.0
ROLE_CHECK_INTERVAL_S = 1.0
WATCHERS_PER_REGION = 2


def encode(proposal: configuration.Proposal) -> bytes:
    """Returns the stored form of a proposal."""
    return msgspec.msgpack.encode(proposal)


def decode(value: bytes) -> configuration.Proposal | None:
    """Returns the proposal in a value, or None if it can't be read."""
    try:
        return msgspec.msgpack.decode(value, type=configuration.Proposal)
    except msgspec.MsgspecError:
        return None


class ConfigurationWatch:
    """Watches the store while this entry is one of its region's watchers.

    Rendezvous hashing over the region's entries selects the watchers.

    Args:
        store: the platform's store.
        rng: source of the jitter.
        address: this entry's address.
        region: this entry's region.
        candidates: returns the live entries of the region.
        on_proposal: called with each newer proposal.

    Attributes:
        failures: number of failed calls to the store.
    """

    def __init__(
        self,
        *,
        store: store_lib.Store,
        rng: random.Random,
        address: types.Address,
        region: types.RegionName,
        candidates: Callable[[], list[types.Address]],
        on_proposal: Callable[[configuration.Proposal], None],
    ) -> None:
        self._store = store
        self._rng = rng
        self._address = address
        self._region = region
        self._candidates = candidates
        self._on_proposal = on_proposal
        self._revision = 0
        self.failures = 0

    async def run(self) -> None:
        """Watches until cancelled, with backoff after failed calls.

        An unreachable store only delays newer configurations.
        """
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            if not self._is_watcher():
                await trio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            if await self._watch_once():
                retry_delay_s = MIN_RETRY_DELAY_S
                continue
            self.failures += 1
            # Jitter keeps the watchers from calling all at once after an
            # outage of the store.
            await trio.sleep(retry_delay_s * (0.5 + self._rng.random()))
            retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)

    def _is_watcher(self) -> bool:
        ranked = rendezvous.ranked(
            f"configuration/{self._region}", self._candidates()
        )
        return self._address in ranked[:WATCHERS_PER_REGION]

    async def _watch_once(self) -> bool:
        entry_result = await self._store.watch(
            KEY, after_revision=self._revision, timeout_s=WATCH_TIMEOUT_S
        )
        if isinstance(entry_result, result.Err):
            return False
        entry = entry_result.ok_value
        if entry is not None:
            self._revision = entry.revision
            proposal = decode(entry.value)
            if proposal is not None:
                self._on_proposal(proposal)
        return True
