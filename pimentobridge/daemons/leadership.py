"""Elects the entry that schedules, by a leased key in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import msgspec
import result
import trio

from pimentobridge.core import decoding
from pimentobridge.core import types
from pimentobridge.daemons import logs
from pimentobridge.daemons import unreadable
from pimentobridge.platform import kv_store
from pimentobridge.protocol import addresses

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.daemons import store_mirror

# Another entry takes over this long after a scheduler has died. A shorter
# outage of the store doesn't change the scheduler.
LEASE_S = 2.0
RENEWALS_PER_LEASE = 5
ELECTION_POLL_S = 0.1
# A scheduler whose renewals have failed for this time hands over to another
# entry, if one reaches the store. Each is answered at once or not at all then.
HANDOVER_AFTER_S = 0.6
# An entry that has resigned waits this long before it acquires a vacant key, so
# that another entry can.
RESIGNED_DELAY_S = 0.5
# Delay before an attempt to acquire a vacant key, in round trips to the store,
# so that the entry nearest to the store tends to win.
ELECTION_DELAY_ROUND_TRIPS = 4.0


class Holder(msgspec.Struct, frozen=True):
    """Value of the leader's key.

    Attributes:
        address: the holder's address.
        nonce: identifies the process that wrote the value.
    """

    address: types.Address
    nonce: str


class Deputies(Protocol):
    """Other entries, which may reach the store when this one doesn't."""

    async def find(self) -> types.Address | None:
        """Returns an entry that the store answers; None if none is found."""

    def release(self, deputy: types.Address, lease: int) -> None:
        """Has an entry end a lease of this entry's; it may not come to that."""


