"""Selects the urgent jobs that their accounts' guarantees cover."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentobridge.core import types
    from pimentobridge.core.jobs import configuration
    from pimentobridge.core.scheduling import ledger

URGENT_PRIORITY = 0


def is_urgent(tracked: ledger.TrackedJob) -> bool:
    """Returns whether the job's queue has the urgent, preempting priority."""
    return tracked.job.queue.priority == URGENT_PRIORITY


def accelerators_of(tracked: ledger.TrackedJob) -> int:
    """Returns the total number of accelerators that a job requests."""
    return sum(
        step.count * step.request.accelerators for step in tracked.job.steps
    )


def entitled_jobs(
    jobs: Iterable[ledger.TrackedJob],
    accounts_by_name: dict[types.AccountName, configuration.ClientAccount],
) -> set[types.JobId]:
    """Returns the urgent jobs that the guarantees cover.

    An account's jobs are taken in the order in which this scheduler learned of
    them. A job is covered if its accelerators and those of the jobs covered
    before it fit in the guarantee.
    """
    used: collections.Counter[types.AccountName] = collections.Counter()
    entitled: set[types.JobId] = set()
    for tracked in sorted(jobs, key=lambda job: job.first_seen_s):
        if not is_urgent(tracked) or tracked.state.ended:
            continue
        account = accounts_by_name.get(tracked.job.account)
        if account is None:
            continue
        need = accelerators_of(tracked)
        if used[account.name] + need <= account.guaranteed_accelerators:
            used[account.name] += need
            entitled.add(tracked.id)
    return entitled
