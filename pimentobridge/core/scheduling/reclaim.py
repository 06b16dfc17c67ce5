"""Chooses runs to preempt for a more urgent job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.scheduling import guarantees
from pimentobridge.core.scheduling import ledger
from pimentobridge.core.scheduling import placement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentobridge.core import types
    from pimentobridge.core.jobs import progress
    from pimentobridge.core.scheduling import fleet

# Unsaved work that an urgent job may discard without waiting, in core-seconds.
# That allows only for checkpointing runs, which count as 0, and for runs that
# have just started.
SMALL_LOSS = 50.0
# Unsaved work that it may discard once it has waited for the time below, if it
# can still be in time: the larger of an amount in core-seconds, and a share of
# the work that it asks for itself.
LARGE_LOSS = 400.0
LARGE_LOSS_SHARE = 0.3
WAIT_FOR_LARGE_LOSS_S = 1.0
# A job within its account's guarantee may discard any amount of work after
# waiting this long. The rest of the time that the platform allows is enough for
# the stops, their records and the starts.
WAIT_FOR_ANY_LOSS_S = 1.4
# Weight of an accelerator in the discarded work, in cores.
CORES_PER_ACCELERATOR = 8


class Victim:
    """A unit that may be preempted.

    Attributes:
        entries: the unit's runs and the workers that they are on.
    """

    def __init__(self, unit: progress.Unit) -> None:
        self.unit = unit
        self.entries: list[tuple[fleet.TrackedWorker, ledger.RunEntry]] = []

    def lost_work(self, now_s: float) -> float:
        """Returns the work that a stop would discard, in core-seconds."""
        return sum(_lost_work(entry, now_s) for _, entry in self.entries)

    @property
    def priority(self) -> int:
        """Priority of the unit's queue."""
        return self.entries[0][1].tracked.job.queue.priority

    @property
    def is_urgent(self) -> bool:
        """Whether a caller waits for the unit's job."""
        return self.priority == guarantees.URGENT_PRIORITY

    def freed(self) -> placement.FreeResources:
        """Returns the resources that a stop frees, by worker."""
        freed: placement.FreeResources = {}
        for worker, entry in self.entries:
            earlier = freed.get(worker.key, model.NO_RESOURCES)
            freed[worker.key] = earlier + entry.step.footprint
        return freed


def _lost_work(entry: ledger.RunEntry, now_s: float) -> float:
    step = entry.step
    if step.checkpointing:
        return 0.0
    return cores_of(step) * entry.execution_time_s(now_s)


def cores_of(step: model.Step) -> float:
    """Returns what a task takes, with accelerators counted as cores."""
    cores = step.request.cpu_millicores / 1000
    return cores + step.request.accelerators * CORES_PER_ACCELERATOR


def own_work(demand: placement.Demand) -> float:
    """Returns the work that a unit is expected to do, in core-seconds."""
    step = demand.step
    expected_s = (
        demand.expected_s or step.estimate_s or ledger.DEFAULT_ESTIMATE_S
    )
    return demand.size * cores_of(step) * expected_s


def loss_limit(
    *, guaranteed: bool, in_time: bool, waited_s: float, work: float
) -> float:
    """Returns the work that a unit may discard, in core-seconds.

    Args:
        guaranteed: whether its account's guarantee covers the job.
        in_time: whether the job can still be done in time.
        waited_s: how long the job has waited for free resources, in seconds.
        work: the work that the unit is expected to do.
    """
    if guaranteed and waited_s >= WAIT_FOR_ANY_LOSS_S:
        return float("inf")
    if waited_s < WAIT_FOR_LARGE_LOSS_S or not (in_time or guaranteed):
        return SMALL_LOSS
    return max(LARGE_LOSS, LARGE_LOSS_SHARE * work)


def next_rise_s(*, guaranteed: bool, waited_s: float) -> float | None:
    """Returns when `loss_limit` rises next, in seconds from now; None if never.

    Args:
        guaranteed: whether its account's guarantee covers the job.
        waited_s: how long the job has waited for free resources, in seconds.
    """
    if waited_s < WAIT_FOR_LARGE_LOSS_S:
        return WAIT_FOR_LARGE_LOSS_S - waited_s
    if guaranteed and waited_s < WAIT_FOR_ANY_LOSS_S:
        return WAIT_FOR_ANY_LOSS_S - waited_s
    return None


def possible_victims(
    workers: Iterable[fleet.TrackedWorker],
    entitled: set[types.JobId],
    *,
    priority: int,
    guaranteed: bool,
    now_s: float,
) -> list[Victim]:
    """Returns the units that a job may preempt.

    Units of urgent jobs come last, as their callers are waiting; otherwise the
    units are sorted by the work that a stop discards, least first.

    Args:
        workers: workers whose runs are considered.
        entitled: jobs that the guarantees cover.
        priority: priority of the job's queue. A job that isn't urgent may
            preempt only runs that save their work.
        guaranteed: whether the job is one of `entitled`. If not, it may preempt
            only jobs of less urgent queues.
        now_s: current monotonic time.
    """
    by_unit: dict[int, Victim] = {}
    for worker in workers:
        for entry in worker.entries_by_key.values():
            if (
                entry.stop_requested
                or not entry.is_current
                or _is_protected(
                    entry, entitled, priority=priority, guaranteed=guaranteed
                )
            ):
                continue
            victim = by_unit.setdefault(id(entry.unit), Victim(entry.unit))
            victim.entries.append((worker, entry))
    return sorted(
        by_unit.values(),
        key=lambda victim: (
            victim.is_urgent,
            victim.lost_work(now_s),
            -victim.priority,
            str(victim.entries[0][1].name),
        ),
    )


def _is_protected(
    entry: ledger.RunEntry,
    entitled: set[types.JobId],
    *,
    priority: int,
    guaranteed: bool,
) -> bool:
    if entry.step.long_running:
        return True
    if guaranteed:
        return entry.tracked.id in entitled
    if priority != guarantees.URGENT_PRIORITY and not entry.step.checkpointing:
        return True
    return entry.tracked.job.queue.priority <= priority
