"""Which runs an agent has started on its worker, and what crashes ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import runs

if TYPE_CHECKING:
    from collections.abc import Iterable

# Crashes of the worker that a report names. A scheduler that has just taken
# over may know the runs of any of them.
MAX_CRASHES_REPORTED = 8


class StartedRuns:
    """Runs that may be on the present incarnation of a worker.

    Attributes:
        started: runs whose start the worker has confirmed.
        crashes: the latest incarnations that ended without notice.
    """

    def __init__(self) -> None:
        self.started: set[runs.RunKey] = set()
        self._unanswered: set[runs.RunKey] = set()
        self.crashes: tuple[runs.Crash, ...] = ()

    def on_started(self, run: runs.RunKey) -> None:
        """Notes that the worker has confirmed a start."""
        self.started.add(run)

    def on_unanswered(self, run: runs.RunKey) -> None:
        """Notes that a start may have been carried out."""
        self._unanswered.add(run)

    def on_over(self, ended: Iterable[runs.RunKey]) -> None:
        """Notes that runs have ended or were stopped."""
        over = set(ended)
        self.started -= over
        self._unanswered -= over

    def on_ended(
        self,
        incarnation: runs.IncarnationKey,
        running: Iterable[runs.RunKey],
        *,
        crashed: bool,
    ) -> None:
        """Notes that an incarnation has ended.

        Args:
            incarnation: the one that has ended.
            running: runs that it listed last.
            crashed: whether it has crashed under these runs, as far as is
                known: it hadn't said that it would shut down, and wasn't silent
                before.
        """
        started = self.started | set(running)
        if crashed:
            crash = runs.Crash(
                incarnation,
                tuple(started),
                tuple(self._unanswered - started),
            )
            self.crashes = (*self.crashes, crash)[-MAX_CRASHES_REPORTED:]
        self.started = set()
        self._unanswered = set()
