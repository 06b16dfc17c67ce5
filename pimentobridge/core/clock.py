"""Clock interface, injected so that the core never reads the system time."""

from __future__ import annotations

import datetime
from typing import Protocol

# Differences of times that are smaller than this are due to rounding.
RESOLUTION_S = 0.001


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Returns seconds since an arbitrary origin; never decreases."""

    def now(self) -> datetime.datetime:
        """Returns the date and time in UTC."""


class ManualClock:
    """Clock that only moves when advanced, for tests and simulations."""

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def monotonic(self) -> float:
        """Returns the seconds the clock was advanced to."""
        return self._now_s

    def now(self) -> datetime.datetime:
        """Returns the clock's seconds as a UTC time since the Unix epoch."""
        return datetime.datetime.fromtimestamp(self._now_s, tz=datetime.UTC)

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by `seconds`."""
        self._now_s += seconds
