"""Prefers the workers on which work has the pace that it needs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from pimentobridge.core.scheduling import guarantees
from pimentobridge.core.scheduling import preferences
from pimentobridge.core.scheduling import remoteness

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import placement
    from pimentobridge.core.scheduling import speeds as speeds_lib

# Factor between two steps of speed. Workers of one step count as equal, so that
# small errors of the learned speeds don't decide.
STEP_FACTOR = 1.25
# Time that a run takes in addition to its work: its start is recorded and
# ordered first, and its end is known only with the next of the two reports in a
# second.
OVERHEAD_S = 0.4
# Cost of a late result; above any difference in pace.
LATE_COST = 1000.0
# Cost, for work that isn't urgent, of being away from its rack: it takes
# capacity for longer on any worker there.
REMOTE_COST = 100.0
# Upper limit of the setting `bounds.remoteFactor`.
MAX_REMOTE_FACTOR = 100.0


class Pace(preferences.SlowestMemberPreference):
    """Orders workers by the time that the work is expected to take there.

    Workers on which it would be late come last. Of the others, urgent work
    prefers the fastest, and work that isn't urgent the slowest, so that the
    fast ones stay free for urgent work. While no worker is known to differ from
    the average, all cost the same, and `remote_factor` isn't used: the rack
    that a step names is preferred in any case.

    Args:
        speeds: the workers' speeds.
        remote_factor: how many times as long work takes away from its rack.
    """

    def __init__(
        self, speeds: speeds_lib.Speeds, *, remote_factor: float
    ) -> None:
        self._speeds = speeds
        self._remote_factor = min(MAX_REMOTE_FACTOR, max(1.0, remote_factor))
        self._remote_steps = _steps(self._remote_factor)
        self._speed_by_key: dict[runs.IncarnationKey, float] = {}
        self._steps_by_key: dict[runs.IncarnationKey, int] = {}

    def start_pass(
        self, workers: Iterable[fleet.TrackedWorker], now_s: float
    ) -> None:
        """Updates the speeds, which then stay the same for the pass."""
        self._speeds.update(now_s)
        self._speed_by_key = {
            worker.key: speed
            for worker in workers
            if (speed := self._speeds.speed_of(worker.agent)) != 1.0
        }
        self._steps_by_key = {
            key: _steps(speed) for key, speed in self._speed_by_key.items()
        }

    @property
    def uneven(self) -> bool:
        """Whether any worker is known to differ from the average."""
        return bool(self._speed_by_key)

    def expected_s(
        self, worker: fleet.TrackedWorker, demand: placement.Demand
    ) -> float:
        """Returns the expected run time of a member on a worker, in seconds."""
        expected_s = demand.expected_s / self._speed_by_key.get(worker.key, 1.0)
        if self.uneven and remoteness.is_remote(demand.step, worker):
            return expected_s * self._remote_factor
        return expected_s

    def expected_on(
        self, workers: Sequence[fleet.TrackedWorker], demand: placement.Demand
    ) -> float:
        """Returns the expected run time of a unit on its workers, in seconds.

        A gang takes as long as its slowest member, and longer if it is to be in
        one rack and isn't.
        """
        expected_s = max(self.expected_s(worker, demand) for worker in workers)
        if self.uneven and demand.step.same_rack and _are_apart(workers):
            return expected_s * self._remote_factor
        return expected_s

    def is_late(
        self,
        worker: fleet.TrackedWorker,
        demand: placement.Demand,
        *,
        delay_s: float = 0.0,
    ) -> bool:
        """Returns whether the work would miss its completion target there.

        Args:
            worker: the worker.
            demand: requirements of the unit.
            delay_s: time for which the unit has to wait, in seconds.
        """
        expected_s = self.expected_s(worker, demand)
        return expected_s + OVERHEAD_S + delay_s > demand.due_in_s

    def cost(
        self, worker: fleet.TrackedWorker, demand: placement.Demand
    ) -> float:
        """Returns the cost, see the class."""
        if not self.uneven:
            return 0.0
        late = LATE_COST * self.is_late(worker, demand)
        remote = remoteness.is_remote(demand.step, worker)
        steps = self._steps_by_key.get(worker.key, 0)
        if demand.priority == guarantees.URGENT_PRIORITY:
            return late + self._remote_steps * remote - steps
        if demand.step.long_running:
            # It has no end that a slow worker would delay, and its callers
            # are served more slowly there.
            steps = -steps
        return late + REMOTE_COST * remote + steps


def _are_apart(workers: Sequence[fleet.TrackedWorker]) -> bool:
    racks = {
        worker.incarnation.rack
        for worker in workers
        if worker.incarnation is not None
    }
    return len(racks) > 1


def _steps(speed: float) -> int:
    return round(math.log(speed) / math.log(STEP_FACTOR))
