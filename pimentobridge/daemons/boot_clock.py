"""Clock that includes the time the machine is suspended."""

from __future__ import annotations

import datetime
import time


class BootClock:
    """Uses boot time as the monotonic clock.

    A lease that another machine grants can expire while this one is suspended,
    but the usual monotonic clock stops during that time.
    """

    def monotonic(self) -> float:
        """Returns the seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Returns the date and time in UTC."""
        return datetime.datetime.now(tz=datetime.UTC)
