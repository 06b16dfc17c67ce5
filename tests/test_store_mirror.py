"""The entries' copy of the store's items."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result
import trio

from pimentobridge.bench import harness
from pimentobridge.core import clock as clock_lib
from pimentobridge.core import types
from pimentobridge.daemons import keys
from pimentobridge.daemons import mirror_sharing
from pimentobridge.daemons import store_mirror
from pimentobridge.daemons import trio_clock
from pimentobridge.platform import kv_store
from pimentobridge.protocol import control
from pimentobridge.testing import platform_store
from pimentobridge.testing import slow_client

if TYPE_CHECKING:
    from pimentobridge.protocol import messages

CALL_S = 0.007
# Share of a caller's three seconds that an entry may need to notice that the
# store is back.
MAX_DELAY_S = 0.3


class SilentStore(kv_store.KvStore):
    """A store that lets calls wait in vain until it is back.

    Args:
        back_s: time at which it is back.
    """

    def __init__(self, back_s: float) -> None:
        self._back_s = back_s

    async def page(
        self, prefix: str, *, after: str = ""
    ) -> result.Result[kv_store.Page, kv_store.StoreError]:
        del prefix, after
        await trio.sleep(CALL_S)
        return result.Ok(kv_store.Page([], 1))

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> result.Result[kv_store.Page, kv_store.StoreError]:
        del prefix, after_revision
        if trio.current_time() < self._back_s:
            await trio.sleep(kv_store.WATCH_TIMEOUT_MARGIN_S)
            return result.Err(kv_store.StoreError.UNKNOWN)
        await trio.sleep(CALL_S)
        return result.Ok(kv_store.Page([], 1))

    async def get(
        self, key: str
    ) -> result.Result[kv_store.Item | None, kv_store.StoreError]:
        del key
        if trio.current_time() < self._back_s:
            await trio.sleep(kv_store.READ_TIMEOUT_S)
            return result.Err(kv_store.StoreError.UNKNOWN)
        await trio.sleep(CALL_S)
        return result.Ok(None)


async def _noticed_after_s(outage_s: float) -> float:
    back_s = trio.current_time() + outage_s
    mirror = store_mirror.StoreMirror(
        store=SilentStore(back_s),
        prefix="items/",
        clock=trio_clock.TrioClock(),
        on_change=lambda _: None,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(mirror.run)
        await trio.sleep(outage_s)
        assert not mirror.reachable
        while not mirror.reachable:
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    return trio.current_time() - back_s


# Guards against SHORT (issue 23): an entry whose last call was sent just before
# the store's return noticed it 0.7 s later, after callers' last tries.
def test_the_return_of_a_silent_store_is_noticed_at_once() -> None:
    for step in range(20):
        delay_s = harness.run_virtual(
            _noticed_after_s, 2.0 + 0.05 * step, seed=1
        )
        assert delay_s <= MAX_DELAY_S


class NoPeers:
    """The absence of other entries."""

    def send(self, receiver: types.Address, message: messages.Message) -> None:
        raise AssertionError

    def reset(self, receiver: types.Address) -> None:
        raise AssertionError


async def _keys_after_late_copy(*, deleted: bool) -> list[str]:
    """Returns the mirrored keys after a copy from before a deletion."""
    store = platform_store.PlatformStore(trio.current_time)
    client = kv_store.KvStore(slow_client.SlowClient(store))
    clock = trio_clock.TrioClock()
    mirror = store_mirror.StoreMirror(
        store=client,
        prefix=keys.PREFIX,
        clock=clock,
        on_change=lambda _: None,
    )
    sharing = mirror_sharing.MirrorSharing(
        mirrors={keys.PREFIX: mirror},
        endpoint=NoPeers(),
        peers=list,
        clock=clock,
    )
    job = keys.job(types.JobId("a" * 16))
    revision = store.put(job, "")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(mirror.run)
        await trio.sleep(1.0)
        if deleted:
            await client.transact(expected={}, puts=[], deletes=[job])
        await trio.sleep(1.0)
        copied = control.MirroredItem(job, b"", revision)
        sharing.on_copy(
            types.Address("tcp://entry-1:7000"),
            control.MirrorCopy(
                keys.PREFIX, current=True, revision=revision, items=(copied,)
            ),
        )
        nursery.cancel_scope.cancel()
    return list(mirror.items_by_key)


# Guards against TWICE (issue 38): a late copy brought a deleted job back, at
# times without its progress. The next scheduler here would start it again.
def test_a_late_copy_brings_no_deleted_item_back() -> None:
    found = harness.run_virtual(lambda: _keys_after_late_copy(deleted=True))
    assert found == []
    found = harness.run_virtual(lambda: _keys_after_late_copy(deleted=False))
    assert len(found) == 1


def test_the_bytes_of_the_values_are_those_of_the_items_that_exist() -> None:
    mirror = store_mirror.StoreMirror(
        store=SilentStore(0.0),
        prefix="items/",
        clock=clock_lib.ManualClock(),
        on_change=lambda _: None,
    )
    for revision, (key, value) in enumerate(
        [("a", b"12345"), ("b", b"123"), ("a", b"12"), ("b", None)], start=1
    ):
        mirror.offer(kv_store.Item(key, value, revision))
    mirror.offer(kv_store.Item("a", b"old and long", 1))
    assert mirror.value_bytes == 2
