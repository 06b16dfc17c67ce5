"""Status of an entry, for the `status` command and dashboards."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from pimentobridge.daemons import entry as entry_lib


class ServerLine(msgspec.Struct, frozen=True):
    """One backend server in an entry's view.

    Attributes:
        free: free slots in the agent's last report, which may be out of date.
        queued: queued requests in the same report.
        outstanding: the entry's requests that are bound to the server.
        ejections: number of times that the entry has ejected the server as an
            outlier.
    """

    address: str
    region: str
    data_centre: str
    state: str
    slots: int
    free: int
    queued: int
    outstanding: int
    ejections: int


class ClassLine(msgspec.Struct, frozen=True):
    """One class of work at an entry."""

    name: str
    queued: int


class MemberLine(msgspec.Struct, frozen=True):
    """One member of a group."""

    address: str
    group: str
    state: str
    accelerators: int


class JobLine(msgspec.Struct, frozen=True):
    """One job at the entry that places jobs."""

    id: str
    account: str
    state: str
    accelerators: int
    guaranteed: bool


class GuaranteeLine(msgspec.Struct, frozen=True):
    """Number of guaranteed units of one account and shape.

    Attributes:
        claimed: units that a job uses.
        kept: units without a job whose accelerators are reserved.
        unbound: units without a job or accelerators.
    """

    account: str
    shape: str
    claimed: int
    kept: int
    unbound: int


class Status(msgspec.Struct, frozen=True):
    """Status of one entry.

    Attributes:
        placement_holder: address of the entry that places jobs.
        pending: requests without an outcome.
    """

    node: str
    region: str
    data_centre: str
    state: str
    configuration_sequence: int
    configuration_digest: str
    placement_holder: str
    pending: int
    answered: int
    refused: int
    unknown: int
    failed: int
    retried: int
    servers: list[ServerLine]
    classes: list[ClassLine]
    members: list[MemberLine]
    jobs: list[JobLine]
    guarantees: list[GuaranteeLine]


def status_of(entry: entry_lib.Entry) -> Status:
    """Returns the status of an entry."""
    counters = entry.dispatcher.counters
    return Status(
        node=entry.identity.node,
        region=entry.identity.region,
        data_centre=entry.identity.data_centre,
        state=entry.state.value,
        configuration_sequence=entry.replica.sequence,
        configuration_digest=entry.replica.digest,
        placement_holder=entry.jobs.holder,
        pending=entry.dispatcher.pending_count,
        answered=counters.answered,
        refused=counters.refused,
        unknown=counters.unknown,
        failed=counters.failed,
        retried=counters.retried,
        servers=_servers(entry),
        classes=[
            ClassLine(c.name, len(entry.dispatcher.backlog.queue_of(c.name)))
            for c in entry.dispatcher.backlog.ordered_classes
        ],
        members=_members(entry),
        jobs=_jobs(entry),
        guarantees=_guarantees(entry),
    )


def _servers(entry: entry_lib.Entry) -> list[ServerLine]:
    ejections = entry.dispatcher.ejections_by_agent
    return [
        ServerLine(
            address=server.address,
            region=server.region,
            data_centre=server.data_centre,
            state=server.state.value,
            slots=server.slots,
            free=server.free,
            queued=server.queued,
            outstanding=server.outstanding,
            ejections=ejections.get(server.address, 0),
        )
        for server in entry.dispatcher.pool.by_address.values()
    ]


def _members(entry: entry_lib.Entry) -> list[MemberLine]:
    return [
        MemberLine(m.address, name, m.state.value, m.accelerators)
        for name, group in entry.directory.groups_by_name.items()
        for m in group.members_by_address.values()
    ]


def _jobs(entry: entry_lib.Entry) -> list[JobLine]:
    return [
        JobLine(j.id, j.account, j.state.value, j.accelerators, j.guaranteed)
        for j in entry.jobs.jobs
    ]


def _guarantees(entry: entry_lib.Entry) -> list[GuaranteeLine]:
    counts: dict[tuple[str, str], list[int]] = {}
    for unit in entry.jobs.units:
        key = (unit.account, str(unit.shape))
        tally = counts.setdefault(key, [0, 0, 0])
        if unit.job is not None:
            tally[0] += 1
        elif unit.cells:
            tally[1] += 1
        else:
            tally[2] += 1
    return [
        GuaranteeLine(name, shape, claimed, kept, unbound)
        for (name, shape), (claimed, kept, unbound) in counts.items()
    ]
