"""Configuration of queues, services and client accounts."""

from __future__ import annotations

import msgspec

from pimentobridge.core import types


class AdvicePolicy(msgspec.Struct, frozen=True, array_like=True):
    """Timing of an external policy that decides which workers may run a step.

    The policy's answer has a ticket for each worker that it allows.

    Attributes:
        decision_s: part of the policy's response time that doesn't depend on
            the number of workers, in seconds.
        per_worker_s: response time added by each worker in the request.
        validity_s: how long a ticket is valid, in seconds.
    """

    decision_s: float
    per_worker_s: float
    validity_s: float

    def time_for(self, workers: int) -> float:
        """Returns the expected response time for a request, in seconds.

        Args:
            workers: number of workers in the request.
        """
        return self.decision_s + workers * self.per_worker_s


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """A queue that accepts jobs under a hostname and path prefix.

    Attributes:
        hostname: host of the requests that the queue accepts.
        prefix: path prefix of the requests that the queue accepts.
        service: name of the worker pool that runs its tasks.
        priority: 0 is the most urgent and may preempt other jobs.
        max_attempts: number of failed runs of a task or gang after which its
            job fails.
        stretch: completion-time objective as a multiple of the total run time
            of the job's longest chain of dependent steps.
        objective_s: seconds added to the completion-time objective.
        timeout_s: time limit for a caller's request, in seconds.
        anonymous: requests need no API key.
        advice: external policy that decides which workers may run the queue's
            steps; None if any worker may.
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
        enforces_capacity: its workers refuse tasks that exceed their
            capacity.
        standby: its machines are powered off.
    """

    name: str
    enforces_capacity: bool
    standby: bool = False


class ClientAccount(msgspec.Struct, frozen=True):
    """A client account and the capacity that it is guaranteed.

    Attributes:
        keys: API keys that authenticate the account.
        guaranteed_accelerators: number of accelerators guaranteed to its
            urgent jobs.
    """

    name: types.AccountName
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


class JobConfiguration(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
        max_body_bytes: size limit of a request body.
    """

    version: int
    queues_by_name: dict[str, Queue]
    services_by_name: dict[str, Service]
    accounts_by_name: dict[types.AccountName, ClientAccount]
    max_body_bytes: int

    def queue_for(self, hostname: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix, if any."""
        matching = [
            queue
            for queue in self.queues_by_name.values()
            if queue.hostname == hostname and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    def account_of(self, key: str) -> ClientAccount | None:
        """Returns the account that API key `key` belongs to, if any."""
        for account in self.accounts_by_name.values():
            if key in account.keys:
                return account
        return None
