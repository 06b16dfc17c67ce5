"""Which entry schedules: the holder of a leased key in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import result
import trio

from pimentobridge.core import types
from pimentobridge.daemons import logs
from pimentobridge.platform import kv_store

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.daemons import store_mirror

# A dead scheduler's work is taken over after this; outages of the store that
# are shorter leave the scheduler in place.
LEASE_S = 2.0
RENEWALS_PER_LEASE = 5
RENEWAL_TIMEOUT_S = 0.6
ELECTION_POLL_S = 0.1
# A resigned entry leaves a vacant key to the others for this long.
RELUCTANCE_S = 0.5
# Pause before a candidacy per second of round trip to the store, so that the
# entry nearest to the store tends to win.
PAUSE_PER_ROUND_TRIP = 4.0


class Holder(msgspec.Struct, frozen=True):
    """Value of the leader's key.

    Attributes:
        nonce: tells the holder's own write from another's.
    """

    address: types.Address
    nonce: str


class Leadership:
    """Competes for the key and keeps it.

    Args:
        store: the platform's store.
        mirror: copy of the store that includes the key.
        key: the leader's key.
        address: this entry's address.
        nonce: unique to this process.
        clock: monotonic time must count suspended time.
    """

    def __init__(
        self,
        *,
        store: kv_store.KvStore,
        mirror: store_mirror.StoreMirror,
        key: str,
        address: types.Address,
        nonce: str,
        clock: clock_lib.Clock,
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._key = key
        self._address = address
        self._value = msgspec.json.encode(Holder(address, nonce))
        self._clock = clock
        self._lease = 0
        self._valid_until_s = 0.0
        self.token: int | None = None
        self._reluctant = False
        self._left = False
        self._vacant_since_s: float | None = None
        self.changed = trio.Event()

    @property
    def is_leader(self) -> bool:
        """Whether no other entry can hold the key at this moment."""
        return (
            self.token is not None
            and self._clock.monotonic() < self._valid_until_s
        )

    @property
    def holder(self) -> types.Address | None:
        """The scheduler's address, as far as the mirror knows."""
        item = self._mirror.items_by_key.get(self._key)
        if item is None or item.value is None:
            return None
        return _holder_in(item.value).address

    async def run(self) -> None:
        """Competes until cancelled."""
        while True:
            if self.token is not None:
                await self._keep()
            elif not self._left:
                await self._compete()
            await trio.sleep(ELECTION_POLL_S)

    async def resign(self) -> None:
        """Gives the key up, so that another entry takes over at once.

        If none does, this entry takes the key again: a late scheduler is better
        than none while all entries are being restarted.
        """
        self._reluctant = True
        await self._give_up()

    async def leave(self) -> None:
        """Gives the key up for good, before the process ends."""
        self._left = True
        await self._give_up()

    async def _give_up(self) -> None:
        lease, self._lease = self._lease, 0
        self._depose("resigned")
        if lease:
            await self._store.end_lease(lease)

    async def _compete(self) -> None:
        if not self._mirror.loaded or self.holder not in (None, self._address):
            return
        asked_s = self._clock.monotonic()
        found = await self._store.get(self._key)
        if isinstance(found, result.Err):
            return
        item = found.ok_value
        if item is None:
            round_trip_s = self._clock.monotonic() - asked_s
            await trio.sleep(round_trip_s * PAUSE_PER_ROUND_TRIP)
            if self.holder is not None or self._should_hold_back():
                return
            await self._take(kv_store.ABSENT)
        elif item.value is not None and (
            _holder_in(item.value).address == self._address
        ):
            # This process listens at the holder's address, so the holder was
            # an earlier life of it.
            await self._take(item.revision)

    def _should_hold_back(self) -> bool:
        """Whether a resigned entry still leaves the key to the others."""
        if not self._reluctant:
            return False
        now_s = self._clock.monotonic()
        if self._vacant_since_s is None:
            self._vacant_since_s = now_s
        return now_s - self._vacant_since_s < RELUCTANCE_S

    async def _take(self, revision: int) -> None:
        """Writes the key over a revision and begins a term."""
        sent_s = self._clock.monotonic()
        granted = await self._store.grant_lease(LEASE_S)
        if isinstance(granted, result.Err):
            return
        lease, lifetime_s = granted.ok_value
        written = await self._store.transact(
            expected={self._key: revision},
            puts=[kv_store.Put(self._key, self._value, lease)],
        )
        token = await self._token_of(written)
        if token is None or self._left:
            await self._store.end_lease(lease)
            return
        self._lease = lease
        self._valid_until_s = sent_s + lifetime_s
        self._vacant_since_s = None
        self.token = token
        logs.event("scheduling", token=token)
        self._notify()

    async def _token_of(
        self,
        written: result.Result[int | kv_store.Conflict, kv_store.StoreError],
    ) -> int | None:
        if isinstance(written, result.Ok):
            outcome = written.ok_value
            return outcome if isinstance(outcome, int) else None
        # The write may have been carried out without an answer.
        found = await self._store.get(self._key)
        if isinstance(found, result.Ok):
            item = found.ok_value
            if item is not None and item.value == self._value:
                return item.revision
        return None

    async def _keep(self) -> None:
        await trio.sleep(LEASE_S / RENEWALS_PER_LEASE - ELECTION_POLL_S)
        sent_s = self._clock.monotonic()
        renewed = await self._store.renew_lease(
            self._lease, timeout_s=RENEWAL_TIMEOUT_S
        )
        if self.token is None:
            return
        if isinstance(renewed, result.Ok):
            self._valid_until_s = max(self._valid_until_s, sent_s + LEASE_S)
        elif renewed.err_value is kv_store.StoreError.LEASE_ENDED:
            self._depose("lease ended")

    def depose(self, why: str) -> None:
        """Stops scheduling because another entry holds the key."""
        self._depose(why)

    def _depose(self, why: str) -> None:
        if self.token is not None:
            logs.event("no longer scheduling", token=self.token, why=why)
            self.token = None
            self._valid_until_s = 0.0
            self._notify()

    def _notify(self) -> None:
        changed, self.changed = self.changed, trio.Event()
        changed.set()


def _holder_in(value: bytes) -> Holder:
    return msgspec.json.decode(value, type=Holder)
