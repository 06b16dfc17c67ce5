"""What an entry knows of all submissions in the store, by their changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import record_size
from pimentobridge.daemons import job_items
from pimentobridge.daemons import keys

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.platform import kv_store

# Limit on the tombstones in the store. Each takes about a kilobyte in every
# entry, and callers can cause any number of them.
MAX_TOMBSTONES = 10_000


class StoredJobs:
    """Counts the tasks and tombstones among the submissions in the store.

    Args:
        clock: source of time.
        max_value_bytes: limit of the store on a value.

    Attributes:
        tasks: number of tasks that can be open at the same time.
        seen_s_by_tombstone: monotonic time at which this entry learned of each
            tombstone, in seconds, by the id of its job.
    """

    def __init__(self, clock: clock_lib.Clock, *, max_value_bytes: int) -> None:
        self._clock = clock
        self._max_value_bytes = max_value_bytes
        self._tasks_by_job: dict[types.JobId, int] = {}
        self.tasks = 0
        self.seen_s_by_tombstone: dict[types.JobId, float] = {}

    @property
    def has_room_for_tombstone(self) -> bool:
        """Whether another job may be cancelled before it is submitted."""
        return len(self.seen_s_by_tombstone) < MAX_TOMBSTONES

    def on_item(self, item: kv_store.Item) -> None:
        """Notes a changed item of the store."""
        if not item.key.startswith(keys.JOBS):
            return
        job_id = keys.job_id_of(item.key)
        record = job_items.read_record(item)
        if isinstance(record, model.Tombstone):
            now_s = self._clock.monotonic()
            self.seen_s_by_tombstone.setdefault(job_id, now_s)
            return
        self.seen_s_by_tombstone.pop(job_id, None)
        self.tasks -= self._tasks_by_job.pop(job_id, 0)
        if record is not None:
            tasks = record_size.open_tasks(record, self._max_value_bytes)
            self._tasks_by_job[job_id] = tasks
            self.tasks += tasks
