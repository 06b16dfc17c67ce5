"""Moves runs off workers that are about to depart.

To move a run is to stop it, so that it starts again elsewhere. A run that saves
checkpoints loses nothing by that; it is moved as soon as there is room for it
elsewhere, and otherwise just before its worker departs. Another run starts from
the beginning, so it is moved only if it would probably be lost where it is, and
without room for it elsewhere only if it is unlikely to end in time.

The operator's requests to evacuate a data centre, whose workers don't depart,
are in `data_centre_evacuation`.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import gangs
from pimentobridge.core.scheduling import holds
from pimentobridge.core.scheduling import ledger
from pimentobridge.core.scheduling import move_room
from pimentobridge.core.scheduling import move_verdicts
from pimentobridge.core.scheduling import placement

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.scheduling import departures as departures_lib
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import pass_requests

# Room for a moved run is held for this time: its stop, the record of its end
# and the next pass.
MAX_HOLD_S = move_verdicts.MAX_STOP_S + 1.5
# Interval at which the runs on departing workers are looked at again.
RETRY_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True)
class _Move:
    """A run that is being moved, and the room for it."""

    unit: progress_lib.Unit
    run: int
    hold: holds.Hold
    until_s: float


class Migration:
    """Decides which runs are moved off departing workers, and when.

    Args:
        workers_by_incarnation: the tracked workers.
        departures: knows which workers depart and when.
        passes: takes the time at which a run has to be looked at again.
        clock: source of time.
        log: writes a log line, given an event text and fields.
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
        self._stays_by_key: dict[runs.RunKey, move_verdicts.Verdict] = {}

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
        self, candidates: placement.Candidates, demand_of: move_room.DemandOf
    ) -> None:
        """Stops the runs that are to be moved now.

        Args:
            candidates: workers that accept tasks, with the resources that the
                pass has left free.
            demand_of: returns the requirements of a unit at a time.
        """
        now_s = self._clock.monotonic()
        room = move_room.RoomElsewhere(
            candidates, self._is_unfit, demand_of, now_s
        )
        verdicts_by_key: dict[runs.RunKey, move_verdicts.Verdict] = {}
        for run in sorted(self._departing_runs(), key=lambda run: run.rank):
            verdict = move_verdicts.judge(run, room, now_s)
            if verdict.moves and self._would_miss_too_many(run):
                verdict = move_verdicts.Verdict.STAY_UNAVAILABLE
            if verdict.moves:
                self._move(run, verdict, room)
                continue
            verdicts_by_key[run.first.key] = verdict
            self._request_next_pass(run, now_s)
            if self._stays_by_key.get(run.first.key) is not verdict:
                self._log_run("run stays", run, verdict, run.first)
        self._stays_by_key = verdicts_by_key

    def hold_for(
        self, first: ledger.RunEntry, assigned: list[runs.IncarnationKey]
    ) -> None:
        """Holds room for a run that is being moved, from the next pass on.

        Args:
            first: any member of the run.
            assigned: a worker for each member.
        """
        hold = holds.Hold(
            first.tracked.id,
            first.tracked.job.queue.priority,
            assigned,
            first.step.footprint,
            fits_in_s=0.0,
        )
        until_s = self._clock.monotonic() + MAX_HOLD_S
        self._moves.append(_Move(first.unit, first.run, hold, until_s))

    def gauges(self) -> dict[str, float]:
        """Returns the gauges by metric name."""
        return {"runs_moved": self._runs_moved}

    def _departing_runs(self) -> Iterable[move_verdicts.DepartingRun]:
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
                if entry.step.long_running and not entry.step.checkpointing:
                    continue
                yield self._departing_run(members)

    def _would_miss_too_many(self, run: move_verdicts.DepartingRun) -> bool:
        """Returns whether too many tasks of a service would be unavailable."""
        step, first = run.step, run.first
        if not step.long_running or not step.max_unavailable:
            return False
        available = sum(
            entry.name[:3] == first.name[:3]
            and entry.is_current
            and not entry.stop_requested
            and entry.key in worker.running_keys
            for worker in self._workers_by_incarnation.values()
            for entry in worker.entries_by_key.values()
        )
        missing = step.count - available
        return missing + len(run.members) > step.max_unavailable

    def _departing_workers(self) -> list[fleet.TrackedWorker]:
        return [
            worker
            for worker in self._workers_by_incarnation.values()
            if self._departs(worker)
        ]

    def _departs(self, worker: fleet.TrackedWorker) -> bool:
        return worker.incarnation is not None and worker.incarnation.draining

    def _is_unfit(
        self, worker: fleet.TrackedWorker, demand: placement.Demand
    ) -> bool:
        """Returns whether a run isn't to be moved to a worker."""
        return self._departs(worker) or self._departures.is_avoided(
            worker, demand
        )

    def _departing_run(
        self, members: list[ledger.RunEntry]
    ) -> move_verdicts.DepartingRun:
        first: fleet.TrackedWorker | None = None
        first_s = float("inf")
        for key in dict.fromkeys(map(move_room.worker_of, members)):
            worker = self._workers_by_incarnation.get(key)
            if worker is None or not self._departs(worker):
                continue
            leaves_in_s = self._departures.leaves_in_s(worker)
            if leaves_in_s is None:
                return move_verdicts.DepartingRun(members, None, (0.0,))
            if first is None or leaves_in_s < first_s:
                first, first_s = worker, leaves_in_s
        overruns_s = self._departures.overruns_s(first) if first else (0.0,)
        return move_verdicts.DepartingRun(members, first_s, overruns_s)

    def _move(
        self,
        run: move_verdicts.DepartingRun,
        verdict: move_verdicts.Verdict,
        room: move_room.RoomElsewhere,
    ) -> None:
        for member in run.members:
            member.stop_requested = True
            member.stop_reason = ledger.StopReason.DEPARTURE
            self._runs_moved += 1
            self._log_run("run moved", run, verdict, member)
        assigned = room.find(run)
        if assigned is None:
            return
        room.reserve(run, assigned)
        self.hold_for(run.first, assigned)

    def _request_next_pass(
        self, run: move_verdicts.DepartingRun, now_s: float
    ) -> None:
        """Requests a pass when the run has to be looked at again."""
        wait_s = RETRY_INTERVAL_S
        if run.first.step.checkpointing and run.leaves_in_s is not None:
            to_latest_stop_s = run.leaves_in_s - move_verdicts.LATEST_STOP_S
            if to_latest_stop_s > 0:
                wait_s = min(wait_s, to_latest_stop_s)
        self._passes.request_at(now_s + wait_s)

    def _log_run(
        self,
        event: str,
        run: move_verdicts.DepartingRun,
        verdict: move_verdicts.Verdict,
        member: ledger.RunEntry,
    ) -> None:
        self._log(
            event,
            job=member.tracked.id,
            task=str(member.name),
            run=member.run,
            worker=move_room.worker_of(member).worker,
            leaves_in_s=(
                None if run.leaves_in_s is None else round(run.leaves_in_s, 2)
            ),
            why=verdict.value,
        )
