"""Gang members at an agent, which arbitrates its worker's accelerators.

An accelerator is held or used by one gang at a time. A hold expires unless the
gang is committed. A committed member keeps a lease that its anchor renews, and
stops itself when the lease expires, so that a gang doesn't keep running with
only some of its members.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
from typing import TYPE_CHECKING

from pimentobridge.core import types
from pimentobridge.protocol import gangs

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.platform import worker as worker_lib
    from pimentobridge.protocol import transport

HOLD_TIMEOUT_S = 3.0
LEASE_S = 3.0
BEAT_INTERVAL_S = 0.5

# Anchor and member each consider the other lost when the lease still has one
# heartbeat interval left, so that the other members can stop within the lease
# even if a message is lost.
LOST_AFTER_S = LEASE_S - BEAT_INTERVAL_S
EPOCH_RETENTION_S = 600.0


class MemberState(enum.Enum):
    """State of a gang member at its agent."""

    EVICTING = "evicting"
    HELD = "held"
    LOADING = "loading"
    READY = "ready"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass
class GangMembership:
    """Membership of this agent in one gang.

    Attributes:
        mask: bits of the accelerators that it holds or uses.
        hold_renewed_s: when the hold was requested, confirmed or last renewed.
        lease_renewed_s: when the anchor last renewed the lease.
        waits_for_gangs: evicted gangs whose tasks must stop before the hold
            can be confirmed.
    """

    gang: types.GangId
    epoch: types.Epoch
    mask: int
    guaranteed: bool
    coordinator: types.Address
    state: MemberState
    hold_renewed_s: float
    anchor: types.Address = types.Address("")
    lease_renewed_s: float = 0.0
    last_beat_s: float = 0.0
    failed: bool = False
    finished: bool = False
    reason: gangs.EndReason = gangs.EndReason.NOT_STARTED
    waits_for_gangs: set[types.GangId] = dataclasses.field(default_factory=set)


_COMMITTED = frozenset(
    {MemberState.LOADING, MemberState.READY, MemberState.RUNNING}
)


class GangMember:
    """State machine of an agent's memberships in gangs.

    All of them use the accelerators of the agent's one worker.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        outbox: transport.Outbox,
        worker: worker_lib.Worker,
        accelerators: int,
        call_soon: Callable[[Callable[[], None]], None],
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._worker = worker
        self._all_accelerators_mask = (1 << accelerators) - 1
        self._call_soon = call_soon
        self._members_by_gang: dict[types.GangId, GangMembership] = {}
        self._epochs_by_gang: dict[types.GangId, tuple[types.Epoch, float]] = {}
        self.draining = False

    @property
    def members_by_gang(self) -> dict[types.GangId, GangMembership]:
        """Memberships of this agent, by gang."""
        return self._members_by_gang

    @property
    def used(self) -> int:
        """Bits of the accelerators that are held or used."""
        mask = 0
        for member in self._members_by_gang.values():
            mask |= member.mask
        return mask

    def holds(self, gang: types.GangId, epoch: types.Epoch) -> bool:
        """Returns whether this agent has a confirmed hold for a gang."""
        member = self._find_member(gang, epoch)
        return member is not None and member.state is MemberState.HELD

    @functools.singledispatchmethod
    def handle(self, message: object, sender: types.Address) -> bool:
        """Handles a message; returns False if it isn't for a gang member."""
        return False

    @handle.register(gangs.Reserve)
    def _on_reserve(
        self, message: gangs.Reserve, sender: types.Address
    ) -> bool:
        existing = self._members_by_gang.get(message.gang)
        if existing is not None and existing.epoch == message.epoch:
            if existing.state is MemberState.HELD:
                existing.hold_renewed_s = self._clock.monotonic()
                self._send_held(existing)
            return True
        refusal = self._refusal(message, existing)
        if refusal is not None:
            self._outbox.send(
                sender,
                gangs.HoldRefused(message.gang, message.epoch, refusal),
            )
            return True
        self._create_hold(message, sender)
        return True

    @handle.register(gangs.ReleaseHold)
    def _on_release(
        self, message: gangs.ReleaseHold, sender: types.Address
    ) -> bool:
        self._raise_epoch(message.gang, message.epoch)
        member = self._find_member(message.gang, message.epoch)
        uncommitted_states = (MemberState.HELD, MemberState.EVICTING)
        if member is not None and member.state in uncommitted_states:
            self._remove(member)
        return True

    @handle.register(gangs.Prepare)
    def _on_prepare(
        self, message: gangs.Prepare, sender: types.Address
    ) -> bool:
        member = self._find_member(message.gang, message.epoch)
        if member is None:
            self._report_unknown(message.gang, message.epoch, sender)
        elif member.state is MemberState.HELD:
            member.anchor = sender
            self._load(member)
        elif member.state in _COMMITTED:
            self._send_beat(member)
        return True

    @handle.register(gangs.AnchorBeat)
    def _on_anchor_beat(
        self, message: gangs.AnchorBeat, sender: types.Address
    ) -> bool:
        member = self._find_member(message.gang, message.epoch)
        if member is None or member.anchor != sender:
            # There is no reply to an anchor that doesn't know the gang either;
            # otherwise the two would keep answering each other.
            if message.phase in (gangs.Phase.PREPARING, gangs.Phase.RUNNING):
                self._report_unknown(message.gang, message.epoch, sender)
            return True
        if message.phase in (gangs.Phase.STOPPING, gangs.Phase.UNKNOWN):
            self._stop(member, message.reason)
            return True
        member.lease_renewed_s = self._clock.monotonic()
        ready = member.state is MemberState.READY
        if message.phase is gangs.Phase.RUNNING and ready:
            self._start(member)
        return True

    def on_timer(self) -> None:
        """Sends due heartbeats and ends expired holds and leases."""
        now_s = self._clock.monotonic()
        for member in list(self._members_by_gang.values()):
            if member.state is MemberState.HELD:
                if now_s >= member.hold_renewed_s + HOLD_TIMEOUT_S:
                    self._remove(member)
            elif member.state in _COMMITTED:
                if now_s >= member.lease_renewed_s + LOST_AFTER_S:
                    self._stop(member, gangs.EndReason.MEMBER_LOST)
                elif now_s >= member.last_beat_s + BEAT_INTERVAL_S:
                    self._send_beat(member)

    def next_wakeup_s(self) -> float:
        """Returns when `on_timer` is due, in seconds of the clock."""
        due = [self._due_s(m) for m in self._members_by_gang.values()]
        return min(due, default=float("inf"))

    def evict_expired(self) -> None:
        """Forgets the epochs of gangs not seen for `EPOCH_RETENTION_S`."""
        oldest_s = self._clock.monotonic() - EPOCH_RETENTION_S
        for gang, (_, seen_s) in list(self._epochs_by_gang.items()):
            if seen_s < oldest_s and gang not in self._members_by_gang:
                del self._epochs_by_gang[gang]

    def _due_s(self, member: GangMembership) -> float:
        if member.state is MemberState.HELD:
            return member.hold_renewed_s + HOLD_TIMEOUT_S
        if member.state in _COMMITTED:
            next_beat_s = member.last_beat_s + BEAT_INTERVAL_S
            return min(next_beat_s, member.lease_renewed_s + LOST_AFTER_S)
        return float("inf")

    def _refusal(
        self, message: gangs.Reserve, existing: GangMembership | None
    ) -> gangs.HoldRefusal | None:
        """Returns why a hold is refused, or None if it can be granted.

        A member that an older epoch of the gang left is fenced and stopped.
        """
        epoch, _ = self._epochs_by_gang.get(message.gang, (0, 0.0))
        mask = _mask_of(message)
        if message.epoch <= epoch:
            return gangs.HoldRefusal.STALE_EPOCH
        if existing is not None:
            # A newer epoch fences the older one, whatever its state.
            self._raise_epoch(message.gang, types.Epoch(message.epoch - 1))
            self._stop(existing, gangs.EndReason.MEMBER_LOST)
            if existing.gang in self._members_by_gang:
                return gangs.HoldRefusal.BUSY
        if self.draining:
            return gangs.HoldRefusal.DRAINING
        if not mask or mask & ~self._all_accelerators_mask:
            return gangs.HoldRefusal.INVALID
        blocking = [
            member
            for member in self._members_by_gang.values()
            if member.mask & mask and not self._may_evict(message, member)
        ]
        return gangs.HoldRefusal.BUSY if blocking else None

    def _may_evict(
        self, message: gangs.Reserve, member: GangMembership
    ) -> bool:
        return message.guaranteed and not member.guaranteed

    def _create_hold(
        self, message: gangs.Reserve, sender: types.Address
    ) -> None:
        """Creates a hold and evicts the members on its accelerators."""
        mask = _mask_of(message)
        self._raise_epoch(message.gang, message.epoch)
        member = GangMembership(
            gang=message.gang,
            epoch=message.epoch,
            mask=mask,
            guaranteed=message.guaranteed,
            coordinator=sender,
            state=MemberState.EVICTING,
            hold_renewed_s=self._clock.monotonic(),
        )
        for other in list(self._members_by_gang.values()):
            if other.mask & mask:
                self._evict(other, member)
        self._members_by_gang[message.gang] = member
        self._confirm_unblocked_hold(member)

    def _evict(self, victim: GangMembership, claimant: GangMembership) -> None:
        if victim.state is MemberState.HELD:
            self._remove(victim)
            return
        claimant.waits_for_gangs.add(victim.gang)
        self._stop(victim, gangs.EndReason.RECLAIMED)

    def _confirm_unblocked_hold(self, member: GangMembership) -> None:
        """Confirms a hold once all evicted gangs have stopped."""
        if not member.waits_for_gangs:
            member.state = MemberState.HELD
            member.hold_renewed_s = self._clock.monotonic()
            self._send_held(member)

    def _load(self, member: GangMembership) -> None:
        now_s = self._clock.monotonic()
        member.state = MemberState.LOADING
        member.lease_renewed_s = now_s
        self._send_beat(member)
        self._worker.load(
            member.gang,
            member.mask,
            lambda loaded: self._call_soon(
                functools.partial(self._on_loaded, member, loaded)
            ),
        )

    def _on_loaded(self, member: GangMembership, loaded: bool) -> None:
        if member.state is not MemberState.LOADING:
            return
        member.failed = not loaded
        if loaded:
            member.state = MemberState.READY
        self._send_beat(member)

    def _start(self, member: GangMembership) -> None:
        member.state = MemberState.RUNNING
        self._worker.start(
            member.gang,
            lambda succeeded: self._call_soon(
                functools.partial(self._on_finished, member, succeeded)
            ),
        )

    def _on_finished(self, member: GangMembership, succeeded: bool) -> None:
        if member.state is not MemberState.RUNNING:
            return
        member.finished = succeeded
        member.failed = not succeeded
        self._send_beat(member)

    def _stop(self, member: GangMembership, reason: gangs.EndReason) -> None:
        if member.state is MemberState.STOPPING:
            return
        if member.state in (MemberState.HELD, MemberState.EVICTING):
            self._remove(member)
            return
        member.state = MemberState.STOPPING
        member.reason = reason
        self._send_beat(member)
        self._worker.stop(
            member.gang,
            lambda: self._call_soon(
                functools.partial(self._on_stopped, member)
            ),
        )

    def _on_stopped(self, member: GangMembership) -> None:
        current_member = self._members_by_gang.get(member.gang)
        if current_member is member:
            self._remove(member)

    def _remove(self, member: GangMembership) -> None:
        """Frees a member's accelerators and confirms holds waiting for it."""
        del self._members_by_gang[member.gang]
        for other in self._members_by_gang.values():
            if member.gang in other.waits_for_gangs:
                other.waits_for_gangs.discard(member.gang)
                self._confirm_unblocked_hold(other)

    def _send_beat(self, member: GangMembership) -> None:
        member.last_beat_s = self._clock.monotonic()
        stopping = member.state is MemberState.STOPPING
        self._outbox.send(
            member.anchor,
            gangs.MemberBeat(
                member.gang,
                member.epoch,
                member.state in (MemberState.READY, MemberState.RUNNING),
                member.failed or stopping,
                member.finished,
                member.reason if stopping else gangs.EndReason.TASK_FAILED,
            ),
        )

    def _report_unknown(
        self, gang: types.GangId, epoch: types.Epoch, anchor: types.Address
    ) -> None:
        self._outbox.send(
            anchor,
            gangs.MemberBeat(
                gang, epoch, False, True, False, gangs.EndReason.MEMBER_LOST
            ),
        )

    def _send_held(self, member: GangMembership) -> None:
        self._outbox.send(
            member.coordinator, gangs.Held(member.gang, member.epoch)
        )

    def _find_member(
        self, gang: types.GangId, epoch: types.Epoch
    ) -> GangMembership | None:
        member = self._members_by_gang.get(gang)
        if member is None or member.epoch != epoch:
            return None
        return member

    def _raise_epoch(self, gang: types.GangId, epoch: types.Epoch) -> None:
        highest_epoch, _ = self._epochs_by_gang.get(gang, (types.Epoch(0), 0.0))
        self._epochs_by_gang[gang] = (
            max(highest_epoch, epoch),
            self._clock.monotonic(),
        )


def _mask_of(message: gangs.Reserve) -> int:
    mask = 0
    for block in message.blocks:
        mask |= block.mask
    return mask
