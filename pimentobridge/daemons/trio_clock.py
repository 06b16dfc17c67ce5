"""The running trio clock as the clock of the decisions."""

from __future__ import annotations

import datetime

import trio

# Origin of days in virtual time, so that they repeat.
FIXED_ORIGIN = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class TrioClock:
    """Follows trio's clock, so that tests run it in virtual time.

    Args:
        origin: the UTC time of day at trio's time `start_s`.
    """

    def __init__(self, origin: datetime.datetime | None = None) -> None:
        self._origin = origin or datetime.datetime.now(tz=datetime.UTC)
        self._start_s = trio.current_time()

    def monotonic(self) -> float:
        """Returns trio's time in seconds."""
        return trio.current_time()

    def now(self) -> datetime.datetime:
        """Returns the time of day in UTC."""
        elapsed_s = trio.current_time() - self._start_s
        return self._origin + datetime.timedelta(seconds=elapsed_s)
