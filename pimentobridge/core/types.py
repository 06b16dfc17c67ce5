"""Identifier types and states shared by all packages."""

from __future__ import annotations

import enum
from typing import NewType

NodeId = NewType("NodeId", str)
Address = NewType("Address", str)
RegionName = NewType("RegionName", str)
DataCentreName = NewType("DataCentreName", str)
RackName = NewType("RackName", str)
WorkerId = NewType("WorkerId", str)
AccountName = NewType("AccountName", str)
TeamName = NewType("TeamName", str)
CallerId = NewType("CallerId", str)
ClassName = NewType("ClassName", str)
RequestId = NewType("RequestId", str)
JobId = NewType("JobId", str)
GangId = NewType("GangId", str)
Incarnation = NewType("Incarnation", int)
Epoch = NewType("Epoch", int)
Version = NewType("Version", int)
Digest = NewType("Digest", str)


class Urgency(enum.Enum):
    """Priority of a class of work."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"

    @property
    def rank(self) -> int:
        """Order of service; lower ranks are served first."""
        return list(Urgency).index(self)


class NodeState(enum.Enum):
    """State of a node in the membership of its group."""

    ACTIVE = "active"
    DRAINING = "draining"
    SUSPECT = "suspect"
    DEAD = "dead"


class Ran(enum.Enum):
    """Whether a request's work was started, as far as is known."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class ExecutionState(enum.Enum):
    """State of one request at the agent that owns its execution."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    TOMBSTONED = "tombstoned"
    ABSENT = "absent"
