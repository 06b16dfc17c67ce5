"""Clock that goes on while the machine is suspended."""

from __future__ import annotations

import datetime
import time


class BootClock:
    """Boot time as the monotonic clock.

    A lease held elsewhere runs out while this machine is suspended, which the
    usual monotonic clock doesn't count.
    """

    def monotonic(self) -> float:
        """Returns seconds since the machine's start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Returns the time of day in UTC."""
        return datetime.datetime.now(tz=datetime.UTC)
