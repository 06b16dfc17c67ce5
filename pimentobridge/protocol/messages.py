"""Typed messages of the request path.

Other modules of this package define the messages of membership, configuration,
gangs, jobs and workers; `codec` decodes all of them as one union.
"""

from __future__ import annotations

import enum

import msgspec

from pimentobridge.core import request as request_lib
from pimentobridge.core import types


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages between processes."""


class NotRunReason(enum.Enum):
    """Why an agent didn't start a request.

    `TOMBSTONED`: the attempt was refused or withdrawn before it arrived.
    `FULL`: the agent's configuration doesn't contain the request's class.
    """

    WRONG_INCARNATION = "wrong-incarnation"
    DRAINING = "draining"
    TOMBSTONED = "tombstoned"
    WITHDRAWN = "withdrawn"
    FULL = "full"
    EXPIRED = "expired"


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Hint of an agent's spare capacity; it may be out of date on arrival.

    Attributes:
        free: number of free slots.
        queued: number of accepted requests that wait for a slot.
    """

    free: int
    queued: int


class Heartbeat(Message, frozen=True):
    """Sent by each end of a link between an entry and an agent.

    Attributes:
        sequence: number of the heartbeat, counted by the sender for each peer.
        echo: highest sequence received from this peer, so that each end learns
            when its own outgoing connection doesn't deliver any more.
    """

    node: types.NodeId
    incarnation: types.Incarnation
    region: types.RegionName
    data_centre: types.DataCentreName
    state: types.NodeState
    sequence: int
    echo: int
    slots: int = 0
    load: Load = Load(0, 0)


class Dispatch(Message, frozen=True):
    """Asks one incarnation of an agent to run a request."""

    incarnation: types.Incarnation
    request: request_lib.Request


class Accepted(Message, frozen=True):
    """Confirms that an agent has queued a request or is running it."""

    id: types.RequestId
    incarnation: types.Incarnation
    state: types.ExecutionState
    load: Load


class NotRun(Message, frozen=True):
    """Confirms that an attempt was not started and never will be."""

    id: types.RequestId
    attempt: int
    incarnation: types.Incarnation
    reason: NotRunReason
    load: Load


class AnswerHead(Message, frozen=True):
    """Announces an answer; includes the complete body when it is small.

    Attributes:
        length: length of the complete body in bytes.
        digest: hash of the complete body.
        first: leading bytes of the body.
    """

    id: types.RequestId
    incarnation: types.Incarnation
    status: int
    length: int
    digest: bytes
    first: bytes
    run_s: float
    load: Load


class ChunkRequest(Message, frozen=True):
    """Asks for `length` bytes of an answer from `offset` on."""

    id: types.RequestId
    offset: int
    length: int


class Chunk(Message, frozen=True):
    """Part of an answer's body."""

    id: types.RequestId
    offset: int
    data: bytes


class AnswerAck(Message, frozen=True):
    """Tells an agent that the answer arrived complete and may be discarded."""

    id: types.RequestId


class Withdraw(Message, frozen=True):
    """Asks an agent not to start a request.

    The agent leaves a tombstone, which makes it refuse the attempt if its
    dispatch arrives later.

    Attributes:
        abort: whether to abort idempotent work that is running already, because
            no caller waits for its answer any more.
    """

    id: types.RequestId
    attempt: int
    abort: bool = False


class Query(Message, frozen=True):
    """Asks an agent for the state of a request.

    If the request has an answer, the agent sends the answer again.
    """

    id: types.RequestId
    attempt: int


class ExecutionReport(Message, frozen=True):
    """State of a request in an agent's execution record."""

    id: types.RequestId
    incarnation: types.Incarnation
    state: types.ExecutionState
