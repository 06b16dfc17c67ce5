"""Membership within a small group of nodes, and its roll-up to the entries.

Every member raises a heartbeat counter of its own, and counters spread by
gossip to a few members at a time. The cost of a node doesn't depend on the size
of the fleet. One member of each group, found by rendezvous hashing, reports the
group to a few entries; two that report at once are harmless.
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
FAN_OUT = 3
SUSPECT_AFTER_S = 2.2
DEAD_AFTER_S = 3.4
FORGET_AFTER_S = 300.0
DEAD_PROBE_FRACTION = 0.1
ROLL_UP_INTERVAL_S = 2.0
ROLL_UP_ENTRIES = 2
PLACEMENT_ROLE = "placement"


@dataclasses.dataclass
class _View:
    member: cluster.Member
    raised_s: float


class Membership:
    """One node's view of its group.

    Args:
        group: name of the group; a rack, or the entries.
        seeds: entries that introduce this node to its group.
        seeds_are_group: whether the seeds themselves are the group, which then
            reports to nobody.
        on_change: told the address of a member whose state has changed.
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
        self._self = cluster.Member(
            address,
            incarnation,
            0,
            types.NodeState.ACTIVE,
            region,
            accelerators,
        )
        self._views_by_address: dict[types.Address, _View] = {}
        self._reported_by_address: dict[types.Address, types.NodeState] = {}
        self._roll_up_interval_s = ROLL_UP_INTERVAL_S
        self._unanswered: set[types.Address] = set()
        self._heard_s_by_entry: dict[types.Address, float] = {}
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
        """Members that are not dead, this node among them."""
        others = [
            view.member
            for view in self._views_by_address.values()
            if self.state_of(view.member.address) is not types.NodeState.DEAD
        ]
        return [self._self, *others]

    def state_of(self, address: types.Address) -> types.NodeState:
        """Returns what this node holds of a member."""
        if address == self._address:
            return self._self.state
        view = self._views_by_address.get(address)
        if view is None:
            return types.NodeState.DEAD
        if view.member.state is types.NodeState.DEAD:
            return types.NodeState.DEAD
        silent_s = self._clock.monotonic() - view.raised_s
        if silent_s > DEAD_AFTER_S:
            return types.NodeState.DEAD
        if silent_s > SUSPECT_AFTER_S:
            return types.NodeState.SUSPECT
        return view.member.state

    def is_holder(self) -> bool:
        """Returns whether this node reports its group."""
        alive = [m.address for m in self.members]
        return rendezvous.owner(self._group, alive) == self._address

    def takes_roll_ups(self) -> bool:
        """Returns whether groups report to this node, if it is an entry."""
        alive = [m.address for m in self.members]
        order = rendezvous.ranked(PLACEMENT_ROLE, alive)
        return self._address in order[:ROLL_UP_ENTRIES]

    def announce_draining(self) -> None:
        """Tells the group at once that this node takes no new work."""
        self._set_state(types.NodeState.DRAINING)
        self._beat_to(self._targets())

    def announce_departure(self) -> None:
        """Tells the group at once that this node is gone."""
        self._set_state(types.NodeState.DEAD)
        self._beat_to(self._targets())
        self._roll_up()

    @functools.singledispatchmethod
    def handle(self, message: object, sender: types.Address) -> bool:
        """Takes a message, and says whether it belongs to the membership."""
        return False

    @handle.register(cluster.Beat)
    def _on_beat(self, message: cluster.Beat, sender: types.Address) -> bool:
        if message.group == self._group:
            for member in message.members:
                self._merge(member)
        self._replica.on_news(sender, message.sequence, message.digest)
        return True

    @handle.register(cluster.RollUpReply)
    def _on_roll_up_reply(
        self, message: cluster.RollUpReply, sender: types.Address
    ) -> bool:
        if message.group != self._group:
            return True
        self._heard_s_by_entry[sender] = self._clock.monotonic()
        self._unanswered.discard(sender)
        self._roll_up_interval_s = max(ROLL_UP_INTERVAL_S, message.interval_s)
        known = message.fingerprint if message.known else 0
        self._known_fingerprint_by_entry[sender] = known
        for member in message.members:
            self._merge(member)
        self._replica.on_news(sender, message.sequence, types.Digest(""))
        return True

    def on_timer(self) -> None:
        """Beats, rolls up and reports changes."""
        now_s = self._clock.monotonic()
        beating = now_s >= self._next_beat_s
        if beating:
            self._next_beat_s = now_s + BEAT_INTERVAL_S
            self._set_state(self._self.state)
            self._beat_to(self._targets())
            self._report_changes(now_s)
        if now_s >= self._next_roll_up_s:
            self._next_roll_up_s = now_s + self._roll_up_interval_s
            if self.is_holder():
                self._roll_up()
        elif beating and self._unanswered:
            self._roll_up_to(sorted(self._unanswered))

    def next_wakeup_s(self) -> float:
        """Returns when `on_timer` is due, in seconds of the clock."""
        return min(self._next_beat_s, self._next_roll_up_s)

    def on_new_configuration(self) -> None:
        """Announces a newer document to the group without waiting."""
        self._beat_to(self._targets())

    def _set_state(self, state: types.NodeState) -> None:
        self._self = msgspec.structs.replace(
            self._self, state=state, beat=self._self.beat + 1
        )

    def _merge(self, member: cluster.Member) -> None:
        if member.address == self._address:
            return
        view = self._views_by_address.get(member.address)
        now_s = self._clock.monotonic()
        if view is None:
            self._views_by_address[member.address] = _View(member, now_s)
            if len(self._views_by_address) == 1:
                # The first member met tells the rest of the group.
                self._beat_to([member.address])
            return
        newer = (member.incarnation, member.beat) > (
            view.member.incarnation,
            view.member.beat,
        )
        if newer:
            view.member = member
            view.raised_s = now_s

    def _targets(self) -> list[types.Address]:
        alive = []
        dead = []
        for address in self._views_by_address:
            if self.state_of(address) is types.NodeState.DEAD:
                dead.append(address)
            else:
                alive.append(address)
        targets = self._rng.sample(alive, min(FAN_OUT, len(alive)))
        if self._seeds_are_group:
            targets += [
                seed
                for seed in self._seeds
                if seed not in self._views_by_address
            ]
        # A dead member is tried now and then, so that a cut link heals.
        if dead and self._rng.random() < DEAD_PROBE_FRACTION:
            targets.append(self._rng.choice(dead))
        return targets

    def _beat_to(self, targets: list[types.Address]) -> None:
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
            if self._reported_by_address.get(address) is not state:
                self._reported_by_address[address] = state
                self._on_change(address, state)
                self._next_roll_up_s = now_s
            if now_s - view.raised_s > FORGET_AFTER_S:
                del self._views_by_address[address]
                del self._reported_by_address[address]

    def _roll_up(self) -> None:
        if self._seeds_are_group:
            return
        targets = self._roll_up_targets()
        self._unanswered = set(targets)
        self._roll_up_to(targets)

    def _roll_up_to(self, targets: list[types.Address]) -> None:
        members = sorted(self.members, key=lambda m: m.address)
        fingerprint = fingerprint_of(members)
        for entry in targets:
            known = self._known_fingerprint_by_entry.get(entry)
            self._outbox.send(
                entry,
                cluster.RollUp(
                    self._group,
                    self._data_centre,
                    fingerprint,
                    [] if known == fingerprint else members,
                    self._replica.sequence,
                ),
            )

    def _roll_up_targets(self) -> list[types.Address]:
        """Returns the first entries that answer, and the silent before them."""
        now_s = self._clock.monotonic()
        limit_s = 3 * self._roll_up_interval_s
        order = rendezvous.ranked(PLACEMENT_ROLE, self._seeds)
        targets: list[types.Address] = []
        answering = 0
        for entry in order:
            if answering == ROLL_UP_ENTRIES:
                break
            targets.append(entry)
            heard_s = self._heard_s_by_entry.get(entry, -limit_s)
            answering += now_s - heard_s < limit_s
        return targets


def fingerprint_of(members: Sequence[cluster.Member]) -> int:
    """Returns a hash of who is in a group and in which state."""
    hasher = xxhash.xxh3_64()
    for member in members:
        line = f"{member.address} {member.incarnation} {member.state.value}\n"
        hasher.update(line.encode())
    return hasher.intdigest()
