"""Preempts on fast workers for urgent units that would be late elsewhere."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core.scheduling import guarantees
from pimentobridge.core.scheduling import placement

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import ledger
    from pimentobridge.core.scheduling import pace as pace_lib
    from pimentobridge.core.scheduling import preemption

# Time for a stop and its record. Workers have 0.9 s for a stop, and most take
# less.
STOP_S = 0.6
# A job waits for faster workers no longer than this. For one that a guarantee
# covers the time counts from its submission: the guarantee, all starts within
# 3.4 s, must not depend on them.
MAX_WAIT_S = 1.2


class FasterWorkers:
    """Preempts less urgent work where that puts an urgent unit in time.

    Only for units that would be late on the free workers, and only with small
    losses: the unit can start without any.

    Args:
        pace: expected run times of units on the workers.
        preemptor: stops the runs.
        clock: source of time.
        log: writes a log line, given an event text and fields.
    """

    def __init__(
        self,
        pace: pace_lib.Pace,
        preemptor: preemption.Preemptor,
        *,
        clock: clock_lib.Clock,
        log: Callable[..., None],
    ) -> None:
        self._pace = pace
        self._preemptor = preemptor
        self._clock = clock
        self._log = log
        self._jobs_that_waited = 0

    def make_room(
        self,
        candidates: placement.Candidates,
        tracked: ledger.TrackedJob,
        demand: placement.Demand,
        *,
        guaranteed: bool,
    ) -> bool:
        """Reserves faster workers for a unit that would be late otherwise.

        Returns:
            Whether the unit has to wait for runs that end or are stopped. If
            not, it is to be placed on the free workers.
        """
        if (
            not self._pace.uneven
            or demand.priority != guarantees.URGENT_PRIORITY
            or self._waited_s(tracked, guaranteed) > MAX_WAIT_S
        ):
            return False
        assigned = placement.place(candidates, demand)
        if assigned is None or not any(
            self._pace.is_late(candidates.workers_by_key[key], demand)
            for key in set(assigned)
        ):
            return False
        fast = {
            worker.key
            for worker in candidates.eligible(demand)
            if not self._pace.is_late(worker, demand, delay_s=STOP_S)
        }
        if not fast or not self._preemptor.make_room_with_small_loss(
            candidates, tracked, dataclasses.replace(demand, allowed=fast)
        ):
            return False
        self._count(tracked, demand, assigned)
        return True

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the decisions, by metric name."""
        return {"jobs_that_waited_for_faster_workers": self._jobs_that_waited}

    def _waited_s(self, tracked: ledger.TrackedJob, guaranteed: bool) -> float:
        now_s = self._clock.monotonic()
        if guaranteed:
            return now_s - tracked.first_seen_s
        if tracked.awaits_faster_from_s is None:
            return 0.0
        return now_s - tracked.awaits_faster_from_s

    def _count(
        self,
        tracked: ledger.TrackedJob,
        demand: placement.Demand,
        assigned: list[runs.IncarnationKey],
    ) -> None:
        if tracked.awaits_faster_from_s is not None:
            return
        tracked.awaits_faster_from_s = self._clock.monotonic()
        self._jobs_that_waited += 1
        self._log(
            "unit waits for faster workers",
            job=tracked.id,
            size=demand.size,
            expected_s=round(demand.expected_s, 2),
            due_in_s=round(demand.due_in_s, 2),
            slow=sorted({key.worker for key in assigned}),
        )
