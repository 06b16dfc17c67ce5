"""Typed messages of the request path.

Messages of membership, configuration and gangs stand in modules of their own;
`codec` joins them all into one union.
"""

from __future__ import annotations

import enum

import msgspec

from pimentobridge.core import request as request_lib
from pimentobridge.core import types


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of every message between processes."""


class NotRunReason(enum.Enum):
    """Why an agent didn't start a request."""

    WRONG_INCARNATION = "wrong-incarnation"
    DRAINING = "draining"
    TOMBSTONED = "tombstoned"
    WITHDRAWN = "withdrawn"
    FULL = "full"
    EXPIRED = "expired"


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Hint of an agent's spare capacity; it may be stale on arrival.

    Attributes:
        free: free slots.
        queued: accepted requests that wait for a slot.
    """

    free: int
    queued: int


class Heartbeat(Message, frozen=True):
    """Sent by each end of a link between an entry and an agent.

    Attributes:
        sequence: counts the sender's heartbeats to this peer.
        echo: highest sequence heard from this peer, so that each end learns
            when its own outgoing connection has gone silent.
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
    """Asks an agent to run a request, under one incarnation of that agent."""

    incarnation: types.Incarnation
    request: request_lib.Request


class Accepted(Message, frozen=True):
    """Confirms that an agent holds a request, queued or running."""

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
    """Announces an answer; carries the whole of it when it is small.

    Attributes:
        digest: hash of the whole body.
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
    """Tells an agent that the answer is held whole and may be dropped."""

    id: types.RequestId


class Withdraw(Message, frozen=True):
    """Asks an agent not to start a request; leaves a tombstone.

    Attributes:
        abort: whether idempotent work that runs already is to be cut short,
            because nobody waits for its answer any more.
    """

    id: types.RequestId
    attempt: int
    abort: bool = False


class Query(Message, frozen=True):
    """Asks what an agent knows of a request; its answer is sent again."""

    id: types.RequestId
    attempt: int


class ExecutionReport(Message, frozen=True):
    """States what an agent's execution record says."""

    id: types.RequestId
    incarnation: types.Incarnation
    state: types.ExecutionState