class Leadership:
    """Acquires the leader's key and renews its lease.

    A term lasts from the acquisition of the key until it is lost or released.
    The revision of the write that acquired the key is the term's fencing token.

    Args:
        store: the platform's store.
        mirror: local copy of the store's items, including the key.
        key: the leader's key.
        address: this entry's address.
        nonce: unique to this process.
        clock: source of time; its monotonic time must include time in which
            the machine was suspended.
        deputies: the entries that may end the lease in this one's place.
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
        deputies: Deputies,
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._key = key
        self._address = address
        self._value = msgspec.json.encode(Holder(address, nonce))
        self._clock = clock
        self._deputies = deputies
        self._seeks_deputy = False
        self._lease = 0
        self._renewed_s = 0.0
        self._valid_until_s = 0.0
        self.token: int | None = None
        self._resigned = False
        self._withdrawn = False
        self._vacant_since_s: float | None = None
        self.changed = trio.Event()

    @property
    def is_leader(self) -> bool:
        """Whether this entry holds the key and its lease is still valid.

        No other entry can hold the key while this is true.
        """
        return (
            self.token is not None
            and self._clock.monotonic() < self._valid_until_s
        )

    @property
    def holder(self) -> types.Address | None:
        """The scheduler's address in the mirror; None if there is none."""
        item = self._mirror.items_by_key.get(self._key)
        if item is None or item.value is None:
            return None
        holder = _read_holder(item)
        return holder.address if holder is not None else None

    async def run(self) -> None:
        """Takes part in elections and renews the lease until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if self.token is not None:
                    await trio.sleep(LEASE_S / RENEWALS_PER_LEASE)
                    self._end_term_if_replaced()
                    if self.token is not None:
                        # The last renewal may not be answered yet.
                        nursery.start_soon(self._renew, self._lease)
                    continue
                if not self._withdrawn:
                    await self._try_election()
                await trio.sleep(ELECTION_POLL_S)

    def _end_term_if_replaced(self) -> None:
        """Ends the term if another process has written the key since."""
        item = self._mirror.items_by_key.get(self._key)
        if self.token is None or item is None or item.revision <= self.token:
            return
        lease, self._lease = self._lease, 0
        self._end_term(f"the key was replaced at revision {item.revision}")
        logs.event("lease abandoned", lease=lease)

    async def resign(self) -> None:
        """Releases the key, so that another entry takes over at once.

        If none does, this entry acquires the key again after a delay, so that
        there is a scheduler while all entries are being restarted.
        """
        self._resigned = True
        await self._release()

    async def withdraw(self) -> None:
        """Releases the key for good, before the process ends."""
        self._withdrawn = True
        await self._release()

    async def _release(self) -> None:
        lease, self._lease = self._lease, 0
        self._end_term("resigned")
        if lease:
            await self._store.revoke_lease(lease)

    async def _try_election(self) -> None:
        if not self._mirror.loaded or self.holder not in (None, self._address):
            return
        requested_s = self._clock.monotonic()
        response = await self._store.get(self._key)
        if isinstance(response, result.Err):
            return
        item = response.ok_value
        if item is None:
            round_trip_s = self._clock.monotonic() - requested_s
            await trio.sleep(round_trip_s * ELECTION_DELAY_ROUND_TRIPS)
            if self.holder is not None or self._must_defer():
                return
            await self._acquire(kv_store.ABSENT)
        elif item.value is not None and self._may_replace(item):
            await self._acquire(item.revision)

    def _may_replace(self, item: kv_store.Item) -> bool:
        """Returns whether the key's value is of no process that still runs.

        A process that listens at this address was an earlier incarnation of
        this one. A value that can't be read is of another writer, who has taken
        the key from its holder; no lease would ever remove it.
        """
        holder = _read_holder(item)
        return holder is None or holder.address == self._address

    def _must_defer(self) -> bool:
        """Returns whether this entry has resigned and must wait for others.

        The wait counts from its first election in which the key is vacant.
        """
        if not self._resigned:
            return False
        now_s = self._clock.monotonic()
        if self._vacant_since_s is None:
            self._vacant_since_s = now_s
        return now_s - self._vacant_since_s < RESIGNED_DELAY_S

    async def _acquire(self, revision: int) -> None:
        """Writes the key if it is at `revision`, and begins a term."""
        sent_s = self._clock.monotonic()
        granted = await self._store.grant_lease(LEASE_S)
        if isinstance(granted, result.Err):
            return
        lease, lifetime_s = granted.ok_value
        written = await self._store.transact(
            expected={self._key: revision},
            puts=[kv_store.Put(self._key, self._value, lease)],
        )
        token = await self._token_of(written, lease)
        if token is None or self._withdrawn:
            await self._store.revoke_lease(lease)
            return
        self._lease = lease
        self._renewed_s = self._clock.monotonic()
        self._valid_until_s = sent_s + lifetime_s
        self._vacant_since_s = None
        self.token = token
        logs.event("scheduling", token=token)
        self._notify_change()

    async def _token_of(
        self,
        written: result.Result[int | kv_store.Conflict, kv_store.StoreError],
        lease: int,
    ) -> int | None:
        """Returns the fencing token if the key's write took effect, or None.

        The key may also be found as an earlier attempt has written it. It is
        then attached to another lease, and ends with that one.
        """
        if isinstance(written, result.Ok):
            outcome = written.ok_value
            return outcome if isinstance(outcome, int) else None
        # The call failed, but the write may have taken effect.
        response = await self._store.get(self._key)
        if isinstance(response, result.Ok):
            item = response.ok_value
            if (
                item is not None
                and item.value == self._value
                and item.lease == lease
            ):
                return item.revision
        return None

    async def _renew(self, lease: int) -> None:
        sent_s = self._clock.monotonic()
        renewed = await self._store.renew_lease(lease, timeout_s=LEASE_S)
        if self.token is None or lease != self._lease:
            return
        if isinstance(renewed, result.Ok):
            self._renewed_s = self._clock.monotonic()
            self._valid_until_s = max(self._valid_until_s, sent_s + LEASE_S)
        elif renewed.err_value is kv_store.StoreError.LEASE_ENDED:
            self._end_term("lease ended")
        else:
            self._log_failed_renewal(sent_s, renewed.err_value)
            await self._hand_over_if_cut_off(lease)

    async def _hand_over_if_cut_off(self, lease: int) -> None:
        """Lets another entry take over before the lease has expired."""
        if self._seeks_deputy or not self._is_cut_off:
            return
        self._seeks_deputy = True
        deputy = await self._deputies.find()
        self._seeks_deputy = False
        if deputy is None or lease != self._lease or not self._is_cut_off:
            return
        # The term must be over before anybody else can begin one.
        self._lease = 0
        self._end_term("handed over")
        self._deputies.release(deputy, lease)

    @property
    def _is_cut_off(self) -> bool:
        return self._clock.monotonic() - self._renewed_s >= HANDOVER_AFTER_S

    def _log_failed_renewal(
        self, sent_s: float, error: kv_store.StoreError
    ) -> None:
        now_s = self._clock.monotonic()
        logs.event(
            "lease not renewed",
            token=self.token,
            error=error.value,
            took_s=round(now_s - sent_s, 3),
            valid_for_s=round(self._valid_until_s - now_s, 3),
        )

    def step_down(self, reason: str) -> None:
        """Ends the term because this entry no longer holds the key."""
        self._end_term(reason)

    def _end_term(self, reason: str) -> None:
        if self.token is not None:
            logs.event("no longer scheduling", token=self.token, why=reason)
            self.token = None
            self._valid_until_s = 0.0
            self._notify_change()

    def _notify_change(self) -> None:
        changed, self.changed = self.changed, trio.Event()
        changed.set()


_decoder = msgspec.json.Decoder(Holder)


def _read_holder(item: kv_store.Item) -> Holder | None:
    """Returns the holder that an item names, or None if it can't be read."""
    if item.value is None:
        return None
    try:
        holder = decoding.decode(_decoder, item.value)
        if not addresses.is_valid(holder.address):
            raise decoding.MalformedError(
                "expected an address tcp://HOST:PORT", item.value
            )
    except decoding.MalformedError as error:
        unreadable.log_skipped(item.key, error)
        return None
    return holder
