"""Messages that maintain group membership and distribute the configuration."""

from __future__ import annotations

import msgspec

from pimentobridge.core import configuration
from pimentobridge.core import patch
from pimentobridge.core import types
from pimentobridge.protocol import messages


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A node as its group knows it.

    Attributes:
        beat: heartbeat counter; only the node itself increments it.
        accelerators: number of accelerators of the node.
    """

    address: types.Address
    incarnation: types.Incarnation
    beat: int
    state: types.NodeState
    region: types.RegionName
    accelerators: int = 0


class Beat(messages.Message, frozen=True):
    """Gossip of a group's heartbeat counters, sent to a few of its members.

    Attributes:
        group: name of the group.
        sequence: sequence number of the sender's configuration document.
        digest: digest of the sender's configuration document.
    """

    group: str
    members: list[Member]
    sequence: int
    digest: types.Digest


class RollUp(messages.Message, frozen=True):
    """Summary of a group's membership, sent to an entry.

    Attributes:
        fingerprint: hash of the membership.
        members: the members; empty while the entry is known to have a
            membership with this fingerprint.
        sequence: sequence number of the sender's configuration document.
    """

    group: str
    data_centre: types.DataCentreName
    fingerprint: int
    members: list[Member]
    sequence: int


class RollUpReply(messages.Message, frozen=True):
    """An entry's answer to a roll-up.

    Attributes:
        known: whether the entry has a membership with that fingerprint.
        members: members of the group that the roll-up didn't contain.
        sequence: sequence number of the entry's configuration document.
        interval_s: seconds until the next roll-up should be sent.
    """

    group: str
    known: bool
    fingerprint: int
    members: list[Member]
    sequence: int
    interval_s: float


class ConfigurationPull(messages.Message, frozen=True):
    """Asks for the changes after the sender's configuration document.

    Attributes:
        sequence: sequence number of the sender's document.
        digest: digest of the sender's document.
    """

    sequence: int
    digest: types.Digest


class Step(msgspec.Struct, frozen=True, array_like=True):
    """One change of the configuration document.

    Attributes:
        sequence: sequence number of the document after the change.
        before: digest of the document before the change.
        after: digest of the document after the change.
        operations: patch that makes the change.
        signatures: the owners' signatures of the document after the change.
    """

    sequence: int
    before: types.Digest
    after: types.Digest
    operations: list[patch.Operation]
    signatures: list[configuration.Signature]


class ConfigurationSteps(messages.Message, frozen=True):
    """The changes from the requester's document to the newest one, in order."""

    steps: list[Step]


class ConfigurationWhole(messages.Message, frozen=True):
    """The newest document, for a requester too far behind for the changes."""

    proposal: configuration.Proposal


class ConfigurationNews(messages.Message, frozen=True):
    """Announces a newer document ahead of the next heartbeat."""

    sequence: int
    digest: types.Digest
