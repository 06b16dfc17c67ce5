"""When the next scheduling pass is due without an event."""

from __future__ import annotations

from pimentobridge.core import clock as clock_lib

# Minimum time from a request for a pass to the pass.
MIN_PASS_INTERVAL_S = 0.01


class PassRequests:
    """Requests for a scheduling pass at a time, of which the earliest counts.

    Args:
        clock: source of time.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._due_s = float("inf")

    def request_at(self, time_s: float) -> None:
        """Requests a scheduling pass at a monotonic time, if not before.

        Passes don't follow each other sooner than `MIN_PASS_INTERVAL_S`.
        """
        earliest_s = self._clock.monotonic() + MIN_PASS_INTERVAL_S
        self._due_s = min(self._due_s, max(time_s, earliest_s))

    @property
    def time_to_due_s(self) -> float:
        """Time until the requested pass is due; infinity if none is."""
        return max(0.0, self._due_s - self._clock.monotonic())

    def take_due(self) -> bool:
        """Returns whether a pass is due, and drops the request then."""
        if self.time_to_due_s > clock_lib.RESOLUTION_S:
            return False
        self._due_s = float("inf")
        return True
