"""Preempts runs to make room for a unit that doesn't fit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.scheduling import placement
from pimentobridge.core.scheduling import reclaim

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.core.scheduling import engine as engine_lib
    from pimentobridge.core.scheduling import ledger


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
        now_s = self._clock.monotonic()
        guaranteed = tracked.id in entitled
        workers = list(candidates.workers_by_key.values())
        projected = dict(candidates.free_by_key)
        for worker in workers:
            projected[worker.key] += model.total(
                worker.untracked_by_key.values()
            )
            for entry in worker.entries_by_key.values():
                if entry.stop_requested or not entry.is_current:
                    projected[worker.key] += entry.step.footprint
        assigned = placement.place(candidates, demand, free_by_key=projected)
        if assigned is None:
            chosen = reclaim.choose_victims(
                candidates,
                demand,
                free_by_key=projected,
                victims=reclaim.possible_victims(
                    workers,
                    entitled,
                    priority=tracked.job.queue.priority,
                    guaranteed=guaranteed,
                    now_s=now_s,
                ),
            )
            if chosen is None:
                return False
            victims, assigned = chosen
            lost_work = sum(victim.lost_work(now_s) for victim in victims)
            waited_s = now_s - tracked.first_seen_s
            limit = reclaim.loss_limit(guaranteed=guaranteed, waited_s=waited_s)
            if lost_work <= limit:
                for victim in victims:
                    self._stop_victim(victim, tracked, lost_work)
            else:
                # A pass is due then even without another change.
                rise_s = reclaim.next_rise_s(
                    guaranteed=guaranteed, waited_s=waited_s
                )
                if rise_s is not None:
                    self._engine.passes.request_at(now_s + rise_s)
                if not guaranteed:
                    return False
        # Reserves the resources being freed, so that jobs of lower rank don't
        # get them.
        for key in assigned:
            candidates.reserve(key, demand.step.footprint)
        return True

    def _stop_victim(
        self,
        victim: reclaim.Victim,
        tracked: ledger.TrackedJob,
        lost_work: float,
    ) -> None:
        for worker, entry in victim.entries:
            entry.stop_requested = True
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
