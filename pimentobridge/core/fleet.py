"""The declared fleet: regions, data centres, racks and workers."""

from __future__ import annotations

import msgspec

from pimentobridge.core import types

MBIT_BYTES = 125_000


class Region(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A region and the data centres in it."""

    name: types.RegionName
    data_centres: list[types.DataCentreName]


class Link(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The link between the regions, shared by all traffic.

    Attributes:
        bandwidth_mbit_s: megabits per second in each direction.
        one_way_ms: one-way latency between the regions in milliseconds.
    """

    bandwidth_mbit_s: float
    one_way_ms: float

    @property
    def bytes_per_s(self) -> float:
        """Bandwidth in bytes per second."""
        return self.bandwidth_mbit_s * MBIT_BYTES


class WorkerGroup(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identical workers of one rack.

    Attributes:
        workers: number of workers.
        accelerators: accelerators in each worker.
        cores: processor cores in each worker.
        memory_gb: memory of each worker in gigabytes.
    """

    data_centre: types.DataCentreName
    rack: types.RackName
    workers: int
    accelerators: int
    cores: int
    memory_gb: int


class Worker(msgspec.Struct, frozen=True):
    """One machine with accelerators."""

    id: types.WorkerId
    data_centre: types.DataCentreName
    rack: types.RackName
    accelerators: int
    cores: int
    memory_gb: int


def workers_of(groups: list[WorkerGroup]) -> list[Worker]:
    """Returns the workers that the groups declare, in declaration order."""
    return [
        Worker(
            types.WorkerId(f"{group.data_centre}/{group.rack}/{index}"),
            group.data_centre,
            group.rack,
            group.accelerators,
            group.cores,
            group.memory_gb,
        )
        for group in groups
        for index in range(group.workers)
    ]
