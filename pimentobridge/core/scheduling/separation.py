"""Prefers the workers where a unit and its neighbours don't interfere."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.scheduling import throttling

if TYPE_CHECKING:
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import interference as interference_lib
    from pimentobridge.core.scheduling import pace as pace_lib
    from pimentobridge.core.scheduling import placement

# Cost of a late result; above any difference in interference.
LATE_COST = 1000.0
# Cost, for a task that uses spare CPU, of a worker that throttles such tasks.
THROTTLED_COST = 100.0


class Separation:
    """Orders workers by how much a unit interferes with what runs there.

    Workers on which the work would be late come last, so that separation makes
    no work late that another worker with room would complete in time. All
    workers cost the same for a unit of which no interference is known, except
    that tasks that use spare CPU avoid workers that throttle such tasks.

    Args:
        interference: known slowdowns.
        pace: expected run times.
    """

    def __init__(
        self,
        interference: interference_lib.Interference,
        pace: pace_lib.Pace,
    ) -> None:
        self._interference = interference
        self._pace = pace

    def cost(
        self, worker: fleet.TrackedWorker, demand: placement.Demand
    ) -> float:
        """Returns the cost, see `preferences.Preference`."""
        cost = 0.0
        if demand.step.uses_spare_cpu:
            throttled = worker.throttle.percent < throttling.FULL_PERCENT
            cost += THROTTLED_COST * throttled
        if not self._interference.concerns(demand):
            return cost
        effect = self._interference.effect(worker, demand)
        expected_s = self._pace.expected_s(worker, demand)
        late = self._pace.is_late(
            worker, demand, delay_s=expected_s * (effect.slowdown - 1)
        )
        return cost + LATE_COST * late + effect.steps
