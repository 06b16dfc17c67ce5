"""Opens the occurrences of scheduled jobs when they are due."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import record_size

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.scheduling import engine as engine_lib
    from pimentobridge.core.scheduling import ledger


def open_due(
    engine: engine_lib.Engine,
    *,
    early_s: float,
    clock: clock_lib.Clock,
    max_record_bytes: int = record_size.DEFAULT_MAX_BYTES,
) -> None:
    """Opens the occurrences that are due, so that their tasks can be placed.

    Of many that are due at once, only those are open for which the record of
    the job's progress has room; the others follow as these end.

    Args:
        engine: holds the jobs.
        early_s: an occurrence is opened half this time before it is due, in
            seconds.
        clock: source of time.
        max_record_bytes: limit on the record of a job's progress.
    """
    now_ms = clock.now().timestamp() * 1000
    for tracked in engine.jobs_by_id.values():
        if tracked.state.ended:
            continue
        by_ms = now_ms + early_s * 1000 / 2
        progress = tracked.progress
        while _next_is_due(tracked, by_ms) and _has_room(
            tracked, max_record_bytes
        ):
            progress.occurrences_by_number[_next_number(progress)] = (
                progress_lib.new_occurrence(tracked.job)
            )
            engine.needs_pass = True


def _next_number(progress: progress_lib.Progress) -> int:
    """Returns the number of the first occurrence that isn't open yet."""
    return progress.finished_occurrences + len(progress.occurrences_by_number)


def _has_room(tracked: ledger.TrackedJob, max_record_bytes: int) -> bool:
    """Returns whether the job's record has room for one more occurrence."""
    limit = record_size.max_open_occurrences(tracked.job, max_record_bytes)
    return len(tracked.progress.occurrences_by_number) < limit


def _next_is_due(tracked: ledger.TrackedJob, by_ms: float) -> bool:
    job = tracked.job
    number = _next_number(tracked.progress)
    if number >= max(1, job.occurrences):
        return False
    if not job.occurrences:
        return True
    return job.first_due_ms + number * job.interval_ms <= by_ms
