"""Sizes of a job's records in the store, as far as its caller sets them.

The store limits the size of a value. A job whose progress can't be recorded
could neither start nor end its tasks, so it is refused when it is submitted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import progress as progress_lib

if TYPE_CHECKING:
    from pimentobridge.core.jobs import model

# Limit of the store on a value, if the settings don't state it.
DEFAULT_MAX_BYTES = 1024 * 1024
# Bytes of a task with its placement, a checkpoint and a few failures.
TASK_BYTES = 128
# The same for a task that lasts, which may fail on many workers.
LASTING_TASK_BYTES = 320
# Bytes of what isn't within the tasks.
OVERHEAD_BYTES = 256


def occurrence_bytes(job: model.Job) -> int:
    """Returns how large one occurrence can become in a job's progress."""
    return sum(
        step.count * (LASTING_TASK_BYTES if step.long_running else TASK_BYTES)
        for step in job.steps
    )


def max_open_occurrences(job: model.Job, max_bytes: int) -> int:
    """Returns how many occurrences a job's progress has room for.

    Args:
        job: the job.
        max_bytes: limit on the bytes of its progress.
    """
    room = max_bytes - OVERHEAD_BYTES
    return max(1, room // max(1, occurrence_bytes(job)))


def open_tasks(job: model.Job, max_bytes: int) -> int:
    """Returns how many tasks of a job can be open at the same time.

    Args:
        job: the job.
        max_bytes: limit on the bytes of its progress.
    """
    tasks = sum(step.count for step in job.steps)
    occurrences = max(1, job.occurrences)
    return tasks * min(occurrences, max_open_occurrences(job, max_bytes))


def problem_in(job: model.Job, max_bytes: int) -> str:
    """Returns why the store can't hold a job's records, or an empty text.

    Args:
        job: the job.
        max_bytes: limit of the store on a value.
    """
    submission_bytes = len(progress_lib.encode_job(job))
    if submission_bytes > max_bytes:
        return (
            f"the job takes {submission_bytes} bytes in the store; at most"
            f" {max_bytes} are accepted."
        )
    needed = occurrence_bytes(job) + OVERHEAD_BYTES
    if needed > max_bytes:
        tasks = sum(step.count for step in job.steps)
        return (
            f"the progress of {tasks} tasks takes up to {needed} bytes in the"
            f" store; at most {max_bytes} are accepted."
        )
    return ""
