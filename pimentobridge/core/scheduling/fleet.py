"""Workers as the scheduler knows them, and the room that each has."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import health as health_lib

if TYPE_CHECKING:
    from pimentobridge.core import types
    from pimentobridge.core.scheduling import ledger

# Silence after which a worker gets no new tasks; reports come twice a second.
PLACEABLE_SILENCE_S = 1.6


@dataclasses.dataclass
class TrackedWorker:
    """One life of a worker.

    Attributes:
        agent: address of its agent; empty while it hasn't reported.
        heard_s: monotonic time of the last report, or of the takeover.
        entries_by_key: runs that may exist there, with what they occupy.
        strangers_by_key: runs that the worker lists and no job counts on.
        processed: end number up to which all ends were taken in.
        unrecorded: ends taken in, with the job's change that records them.
        seen: end number up to which all ends are recorded.
    """

    key: runs.IncarnationKey
    heard_s: float
    agent: types.Address | None = None
    incarnation: runs.WorkerIncarnation | None = None
    entries_by_key: dict[runs.RunKey, ledger.RunEntry] = dataclasses.field(
        default_factory=dict
    )
    strangers_by_key: dict[runs.RunKey, model.Resources] = dataclasses.field(
        default_factory=dict
    )
    listed: frozenset[runs.RunKey] = frozenset()
    processed: int = 0
    unrecorded: list[tuple[int, ledger.TrackedJob | None, int]] = (
        dataclasses.field(default_factory=list)
    )
    seen: int = 0
    used: model.Resources = model.NOTHING
    health: health_lib.Health = dataclasses.field(
        default_factory=health_lib.Health
    )

    @property
    def free(self) -> model.Resources:
        """Room that nothing occupies."""
        if self.incarnation is None:
            return model.NOTHING
        return self.incarnation.capacity - self.used

    def add(self, entry: ledger.RunEntry) -> None:
        """Counts a run that may exist there."""
        self.entries_by_key[entry.key] = entry
        self.used += entry.step.footprint

    def remove(self, key: runs.RunKey) -> ledger.RunEntry | None:
        """Forgets a run that is surely over."""
        entry = self.entries_by_key.pop(key, None)
        if entry is not None:
            self.used -= entry.step.footprint
        return entry

    def set_strangers(
        self, strangers: dict[runs.RunKey, model.Resources]
    ) -> None:
        """Replaces the runs that are listed but not counted on."""
        self.used -= model.total(self.strangers_by_key.values())
        self.strangers_by_key = strangers
        self.used += model.total(strangers.values())

    def takes_tasks(self, now_s: float) -> bool:
        """Returns whether new tasks may go there."""
        return (
            self.incarnation is not None
            and not self.incarnation.draining
            and now_s - self.heard_s <= PLACEABLE_SILENCE_S
            and self.health.usable(now_s)
        )

    def advance_seen(self) -> None:
        """Moves `seen` past the ends whose jobs are recorded by now."""
        while self.unrecorded:
            number, tracked, change = self.unrecorded[0]
            if tracked is not None and tracked.recorded < change:
                return
            self.seen = number
            self.unrecorded.pop(0)
