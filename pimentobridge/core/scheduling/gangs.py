"""Finds the members of a gang's run, and stops gangs that can't start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import ledger


def members_of(
    entry: ledger.RunEntry,
    workers_by_incarnation: Mapping[runs.IncarnationKey, fleet.TrackedWorker],
) -> Iterator[ledger.RunEntry]:
    """Yields the members of a run, which may be on several workers.

    Args:
        entry: any member; the only one of a task that isn't in a gang.
        workers_by_incarnation: the workers on which the others may be.
    """
    for number, placed in enumerate(entry.unit.placements):
        key = runs.IncarnationKey(placed.worker, placed.started_ms)
        worker = workers_by_incarnation.get(key)
        name = model.TaskName(*entry.name[:3], entry.unit.first + number)
        if worker is not None:
            member = worker.entries_by_key.get(
                runs.RunKey(str(name), entry.run)
            )
            if member is not None:
                yield member


def stop_incomplete(
    worker: fleet.TrackedWorker,
    workers_by_incarnation: Mapping[runs.IncarnationKey, fleet.TrackedWorker],
    log: Callable[..., None],
) -> None:
    """Stops the gangs of which a member can't start on a worker.

    The members that have started would wait for it, and give up after a time.
    They haven't begun to work, so a stop discards nothing.

    Args:
        worker: the worker, which refuses connections.
        workers_by_incarnation: the workers on which the other members may be.
        log: writes a log line, given an event text and fields.
    """
    for entry in worker.entries_by_key.values():
        if not _can_not_start(entry, worker):
            continue
        for member in members_of(entry, workers_by_incarnation):
            if not member.stop_requested:
                member.stop_requested = True
                log(
                    "incomplete gang stopped",
                    job=member.tracked.id,
                    task=str(member.name),
                    run=member.run,
                    unreachable_worker=worker.key.worker,
                )


def _can_not_start(entry: ledger.RunEntry, worker: fleet.TrackedWorker) -> bool:
    return (
        entry.step.gang
        and entry.is_current
        and entry.observed.started_s is None
        and entry.key not in worker.running_keys
    )
