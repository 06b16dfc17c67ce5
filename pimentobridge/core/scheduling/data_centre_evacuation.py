"""Keeps data centres free of new runs while the operator evacuates them.

Runs on workers that depart by themselves are moved by `evacuation`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.scheduling import gangs
from pimentobridge.core.scheduling import ledger
from pimentobridge.core.scheduling import placement

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterator
    from collections.abc import Mapping

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet

# Time after which a data centre counts as having no workers. A new scheduler
# has heard of all by then, as agents report twice a second.
UNKNOWN_AFTER_S = 3.0


class Evacuations:
    """The evacuations in force, and what they require of the workers.

    Args:
        clock: source of time.
        log: writes a log line, given an event text and fields.

    Attributes:
        revision_by_data_centre: the evacuated data centres, with the store's
            revision of each request.
    """

    def __init__(
        self, *, clock: clock_lib.Clock, log: Callable[..., None]
    ) -> None:
        self._clock = clock
        self._log = log
        self.revision_by_data_centre: dict[types.DataCentreName, int] = {}
        # When those began for which no worker has been found so far.
        self._unmatched_since_s: dict[types.DataCentreName, float] = {}

    def covers(self, worker: fleet.TrackedWorker) -> bool:
        """Returns whether a worker is in an evacuated data centre."""
        return (
            worker.incarnation is not None
            and worker.incarnation.data_centre in self.revision_by_data_centre
        )

    def replace(
        self,
        revision_by_data_centre: Mapping[types.DataCentreName, int],
        workers: Collection[fleet.TrackedWorker],
    ) -> None:
        """Replaces the evacuations in force and logs what has changed."""
        before = self.revision_by_data_centre
        self.revision_by_data_centre = dict(revision_by_data_centre)
        for name, revision in self.revision_by_data_centre.items():
            if before.get(name) != revision:
                self._unmatched_since_s[name] = self._clock.monotonic()
                self._log_change("evacuation in force", name, revision, workers)
        for name, revision in before.items():
            if name not in self.revision_by_data_centre:
                self._unmatched_since_s.pop(name, None)
                self._log_change("evacuation ended", name, revision, workers)

    def _log_change(
        self,
        event: str,
        name: types.DataCentreName,
        revision: int,
        workers: Collection[fleet.TrackedWorker],
    ) -> None:
        self._log(
            event,
            data_centre=name,
            revision=revision,
            workers=_count_workers(name, workers),
        )

    def log_unmatched(self, workers: Collection[fleet.TrackedWorker]) -> None:
        """Logs once each evacuation of a data centre without workers."""
        now_s = self._clock.monotonic()
        for name, since_s in list(self._unmatched_since_s.items()):
            if now_s - since_s < UNKNOWN_AFTER_S:
                continue
            del self._unmatched_since_s[name]
            if not _count_workers(name, workers):
                self._log(
                    "evacuated data centre has no workers",
                    data_centre=name,
                    revision=self.revision_by_data_centre[name],
                )

    def stop_unstarted(
        self,
        worker: fleet.TrackedWorker,
        workers_by_incarnation: Mapping[
            runs.IncarnationKey, fleet.TrackedWorker
        ],
    ) -> None:
        """Stops what a worker of an evacuated data centre doesn't run yet.

        The start may be on its way, or its answer. A stop has the worker refuse
        the start from then on, and the unit waits again once the worker has
        confirmed it. Gangs are stopped as a whole: without all members, none
        begins to work.
        """
        if not self.covers(worker):
            return
        for entry in worker.entries_by_key.values():
            if entry.is_current and entry.key not in worker.running_keys:
                members = gangs.members_of(entry, workers_by_incarnation)
                _stop(members, "start withdrawn", worker, self._log)

    def gauges(self) -> dict[str, float]:
        """Returns the gauges by metric name."""
        return {"evacuated_data_centres": len(self.revision_by_data_centre)}


def _count_workers(
    name: types.DataCentreName, workers: Collection[fleet.TrackedWorker]
) -> int:
    return sum(
        worker.incarnation is not None
        and worker.incarnation.data_centre == name
        for worker in workers
    )


def _stop(
    members: Iterator[ledger.RunEntry],
    event: str,
    worker: fleet.TrackedWorker,
    log: Callable[..., None],
) -> None:
    for member in members:
        if not member.stop_requested:
            member.stop_requested = True
            member.stop_reason = ledger.StopReason.DEPARTURE
            log(
                event,
                job=member.tracked.id,
                task=str(member.name),
                run=member.run,
                evacuated_worker=worker.key.worker,
            )


def migrate(
    evacuations: Evacuations,
    workers_by_incarnation: Mapping[runs.IncarnationKey, fleet.TrackedWorker],
    candidates: placement.Candidates,
    *,
    demand_of: Callable[[ledger.RunEntry], placement.Demand],
    is_unfit: Callable[[fleet.TrackedWorker, placement.Demand], bool],
    on_moved: Callable[[ledger.RunEntry, list[runs.IncarnationKey]], None],
    on_no_room: Callable[[ledger.RunEntry, placement.Demand], None],
    log: Callable[..., None],
) -> None:
    """Stops the runs that save their work and that fit elsewhere now.

    All others may end where they are. Called at the end of a scheduling pass,
    so that waiting units are placed first.

    Args:
        evacuations: the evacuations in force.
        workers_by_incarnation: all workers.
        candidates: the workers that accept tasks, with what the pass has left
            of their resources.
        demand_of: returns the requirements of the unit of a run.
        is_unfit: returns whether a run isn't to be moved to a worker.
        on_moved: called with a run that is stopped, and a worker for each of
            its members.
        on_no_room: called with a run that fits nowhere, and its requirements.
        log: writes a log line, given an event text and fields.
    """
    considered: set[tuple[object, ...]] = set()
    # Steps of single tasks of which one hasn't found room; another one has the
    # same requirements.
    without_room: set[tuple[object, ...]] = set()
    for worker, entry in _leaving(evacuations, workers_by_incarnation):
        step = entry.name[:3]
        unit = (*step, entry.unit.first)
        if unit in considered or step in without_room:
            continue
        considered.add(unit)
        demand = demand_of(entry)
        assigned = placement.place(candidates, demand)
        if assigned is None or (
            not _is_stopping(entry)
            and any(
                is_unfit(candidates.workers_by_key[key], demand)
                for key in assigned
            )
        ):
            on_no_room(entry, demand)
            if not (entry.step.gang or demand.crashed_on or demand.failed_on):
                without_room.add(step)
            continue
        for key in assigned:
            candidates.reserve(key, demand.step.footprint)
        if not _is_stopping(entry):
            on_moved(entry, assigned)
        members = gangs.members_of(entry, workers_by_incarnation)
        _stop(members, "run moved", worker, log)


def _leaving(
    evacuations: Evacuations,
    workers_by_incarnation: Mapping[runs.IncarnationKey, fleet.TrackedWorker],
) -> list[tuple[fleet.TrackedWorker, ledger.RunEntry]]:
    """Returns the runs to migrate, and those that are being stopped, first.

    What is being stopped needs room elsewhere too and has a claim on it before
    others are stopped. The rest is in the order of priority.
    """
    found = [
        (worker, entry)
        for worker in workers_by_incarnation.values()
        if evacuations.covers(worker)
        for entry in worker.entries_by_key.values()
        if entry.is_latest and (_is_stopping(entry) or _may_move(entry))
    ]
    found.sort(
        key=lambda pair: (
            not _is_stopping(pair[1]),
            pair[1].tracked.job.queue.priority,
            pair[1].key.task,
        )
    )
    return found


def _may_move(entry: ledger.RunEntry) -> bool:
    """Returns whether a stop loses little work and makes no service miss."""
    return (
        entry.step.checkpointing
        and not entry.step.long_running
        and not entry.step.max_unavailable
    )


def _is_stopping(entry: ledger.RunEntry) -> bool:
    return entry.stop_requested or not entry.is_current
