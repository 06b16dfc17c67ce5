"""The entries' copy of the store's items."""

from __future__ import annotations

import result
import trio

from pimentobridge.bench import harness
from pimentobridge.daemons import store_mirror
from pimentobridge.daemons import trio_clock
from pimentobridge.platform import kv_store

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
