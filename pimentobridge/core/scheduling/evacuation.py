"""Moves runs off workers that are about to depart.

To move a run is to stop it, so that it starts again elsewhere. A run that saves
checkpoints loses nothing by that; it is moved as soon as there is room for it
elsewhere, and otherwise just before its worker departs. Another run starts from
the beginning, so it is moved only if it would probably be lost where it is, and
without room for it elsewhere only if it can't end in time at all.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import statistics
from typing import TYPE_CHECKING

from pimentobridge.core import clock as clock_lib
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import advice as advice_lib
from pimentobridge.core.scheduling import end_chances
from pimentobridge.core.scheduling import gangs
from pimentobridge.core.scheduling import holds
from pimentobridge.core.scheduling import ledger
from pimentobridge.core.scheduling import placement
from pimentobridge.core.scheduling import reclaim

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from pimentobridge.core import types
    from pimentobridge.core.scheduling import departures as departures_lib
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import pass_requests

    DemandOf = Callable[
        [
            ledger.TrackedJob,
            advice_lib.StepName,
            progress_lib.Unit,
            float,
        ],
        placement.Demand,
    ]

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
HOPELESS = 0.05
# A run that saves checkpoints isn't stopped at the last moment if it is about
# to end with this chance; if it doesn't, the work since its last checkpoint is
# lost.
ALMOST_CERTAIN = 0.9
# Room for a moved run is held for this time: its stop, the record of its end
# and the next pass.
MAX_HOLD_S = MAX_STOP_S + 1.5
# Interval at which the runs on departing workers are looked at again.
RETRY_INTERVAL_S = 0.5


class _Verdict(enum.Enum):
    """What becomes of a run on a departing worker, and why."""

    MOVE_TO_ROOM = "room elsewhere"
    MOVE_HOPELESS = "can't end in time"
    MOVE_BEFORE_DEPARTURE = "worker about to depart"
    MOVE_UNKNOWN_DEPARTURE = "time of departure unknown"
    STAY_ENDS_IN_TIME = "expected to end in time"
    STAY_COSTS_LESS = "a new start is expected to end later"
    STAY_ALL_REPLACED = "room only on workers that are replaced next"
    STAY_NO_ROOM = "no room elsewhere"

    @property
    def moves(self) -> bool:
        """Whether the run is moved."""
        return self in (
            _Verdict.MOVE_TO_ROOM,
            _Verdict.MOVE_HOPELESS,
            _Verdict.MOVE_BEFORE_DEPARTURE,
            _Verdict.MOVE_UNKNOWN_DEPARTURE,
        )


@dataclasses.dataclass(frozen=True)
class _DepartingRun:
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


@dataclasses.dataclass(frozen=True)
class _Move:
    """A run that is being moved, and the room for it."""

    unit: progress_lib.Unit
    run: int
    hold: holds.Hold
    until_s: float


class Evacuation:
    """Decides which runs are moved off departing workers, and when.

    Args:
        workers_by_incarnation: the tracked workers.
        departures: knows which workers depart and when.
        passes: takes the time at which a run has to be looked at again.
        clock: source of time.
        log: writes a log line, given an event text and fields.

    Attributes:
        evacuated_data_centres: data centres in which nothing is started; runs
            that save checkpoints leave them when there is room elsewhere.
    """

    def __init__(
        self,
        workers_by_incarnation: Mapping[
            runs.IncarnationKey, fleet.TrackedWorker
        ],
        departures: departures_lib.Departures,
        passes: pass_requests.PassRequests,
        *,
        clock: clock_lib.Clock,
        log: Callable[..., None],
    ) -> None:
        self._workers_by_incarnation = workers_by_incarnation
        self._departures = departures
        self._passes = passes
        self._clock = clock
        self._log = log
        self._moves: list[_Move] = []
        self._runs_moved = 0
        # The last logged verdict on each run that stays.
        self._stays_by_key: dict[runs.RunKey, _Verdict] = {}
        self.evacuated_data_centres: Collection[types.DataCentreName] = ()

    def hold_room(
        self, held: holds.Holds, candidates: placement.Candidates
    ) -> None:
        """Holds the room for runs that are being moved from less urgent jobs.

        Args:
            held: the holds of the pass.
            candidates: workers that accept tasks.
        """
        now_s = self._clock.monotonic()
        self._moves = [
            move
            for move in self._moves
            if move.unit.run == move.run
            and move.unit.status is not progress_lib.UnitStatus.DONE
            and now_s < move.until_s
        ]
        for move in self._moves:
            if all(key in candidates.workers_by_key for key in move.hold.keys):
                held.add(move.hold)

    def run(
        self, candidates: placement.Candidates, demand_of: DemandOf
    ) -> None:
        """Stops the runs that are to be moved now.

        Args:
            candidates: workers that accept tasks, with the resources that the
                pass has left free.
            demand_of: returns the requirements of a unit at a time.
        """
        now_s = self._clock.monotonic()
        room = _Room(candidates, self._is_unfit, demand_of, now_s)
        verdicts_by_key: dict[runs.RunKey, _Verdict] = {}
        for run in sorted(self._departing_runs(), key=lambda run: run.rank):
            judge = _judge_saving if run.step.checkpointing else _judge_unsaving
            verdict = judge(run, room, now_s)
            if verdict.moves:
                self._move(run, verdict, room)
                continue
            verdicts_by_key[run.first.key] = verdict
            self._request_next_pass(run, now_s)
            if self._stays_by_key.get(run.first.key) is not verdict:
                self._log_run("run stays", run, verdict, run.first)
        self._stays_by_key = verdicts_by_key

    def gauges(self) -> dict[str, float]:
        """Returns the gauges by metric name."""
        return {"runs_moved": self._runs_moved}

    def _departing_runs(self) -> Iterable[_DepartingRun]:
        """Yields each run once, however many of its workers depart."""
        seen: set[int] = set()
        for worker in self._departing_workers():
            for entry in worker.entries_by_key.values():
                if id(entry.unit) in seen or not entry.is_current:
                    continue
                seen.add(id(entry.unit))
                members = list(
                    gangs.members_of(entry, self._workers_by_incarnation)
                )
                if any(member.stop_requested for member in members):
                    continue
                if entry.step.long_running and not _may_move_service(
                    entry, worker
                ):
                    continue
                yield self._departing_run(members)

    def _departing_workers(self) -> list[fleet.TrackedWorker]:
        return [
            worker
            for worker in self._workers_by_incarnation.values()
            if self._departs(worker)
        ]

    def _departs(self, worker: fleet.TrackedWorker) -> bool:
        return worker.incarnation is not None and (
            worker.incarnation.draining
            or worker.incarnation.data_centre in self.evacuated_data_centres
        )

    def _is_unfit(
        self, worker: fleet.TrackedWorker, demand: placement.Demand
    ) -> bool:
        """Returns whether a run isn't to be moved to a worker."""
        return self._departs(worker) or self._departures.is_avoided(
            worker, demand
        )

    def _departing_run(self, members: list[ledger.RunEntry]) -> _DepartingRun:
        first: fleet.TrackedWorker | None = None
        first_s = float("inf")
        for key in {_worker_of(member) for member in members}:
            worker = self._workers_by_incarnation.get(key)
            if worker is None or not self._departs(worker):
                continue
            leaves_in_s = self._leaves_in_s(worker)
            if leaves_in_s is None:
                return _DepartingRun(members, None, (0.0,))
            if first is None or leaves_in_s < first_s:
                first, first_s = worker, leaves_in_s
        overruns_s = self._departures.overruns_s(first) if first else (0.0,)
        return _DepartingRun(members, first_s, overruns_s)

    def _leaves_in_s(self, worker: fleet.TrackedWorker) -> float | None:
        if worker.incarnation is not None and not worker.incarnation.draining:
            return float("inf")
        return self._departures.leaves_in_s(worker)

    def _move(self, run: _DepartingRun, verdict: _Verdict, room: _Room) -> None:
        for member in run.members:
            member.stop_requested = True
            member.stop_reason = ledger.StopReason.DEPARTURE
            self._runs_moved += 1
            self._log_run("run moved", run, verdict, member)
        assigned = room.find(run)
        if assigned is None:
            return
        room.reserve(run, assigned)
        priority = run.first.tracked.job.queue.priority
        self._moves.append(
            _Move(
                run.first.unit,
                run.first.run,
                holds.Hold(priority, assigned, run.step.footprint),
                self._clock.monotonic() + MAX_HOLD_S,
            )
        )

    def _request_next_pass(self, run: _DepartingRun, now_s: float) -> None:
        """Requests a pass when the run has to be looked at again."""
        wait_s = RETRY_INTERVAL_S
        if run.first.step.checkpointing and run.leaves_in_s is not None:
            to_latest_stop_s = run.leaves_in_s - LATEST_STOP_S
            if to_latest_stop_s > 0:
                wait_s = min(wait_s, to_latest_stop_s)
        self._passes.request_at(now_s + wait_s)

    def _log_run(
        self,
        event: str,
        run: _DepartingRun,
        verdict: _Verdict,
        member: ledger.RunEntry,
    ) -> None:
        self._log(
            event,
            job=member.tracked.id,
            task=str(member.name),
            run=member.run,
            worker=_worker_of(member).worker,
            leaves_in_s=(
                None if run.leaves_in_s is None else round(run.leaves_in_s, 2)
            ),
            why=verdict.value,
        )


