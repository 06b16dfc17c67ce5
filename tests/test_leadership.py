"""Terms of the scheduler over a store whose answers take long."""

from __future__ import annotations

import trio
import trio.testing

from pimentobridge.core import types
from pimentobridge.daemons import keys
from pimentobridge.daemons import leadership as leadership_lib
from pimentobridge.daemons import store_mirror
from pimentobridge.daemons import trio_clock
from pimentobridge.platform import kv_store
from pimentobridge.testing import platform_store
from pimentobridge.testing import slow_client

ANSWER_S = 0.9
OBSERVED_S = 12.0
SAMPLING_INTERVAL_S = 0.05


class NoDeputies:
    """The absence of other entries."""

    async def find(self) -> types.Address | None:
        return None

    def release(self, deputy: types.Address, lease: int) -> None:
        raise AssertionError


async def _share_of_time_as_leader(answer_s: float) -> float:
    store = platform_store.PlatformStore(trio.current_time)
    client = slow_client.SlowClient(store)
    kv = kv_store.KvStore(client)
    clock = trio_clock.TrioClock(trio_clock.FIXED_ORIGIN)
    mirror = store_mirror.StoreMirror(
        store=kv, prefix=keys.PREFIX, clock=clock, on_change=lambda _: None
    )
    leadership = leadership_lib.Leadership(
        store=kv,
        mirror=mirror,
        key=keys.LEADER,
        address=types.Address("tcp://entry-0:7000"),
        nonce="entry-0-1",
        clock=clock,
        deputies=NoDeputies(),
    )
    samples = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(mirror.run)
        nursery.start_soon(leadership.run)
        while not leadership.is_leader:
            await trio.sleep(SAMPLING_INTERVAL_S)
        client.answer_s = answer_s
        for _ in range(round(OBSERVED_S / SAMPLING_INTERVAL_S)):
            await trio.sleep(SAMPLING_INTERVAL_S)
            samples.append(leadership.is_leader)
        nursery.cancel_scope.cancel()
    return sum(samples) / len(samples)


def _in_virtual_time(answer_s: float) -> float:
    return trio.run(
        _share_of_time_as_leader,
        answer_s,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


# Guards against SHORT (issue 23): jobs waited because the scheduler gave up the
# renewals of its lease before a slow store had answered them.
def test_a_slow_store_doesnt_end_a_term() -> None:
    assert _in_virtual_time(ANSWER_S) == 1.0


# Guards against two schedulers: a lease that no answer confirms must end.
def test_a_silent_store_ends_a_term() -> None:
    share = _in_virtual_time(float("inf"))
    assert share <= leadership_lib.LEASE_S / OBSERVED_S
