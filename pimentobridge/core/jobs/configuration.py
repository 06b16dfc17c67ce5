"""Queues, services and client accounts in force."""

from __future__ import annotations

import msgspec

from pimentobridge.core import types


class AdvicePolicy(msgspec.Struct, frozen=True, array_like=True):
    """A policy outside the system that says which workers may run a step.

    Attributes:
        decision_s: time that an answer takes.
        per_worker_s: further time for each worker asked about.
        validity_s: how long a ticket holds.
    """

    decision_s: float
    per_worker_s: float
    validity_s: float

    def time_for(self, workers: int) -> float:
        """Returns the seconds that an answer takes."""
        return self.decision_s + workers * self.per_worker_s


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """Where jobs of one kind are submitted.

    Attributes:
        hostname: host that callers name.
        prefix: start of the paths that belong to the queue.
        service: pool of workers that run its tasks.
        priority: 0 comes first and may preempt.
        max_attempts: failed runs after which a task has failed.
        stretch: objective as a multiple of the job's longest chain.
        objective_s: seconds added to the objective.
        timeout_s: seconds a caller's request may take.
        anonymous: calls need no key.
        advice: the policy that its steps are subject to, if any.
    """

    name: str
    hostname: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    objective_s: float
    timeout_s: float
    anonymous: bool = False
    advice: AdvicePolicy | None = None


class Service(msgspec.Struct, frozen=True):
    """A pool of workers.

    Attributes:
        enforces_capacity: its workers refuse what doesn't fit.
        standby: its machines are off.
    """

    name: str
    enforces_capacity: bool
    standby: bool = False


class ClientAccount(msgspec.Struct, frozen=True):
    """A client account and its guarantee.

    Attributes:
        keys: API keys that act for it.
        guaranteed_accelerators: accelerators kept for its urgent jobs.
    """

    name: types.AccountName
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


class JobConfiguration(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
        max_body_bytes: longest accepted body.
    """

    version: int
    queues_by_name: dict[str, Queue]
    services_by_name: dict[str, Service]
    accounts_by_name: dict[types.AccountName, ClientAccount]
    max_body_bytes: int

    def queue_for(self, hostname: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix that matches."""
        found = [
            queue
            for queue in self.queues_by_name.values()
            if queue.hostname == hostname and path.startswith(queue.prefix)
        ]
        return max(found, key=lambda queue: len(queue.prefix), default=None)

    def account_of(self, key: str) -> ClientAccount | None:
        """Returns the account that `key` acts for."""
        for account in self.accounts_by_name.values():
            if key in account.keys:
                return account
        return None
