"""Orders the jobs of a class by what their client accounts hold already.

A class holds the jobs with the same guarantee, priority and timeliness. Within
it the account with the smallest dominant share of the fleet goes first, as in
dominant resource fairness (Ghodsi et al., NSDI 2011). The shares change as
units are placed, so that a burst of one account is interleaved with the others.
"""

from __future__ import annotations

import collections
import heapq
import itertools
from typing import TYPE_CHECKING
from typing import NamedTuple

from pimentobridge.core.jobs import model

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Iterator

    from pimentobridge.core import types
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import ledger
    from pimentobridge.core.scheduling import ranking


class Shares:
    """Dominant share of the fleet that each account holds during a pass.

    Runs that are being stopped don't count: their units wait again soon.

    Args:
        workers: all workers that are known. Those whose capacity is unknown
            add nothing to the fleet, and without any capacity all shares are 0.
    """

    def __init__(self, workers: Iterable[fleet.TrackedWorker]) -> None:
        capacities: list[model.Resources] = []
        self._held_by_account: dict[types.AccountName, model.Resources] = {}
        for worker in workers:
            if worker.incarnation is not None:
                capacities.append(worker.incarnation.capacity)
            for entry in worker.entries_by_key.values():
                if not entry.stop_requested:
                    self.add(entry.tracked.job.account, entry.step.footprint)
        self._fleet = model.total(capacities)

    def add(
        self,
        account: types.AccountName,
        amount: model.Resources,
        count: int = 1,
    ) -> None:
        """Adds `count` times an amount to what an account holds."""
        held = self._held_by_account.get(account, model.NO_RESOURCES)
        self._held_by_account[account] = model.Resources(
            held.cpu_millicores + count * amount.cpu_millicores,
            held.memory_mib + count * amount.memory_mib,
            held.accelerators + count * amount.accelerators,
        )

    def of(self, account: types.AccountName) -> float:
        """Returns the largest of an account's shares of the fleet's resources.

        The resources are processors, memory and accelerators.
        """
        held = self._held_by_account.get(account)
        return 0.0 if held is None else held.dominant_share(self._fleet)

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the shares, by metric name."""
        largest = max(map(self.of, self._held_by_account), default=0.0)
        return {"largest_account_share": largest}


class _Turn(NamedTuple):
    """Sort key of an account, by its next job; the lowest is next."""

    share: float
    without_reservation: bool
    rank: ranking.Rank
    account: types.AccountName


class Turns:
    """Yields the job that places its next unit, until all jobs are finished.

    Args:
        ranked: the jobs in the order of rank, which holds within an account.
        shares: what the accounts hold; to be updated with each placement.
        owners: the jobs with reservations; of accounts with equal shares, one
            whose next job is among them goes first.
    """

    def __init__(
        self,
        ranked: list[tuple[ranking.Rank, ledger.TrackedJob]],
        shares: Shares,
        owners: Collection[types.JobId] = (),
    ) -> None:
        self._ranked = ranked
        self._shares = shares
        self._owners = owners
        self._finished: set[types.JobId] = set()

    def finish(self, tracked: ledger.TrackedJob) -> None:
        """Notes that a job has no further units to try in this pass."""
        self._finished.add(tracked.id)

    def __iter__(self) -> Iterator[ledger.TrackedJob]:
        classes = itertools.groupby(
            self._ranked, key=lambda ranked: ranked[0].job_class
        )
        for job_class, jobs in classes:
            if job_class.guaranteed:
                # What is guaranteed doesn't depend on what an account holds.
                yield from self._in_order(jobs)
            else:
                yield from self._by_share(jobs)

    def _in_order(
        self, jobs: Iterable[tuple[ranking.Rank, ledger.TrackedJob]]
    ) -> Iterator[ledger.TrackedJob]:
        for _, tracked in jobs:
            while tracked.id not in self._finished:
                yield tracked

    def _by_share(
        self, jobs: Iterable[tuple[ranking.Rank, ledger.TrackedJob]]
    ) -> Iterator[ledger.TrackedJob]:
        jobs_by_account: dict[
            types.AccountName,
            collections.deque[tuple[ranking.Rank, ledger.TrackedJob]],
        ] = collections.defaultdict(collections.deque)
        for rank, tracked in jobs:
            jobs_by_account[tracked.job.account].append((rank, tracked))
        heap = [self._turn_of(waiting) for waiting in jobs_by_account.values()]
        heapq.heapify(heap)
        while heap:
            account = heapq.heappop(heap).account
            waiting = jobs_by_account[account]
            tracked = waiting[0][1]
            yield tracked
            if tracked.id in self._finished:
                waiting.popleft()
            if waiting:
                heapq.heappush(heap, self._turn_of(waiting))

    def _turn_of(
        self,
        waiting: collections.deque[tuple[ranking.Rank, ledger.TrackedJob]],
    ) -> _Turn:
        rank, tracked = waiting[0]
        account = tracked.job.account
        return _Turn(
            self._shares.of(account),
            tracked.id not in self._owners,
            rank,
            account,
        )
