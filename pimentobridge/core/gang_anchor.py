"""Anchor of a gang: the single agent that commits it.

The agent of the gang's first member is the anchor. It starts the gang once
every member is ready, renews the members' leases, and stops all members when
one is lost.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from pimentobridge.core import gang_member
from pimentobridge.core import types
from pimentobridge.protocol import gangs

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.protocol import transport

PREPARE_TIMEOUT_S = 20.0
END_RETENTION_S = 60.0
STATUS_INTERVAL_S = 5.0
CONTACT_LEASE_S = 30.0


@dataclasses.dataclass
class _MemberStatus:
    """What the anchor knows of one member from its heartbeats."""

    last_heard_s: float
    ready: bool = False
    finished: bool = False


@dataclasses.dataclass
class AnchoredGang:
    """A gang that is committed at this anchor.

    Attributes:
        last_status_s: when the coordinator was last sent the phase.
        acknowledged: whether the coordinator has confirmed the gang's end.
    """

    gang: types.GangId
    epoch: types.Epoch
    coordinator: types.Address
    committed_s: float
    shares: list[gangs.Share]
    guaranteed: bool
    members_by_agent: dict[types.Address, _MemberStatus]
    phase: gangs.Phase = gangs.Phase.PREPARING
    reason: gangs.EndReason = gangs.EndReason.NOT_STARTED
    last_beat_s: float = 0.0
    last_status_s: float = 0.0
    ended_s: float = 0.0
    acknowledged: bool = False


class GangAnchor:
    """State machine of the gangs that one agent anchors.

    Args:
        holds: returns whether this agent's own hold for a gang is still valid.
        contact_age_s: returns the seconds since the last message from any
            scheduler. After `CONTACT_LEASE_S` without contact the anchor stops
            its gangs, because schedulers then requeue the jobs elsewhere.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        outbox: transport.Outbox,
        holds: Callable[[types.GangId, types.Epoch], bool],
        contact_age_s: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._holds = holds
        self._contact_age_s = contact_age_s
        self._anchored_by_gang: dict[types.GangId, AnchoredGang] = {}

    @property
    def anchored_by_gang(self) -> dict[types.GangId, AnchoredGang]:
        """Gangs that are committed at this anchor."""
        return self._anchored_by_gang

    @functools.singledispatchmethod
    def handle(self, message: object, sender: types.Address) -> bool:
        """Handles a message; returns False if it isn't for an anchor."""
        return False

    @handle.register(gangs.Commit)
    def _on_commit(self, message: gangs.Commit, sender: types.Address) -> bool:
        existing = self._anchored_by_gang.get(message.gang)
        if existing is not None and existing.epoch >= message.epoch:
            if existing.epoch == message.epoch:
                self._notify_coordinator(existing)
            return True
        if not self._holds(message.gang, message.epoch):
            self._outbox.send(
                sender,
                gangs.GangEnded(
                    message.gang, message.epoch, gangs.EndReason.NOT_STARTED
                ),
            )
            return True
        now_s = self._clock.monotonic()
        anchored = AnchoredGang(
            gang=message.gang,
            epoch=message.epoch,
            coordinator=sender,
            committed_s=now_s,
            shares=message.shares,
            guaranteed=message.guaranteed,
            members_by_agent={
                share.agent: _MemberStatus(now_s) for share in message.shares
            },
        )
        self._anchored_by_gang[message.gang] = anchored
        self._send_beats(anchored)
        return True

    @handle.register(gangs.MemberBeat)
    def _on_member_beat(
        self, message: gangs.MemberBeat, sender: types.Address
    ) -> bool:
        anchored = self._anchored_by_gang.get(message.gang)
        if anchored is None or anchored.epoch != message.epoch:
            self._outbox.send(
                sender,
                gangs.AnchorBeat(
                    message.gang,
                    message.epoch,
                    gangs.Phase.UNKNOWN,
                    gangs.EndReason.MEMBER_LOST,
                ),
            )
            return True
        member = anchored.members_by_agent.get(sender)
        if member is None:
            return True
        member.last_heard_s = self._clock.monotonic()
        member.ready = member.ready or message.ready
        member.finished = member.finished or message.finished
        if message.failed:
            self._end(anchored, message.reason)
        else:
            self._advance(anchored)
        self._send_phase(anchored, sender)
        return True

    @handle.register(gangs.StopGang)
    def _on_stop(self, message: gangs.StopGang, sender: types.Address) -> bool:
        anchored = self._anchored_by_gang.get(message.gang)
        if anchored is not None and anchored.epoch == message.epoch:
            self._end(anchored, message.reason)
        return True

    @handle.register(gangs.Adopt)
    def _on_adopt(self, message: gangs.Adopt, sender: types.Address) -> bool:
        for anchored in self._anchored_by_gang.values():
            anchored.coordinator = sender
            self._outbox.send(
                sender,
                gangs.AnchorReport(
                    anchored.gang,
                    anchored.epoch,
                    anchored.phase,
                    anchored.reason,
                    anchored.shares,
                    anchored.guaranteed,
                ),
            )
        return True

    @handle.register(gangs.GangEndedAck)
    def _on_ended_ack(
        self, message: gangs.GangEndedAck, sender: types.Address
    ) -> bool:
        anchored = self._anchored_by_gang.get(message.gang)
        if anchored is not None and anchored.epoch == message.epoch:
            anchored.acknowledged = True
        return True

    def on_timer(self) -> None:
        """Sends due heartbeats and stops gangs whose members are lost."""
        now_s = self._clock.monotonic()
        for anchored in list(self._anchored_by_gang.values()):
            if anchored.phase is gangs.Phase.STOPPING:
                self._finish_stopping(anchored, now_s)
            elif self._must_stop(anchored, now_s):
                self._end(anchored, gangs.EndReason.MEMBER_LOST)
            elif self._due_s(anchored) <= now_s:
                self._send_beats(anchored)
                self._send_status(anchored, now_s)

    def next_wakeup_s(self) -> float:
        """Returns when `on_timer` is due, in seconds of the clock."""
        due = [self._due_s(a) for a in self._anchored_by_gang.values()]
        return min(due, default=float("inf"))

    def _send_status(self, anchored: AnchoredGang, now_s: float) -> None:
        if now_s - anchored.last_status_s >= STATUS_INTERVAL_S:
            anchored.last_status_s = now_s
            self._notify_coordinator(anchored)

    def _due_s(self, anchored: AnchoredGang) -> float:
        next_beat_s = anchored.last_beat_s + gang_member.BEAT_INTERVAL_S
        if anchored.phase is gangs.Phase.STOPPING:
            return next_beat_s
        oldest_heard_s = min(
            member.last_heard_s for member in anchored.members_by_agent.values()
        )
        return min(next_beat_s, oldest_heard_s + gang_member.LOST_AFTER_S)

    def _must_stop(self, anchored: AnchoredGang, now_s: float) -> bool:
        """Returns whether the gang must end without a request to stop it.

        It must if the members aren't ready in time, if no scheduler is in
        contact, or if a member's heartbeats have stopped.
        """
        if (
            anchored.phase is gangs.Phase.PREPARING
            and now_s - anchored.committed_s > PREPARE_TIMEOUT_S
        ):
            return True
        if self._contact_age_s() > CONTACT_LEASE_S:
            return True
        return any(
            now_s >= member.last_heard_s + gang_member.LOST_AFTER_S
            for member in anchored.members_by_agent.values()
        )

    def _advance(self, anchored: AnchoredGang) -> None:
        members = anchored.members_by_agent.values()
        if anchored.phase is gangs.Phase.PREPARING:
            if all(member.ready for member in members):
                anchored.phase = gangs.Phase.RUNNING
                self._send_beats(anchored)
                self._notify_coordinator(anchored)
        elif anchored.phase is gangs.Phase.RUNNING and all(
            member.finished for member in members
        ):
            self._end(anchored, gangs.EndReason.FINISHED)

    def _end(self, anchored: AnchoredGang, reason: gangs.EndReason) -> None:
        if anchored.phase is gangs.Phase.STOPPING:
            return
        anchored.phase = gangs.Phase.STOPPING
        anchored.reason = reason
        anchored.ended_s = self._clock.monotonic()
        self._send_beats(anchored)
        self._notify_coordinator(anchored)

    def _finish_stopping(self, anchored: AnchoredGang, now_s: float) -> None:
        """Repeats the stop and the report of the end, then drops the gang.

        The gang is kept until the coordinator has acknowledged the end and a
        member lease has passed, but at most for `END_RETENTION_S`.
        """
        age_s = now_s - anchored.ended_s
        can_be_dropped = anchored.acknowledged and age_s > gang_member.LEASE_S
        if can_be_dropped or age_s > END_RETENTION_S:
            del self._anchored_by_gang[anchored.gang]
        elif self._due_s(anchored) <= now_s:
            self._send_beats(anchored)
            if not anchored.acknowledged:
                self._notify_coordinator(anchored)

    def _send_beats(self, anchored: AnchoredGang) -> None:
        anchored.last_beat_s = self._clock.monotonic()
        for agent, member in anchored.members_by_agent.items():
            if anchored.phase is gangs.Phase.PREPARING and not member.ready:
                prepare = gangs.Prepare(anchored.gang, anchored.epoch)
                self._outbox.send(agent, prepare)
            self._send_phase(anchored, agent)

    def _send_phase(self, anchored: AnchoredGang, agent: types.Address) -> None:
        self._outbox.send(
            agent,
            gangs.AnchorBeat(
                anchored.gang, anchored.epoch, anchored.phase, anchored.reason
            ),
        )

    def _notify_coordinator(self, anchored: AnchoredGang) -> None:
        if anchored.phase is gangs.Phase.RUNNING:
            self._outbox.send(
                anchored.coordinator,
                gangs.GangStarted(anchored.gang, anchored.epoch),
            )
        elif anchored.phase is gangs.Phase.STOPPING:
            self._outbox.send(
                anchored.coordinator,
                gangs.GangEnded(anchored.gang, anchored.epoch, anchored.reason),
            )
