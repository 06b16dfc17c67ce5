"""Backfills units into capacity that is reserved for a unit that doesn't fit.

The first unit of a priority that doesn't fit gets a reservation, which binds
all units after it in the order. While the capacity would be idle, units use it
that are expected to end before the reservation's time, or that can be stopped
then because they save checkpoints.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from pimentobridge.core.scheduling import holds
from pimentobridge.core.scheduling import placement
from pimentobridge.core.scheduling import ranking
from pimentobridge.core.scheduling import reclaim

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from pimentobridge.core import types
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import ledger

# Factor on the expected run time of a unit. Callers' estimates are off by up to
# 90 %, so that a run may take nearly twice as long as expected.
ESTIMATE_MARGIN = 2.0
# A run that is to be stopped must have at least this time, in seconds. Its stop
# takes up to 0.9 s on the platform, and to record its start, send the order and
# load its checkpoint about 0.5 s, which is a third of this time.
MIN_STAY_S = 4.0


class Placed(NamedTuple):
    """Where a unit is placed.

    Attributes:
        assigned: a worker for each member.
        owner: the job for which this capacity is reserved, if its priority is
            the same; it may stop the unit. None otherwise.
    """

    assigned: list[runs.IncarnationKey]
    owner: types.JobId | None = None


class Backfill:
    """Decides which units may use capacity that is reserved for others.

    Args:
        log: writes a log line, given an event text and fields.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        # When a reservation, by its job, first held back another job.
        self._held_back_s: dict[tuple[types.JobId, types.JobId], float] = {}
        # The reservations of the latest pass, by service and priority.
        self._reservations: dict[tuple[str, int], holds.Hold] = {}
        # What is being freed for a job by stopping backfilled units.
        self._claims_by_job: dict[types.JobId, holds.Hold] = {}
        self._logged_owners: dict[tuple[str, int], types.JobId] = {}
        self._backfilled = 0
        self._exempt = 0

    @property
    def owner_by_key(self) -> dict[runs.IncarnationKey, types.JobId]:
        """The jobs with reservations from the latest pass, by worker."""
        return {
            key: hold.job
            for hold in self._reservations.values()
            for key in hold.keys
        }

    def start_pass(
        self, held: holds.Holds, open_jobs: Collection[types.JobId]
    ) -> None:
        """Adds the claims to the holds of a pass, and forgets ended jobs.

        Args:
            held: the holds of the pass.
            open_jobs: the jobs that haven't ended.
        """
        self._reservations = {}
        for job, claim in list(self._claims_by_job.items()):
            if job in open_jobs:
                held.add_claim(claim)
            else:
                del self._claims_by_job[job]
        self._held_back_s = {
            (job, owner): since_s
            for (job, owner), since_s in self._held_back_s.items()
            if job in open_jobs and owner in open_jobs
        }

    def gauges(self) -> dict[str, float]:
        """Returns the counters of these decisions, by metric name."""
        return {
            "units_backfilled_total": self._backfilled,
            "units_exempt_from_reservation_total": self._exempt,
        }

    def place(
        self,
        candidates: placement.Candidates,
        held: holds.Holds,
        tracked: ledger.TrackedJob,
        demand: placement.Demand,
        now_s: float,
    ) -> Placed | None:
        """Returns where a unit fits, or None if it doesn't.

        Args:
            candidates: workers and their free resources, without what is held.
            held: what is held for units that are before this one.
            tracked: the unit's job.
            demand: requirements of the unit.
            now_s: current monotonic time.
        """
        assigned = placement.place(candidates, demand)
        if assigned is not None:
            return Placed(assigned)
        binding = held.binding_on(tracked.job.queue.priority)
        if _place_within(candidates, held, demand, binding) is None:
            return None
        open_to_it = [
            hold
            for hold in binding
            if ends_in_time(hold, demand)
            or self._is_exempt(hold, tracked, now_s)
        ]
        assigned = _place_within(candidates, held, demand, open_to_it)
        if assigned is None:
            self._note_held_back(binding, tracked, now_s)
            return None
        return Placed(
            assigned, self._entered(open_to_it, assigned, tracked, demand)
        )

    def _entered(
        self,
        open_to_it: list[holds.Hold],
        assigned: list[runs.IncarnationKey],
        tracked: ledger.TrackedJob,
        demand: placement.Demand,
    ) -> types.JobId | None:
        """Counts a unit in reserved capacity; returns who may stop it."""
        entered = [
            hold
            for hold in open_to_it
            if not set(hold.keys).isdisjoint(assigned)
        ]
        if all(ends_in_time(hold, demand) for hold in entered):
            self._backfilled += 1
        else:
            self._exempt += 1
        self._log(
            "unit backfilled",
            job=tracked.id,
            size=demand.size,
            expected_s=round(demand.expected_s, 2),
            reserved_for=[hold.job for hold in entered],
            fits_in_s=[round(hold.fits_in_s, 2) for hold in entered],
        )
        owners = [
            hold.job
            for hold in entered
            if hold.priority == tracked.job.queue.priority
        ]
        return owners[0] if owners else None

    def _is_exempt(
        self, hold: holds.Hold, tracked: ledger.TrackedJob, now_s: float
    ) -> bool:
        """Returns whether a reservation has held a job back for too long.

        A reservation whose time passes without capacity, as estimates are
        wrong, would hold back others of its priority for ever. What stops have
        freed for a job stays closed: a unit that got it would be stopped for
        the same job again.
        """
        if hold.priority != tracked.job.queue.priority:
            return False
        if hold.job in self._claims_by_job:
            return False
        since_s = self._held_back_s.get((tracked.id, hold.job))
        return since_s is not None and (
            now_s - since_s > ranking.promised_s(tracked)
        )

    def _note_held_back(
        self,
        binding: list[holds.Hold],
        tracked: ledger.TrackedJob,
        now_s: float,
    ) -> None:
        """Notes since when reservations of its priority hold a job back."""
        for hold in binding:
            if hold.priority == tracked.job.queue.priority:
                self._held_back_s.setdefault((tracked.id, hold.job), now_s)

    def on_stopped(
        self,
        victims: list[reclaim.Victim],
        tracked: ledger.TrackedJob,
        demand: placement.Demand,
        assigned: list[runs.IncarnationKey],
    ) -> None:
        """Keeps for a job what backfilled units that it has stopped free.

        The stops lower the share of their account, so that the units could be
        before the job in the next pass, and would be stopped again.
        """
        if any(
            entry.backfilled_for == tracked.id
            for victim in victims
            for _, entry in victim.entries
        ):
            self._claims_by_job[tracked.id] = holds.Hold(
                tracked.id,
                tracked.job.queue.priority,
                assigned,
                demand.step.footprint,
                0.0,
            )

    def drop_claim(self, job: types.JobId) -> None:
        """Notes that a job has started, or can't start where it claims."""
        self._claims_by_job.pop(job, None)

    def on_reserved(self, hold: holds.Hold, service: str) -> None:
        """Notes the reservation of a priority, and logs a new owner."""
        pool = (service, hold.priority)
        self._reservations[pool] = hold
        if self._logged_owners.get(pool) == hold.job:
            return
        self._logged_owners[pool] = hold.job
        self._log(
            "capacity reserved",
            job=hold.job,
            service=service,
            priority=hold.priority,
            fits_in_s=round(hold.fits_in_s, 2),
            workers=sorted({key.worker for key in hold.keys}),
        )


