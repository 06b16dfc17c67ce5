"""Whether a worker can be reached, and whether it certainly has ended."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from pimentobridge.core.scheduling import engine

if TYPE_CHECKING:
    from collections.abc import Iterator

POLL_RETRY_PAUSE_S = 0.1
# A worker that has announced its end has ended once it has refused connections
# for this long. A stop, during which its process may accept none any more,
# takes less.
REFUSAL_S = 1.0


class WorkerContact:
    """Contact with one incarnation of a worker.

    Polls are counted to find out whether its lease is over, not time, as the
    worker's clock may stand still while the machine is suspended.

    Args:
        max_lease_s: longest lease that the worker may hold, in seconds.

    Attributes:
        reachable: whether the worker accepted the latest connection.
        silent: whether a poll has timed out since its latest answer, so that
            its runs may have ended meanwhile.
        ended: whether the incarnation has certainly ended.
        deregistered: whether it has announced that it is shutting down. It may
            go on for a time, as it does if it got no answer.
        unreachable_polls: polls in a row that can't have reached it.
        refused_pauses: pauses in a row after polls whose connections it
            refused.
        starts_under_way: starts that may arrive at it yet.
    """

    def __init__(self, max_lease_s: float) -> None:
        lease_s = max_lease_s * (1 + engine.CLOCK_RATE_ERROR)
        self._lost_after_s = lease_s + engine.LEASE_SLACK_S
        self.reachable = True
        self.silent = False
        self.ended = False
        self.deregistered = False
        self.unreachable_polls = 0
        self.refused_pauses = 0
        self.starts_under_way = 0
        # Whether it refused the latest connection.
        self._refuses = False

    @contextlib.contextmanager
    def start_under_way(self) -> Iterator[None]:
        """Holds back the finding that it has ended, during a start."""
        self.starts_under_way += 1
        try:
            yield
        finally:
            self.starts_under_way -= 1

    def on_possible_arrival(self) -> None:
        """Notes that a call may have reached it and renewed its lease."""
        self.unreachable_polls = 0
        self.refused_pauses = 0
        self._refuses = False

    def on_answer(self) -> bool:
        """Notes an answer; returns whether it wasn't reachable before."""
        regained = not self.reachable
        if regained:
            self.ended = False
        self.reachable = True
        self.silent = False
        return regained

    def on_timeout(self) -> None:
        """Notes a poll that may have arrived but wasn't answered in time."""
        self.silent = True

    def on_unreachable(self, *, refused: bool) -> bool:
        """Notes a poll that can't have reached it.

        Args:
            refused: whether its connection was refused.

        Returns:
            Whether that changes what is known of it.
        """
        changed = self.reachable
        self.reachable = False
        self._refuses = refused
        if not refused:
            self.refused_pauses = 0
        return changed

    def on_retry_pause(self) -> bool:
        """Notes that a pause after a failed poll has passed.

        Returns:
            Whether the worker has just been found to have ended: nothing can
            have renewed its lease since it expired, or its process has ended as
            announced.
        """
        if self.reachable:
            return False
        self.unreachable_polls += 1
        self.refused_pauses += self._refuses
        if self.ended or self.starts_under_way or not self.presumed_ended:
            return False
        self.ended = True
        return True

    @property
    def presumed_ended(self) -> bool:
        """Whether it has ended unless a start under way arrives.

        No other start may be sent to it from then on: once it is reported as
        ended, its runs start elsewhere.
        """
        return not self.reachable and (self._is_lease_over or self._has_left)

    @property
    def _is_lease_over(self) -> bool:
        passed_s = self.unreachable_polls * POLL_RETRY_PAUSE_S
        return passed_s > self._lost_after_s

    @property
    def _has_left(self) -> bool:
        refused_s = self.refused_pauses * POLL_RETRY_PAUSE_S
        return self.deregistered and refused_s > REFUSAL_S
