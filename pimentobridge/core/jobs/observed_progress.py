"""Progress of a run as its worker reports it, and the time that is left."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

# Progress from which a run's rate is known.
MIN_SEEN_PERCENT = 5
# A run whose progress hasn't increased for longer than two reports doesn't move
# at its earlier rate.
MAX_SILENT_S = 1.2
# Least length and progress of a segment. Reports come twice a second and state
# whole percentages, so shorter ones say little about the rate.
MIN_SEGMENT_S = 1.0
MIN_SEGMENT_PERCENT = 3


class Segment(NamedTuple):
    """Progress that a run has made in some time."""

    percent: int
    seconds: float


@dataclasses.dataclass
class ObservedProgress:
    """What the reports on one run have said so far.

    Attributes:
        percent: progress that the worker last reported; None before that.
        started_s: monotonic time at which it was first reported as running.
        progressed_s: monotonic time at which its progress last increased.
        first_percent: progress when it was first reported; above 0 for a run
            that had started before the observer did.
        idle_until_s: monotonic time of the latest report without progress
            since the first one; members of a gang wait for the others first.
        checkpoint: its latest checkpoint; empty for none.
        checkpointed_s: monotonic time at which that was first reported; None
            without one.
        segment_from: progress and monotonic time at which the current segment
            began; None before the first progress.
    """

    percent: int | None = None
    started_s: float | None = None
    progressed_s: float = 0.0
    first_percent: int = 0
    idle_until_s: float = 0.0
    checkpoint: str = ""
    checkpointed_s: float | None = None
    segment_from: tuple[int, float] | None = None

    def update(self, percent: int, now_s: float) -> None:
        """Updates the progress from a report."""
        if self.started_s is None:
            self.started_s = now_s
            self.first_percent = percent
        if percent <= self.first_percent:
            self.idle_until_s = now_s
        if self.percent is None or percent > self.percent:
            self.progressed_s = now_s
        self.percent = percent

    def update_checkpoint(self, checkpoint: str, now_s: float) -> None:
        """Updates the latest checkpoint from a report; empty for none."""
        if checkpoint and checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            self.checkpointed_s = now_s

    def take_segment(self) -> Segment | None:
        """Returns the latest segment once it is long enough, and begins one.

        The time before the first progress doesn't count, as members of a gang
        may start late, nor do reports at 100 %, as they may wait for others.
        """
        percent = self.percent
        if percent is None or percent <= self.first_percent or percent >= 100:
            return None
        if self.segment_from is None:
            self.segment_from = percent, self.progressed_s
            return None
        from_percent, from_s = self.segment_from
        segment = Segment(percent - from_percent, self.progressed_s - from_s)
        if (
            segment.percent < MIN_SEGMENT_PERCENT
            or segment.seconds < MIN_SEGMENT_S
        ):
            return None
        self.segment_from = percent, self.progressed_s
        return segment

    @property
    def worked_s(self) -> float:
        """Time from the first report to the latest progress, in seconds.

        Reports that repeat what is known, as while the worker is down, don't
        count.
        """
        if self.started_s is None:
            return 0.0
        return self.progressed_s - self.started_s

    @property
    def moving_s(self) -> float:
        """Time from the latest report without progress to the latest progress.

        The run began to work up to one report later.
        """
        return max(0.0, self.progressed_s - self.idle_until_s)

    def remaining_s(self, now_s: float) -> float | None:
        """Returns the expected remaining time by the rate so far, in seconds.

        None if too little progress was seen to know the rate.
        """
        if self.percent is None or self.started_s is None:
            return None
        seen_percent = self.percent - self.first_percent
        if seen_percent < MIN_SEEN_PERCENT:
            return None
        silent_s = now_s - self.progressed_s
        if silent_s > MAX_SILENT_S:
            # It has become slower, or stands still.
            worked_s, silent_s = now_s - self.idle_until_s, 0.0
        else:
            worked_s = self.moving_s
        left_s = worked_s * (100 - self.percent) / seen_percent
        return max(0.0, left_s - silent_s)
