"""Derives the orders for each worker from the scheduler's state.

They are sent in one message, and with each answer to the worker's agent. What a
caller sets, the length of a spec and the number of tasks, must not make that
message too long for a slow link. So each job's spec is sent once, and starts
that don't fit are left out until others are done.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import ledger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pimentobridge.core import types
    from pimentobridge.core.scheduling import fleet

# Limit on the starts in a message. A link of 5 Mbit/s takes 0.1 s for it.
MAX_START_BYTES = 64 * 1024
# Numbers, indexes and lengths that are sent with an order.
ORDER_OVERHEAD_BYTES = 16


class _Starts:
    """Starts for a message, up to a limit on their bytes."""

    def __init__(self) -> None:
        self.first: list[runs.StartOrder] = []
        self.shared: list[runs.SharedStart] = []
        self.left_out = False
        self._index_by_job: dict[types.JobId, int] = {}
        self._bytes = 0

    def add(self, entry: ledger.RunEntry) -> None:
        """Adds the start of a run, unless the message is full.

        An agent of an earlier version doesn't read shared starts, and a gang
        would wait for the members in them. So each member has its spec if
        there is room for it.
        """
        spec = entry.tracked.job.spec
        order = runs.StartOrder(
            entry.key,
            spec,
            entry.unit.checkpoint,
            entry.unit.placements[entry.member].ticket,
        )
        index = self._index_by_job.get(entry.tracked.id)
        size = _bytes_of(order)
        if index is None or (entry.step.gang and self._has_room(size)):
            if self._has_room(size):
                self._index_by_job.setdefault(entry.tracked.id, len(self.first))
                self.first.append(order)
                self._bytes += size
            else:
                self.left_out = True
            return
        size -= len(spec.encode(errors="replace"))
        if not self._has_room(size):
            self.left_out = True
            return
        self.shared.append(
            runs.SharedStart(order.key, index, order.checkpoint, order.ticket)
        )
        self._bytes += size

    def _has_room(self, size: int) -> bool:
        """Returns whether an order fits; the first one always does."""
        return not self._bytes or self._bytes + size <= MAX_START_BYTES


def _bytes_of(order: runs.StartOrder) -> int:
    """Returns the approximate size of an encoded start."""
    texts = (order.key.task, order.spec, order.checkpoint, order.ticket)
    return ORDER_OVERHEAD_BYTES + sum(
        len(text.encode(errors="replace")) for text in texts
    )


def instructions_for(
    worker: fleet.TrackedWorker,
    jobs_by_id: Mapping[types.JobId, ledger.TrackedJob],
) -> runs.Instructions:
    """Returns the current orders for a worker.

    Starts that aren't recorded in the store yet are left out. So are those for
    which the message has no room, of the least urgent queues.

    Args:
        worker: the worker.
        jobs_by_id: all tracked jobs.
    """
    worker.acknowledge_ends()
    to_start: list[ledger.RunEntry] = []
    stops: list[runs.RunKey] = []
    paces: list[runs.PaceOrder] = []
    for key, entry in worker.entries_by_key.items():
        unit = entry.unit
        if unit.status is progress_lib.UnitStatus.DONE:
            continue
        if entry.stop_requested or not entry.is_current:
            stops.append(key)
        elif key not in worker.running_keys and (
            entry.tracked.recorded_change >= entry.ordered_at_change
        ):
            to_start.append(entry)
        elif (
            key in worker.running_keys
            and entry.step.uses_spare_cpu
            and worker.throttle.known
        ):
            # Also at 100 percent: an earlier scheduler may have ordered less.
            paces.append(runs.PaceOrder(key, worker.throttle.percent))
    stops.extend(
        key
        for key in worker.untracked_by_key
        if not _belongs_to_done_unit(key, jobs_by_id)
    )
    starts = _Starts()
    for entry in sorted(to_start, key=_start_order):
        starts.add(entry)
    return runs.Instructions(
        worker.key,
        worker.acknowledged_end,
        tuple(starts.first),
        tuple(stops),
        tuple(paces),
        tuple(starts.shared),
        starts.left_out,
    )


def _start_order(entry: ledger.RunEntry) -> tuple[int, bool]:
    """Returns a key that sorts urgent starts first.

    Members of a gang come before tasks of the same urgency, as the others wait
    for them.
    """
    return entry.tracked.job.queue.priority, not entry.step.gang


def _belongs_to_done_unit(
    key: runs.RunKey, jobs_by_id: Mapping[types.JobId, ledger.TrackedJob]
) -> bool:
    """Returns whether a run's unit or job is done.

    Such a run needs no stop order: it ends by itself with the rest of its gang.
    """
    found = ledger.job_of(key, jobs_by_id)
    if found is None:
        return False
    tracked, name = found
    if tracked.progress.state is progress_lib.JobState.COMPLETED:
        return True
    unit = tracked.progress.unit_of(name)
    return unit is not None and unit.status is progress_lib.UnitStatus.DONE
