"""Ends a scheduler's lease through another entry, which the store answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pimentobridge.daemons import keys
from pimentobridge.protocol import control

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import types
    from pimentobridge.platform import kv_store
    from pimentobridge.protocol import transport

# Limit on the entries that are asked, and on the wait for the first of them.
MAX_PEERS = 3
ANSWER_TIMEOUT_S = 0.4


class Handover:
    """Finds an entry that reaches the store, and has it end a lease.

    Args:
        endpoint: transport to the other entries.
        store: the platform's store.
        peers: returns the other entries, in the order of preference.
    """

    def __init__(
        self,
        *,
        endpoint: transport.Outbox,
        store: kv_store.KvStore,
        peers: Callable[[], list[types.Address]],
    ) -> None:
        self._endpoint = endpoint
        self._store = store
        self._peers = peers
        self._found: types.Address | None = None
        self._answered = trio.Event()

    async def find(self) -> types.Address | None:
        """Returns the first entry that the store has just answered.

        A store that is away for everybody answers none of them.
        """
        self._found = None
        self._answered = trio.Event()
        for peer in self._peers()[:MAX_PEERS]:
            self._endpoint.send(peer, control.StoreProbe())
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            await self._answered.wait()
        return self._found

    def release(self, deputy: types.Address, lease: int) -> None:
        """Asks an entry to end a lease; without that, it expires."""
        self._endpoint.send(deputy, control.LeaseRelease(lease))

    async def on_probe(self, sender: types.Address) -> None:
        """Calls the store, and answers if that succeeds."""
        if (await self._store.get(keys.LEADER)).is_ok():
            self._endpoint.send(sender, control.StoreProbed())

    def on_probed(self, sender: types.Address) -> None:
        """Notes an entry that the store answers."""
        if self._found is None:
            self._found = sender
            self._answered.set()
