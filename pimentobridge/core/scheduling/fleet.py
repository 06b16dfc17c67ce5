"""Workers as the scheduler tracks them, and their free resources."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import health as health_lib
from pimentobridge.core.scheduling import throttling

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentobridge.core import types
    from pimentobridge.core.scheduling import kinds
    from pimentobridge.core.scheduling import ledger

# A worker whose last report is older than this gets no new tasks; reports are
# sent twice a second.
MAX_REPORT_AGE_S = 1.6


@dataclasses.dataclass
class TrackedWorker:
    """One incarnation of a worker.

    Attributes:
        last_report_s: monotonic time of the last report; before the first, the
            time at which this scheduler learned of the worker.
        last_answer_s: monotonic time at which orders last answered a report
            of its agent that didn't name the worker or couldn't be processed;
            the agent may renew the lease by them.
        agent: address of its agent; None if unknown.
        incarnation: properties that the worker reported; None before the
            first report.
        entries_by_key: tracked runs that may exist on the worker and that
            reserve resources of it.
        untracked_by_key: resources of the runs that the last report lists as
            running and that the scheduler doesn't track.
        running_keys: all runs that the last report lists as running.
        processed_end: number up to which all ends of runs are processed.
        unacknowledged_ends: processed ends that aren't acknowledged yet: end
            number, job (None for an untracked run) and the number of the job's
            change that contains the end.
        acknowledged_end: number up to which all ends are recorded; it is sent
            to the worker as an acknowledgement.
        used: resources reserved by tracked and untracked runs.
        throttle: what its tasks that use spare CPU may do.
        runs_by_kind: number of tracked runs of each kind.
        reachable: whether its agent could connect to it lately.
        agent_state: what its agent said last of itself.
        distrusted: an error has ended the processing of one of its reports, so
            that what is known of its runs may be incomplete.
    """

    key: runs.IncarnationKey
    last_report_s: float
    last_answer_s: float = float("-inf")
    agent: types.Address | None = None
    incarnation: runs.WorkerIncarnation | None = None
    entries_by_key: dict[runs.RunKey, ledger.RunEntry] = dataclasses.field(
        default_factory=dict
    )
    untracked_by_key: dict[runs.RunKey, model.Resources] = dataclasses.field(
        default_factory=dict
    )
    running_keys: frozenset[runs.RunKey] = frozenset()
    processed_end: int = 0
    unacknowledged_ends: list[tuple[int, ledger.TrackedJob | None, int]] = (
        dataclasses.field(default_factory=list)
    )
    acknowledged_end: int = 0
    used: model.Resources = model.NO_RESOURCES
    throttle: throttling.Throttle = dataclasses.field(
        default_factory=throttling.Throttle
    )
    runs_by_kind: collections.Counter[kinds.Kind] = dataclasses.field(
        default_factory=collections.Counter
    )
    reachable: bool = True
    agent_state: runs.AgentState = runs.AgentState.SERVING
    distrusted: bool = False
    health: health_lib.Health = dataclasses.field(
        default_factory=health_lib.Health
    )
    _suspect_keys: set[runs.RunKey] = dataclasses.field(default_factory=set)

    @property
    def free(self) -> model.Resources:
        """Resources that no run reserves."""
        if self.incarnation is None:
            return model.NO_RESOURCES
        return self.incarnation.capacity - self.used

    @property
    def holds_suspect(self) -> bool:
        """Whether a run is here whose unit may crash workers."""
        return bool(self._suspect_keys)

    def add(self, entry: ledger.RunEntry) -> None:
        """Adds a run that may exist here and reserves resources for it."""
        self.entries_by_key[entry.key] = entry
        self.runs_by_kind[entry.kind] += 1
        if entry.unit.crashed_on_by_member:
            self._suspect_keys.add(entry.key)
        self.used += entry.step.footprint

    def remove(self, key: runs.RunKey) -> ledger.RunEntry | None:
        """Removes a run that has certainly ended and frees its resources."""
        self._suspect_keys.discard(key)
        entry = self.entries_by_key.pop(key, None)
        if entry is not None:
            self.used -= entry.step.footprint
            self.runs_by_kind[entry.kind] -= 1
            if not self.runs_by_kind[entry.kind]:
                del self.runs_by_kind[entry.kind]
        return entry

    def neighbours_of(self, kind: kinds.Kind) -> frozenset[kinds.Kind]:
        """Returns the kinds of the runs that are here beside one of `kind`."""
        return frozenset(
            other
            for other, count in self.runs_by_kind.items()
            if other != kind or count > 1
        )

    def set_untracked(
        self, untracked: dict[runs.RunKey, model.Resources]
    ) -> None:
        """Replaces the untracked runs that the worker lists as running."""
        self.used -= model.total(self.untracked_by_key.values())
        self.untracked_by_key = untracked
        self.used += model.total(untracked.values())

    def add_listed(self, running: Iterable[runs.RunningTask]) -> None:
        """Notes runs that have started, after an error in processing reports.

        Their ends aren't processed any more, so earlier ones stay: none is
        ordered to start again.
        """
        self.running_keys |= {task.key for task in running}

    def takes_tasks(self, now_s: float) -> bool:
        """Returns whether new tasks may be placed on the worker."""
        return (
            self.incarnation is not None
            and not self.incarnation.draining
            and not self.distrusted
            and self.reachable
            and self.agent_state is runs.AgentState.SERVING
            and now_s - self.last_report_s <= MAX_REPORT_AGE_S
            and self.health.usable(now_s)
        )

    def acknowledge_ends(self) -> None:
        """Advances `acknowledged_end` past the ends recorded by now."""
        while self.unacknowledged_ends and not self.distrusted:
            number, tracked, change = self.unacknowledged_ends[0]
            if tracked is not None and tracked.recorded_change < change:
                return
            self.acknowledged_end = number
            self.unacknowledged_ends.pop(0)
