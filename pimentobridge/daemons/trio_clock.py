"""Clock that follows trio's, which may be virtual."""

from __future__ import annotations

import datetime

import trio

# Fixed origin in virtual time, so that simulated days are reproducible.
FIXED_ORIGIN = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class TrioClock:
    """Follows trio's clock, so that tests can run in virtual time.

    Args:
        origin: date and time that `now` starts from, in UTC; None for the
            actual time.
        booted_s: trio's time at which the machine booted, in seconds.
    """

    def __init__(
        self, origin: datetime.datetime | None = None, *, booted_s: float = 0.0
    ) -> None:
        self._origin = origin or datetime.datetime.now(tz=datetime.UTC)
        self._start_s = trio.current_time()
        self._booted_s = booted_s

    def monotonic(self) -> float:
        """Returns the seconds since the machine booted, in trio's time."""
        return trio.current_time() - self._booted_s

    def now(self) -> datetime.datetime:
        """Returns the date and time in UTC."""
        elapsed_s = trio.current_time() - self._start_s
        return self._origin + datetime.timedelta(seconds=elapsed_s)
