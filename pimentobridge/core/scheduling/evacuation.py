"""Moves runs off a worker that is about to shut down."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.scheduling import gangs
from pimentobridge.core.scheduling import ledger

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet


def evacuate(
    worker: fleet.TrackedWorker,
    workers_by_incarnation: Mapping[runs.IncarnationKey, fleet.TrackedWorker],
    now_s: float,
    log: Callable[..., None],
) -> None:
    """Stops runs so that they start again on other workers.

    Args:
        worker: the worker, which is draining.
        workers_by_incarnation: the workers on which other members of gangs
            may be.
        now_s: current monotonic time.
        log: writes a log line, given an event text and fields.
    """
    for entry in _runs_to_move(worker, workers_by_incarnation, now_s):
        entry.stop_requested = True
        log(
            "run moved",
            job=entry.tracked.id,
            task=str(entry.name),
            run=entry.run,
            worker=worker.key.worker,
            leaves_in_s=worker.incarnation and worker.incarnation.leaves_in_s,
        )
    worker.evacuated = True


def _runs_to_move(
    worker: fleet.TrackedWorker,
    workers_by_incarnation: Mapping[runs.IncarnationKey, fleet.TrackedWorker],
    now_s: float,
) -> list[ledger.RunEntry]:
    """Returns the runs to stop, so that they start again elsewhere.

    These are the runs that save their work and, at the first report that the
    worker drains, those that aren't expected to end before it may shut down.
    All members of a gang are returned: one that loses a member has to start
    again as a whole.
    """
    leaves_in_s = None
    if worker.incarnation is not None and not worker.evacuated:
        leaves_in_s = worker.incarnation.leaves_in_s
    moving: dict[runs.RunKey, ledger.RunEntry] = {}
    for entry in worker.entries_by_key.values():
        if not entry.is_current or entry.stop_requested:
            continue
        members = list(gangs.members_of(entry, workers_by_incarnation))
        if _must_move(entry, members, leaves_in_s, now_s):
            moving |= {
                member.key: member
                for member in members
                if not member.stop_requested
            }
    return list(moving.values())


def _must_move(
    entry: ledger.RunEntry,
    members: list[ledger.RunEntry],
    leaves_in_s: float | None,
    now_s: float,
) -> bool:
    if entry.step.checkpointing:
        return True
    if entry.step.long_running or leaves_in_s is None:
        return False
    return ledger.remaining_s(members, now_s) > leaves_in_s
