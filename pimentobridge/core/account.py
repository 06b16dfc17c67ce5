"""Client accounts, their guaranteed shapes and their teams."""

from __future__ import annotations

import enum

import msgspec

from pimentobridge.core import types


class Scope(enum.Enum):
    """Part of the fleet that must contain all workers of a shape."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


class Shape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Accelerators that are allocated together.

    Attributes:
        accelerators: adjacent accelerators in each worker.
        workers: number of workers.
        scope: what the workers must share: the worker itself, the rack or the
            data centre.
        cores: processor cores needed in each worker.
        memory_gb: memory needed in each worker, in gigabytes.
    """

    accelerators: int
    workers: int = 1
    scope: Scope = Scope.WORKER
    cores: int = 0
    memory_gb: int = 0

    @property
    def total_accelerators(self) -> int:
        """Number of accelerators in the whole shape."""
        return self.accelerators * self.workers

    def __str__(self) -> str:
        if self.workers == 1:
            return f"{self.accelerators} accelerators in a worker"
        return (
            f"{self.workers} workers of {self.accelerators} accelerators in one"
            f" {self.scope.value.replace('_', ' ')}"
        )


class Guarantee(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A shape that an account can always claim, `count` times at once."""

    shape: Shape
    count: int = 1


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team of an account, with its quota of accelerators used at once."""

    name: types.TeamName
    quota_accelerators: int


class ClientAccount(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account.

    Attributes:
        home_region: region whose entries its callers usually connect to.
        share: weight relative to other accounts when work is queued.
    """

    name: types.AccountName
    home_region: types.RegionName
    share: float = 1.0
    guarantees: list[Guarantee] = []
    teams: list[Team] = []
