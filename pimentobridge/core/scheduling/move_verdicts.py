"""Judges whether a run on a departing worker is moved, and when."""

from __future__ import annotations

import dataclasses
import enum
import statistics
from typing import TYPE_CHECKING
from typing import Protocol

from pimentobridge.core import clock as clock_lib
from pimentobridge.core.scheduling import end_chances

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pimentobridge.core.jobs import model
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import ledger

# Longest time that a worker takes to stop a run and to save its checkpoint.
MAX_STOP_S = 0.9
# Time for the order to reach the worker: a pass, the message and a call.
ORDER_S = 0.3
# A run is stopped at the latest this long before its worker departs. Half a
# second is for the age of the worker's report, as agents report twice a second.
LATEST_STOP_S = MAX_STOP_S + ORDER_S + 0.5
# What a move costs besides the discarded work: the stop and the new start.
MOVE_S = MAX_STOP_S + 2 * ORDER_S
# A run that is more likely than this to end in time isn't moved.
LIKELY = 0.5
# A run without room elsewhere is moved only if its chance to end in time is
# below this: it waits for room in any case, and from its stop on it neither
# holds resources on workers that stay nor does work that is lost.
UNLIKELY = 0.05
# A run that saves checkpoints isn't stopped at the last moment if it is about
# to end with this chance; if it doesn't, the work since its last checkpoint is
# lost.
ALMOST_CERTAIN = 0.9


class Verdict(enum.Enum):
    """What becomes of a run on a departing worker, and why."""

    MOVE_TO_ROOM = "room elsewhere"
    MOVE_CANNOT_END = "can't end in time"
    MOVE_BEFORE_DEPARTURE = "worker about to depart"
    MOVE_UNKNOWN_DEPARTURE = "time of departure unknown"
    STAY_ENDS_IN_TIME = "expected to end in time"
    STAY_COSTS_LESS = "a new start is expected to end later"
    STAY_ALL_REPLACED = "room only on workers that are replaced next"
    STAY_NO_ROOM = "no room elsewhere"
    STAY_UNAVAILABLE = "too many tasks of its step are unavailable"

    @property
    def moves(self) -> bool:
        """Whether the run is moved."""
        return self in (
            Verdict.MOVE_TO_ROOM,
            Verdict.MOVE_CANNOT_END,
            Verdict.MOVE_BEFORE_DEPARTURE,
            Verdict.MOVE_UNKNOWN_DEPARTURE,
        )


@dataclasses.dataclass(frozen=True)
class DepartingRun:
    """A unit's run with at least one member on a departing worker.

    Attributes:
        members: all its members, also those on other workers.
        leaves_in_s: minimum time until the first of its workers departs;
            infinite for one that is evacuated without a time, None if a worker
            hasn't said.
        overruns_s: for how long past workers have served beyond it.
    """

    members: list[ledger.RunEntry]
    leaves_in_s: float | None
    overruns_s: Sequence[float]

    @property
    def first(self) -> ledger.RunEntry:
        """Any of the members."""
        return self.members[0]

    @property
    def step(self) -> model.Step:
        """The step that the members belong to."""
        return self.first.step

    @property
    def rank(self) -> tuple[int, float, str]:
        """Sort key; the first run gets room first."""
        priority = self.first.tracked.job.queue.priority
        return priority, self.leaves_in_s or 0.0, str(self.first.name)


class Room(Protocol):
    """Knows where there is room for a run."""

    def find(
        self, run: DepartingRun, *, anywhere: bool = False
    ) -> list[runs.IncarnationKey] | None:
        """Returns a worker for each member, or None if there is no room.

        Args:
            run: the run.
            anywhere: whether to include the workers that are to be replaced.
        """


def judge(run: DepartingRun, room: Room, now_s: float) -> Verdict:
    """Returns what becomes of a run.

    Args:
        run: the run.
        room: where there is room for it.
        now_s: current monotonic time.
    """
    if run.step.checkpointing:
        return _judge_saving(run, room, now_s)
    return _judge_unsaving(run, room, now_s)


def _judge_saving(run: DepartingRun, room: Room, now_s: float) -> Verdict:
    """Judges a run that saves checkpoints."""
    leaves_in_s = run.leaves_in_s
    if leaves_in_s is None:
        return Verdict.MOVE_UNKNOWN_DEPARTURE
    chance = end_chances.chance_of_end(run.members, leaves_in_s, now_s)
    if leaves_in_s <= LATEST_STOP_S + clock_lib.RESOLUTION_S:
        if chance >= ALMOST_CERTAIN:
            return Verdict.STAY_ENDS_IN_TIME
        return Verdict.MOVE_BEFORE_DEPARTURE
    if chance >= LIKELY and leaves_in_s < float("inf"):
        return Verdict.STAY_ENDS_IN_TIME
    if room.find(run) is not None:
        return Verdict.MOVE_TO_ROOM
    return Verdict.STAY_NO_ROOM


def _judge_unsaving(run: DepartingRun, room: Room, now_s: float) -> Verdict:
    """Judges a run that would start again from the beginning.

    If it stays and is lost, it starts again after the departure, later by the
    time that is left; if it is moved and would have ended, the work that it has
    done is repeated.
    """
    if run.leaves_in_s is None or run.leaves_in_s == float("inf"):
        return Verdict.STAY_COSTS_LESS
    left_s = run.leaves_in_s + statistics.fmean(run.overruns_s)
    chance = statistics.fmean(
        end_chances.chance_of_end(
            run.members, run.leaves_in_s + overrun_s, now_s
        )
        for overrun_s in run.overruns_s
    )
    if chance >= LIKELY:
        return Verdict.STAY_ENDS_IN_TIME
    done_s = max(member.execution_time_s(now_s) for member in run.members)
    if (1 - chance) * left_s <= chance * done_s + MOVE_S:
        return Verdict.STAY_COSTS_LESS
    if room.find(run) is not None:
        return Verdict.MOVE_TO_ROOM
    if run.step.gang and room.find(run, anywhere=True) is not None:
        return Verdict.STAY_ALL_REPLACED
    if chance < UNLIKELY:
        return Verdict.MOVE_CANNOT_END
    return Verdict.STAY_NO_ROOM