def ends_in_time(hold: holds.Hold, demand: placement.Demand) -> bool:
    """Returns whether a unit may use held capacity until it is needed."""
    step = demand.step
    if step.long_running:
        return False
    if step.checkpointing and hold.fits_in_s >= MIN_STAY_S:
        return True
    known = step.estimate_s > 0
    return known and demand.expected_s * ESTIMATE_MARGIN <= hold.fits_in_s


def _place_within(
    candidates: placement.Candidates,
    held: holds.Holds,
    demand: placement.Demand,
    opened: list[holds.Hold],
) -> list[runs.IncarnationKey] | None:
    """Returns where a unit fits if it may use the resources of some holds.

    Without them it doesn't fit.
    """
    free_by_key = held.free_with(opened)
    footprint = demand.step.footprint
    # The unit doesn't fit on the other workers alone.
    if not any(
        footprint.copies_in(free_by_key[key])
        for hold in opened
        for key in set(hold.keys)
    ):
        return None
    return placement.place(candidates, demand, free_by_key=free_by_key)


def stoppable_by_owner(
    workers: Iterable[fleet.TrackedWorker],
) -> dict[types.JobId, list[reclaim.Victim]]:
    """Returns the backfilled units that save checkpoints.

    Each is returned by the job in whose reserved capacity it runs. That job may
    stop it though their priorities are the same. Long-running tasks aren't
    stopped, as their step limits how many of them may be unavailable.
    """
    victims_by_owner: dict[types.JobId, dict[int, reclaim.Victim]] = {}
    for worker in workers:
        for entry in worker.entries_by_key.values():
            owner = entry.backfilled_for
            if (
                owner is None
                or not entry.step.checkpointing
                or entry.step.long_running
                or entry.stop_requested
                or not entry.is_current
            ):
                continue
            victims = victims_by_owner.setdefault(owner, {})
            victim = victims.setdefault(
                id(entry.unit), reclaim.Victim(entry.unit)
            )
            victim.entries.append((worker, entry))
    return {
        owner: list(victims.values())
        for owner, victims in victims_by_owner.items()
    }
