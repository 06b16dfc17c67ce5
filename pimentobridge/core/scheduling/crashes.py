"""Counts the workers that have crashed under each task.

A task may crash every worker that starts it. The tasks that ran beside it lose
their runs too, and which of them was at fault isn't reported, so the count goes
to those that had just started. A task under suspicion is placed on an empty
worker if there is one, and never beside another one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from pimentobridge.core import types
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import ledger

# A run that has made progress for less than this time counts as just started.
JUST_STARTED_S = 3.0
# Machines on which a task may crash the worker before it is given up. On one
# machine alone the machine may be at fault.
MAX_MACHINES = 2
# Limit on the crashes in all, on however few machines.
MAX_CRASHES = 3


def count_under(
    worker: fleet.TrackedWorker,
    machine: types.Address,
    reported: Iterable[runs.Crash],
    log: Callable[..., None],
) -> Iterator[tuple[ledger.RunEntry, list[types.Address]]]:
    """Counts a worker's crash under the runs that may have caused it.

    Args:
        worker: an incarnation that has ended, with the runs that it had.
        machine: address of the agent on the machine.
        reported: crashes that the agent reports, also of other incarnations.
        log: writes a log line, given an event text and fields.

    Yields:
        Each such run, and the machines on which the worker has crashed under
        its task, one for each crash.
    """
    for crash in reported:
        if crash.incarnation != worker.key:
            continue
        for entry in culprits(worker, crash):
            machines = count(entry, machine)
            log(
                "worker crashed under task",
                job=entry.tracked.id,
                task=str(entry.name),
                run=entry.run,
                worker=worker.key.worker,
                crashes=len(machines),
                machines=len(set(machines)),
                worked_s=round(entry.observed.worked_s, 2),
            )
            yield entry, machines


def culprits(
    worker: fleet.TrackedWorker, crash: runs.Crash
) -> list[ledger.RunEntry]:
    """Returns the runs that may have made a worker crash, the likeliest ones.

    Those are the ones that had just started, or else those whose start wasn't
    answered, or else all.

    Args:
        worker: the crashed incarnation, with the runs that it had.
        crash: what the agent knows of it.
    """
    possible = [
        entry
        for entry in worker.entries_by_key.values()
        if entry.is_latest and not entry.step.long_running
    ]
    started = [entry for entry in possible if entry.key in crash.started]
    just_started = [
        entry for entry in started if entry.observed.worked_s < JUST_STARTED_S
    ]
    unanswered = [entry for entry in possible if entry.key in crash.unanswered]
    return just_started or unanswered or started


def count(
    entry: ledger.RunEntry, machine: types.Address
) -> list[types.Address]:
    """Counts a crash under a run's task.

    Args:
        entry: the run.
        machine: address of the agent on the machine.

    Returns:
        The machines on which the worker has crashed under the task, one for
        each crash.
    """
    unit, member = entry.unit, entry.member
    machines = [*unit.crashed_on_by_member.get(member, []), machine]
    unit.crashed_on_by_member = unit.crashed_on_by_member | {member: machines}
    return machines


def is_hopeless(machines: list[types.Address]) -> bool:
    """Returns whether a task has crashed too many workers to start again.

    Args:
        machines: the machines on which it did, one for each crash.
    """
    return len(set(machines)) >= MAX_MACHINES or len(machines) >= MAX_CRASHES
