"""The entries' knowledge of the data centres that the operator evacuates."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import trio

from pimentobridge.bench import harness
from pimentobridge.core import types
from pimentobridge.daemons import evacuation_watch
from pimentobridge.daemons import mirror_sharing
from pimentobridge.daemons import trio_clock
from pimentobridge.daemons import unreadable
from pimentobridge.platform import http_client
from pimentobridge.platform import kv_store
from pimentobridge.platform import operator_requests
from pimentobridge.testing import platform_store
from pimentobridge.testing import slow_client

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    import pytest

    from pimentobridge.protocol import messages

PREFIX = operator_requests.EVACUATE


class RefusableClient(slow_client.SlowClient):
    """Client of a store that can be made to refuse its calls."""

    refused = False

    async def call(self, method: str, path: str, **fields):  # type: ignore[no-untyped-def]
        if self.refused:
            await trio.sleep(self.answer_s)
            return http_client.Answer(503, {})
        return await super().call(method, path, **fields)


class Entry:
    """What an entry knows of evacuations, with its sharing of that."""

    def __init__(self, site: Site, name: str) -> None:
        self._site = site
        self.address = types.Address(f"tcp://{name}:7000")
        self.client = RefusableClient(site.store)
        clock = trio_clock.TrioClock()
        self.watch = evacuation_watch.EvacuationWatch(
            store=kv_store.KvStore(self.client),
            clock=clock,
            on_change=lambda: None,
        )
        self.sharing = mirror_sharing.MirrorSharing(
            mirrors={PREFIX: self.watch.mirror},
            whole=frozenset({PREFIX}),
            endpoint=self,
            peers=lambda: [e.address for e in site.entries if e is not self],
            clock=clock,
        )

    @property
    def data_centres(self) -> set[str]:
        return set(self.watch.revision_by_data_centre)

    def send(self, receiver: types.Address, message: messages.Message) -> None:
        """Delivers a message of this entry's sharing at once."""
        for entry in self._site.entries:
            if entry.address == receiver:
                handle = (
                    entry.sharing.on_copy
                    if type(message).__name__ == "MirrorCopy"
                    else entry.sharing.on_query
                )
                handle(self.address, message)  # type: ignore[arg-type]

    def reset(self, receiver: types.Address) -> None:
        raise AssertionError


class Site:
    """A store and two entries."""

    def __init__(self) -> None:
        self.store = platform_store.PlatformStore(trio.current_time)
        self.entries: list[Entry] = []
        self.entries += [Entry(self, "entry-0"), Entry(self, "entry-1")]

    def evacuate(self, zone: str, value: bytes = b"{}") -> None:
        self.store.put(PREFIX + zone, base64.b64encode(value).decode())

    def cancel(self, zone: str) -> None:
        self.store.delete(PREFIX + zone)


def _play(script: Callable[[Site], Awaitable[None]]) -> None:
    async def main() -> None:
        site = Site()
        async with trio.open_nursery() as nursery:
            for entry in site.entries:
                nursery.start_soon(entry.watch.run)
                nursery.start_soon(entry.sharing.run)
            await script(site)
            nursery.cancel_scope.cancel()

    harness.run_virtual(main)


# Guards against an evacuation that goes on for ever, or one that is missed,
# as its change was among those that the store has discarded.
def test_changes_that_the_store_has_discarded_are_found() -> None:
    async def script(site: Site) -> None:
        site.evacuate("a")
        site.evacuate("b")
        await trio.sleep(0.5)
        assert site.entries[0].data_centres == {"a", "b"}
        for entry in site.entries:
            entry.client.refused = True
        await trio.sleep(3.0)
        site.cancel("a")
        site.evacuate("c")
        site.store.compact_history()
        assert site.entries[0].data_centres == {"a", "b"}
        for entry in site.entries:
            entry.client.refused = False
        await trio.sleep(3.0)
        assert [e.data_centres for e in site.entries] == [{"b", "c"}] * 2

    _play(script)


# Guards against a refused entry that schedules without an evacuation, or that
# never learns of its end: copies listed no deletions.
def test_a_refused_entry_learns_of_changes_from_the_other_one() -> None:
    async def script(site: Site) -> None:
        refused = site.entries[0]
        refused.client.refused = True
        site.evacuate("a")
        await trio.sleep(2.0)
        with trio.fail_after(0.1):
            await refused.watch.wait_until_read()
        assert refused.data_centres == {"a"}
        site.cancel("a")
        site.evacuate("b")
        await trio.sleep(1.0)
        assert refused.data_centres == {"b"}
        refused.client.refused = False
        await trio.sleep(2.0)
        assert refused.data_centres == {"b"}

    _play(script)


# Guards against evacuations that never fit in one copy and are left out.
def test_a_refused_entry_learns_of_large_requests() -> None:
    async def script(site: Site) -> None:
        site.entries[0].client.refused = True
        for zone in "abc":
            site.evacuate(zone, b"{" + b" " * 40_000 + b"}")
        await trio.sleep(3.0)
        assert site.entries[0].data_centres == {"a", "b", "c"}

    _play(script)


# Guards against an evacuation that an answer from before a copy brings back.
def test_an_answer_older_than_a_copy_brings_nothing_back() -> None:
    async def script(site: Site) -> None:
        await trio.sleep(1.0)
        mirror = site.entries[0].watch.mirror
        site.entries[0].client.answer_s = 0.4
        site.evacuate("a")
        await trio.sleep(0.1)
        site.cancel("a")
        await trio.sleep(0.1)
        mirror.replace([], site.entries[1].watch.mirror.revision)
        await trio.sleep(0.4)
        assert mirror.items_by_key == {}

    _play(script)


def test_odd_requests_are_logged_and_others_stay_in_force(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[str] = []
    monkeypatch.setattr(
        unreadable, "log_skipped", lambda key, _: logged.append(key)
    )

    async def script(site: Site) -> None:
        site.evacuate("a")
        site.evacuate("")
        site.evacuate("z" * 300)
        # While its key exists, nothing may start in the data centre.
        site.evacuate("b", b"\xff")
        await trio.sleep(1.0)
        assert site.entries[0].data_centres == {"a", "b"}
        site.cancel("")
        site.cancel("b")
        await trio.sleep(1.0)
        assert site.entries[0].data_centres == {"a"}

    _play(script)
    assert set(logged) == {PREFIX, PREFIX + "z" * 300, PREFIX + "b"}