class _Room:
    """Room on the workers that stay, for the runs that are moved in one pass.

    Args:
        candidates: workers that accept tasks, with the resources that are free.
        is_unfit: returns whether a unit isn't to be moved to a worker.
        demand_of: returns the requirements of a unit at a time.
        now_s: current monotonic time.
    """

    def __init__(
        self,
        candidates: placement.Candidates,
        is_unfit: Callable[[fleet.TrackedWorker, placement.Demand], bool],
        demand_of: DemandOf,
        now_s: float,
    ) -> None:
        self._candidates = candidates
        self._is_unfit = is_unfit
        self._demand_of = demand_of
        self._now_s = now_s
        # Steps of single tasks of which one hasn't found room; another one has
        # the same requirements, and a worker may hold hundreds of them.
        self._without_room: set[advice_lib.StepName] = set()
        self._saved_by_priority: dict[int, placement.FreeResources] = {}

    def find(
        self, run: _DepartingRun, *, anywhere: bool = False
    ) -> list[runs.IncarnationKey] | None:
        """Returns a worker for each member, or None if there is no room.

        Args:
            run: the run.
            anywhere: whether to include the workers that are unfit.
        """
        name = advice_lib.StepName(*run.first.name[:3])
        if name in self._without_room:
            return None
        demand = self._demand_of(
            run.first.tracked, name, run.first.unit, self._now_s
        )
        free_by_key = dict(self._candidates.free_by_key)
        _add_members(run, free_by_key)
        if not run.step.checkpointing:
            for key, amount in self._saved_runs(demand.priority).items():
                free_by_key[key] += amount
        for key, worker in self._candidates.workers_by_key.items():
            if not anywhere and self._is_unfit(worker, demand):
                free_by_key[key] = model.NO_RESOURCES
        assigned = placement.place(
            self._candidates, demand, free_by_key=free_by_key
        )
        if assigned is None and not run.step.gang:
            self._without_room.add(name)
        return assigned

    def _saved_runs(self, priority: int) -> placement.FreeResources:
        """Returns what runs reserve that the queue may preempt without loss.

        A run without checkpoints is moved into their room as well: it would
        preempt them anyway after its worker has departed.
        """
        if priority not in self._saved_by_priority:
            freed: placement.FreeResources = collections.defaultdict(
                model.Resources
            )
            for victim in reclaim.possible_victims(
                self._candidates.workers_by_key.values(),
                set(),
                priority=priority,
                guaranteed=False,
                now_s=self._now_s,
            ):
                if victim.entries[0][1].step.checkpointing:
                    for key, amount in victim.freed().items():
                        freed[key] += amount
            self._saved_by_priority[priority] = freed
        return self._saved_by_priority[priority]

    def reserve(
        self, run: _DepartingRun, assigned: list[runs.IncarnationKey]
    ) -> None:
        """Reserves room for a run for the rest of the pass."""
        _add_members(run, self._candidates.free_by_key)
        for key in assigned:
            self._candidates.reserve(key, run.step.footprint)


