"""Interface to the gang tasks of one worker."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import types


class Worker(Protocol):
    """Controls the gang tasks of one worker.

    Calls return at once; the outcome is passed to the callback.
    """

    def load(
        self, gang: types.GangId, mask: int, on_ready: Callable[[bool], None]
    ) -> None:
        """Loads a gang's tasks up to the start barrier.

        Args:
            gang: the gang.
            mask: bit mask of the accelerators that it uses.
            on_ready: called with whether the tasks were loaded.
        """

    def start(
        self, gang: types.GangId, on_finished: Callable[[bool], None]
    ) -> None:
        """Runs loaded tasks to their end.

        Args:
            gang: the gang.
            on_finished: called with whether the tasks succeeded.
        """

    def stop(self, gang: types.GangId, on_stopped: Callable[[], None]) -> None:
        """Checkpoints and stops a gang's tasks, whether loaded or running."""
