"""Membership within a small group of nodes, and its roll-up to the entries.

Every member increments its own heartbeat counter, and the counters spread by
gossip to a few members at a time. The cost per node doesn't depend on the size
of the fleet. One member of each group, chosen by rendezvous hashing, reports
the group to a few entries; it is harmless if two members report it at once.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

import msgspec
import xxhash

from pimentobridge.core import rendezvous
from pimentobridge.core import types
from pimentobridge.protocol import cluster

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import random

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import replica as replica_lib
    from pimentobridge.protocol import transport

BEAT_INTERVAL_S = 0.5
GOSSIP_FAN_OUT = 3
SUSPECT_AFTER_S = 2.2
DEAD_AFTER_S = 3.4
MEMBER_RETENTION_S = 300.0
DEAD_PROBE_PROBABILITY = 0.1
ROLL_UP_INTERVAL_S = 2.0
ROLL_UP_ENTRIES = 2
PLACEMENT_ROLE = "placement"


@dataclasses.dataclass
class _MemberView:
    """What this node knows of another member.

    Attributes:
        last_advance_s: when a higher incarnation or heartbeat counter was last
            received.
    """

    member: cluster.Member
    last_advance_s: float


class Membership:
    """One node's view of its group.

    Args:
        group: name of the group; a rack, or the entries.
        seeds: entries through which this node discovers its group.
        seeds_are_group: whether the seeds themselves are the group. Such a
            group isn't reported to any entry.
        on_change: called with the address and the new state of a member whose
            state has changed.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        outbox: transport.Outbox,
        rng: random.Random,
        address: types.Address,
        incarnation: types.Incarnation,
        group: str,
        region: types.RegionName,
        data_centre: types.DataCentreName,
        seeds: Sequence[types.Address],
        replica: replica_lib.Replica,
        accelerators: int = 0,
        seeds_are_group: bool = False,
        on_change: Callable[[types.Address, types.NodeState], None] = (
            lambda address, state: None
        ),
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._rng = rng
        self._address = address
        self._group = group
        self._data_centre = data_centre
        self._seeds = [seed for seed in seeds if seed != address]
        self._seeds_are_group = seeds_are_group
        self._replica = replica
        self._on_change = on_change
        self._own_member = cluster.Member(
            address,
            incarnation,
            0,
            types.NodeState.ACTIVE,
            region,
            accelerators,
        )
        self._views_by_address: dict[types.Address, _MemberView] = {}
        self._reported_state_by_address: dict[
            types.Address, types.NodeState
        ] = {}
        self._roll_up_interval_s = ROLL_UP_INTERVAL_S
        self._unanswered_entries: set[types.Address] = set()
        self._last_reply_s_by_entry: dict[types.Address, float] = {}
        self._known_fingerprint_by_entry: dict[types.Address, int] = {}
        start_s = clock.monotonic() + rng.random() * BEAT_INTERVAL_S
        self._next_beat_s = start_s
        self._next_roll_up_s = clock.monotonic()

    @property
    def group(self) -> str:
        """Name of the group."""
        return self._group

    @property
    def members(self) -> list[cluster.Member]:
        """Members that aren't dead, including this node."""
        others = [
            view.member
            for view in self._views_by_address.values()
            if self.state_of(view.member.address) is not types.NodeState.DEAD
        ]
        return [self._own_member, *others]

    def state_of(self, address: types.Address) -> types.NodeState:
        """Returns a member's state as this node knows it."""
        if address == self._address:
            return self._own_member.state
        view = self._views_by_address.get(address)
        if view is None:
            return types.NodeState.DEAD
        if view.member.state is types.NodeState.DEAD:
            return types.NodeState.DEAD
        silent_s = self._clock.monotonic() - view.last_advance_s
        if silent_s > DEAD_AFTER_S:
            return types.NodeState.DEAD
        if silent_s > SUSPECT_AFTER_S:
            return types.NodeState.SUSPECT
        return view.member.state

    def is_group_reporter(self) -> bool:
        """Returns whether this node reports its group to the entries."""
        alive = [m.address for m in self.members]
        return rendezvous.owner(self._group, alive) == self._address

    def receives_roll_ups(self) -> bool:
        """Returns whether this node, as an entry, receives roll-ups."""
        alive = [m.address for m in self.members]
        order = rendezvous.ranked(PLACEMENT_ROLE, alive)
        return self._address in order[:ROLL_UP_ENTRIES]

    def announce_draining(self) -> None:
        """Announces to the group that this node takes no new work."""
        self._set_state(types.NodeState.DRAINING)
        self._send_beat(self._gossip_targets())

    def announce_departure(self) -> None:
        """Announces to the group and the entries that this node has left."""
        self._set_state(types.NodeState.DEAD)
        self._send_beat(self._gossip_targets())
        self._start_roll_up()

    @functools.singledispatchmethod
    def handle(self, message: object, sender: types.Address) -> bool:
        """Handles a message; returns False if it isn't for the membership."""
        return False

    @handle.register(cluster.Beat)
    def _on_beat(self, message: cluster.Beat, sender: types.Address) -> bool:
        if message.group == self._group:
            for member in message.members:
                self._merge(member)
        self._replica.on_announcement(sender, message.sequence, message.digest)
        return True

    @handle.register(cluster.RollUpReply)
    def _on_roll_up_reply(
        self, message: cluster.RollUpReply, sender: types.Address
    ) -> bool:
        if message.group != self._group:
            return True
        self._last_reply_s_by_entry[sender] = self._clock.monotonic()
        self._unanswered_entries.discard(sender)
        self._roll_up_interval_s = max(ROLL_UP_INTERVAL_S, message.interval_s)
        known_fingerprint = message.fingerprint if message.known else 0
        self._known_fingerprint_by_entry[sender] = known_fingerprint
        for member in message.members:
            self._merge(member)
        self._replica.on_announcement(
            sender, message.sequence, types.Digest("")
        )
        return True

    def on_timer(self) -> None:
        """Sends due heartbeats and roll-ups and reports state changes."""
        now_s = self._clock.monotonic()
        beat_is_due = now_s >= self._next_beat_s
        if beat_is_due:
            self._next_beat_s = now_s + BEAT_INTERVAL_S
            self._set_state(self._own_member.state)
            self._send_beat(self._gossip_targets())
            self._report_changes(now_s)
        if now_s >= self._next_roll_up_s:
            self._next_roll_up_s = now_s + self._roll_up_interval_s
            if self.is_group_reporter():
                self._start_roll_up()
        elif beat_is_due and self._unanswered_entries:
            self._send_roll_up(sorted(self._unanswered_entries))

    def next_wakeup_s(self) -> float:
        """Returns when `on_timer` is due, in seconds of the clock."""
        return min(self._next_beat_s, self._next_roll_up_s)

    def on_new_configuration(self) -> None:
        """Announces a newer document at once instead of with the next beat."""
        self._send_beat(self._gossip_targets())

    def _set_state(self, state: types.NodeState) -> None:
        self._own_member = msgspec.structs.replace(
            self._own_member, state=state, beat=self._own_member.beat + 1
        )

    def _merge(self, member: cluster.Member) -> None:
        if member.address == self._address:
            return
        view = self._views_by_address.get(member.address)
        now_s = self._clock.monotonic()
        if view is None:
            self._views_by_address[member.address] = _MemberView(member, now_s)
            if len(self._views_by_address) == 1:
                # Through the first discovered member, the rest of the group
                # learns of this node.
                self._send_beat([member.address])
            return
        newer = (member.incarnation, member.beat) > (
            view.member.incarnation,
            view.member.beat,
        )
        if newer:
            view.member = member
            view.last_advance_s = now_s

    def _gossip_targets(self) -> list[types.Address]:
        alive = []
        dead = []
        for address in self._views_by_address:
            if self.state_of(address) is types.NodeState.DEAD:
                dead.append(address)
            else:
                alive.append(address)
        targets = self._rng.sample(alive, min(GOSSIP_FAN_OUT, len(alive)))
        if self._seeds_are_group:
            targets += [
                seed
                for seed in self._seeds
                if seed not in self._views_by_address
            ]
        # Dead members are probed occasionally, so that a group that was
        # partitioned merges again.
        if dead and self._rng.random() < DEAD_PROBE_PROBABILITY:
            targets.append(self._rng.choice(dead))
        return targets

    def _send_beat(self, targets: list[types.Address]) -> None:
        if not targets:
            return
        beat = cluster.Beat(
            self._group,
            self.members,
            self._replica.sequence,
            self._replica.digest,
        )
        for target in targets:
            self._outbox.send(target, beat)

    def _report_changes(self, now_s: float) -> None:
        for address, view in list(self._views_by_address.items()):
            state = self.state_of(address)
            if self._reported_state_by_address.get(address) is not state:
                self._reported_state_by_address[address] = state
                self._on_change(address, state)
                self._next_roll_up_s = now_s
            if now_s - view.last_advance_s > MEMBER_RETENTION_S:
                del self._views_by_address[address]
                del self._reported_state_by_address[address]

    def _start_roll_up(self) -> None:
        if self._seeds_are_group:
            return
        targets = self._roll_up_targets()
        self._unanswered_entries = set(targets)
        self._send_roll_up(targets)

    def _send_roll_up(self, targets: list[types.Address]) -> None:
        members = sorted(self.members, key=lambda m: m.address)
        fingerprint = fingerprint_of(members)
        for entry in targets:
            known_fingerprint = self._known_fingerprint_by_entry.get(entry)
            self._outbox.send(
                entry,
                cluster.RollUp(
                    self._group,
                    self._data_centre,
                    fingerprint,
                    [] if known_fingerprint == fingerprint else members,
                    self._replica.sequence,
                ),
            )

    def _roll_up_targets(self) -> list[types.Address]:
        """Returns the entries that the next roll-up is sent to.

        These are the first `ROLL_UP_ENTRIES` in rendezvous order that have
        replied recently, and all unresponsive entries that precede them.
        """
        now_s = self._clock.monotonic()
        reply_timeout_s = 3 * self._roll_up_interval_s
        order = rendezvous.ranked(PLACEMENT_ROLE, self._seeds)
        targets: list[types.Address] = []
        answering_entries = 0
        for entry in order:
            if answering_entries == ROLL_UP_ENTRIES:
                break
            targets.append(entry)
            last_reply_s = self._last_reply_s_by_entry.get(
                entry, -reply_timeout_s
            )
            answering_entries += now_s - last_reply_s < reply_timeout_s
        return targets


def fingerprint_of(members: Sequence[cluster.Member]) -> int:
    """Returns a hash of the members' addresses, incarnations and states."""
    hasher = xxhash.xxh3_64()
    for member in members:
        line = f"{member.address} {member.incarnation} {member.state.value}\n"
        hasher.update(line.encode())
    return hasher.intdigest()
