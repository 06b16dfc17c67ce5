"""Directory of the groups that report their members to an entry."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

import msgspec

from pimentobridge.core import membership
from pimentobridge.core import types
from pimentobridge.protocol import cluster

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import replica as replica_lib
    from pimentobridge.protocol import transport

GROUP_LOST_INTERVALS = 2.5
CHECK_INTERVAL_S = 0.5
REPORTER_RETENTION_S = 10.0

# The roll-up interval requested from the groups grows with their number, so
# that an entry receives about this many roll-ups per second at most.
ROLL_UPS_PER_S = 25.0


@dataclasses.dataclass
class Group:
    """A group as described by its latest roll-ups.

    Attributes:
        fingerprint: hash of the members in the last roll-up; 0 if it lacked a
            node that also reports the group.
        last_heard_s: when the last roll-up was received.
        last_heard_s_by_reporter: when the last roll-up of each node that
            reports the group was received.
    """

    data_centre: types.DataCentreName
    members_by_address: dict[types.Address, cluster.Member]
    fingerprint: int
    last_heard_s: float
    name: str = ""
    last_heard_s_by_reporter: dict[types.Address, float] = dataclasses.field(
        default_factory=dict
    )


class Directory:
    """Groups and members that report to one entry.

    Args:
        on_member: called with each member that appears, changes or is lost.
        receives_roll_ups: returns whether groups currently report to this
            entry. If not, a group that stops reporting here isn't considered
            dead, because it reports to another entry.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        outbox: transport.Outbox,
        replica: replica_lib.Replica,
        receives_roll_ups: Callable[[], bool],
        on_member: Callable[[cluster.Member], None] = lambda member: None,
    ) -> None:
        self._receives_roll_ups = receives_roll_ups
        self._clock = clock
        self._outbox = outbox
        self._replica = replica
        self._on_member = on_member
        self.groups_by_name: dict[str, Group] = {}
        self._group_by_member: dict[types.Address, str] = {}
        self._next_check_s = clock.monotonic()

    @property
    def members(self) -> list[cluster.Member]:
        """Members of all groups."""
        return [
            member
            for group in self.groups_by_name.values()
            for member in group.members_by_address.values()
        ]

    @functools.singledispatchmethod
    def handle(self, message: object, sender: types.Address) -> bool:
        """Handles a message; returns False if it isn't for the directory."""
        return False

    @handle.register(cluster.RollUp)
    def _on_roll_up(
        self, message: cluster.RollUp, sender: types.Address
    ) -> bool:
        now_s = self._clock.monotonic()
        group = self.groups_by_name.get(message.group)
        if group is None:
            group = Group(message.data_centre, {}, 0, now_s, message.group)
            self.groups_by_name[message.group] = group
        group.last_heard_s = now_s
        group.last_heard_s_by_reporter[sender] = now_s
        is_known = group.fingerprint == message.fingerprint
        introduced_members: list[cluster.Member] = []
        if message.members and not is_known:
            introduced_members = self._update(group, message)
            is_known = group.fingerprint == message.fingerprint
        self._outbox.send(
            sender,
            cluster.RollUpReply(
                message.group,
                is_known,
                message.fingerprint,
                introduced_members,
                self._replica.sequence,
                self._roll_up_interval_s(),
            ),
        )
        self._replica.on_announcement(
            sender, message.sequence, types.Digest("")
        )
        return True

    def group_of(self, address: types.Address) -> Group | None:
        """Returns the group that a member belongs to."""
        name = self._group_by_member.get(address)
        return self.groups_by_name.get(name) if name is not None else None

    def announce_configuration(self) -> None:
        """Announces a newer document to the nodes that report groups."""
        announcement = cluster.ConfigurationNews(
            self._replica.sequence, self._replica.digest
        )
        for group in self.groups_by_name.values():
            for reporter in group.last_heard_s_by_reporter:
                self._outbox.send(reporter, announcement)

    def on_timer(self) -> None:
        """Removes groups that no node has reported for too long."""
        now_s = self._clock.monotonic()
        self._next_check_s = now_s + CHECK_INTERVAL_S
        lost_after_s = GROUP_LOST_INTERVALS * self._roll_up_interval_s()
        for name, group in list(self.groups_by_name.items()):
            group.last_heard_s_by_reporter = {
                reporter: heard_s
                for reporter, heard_s in group.last_heard_s_by_reporter.items()
                if now_s - heard_s < REPORTER_RETENTION_S
            }
            if now_s - group.last_heard_s > lost_after_s:
                del self.groups_by_name[name]
                receives_roll_ups = self._receives_roll_ups()
                for member in group.members_by_address.values():
                    if receives_roll_ups:
                        self._on_member(_as_dead(member))
                    self._group_by_member.pop(member.address, None)

    def next_wakeup_s(self) -> float:
        """Returns when `on_timer` is due, in seconds of the clock."""
        return self._next_check_s

    def _roll_up_interval_s(self) -> float:
        return max(
            membership.ROLL_UP_INTERVAL_S,
            len(self.groups_by_name) / ROLL_UPS_PER_S,
        )

    def _update(
        self, group: Group, message: cluster.RollUp
    ) -> list[cluster.Member]:
        """Updates a group's members; returns those the sender doesn't know.

        Nodes that start separately each report a group of one; the replies
        introduce them to each other.
        """
        now_s = self._clock.monotonic()
        reported_members = {
            member.address: member for member in message.members
        }
        other_reporters = [
            reporter
            for reporter, heard_s in group.last_heard_s_by_reporter.items()
            if reporter not in reported_members
            and now_s - heard_s < (membership.ROLL_UP_INTERVAL_S * 2)
        ]
        unreported = [
            group.members_by_address[address]
            for address in other_reporters
            if address in group.members_by_address
        ]
        previous_members = group.members_by_address
        merged = reported_members | {
            member.address: member for member in unreported
        }
        group.members_by_address = merged
        group.fingerprint = 0 if unreported else message.fingerprint
        for address, member in merged.items():
            previous = previous_members.get(address)
            changed = previous is None or (
                previous.incarnation,
                previous.state,
            ) != (
                member.incarnation,
                member.state,
            )
            self._group_by_member[address] = message.group
            if changed:
                self._on_member(member)
        for address, member in previous_members.items():
            if address not in merged:
                self._on_member(_as_dead(member))
                self._group_by_member.pop(address, None)
        return unreported


def _as_dead(member: cluster.Member) -> cluster.Member:
    return msgspec.structs.replace(member, state=types.NodeState.DEAD)
