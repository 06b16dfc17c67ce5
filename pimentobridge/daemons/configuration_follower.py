"""Keeps an entry at the operator's newest configuration."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import trio

from pimentobridge.core import rendezvous
from pimentobridge.daemons import document as document_lib
from pimentobridge.daemons import document_client
from pimentobridge.daemons import document_server
from pimentobridge.daemons import keys
from pimentobridge.platform import operator_configuration

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.platform import boot_settings
    from pimentobridge.platform import kv_store
    from pimentobridge.protocol import transport

# The store sends a document in full for each version: 1.4 MB at its limit on a
# value. Entries on slower links than this get it compressed from agents.
MIN_DIRECT_LINK_MBPS = 100.0
# The other way is taken too when the first one hasn't shown for this time that
# the entry has the newest version.
FALLBACK_AFTER_S = 2.5


class ConfigurationFollower:
    """Follows the configuration through the store and through other processes.

    Args:
        settings: this process's settings.
        endpoint: transport to the other processes.
        store: the platform's store.
        clock: source of time.
        items_by_key: returns the items of this system in the store.
        on_version: called with each newer configuration document.

    Attributes:
        document: this entry's copy of the configuration document.
        client: gets versions from other processes.
        server: passes versions on to other entries.
    """

    def __init__(
        self,
        *,
        settings: boot_settings.ProcessSettings,
        endpoint: transport.Endpoint,
        store: kv_store.KvStore,
        clock: clock_lib.Clock,
        items_by_key: Callable[[], Mapping[str, kv_store.Item]],
        on_version: Callable[[kv_store.Item], None],
    ) -> None:
        self._region = settings.region
        self._address = endpoint.address
        self._items_by_key = items_by_key
        self._has_fast_link = settings.link_mbps >= MIN_DIRECT_LINK_MBPS
        self.document = document_lib.Document(
            key=operator_configuration.KEY, clock=clock, on_version=on_version
        )
        self.client = document_client.DocumentClient(
            document=self.document,
            endpoint=endpoint,
            sources=self._sources,
            clock=clock,
            wanted=lambda: not self._has_fast_link or self._out_of_date,
        )
        self._reader = document_lib.StoreReader(
            document=self.document,
            store=store,
            clock=clock,
            wanted=lambda: self._has_fast_link or self._needs_store,
        )
        self.server = document_server.DocumentServer(
            document=self.document, endpoint=endpoint, clock=clock
        )

    async def run(self) -> None:
        """Follows the configuration until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._reader.run)
            nursery.start_soon(self.client.run)
            nursery.start_soon(self.server.run)

    @property
    def _out_of_date(self) -> bool:
        return self.document.age_s > FALLBACK_AFTER_S

    @property
    def _needs_store(self) -> bool:
        # On a slow link a read from the store would hold up the parts.
        return self._out_of_date and not self.client.receiving

    def _sources(self) -> list[types.Address]:
        """Returns the processes to ask, in the order of preference.

        Every third one is an agent of another region, as all of this region may
        lack the store. Entries, which pass on what others gave them, come last.
        """
        near: list[types.Address] = []
        far: list[types.Address] = []
        entries: list[types.Address] = []
        for key, item in self._items_by_key().items():
            if key.startswith(keys.AGENTS):
                is_near = item.value == keys.agent_value(self._region)
                (near if is_near else far).extend(
                    keys.addresses_in([key], keys.AGENTS)
                )
            elif key.startswith(keys.ENTRIES):
                entries.extend(keys.addresses_in([key], keys.ENTRIES))
        return self._in_turns(near, far, entries)

    def _in_turns(
        self,
        near: list[types.Address],
        far: list[types.Address],
        entries: list[types.Address],
    ) -> list[types.Address]:
        # All entries of a region rank alike, so that few agents read the
        # document.
        topic = f"{self.document.key}/{self._region}"
        near = rendezvous.ranked(topic, near)
        far = rendezvous.ranked(topic, far)
        others = [entry for entry in entries if entry != self._address]
        turns = itertools.zip_longest(near[::2], near[1::2], far)
        agents = [agent for turn in turns for agent in turn if agent]
        return [*agents, *rendezvous.ranked(topic, others)]
