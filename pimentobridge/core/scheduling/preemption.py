"""Preempts runs to make room for a unit that doesn't fit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.scheduling import backfill
from pimentobridge.core.scheduling import ledger
from pimentobridge.core.scheduling import placement
from pimentobridge.core.scheduling import ranking
from pimentobridge.core.scheduling import reclaim
from pimentobridge.core.scheduling import victim_choice

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import engine as engine_lib
    from pimentobridge.core.scheduling import fleet


class Preemptor:
    """Stops runs of other jobs for units that don't fit.

    Args:
        engine: the state in which runs are marked to be stopped.
        clock: source of time.
        log: writes a log line, given an event text and fields.
    """

    def __init__(
        self,
        engine: engine_lib.Engine,
        *,
        clock: clock_lib.Clock,
        log: Callable[..., None],
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._log = log
        self._ending_by_key: placement.FreeResources = {}
        self._victims_by_rank: dict[tuple[int, bool], list[reclaim.Victim]] = {}
        self._backfilled_by_owner: dict[types.JobId, list[reclaim.Victim]] = {}

    def start_pass(self, candidates: placement.Candidates) -> None:
        """Prepares for a pass; must precede its calls of `make_room`."""
        self._victims_by_rank.clear()
        self._backfilled_by_owner = backfill.stoppable_by_owner(
            candidates.workers_by_key.values()
        )
        # What the runs that are ending or being stopped will free, by worker.
        self._ending_by_key = {
            worker.key: amount
            for worker in candidates.workers_by_key.values()
            if (amount := _resources_of_ending_runs(worker))
            != model.NO_RESOURCES
        }

    def make_room(
        self,
        candidates: placement.Candidates,
        tracked: ledger.TrackedJob,
        demand: placement.Demand,
        entitled: set[types.JobId],
    ) -> bool:
        """Reserves resources for a unit, preempting runs if needed.

        Returns:
            Whether resources are reserved for the unit in this pass.
        """
        return self._make_room(
            candidates, tracked, demand, entitled, small_loss_only=False
        )

    def make_room_with_small_loss(
        self,
        candidates: placement.Candidates,
        tracked: ledger.TrackedJob,
        demand: placement.Demand,
    ) -> bool:
        """Like `make_room` for a unit that could start without preempting.

        Its account's guarantee and the time that it has waited don't count.
        """
        return self._make_room(
            candidates, tracked, demand, set(), small_loss_only=True
        )

    def _make_room(
        self,
        candidates: placement.Candidates,
        tracked: ledger.TrackedJob,
        demand: placement.Demand,
        entitled: set[types.JobId],
        *,
        small_loss_only: bool,
    ) -> bool:
        projected = dict(candidates.free_by_key)
        for key, amount in self._ending_by_key.items():
            projected[key] += amount
        assigned = placement.place(candidates, demand, free_by_key=projected)
        if assigned is None:
            assigned = self._preempt(
                candidates,
                tracked,
                demand,
                free_by_key=projected,
                entitled=entitled,
                small_loss_only=small_loss_only,
            )
        if assigned is None:
            return False
        # Reserves the resources being freed, so that jobs of lower rank don't
        # get them.
        for key in assigned:
            candidates.reserve(key, demand.step.footprint)
        return True

    def _preempt(
        self,
        candidates: placement.Candidates,
        tracked: ledger.TrackedJob,
        demand: placement.Demand,
        *,
        free_by_key: placement.FreeResources,
        entitled: set[types.JobId],
        small_loss_only: bool,
    ) -> list[runs.IncarnationKey] | None:
        """Stops runs for a unit if that doesn't discard too much.

        Returns:
            A worker for each member, or None if nothing is to be reserved. For
            a job that its account's guarantee covers, workers are reserved also
            while it has to wait before it may discard more.
        """
        now_s = self._clock.monotonic()
        guaranteed = tracked.id in entitled
        chosen = victim_choice.choose(
            candidates,
            demand,
            free_by_key=free_by_key,
            victims=[
                *self._possible_victims(
                    candidates,
                    entitled,
                    priority=tracked.job.queue.priority,
                    guaranteed=guaranteed,
                    now_s=now_s,
                ),
                *self._backfilled_for(tracked, guaranteed=guaranteed),
            ],
            now_s=now_s,
        )
        if chosen is None:
            return None
        timeliness = ranking.timeliness(tracked, now_s)
        waited_s = now_s - tracked.first_seen_s
        limit = reclaim.loss_limit(
            guaranteed=guaranteed,
            in_time=timeliness is ranking.Timeliness.IN_TIME,
            waited_s=waited_s,
            work=reclaim.own_work(demand),
        )
        if small_loss_only:
            limit = reclaim.SMALL_LOSS
        if chosen.lost_work <= limit:
            for victim in chosen.victims:
                self._stop_victim(victim, tracked, chosen.lost_work)
            self._engine.backfill.on_stopped(
                chosen.victims, tracked, demand, chosen.assigned
            )
            return chosen.assigned
        if small_loss_only:
            return None
        # A pass is due when the limit rises, even without another change.
        rise_s = reclaim.next_rise_s(guaranteed=guaranteed, waited_s=waited_s)
        if rise_s is not None:
            self._engine.passes.request_at(now_s + rise_s)
        return chosen.assigned if guaranteed else None

    def _possible_victims(
        self,
        candidates: placement.Candidates,
        entitled: set[types.JobId],
        *,
        priority: int,
        guaranteed: bool,
        now_s: float,
    ) -> list[reclaim.Victim]:
        """Returns the units that a job may preempt, see `reclaim`.

        They are found once in a pass for all jobs of a rank: what the pass has
        placed before is of the same rank or a higher one.
        """
        rank = (priority, guaranteed)
        if rank not in self._victims_by_rank:
            self._victims_by_rank[rank] = reclaim.possible_victims(
                candidates.workers_by_key.values(),
                entitled,
                priority=priority,
                guaranteed=guaranteed,
                now_s=now_s,
            )
        return [
            victim
            for victim in self._victims_by_rank[rank]
            if not victim.entries[0][1].stop_requested
        ]

    def _backfilled_for(
        self, tracked: ledger.TrackedJob, *, guaranteed: bool
    ) -> list[reclaim.Victim]:
        """Returns the units of a job's priority in its reserved capacity.

        A job that a guarantee covers may preempt them in any case.
        """
        if guaranteed:
            return []
        return [
            victim
            for victim in self._backfilled_by_owner.get(tracked.id, [])
            if not victim.entries[0][1].stop_requested
        ]

    def _stop_victim(
        self,
        victim: reclaim.Victim,
        tracked: ledger.TrackedJob,
        lost_work: float,
    ) -> None:
        for worker, entry in victim.entries:
            entry.stop_requested = True
            entry.stop_reason = ledger.StopReason.PREEMPTION
            ending = self._ending_by_key.get(worker.key, model.NO_RESOURCES)
            self._ending_by_key[worker.key] = ending + entry.step.footprint
            self._log(
                "run stopped for a more urgent job",
                job=entry.tracked.id,
                task=str(entry.name),
                run=entry.run,
                worker=worker.key.worker,
                for_job=tracked.id,
                waited_s=round(
                    self._clock.monotonic() - tracked.first_seen_s, 3
                ),
                lost_work=round(lost_work, 1),
            )


def _resources_of_ending_runs(worker: fleet.TrackedWorker) -> model.Resources:
    """Returns what the runs that are ending or being stopped will free."""
    ending = [
        entry.step.footprint
        for entry in worker.entries_by_key.values()
        if entry.stop_requested or not entry.is_current
    ]
    return model.total([*worker.untracked_by_key.values(), *ending])