def _add_members(
    run: _DepartingRun, free_by_key: placement.FreeResources
) -> None:
    """Adds what the members on workers that stay will free by their stop."""
    for member in run.members:
        key = _worker_of(member)
        if key in free_by_key:
            free_by_key[key] += run.step.footprint


def _judge_saving(run: _DepartingRun, room: _Room, now_s: float) -> _Verdict:
    """Judges a run that saves checkpoints."""
    leaves_in_s = run.leaves_in_s
    if leaves_in_s is None:
        return _Verdict.MOVE_UNKNOWN_DEPARTURE
    chance = end_chances.chance_of_end(run.members, leaves_in_s, now_s)
    if leaves_in_s <= LATEST_STOP_S + clock_lib.RESOLUTION_S:
        if chance >= ALMOST_CERTAIN:
            return _Verdict.STAY_ENDS_IN_TIME
        return _Verdict.MOVE_BEFORE_DEPARTURE
    if chance >= LIKELY and leaves_in_s < float("inf"):
        return _Verdict.STAY_ENDS_IN_TIME
    if room.find(run) is not None:
        return _Verdict.MOVE_TO_ROOM
    return _Verdict.STAY_NO_ROOM


def _judge_unsaving(run: _DepartingRun, room: _Room, now_s: float) -> _Verdict:
    """Judges a run that would start again from the beginning.

    If it stays and is lost, it starts again after the departure, later by the
    time that is left; if it is moved and would have ended, the work that it has
    done is repeated.
    """
    if run.leaves_in_s is None or run.leaves_in_s == float("inf"):
        return _Verdict.STAY_COSTS_LESS
    left_s = run.leaves_in_s + statistics.mean(run.overruns_s)
    chance = statistics.mean(
        end_chances.chance_of_end(
            run.members, run.leaves_in_s + overrun_s, now_s
        )
        for overrun_s in run.overruns_s
    )
    if chance >= LIKELY:
        return _Verdict.STAY_ENDS_IN_TIME
    done_s = max(member.execution_time_s(now_s) for member in run.members)
    if (1 - chance) * left_s <= chance * done_s + MOVE_S:
        return _Verdict.STAY_COSTS_LESS
    if room.find(run) is not None:
        return _Verdict.MOVE_TO_ROOM
    if run.step.gang and room.find(run, anywhere=True) is not None:
        return _Verdict.STAY_ALL_REPLACED
    if chance < HOPELESS:
        return _Verdict.MOVE_HOPELESS
    return _Verdict.STAY_NO_ROOM


def _may_move_service(
    entry: ledger.RunEntry, worker: fleet.TrackedWorker
) -> bool:
    """Returns whether a task without an end leaves a departing worker.

    It leaves a worker that drains if it saves checkpoints. Nothing requires it
    to leave an evacuated data centre.
    """
    return (
        entry.step.checkpointing
        and worker.incarnation is not None
        and worker.incarnation.draining
    )


def _worker_of(member: ledger.RunEntry) -> runs.IncarnationKey:
    placed = member.unit.placements[member.member]
    return runs.IncarnationKey(placed.worker, placed.started_ms)
