"""Whether a worker can be reached, and whether it certainly has ended."""

from __future__ import annotations

from pimentobridge.core.scheduling import engine

POLL_RETRY_PAUSE_S = 0.1


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
        deregistered: whether it has announced that it is shutting down.
        unreachable_polls: polls in a row that can't have reached it.
    """

    def __init__(self, max_lease_s: float) -> None:
        lease_s = max_lease_s * (1 + engine.CLOCK_RATE_ERROR)
        self._lost_after_s = lease_s + engine.LEASE_SLACK_S
        self.reachable = True
        self.silent = False
        self.ended = False
        self.deregistered = False
        self.unreachable_polls = 0

    def on_possible_arrival(self) -> None:
        """Notes that a call may have reached it and renewed its lease."""
        self.unreachable_polls = 0

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

    def on_unreachable(self) -> bool:
        """Notes a poll that can't have reached it.

        Returns:
            Whether that changes what is known of it.
        """
        changed = self.deregistered or self.reachable
        self.ended |= self.deregistered
        self.reachable = False
        return changed

    def on_retry_pause(self) -> bool:
        """Notes that a pause after a failed poll has passed.

        Returns:
            Whether the worker has just been found to have ended: nothing can
            have renewed its lease since it expired.
        """
        if self.reachable:
            return False
        self.unreachable_polls += 1
        passed_s = self.unreachable_polls * POLL_RETRY_PAUSE_S
        if self.ended or passed_s <= self._lost_after_s:
            return False
        self.ended = True
        return True
