"""Reads jobs and their progress from items of the store.

Another writer may leave an item that can't be read. It is skipped and logged,
and stays in the store; whether its job has run isn't known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core import decoding
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.daemons import keys
from pimentobridge.daemons import unreadable

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pimentobridge.platform import kv_store


def read_record(item: kv_store.Item) -> model.Job | model.Tombstone | None:
    """Returns the job or tombstone in an item under the key of a submission.

    Returns:
        None if the item was deleted or can't be read.
    """
    if item.value is None:
        return None
    try:
        record = progress_lib.decode_job(item.value)
        if isinstance(record, model.Tombstone):
            return record
        if record.id != keys.job_id_of(item.key):
            raise decoding.MalformedError(
                f"the record is of job {record.id!r:.40}", item.value
            )
    except decoding.MalformedError as error:
        unreadable.log_skipped(item.key, error)
        return None
    return record


def read_job(item: kv_store.Item) -> model.Job | None:
    """Returns the job in an item; None if there is none that can be read."""
    record = read_record(item)
    return record if isinstance(record, model.Job) else None


def read_progress(
    items_by_key: Mapping[str, kv_store.Item], job: model.Job
) -> tuple[progress_lib.Progress, int] | None:
    """Returns a job's progress and its revision in the store.

    Args:
        items_by_key: the store's items.
        job: the job.

    Returns:
        The recorded progress, or that of a job that hasn't started, with
        revision 0, if there is no record. None if the record can't be read.
    """
    item = items_by_key.get(keys.progress(job.id))
    if item is None or item.value is None:
        return progress_lib.Progress(), 0
    try:
        progress = progress_lib.decode_progress(item.value, job)
    except decoding.MalformedError as error:
        unreadable.log_skipped(item.key, error)
        return None
    return progress, item.revision
