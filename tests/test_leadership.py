"""Terms of the scheduler over a store whose answers take long."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING
from typing import Any

import trio
import trio.testing

from pimentobridge.core import types
from pimentobridge.daemons import keys
from pimentobridge.daemons import leadership as leadership_lib
from pimentobridge.daemons import store_mirror
from pimentobridge.daemons import trio_clock
from pimentobridge.platform import http_client
from pimentobridge.platform import kv_store
from pimentobridge.testing import platform_store
from pimentobridge.testing import slow_client

if TYPE_CHECKING:
    from collections.abc import Callable

ANSWER_S = 0.9
OBSERVED_S = 12.0
SAMPLING_INTERVAL_S = 0.05


class NoDeputies:
    """The absence of other entries."""

    async def find(self) -> types.Address | None:
        return None

    def release(self, deputy: types.Address, lease: int) -> None:
        raise AssertionError


def _new_leadership(
    kv: kv_store.KvStore,
) -> tuple[store_mirror.StoreMirror, leadership_lib.Leadership]:
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
    return mirror, leadership


async def _share_of_time_as_leader(answer_s: float) -> float:
    store = platform_store.PlatformStore(trio.current_time)
    client = slow_client.SlowClient(store)
    mirror, leadership = _new_leadership(kv_store.KvStore(client))
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


def _run(function: Callable[..., Any], *args: object) -> Any:
    """Runs an asynchronous function in virtual time."""
    return trio.run(
        function, *args, clock=trio.testing.MockClock(autojump_threshold=0)
    )


# Guards against SHORT (issue 23): jobs waited because the scheduler gave up the
# renewals of its lease before a slow store had answered them.
def test_a_slow_store_doesnt_end_a_term() -> None:
    assert _run(_share_of_time_as_leader, ANSWER_S) == 1.0


# Guards against two schedulers: a lease that no answer confirms must end.
def test_a_silent_store_ends_a_term() -> None:
    share = _run(_share_of_time_as_leader, float("inf"))
    assert share <= leadership_lib.LEASE_S / OBSERVED_S


async def _tokens_around_a_replaced_key(value: bytes) -> list[int | None]:
    """Returns the tokens before, just after and long after a replacement."""
    store = platform_store.PlatformStore(trio.current_time)
    mirror, leadership = _new_leadership(
        kv_store.KvStore(slow_client.SlowClient(store))
    )
    tokens = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(mirror.run)
        nursery.start_soon(leadership.run)
        await trio.sleep(OBSERVED_S)
        tokens.append(leadership.token)
        store.put(keys.LEADER, base64.b64encode(value).decode())
        await trio.sleep(leadership_lib.LEASE_S / 2)
        tokens.append(leadership.token)
        await trio.sleep(OBSERVED_S)
        tokens.append(leadership.token)
        nursery.cancel_scope.cancel()
    return tokens


# Guards against two schedulers: one whose key another process had written went
# on until its next write.
def test_a_term_ends_when_another_process_has_the_key() -> None:
    other = b'{"address": "tcp://entry-1:7000", "nonce": "entry-1-1"}'
    before, after, _ = _run(_tokens_around_a_replaced_key, other)
    assert before is not None
    assert after is None


def test_a_key_with_an_unreadable_value_is_taken_with_a_higher_token() -> None:
    before, _, later = _run(_tokens_around_a_replaced_key, b"odd")
    assert before is not None
    assert later is not None
    assert later > before


class LateFirstWriteClient(slow_client.SlowClient):
    """Client whose first write is carried out just before its second one.

    Neither write is answered, and the first lease can't be ended in between.
    """

    def __init__(self, store: platform_store.PlatformStore) -> None:
        super().__init__(store)
        self._first_write: object | None = None
        self._writes = 0

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: object | None = None,
        headers: dict[str, str] | None = None,
    ) -> http_client.Answer | http_client.Failure:
        """Makes a call, or leaves it without an answer."""
        is_write = path == "/v1/kv-txn"
        self._writes += is_write
        ends_lease = method == "DELETE" and self._writes == 1
        if ends_lease or (is_write and self._writes == 1):
            self._first_write = self._first_write or body
            await trio.sleep(timeout_s)
            return http_client.Failure.TIMED_OUT
        if is_write and self._writes == 2:
            await self._store.handle(method, path, self._first_write)
            await self._store.handle(method, path, body)
            await trio.sleep(self.answer_s)
            return http_client.Failure.NO_ANSWER
        return await super().call(
            method, path, timeout_s=timeout_s, body=body, headers=headers
        )


async def _times_as_leader_without_key() -> list[float]:
    """Returns when an entry counts itself as the leader but has no key."""
    store = platform_store.PlatformStore(trio.current_time)
    mirror, leadership = _new_leadership(
        kv_store.KvStore(LateFirstWriteClient(store))
    )
    times_s, was_leader = [], False
    async with trio.open_nursery() as nursery:
        nursery.start_soon(mirror.run)
        nursery.start_soon(leadership.run)
        for _ in range(round(OBSERVED_S / SAMPLING_INTERVAL_S)):
            await trio.sleep(SAMPLING_INTERVAL_S)
            store.expire_leases()
            was_leader |= leadership.is_leader
            if leadership.is_leader and keys.LEADER not in store.keys:
                times_s.append(trio.current_time())
        nursery.cancel_scope.cancel()
    assert was_leader
    return times_s


# Guards against two schedulers (issue 38): the key was found as an earlier
# attempt had written it, under a lease that nobody renews.
def test_a_key_under_the_lease_of_an_earlier_attempt_begins_no_term() -> None:
    assert _run(_times_as_leader_without_key) == []
