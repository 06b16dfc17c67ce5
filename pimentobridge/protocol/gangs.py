"""Messages that reserve, start and stop gangs.

The coordinator places a gang and has the agents hold its blocks. Each of these
agents is a member of the gang. The first one is its anchor, which commits it,
starts it once all members are ready, and stops it.
"""

from __future__ import annotations

import enum

import msgspec

from pimentobridge.core import types
from pimentobridge.protocol import messages


class Block(msgspec.Struct, frozen=True, array_like=True):
    """Adjacent accelerators of one worker.

    Attributes:
        start: index of the first accelerator.
        size: number of accelerators.
    """

    start: int
    size: int

    @property
    def mask(self) -> int:
        """Bit mask of the accelerators in the block."""
        return ((1 << self.size) - 1) << self.start


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Blocks of accelerators that a gang uses on one worker.

    Attributes:
        agent: address of the worker's agent.
    """

    agent: types.Address
    blocks: list[Block]


class Phase(enum.Enum):
    """Phase of a gang at its anchor.

    `UNKNOWN`: the anchor doesn't have the gang.
    """

    PREPARING = "preparing"
    RUNNING = "running"
    STOPPING = "stopping"
    UNKNOWN = "unknown"


class HoldRefusal(enum.Enum):
    """Why an agent refused to hold blocks for a gang."""

    BUSY = "busy"
    STALE_EPOCH = "stale-epoch"
    DRAINING = "draining"
    INVALID = "invalid"


class EndReason(enum.Enum):
    """Why a gang ended.

    `RECLAIMED`: it was preempted. `NOT_STARTED`: the anchor no longer held its
    blocks and couldn't commit it.
    """

    FINISHED = "finished"
    RECLAIMED = "reclaimed"
    MEMBER_LOST = "member-lost"
    TASK_FAILED = "task-failed"
    CANCELLED = "cancelled"
    NOT_STARTED = "not-started"


class Reserve(messages.Message, frozen=True):
    """Asks an agent to hold blocks for a gang until the hold expires.

    Attributes:
        epoch: grows with each attempt to place the gang; lower epochs are
            refused.
        guaranteed: whether gangs that borrow these blocks must be preempted.
    """

    gang: types.GangId
    epoch: types.Epoch
    blocks: list[Block]
    guaranteed: bool


class Held(messages.Message, frozen=True):
    """Confirms that the blocks are held."""

    gang: types.GangId
    epoch: types.Epoch


class HoldRefused(messages.Message, frozen=True):
    """Refuses to hold the blocks."""

    gang: types.GangId
    epoch: types.Epoch
    reason: HoldRefusal


class ReleaseHold(messages.Message, frozen=True):
    """Releases a hold that was not committed."""

    gang: types.GangId
    epoch: types.Epoch


class Commit(messages.Message, frozen=True):
    """Coordinator to anchor: asks it to commit a gang."""

    gang: types.GangId
    epoch: types.Epoch
    shares: list[Share]
    guaranteed: bool


class Prepare(messages.Message, frozen=True):
    """Anchor to member: the gang is committed; load its tasks."""

    gang: types.GangId
    epoch: types.Epoch


class MemberBeat(messages.Message, frozen=True):
    """Member to anchor: heartbeat; the member holds its part of the gang.

    Attributes:
        ready: whether its tasks are loaded and wait at the start barrier.
        failed: whether one of its tasks has failed or the member is stopping.
        finished: whether its tasks have finished.
        reason: why the gang must end; used only if `failed` is set.
    """

    gang: types.GangId
    epoch: types.Epoch
    ready: bool
    failed: bool
    finished: bool
    reason: EndReason


class AnchorBeat(messages.Message, frozen=True):
    """Anchor to member: heartbeat.

    It renews the member's lease while the gang is preparing or running; in the
    other phases the member stops.

    Attributes:
        reason: why the member must stop; not used in the phases that renew the
            lease.
    """

    gang: types.GangId
    epoch: types.Epoch
    phase: Phase
    reason: EndReason


class GangStarted(messages.Message, frozen=True):
    """Anchor to coordinator: every member is past the start barrier."""

    gang: types.GangId
    epoch: types.Epoch


class GangEnded(messages.Message, frozen=True):
    """Anchor to coordinator: the gang has ended, or never started."""

    gang: types.GangId
    epoch: types.Epoch
    reason: EndReason


class GangEndedAck(messages.Message, frozen=True):
    """Coordinator to anchor: acknowledges the end of a gang."""

    gang: types.GangId
    epoch: types.Epoch


class Adopt(messages.Message, frozen=True):
    """Asks an agent to report the gangs that it anchors.

    The sender is their coordinator from now on.
    """


class AnchorReport(messages.Message, frozen=True):
    """Anchor to coordinator: state of a gang that the agent anchors."""

    gang: types.GangId
    epoch: types.Epoch
    phase: Phase
    reason: EndReason
    shares: list[Share]
    guaranteed: bool


class StopGang(messages.Message, frozen=True):
    """Asks the anchor to stop a gang."""

    gang: types.GangId
    epoch: types.Epoch
    reason: EndReason
