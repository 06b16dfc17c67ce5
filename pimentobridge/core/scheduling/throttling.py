"""Throttles tasks that use spare CPU while a serving task exceeds its target.

A serving task must not exceed its target for 4.5 s on end because of them. A
violation is known at the latest 1.5 s after it begins: the figure covers half a
second, and polls and reports come every half second. All steps follow within
2 s, and a pace takes effect 0.1 s after the call.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet

FULL_PERCENT = 100
# Shares of their work that throttled tasks do.
LEVELS = (FULL_PERCENT, 50, 20, 0)
# Time between two steps down, just below that of two reports.
STEP_INTERVAL_S = 0.9
# A task that has exceeded its target for this long stops the others at once.
MAX_EXCESS_S = 1.9
# Time within the target before a step up. It doubles each time that a step up
# is followed by a violation, and is reset once all steps up have held.
FIRST_HOLD_S = 3.0
MAX_HOLD_S = 48.0


@dataclasses.dataclass
class Throttle:
    """What tasks that use spare CPU may do on one worker.

    Attributes:
        percent: share of their work, from 0 to 100.
        known: whether `percent` is what the worker applies; False while an
            earlier scheduler may have ordered another share. Nothing is ordered
            then.
    """

    percent: int = FULL_PERCENT
    known: bool = True
    _changed_s: float = float("-inf")
    _over_since_s: float | None = None
    _within_since_s: float | None = None
    _hold_s: float = FIRST_HOLD_S
    _raised: bool = False

    def update(self, *, over: bool, now_s: float) -> None:
        """Updates the share from a report.

        Args:
            over: whether a serving task on the worker exceeds its target.
            now_s: current monotonic time.
        """
        if over:
            self._on_over(now_s)
        else:
            self._on_within(now_s)

    @property
    def is_new(self) -> bool:
        """Whether no report has updated the share yet."""
        return self._over_since_s is None and self._within_since_s is None

    def _on_over(self, now_s: float) -> None:
        self._within_since_s = None
        if self._over_since_s is None:
            self._over_since_s = now_s
        if self.percent == LEVELS[-1]:
            return
        if not self.known or now_s - self._over_since_s >= MAX_EXCESS_S:
            # A first step could raise a share that isn't known.
            self._set(LEVELS[-1], now_s)
        elif now_s - self._changed_s >= STEP_INTERVAL_S:
            self._set(LEVELS[LEVELS.index(self.percent) + 1], now_s)
        if self._raised:
            self._raised = False
            self._hold_s = min(MAX_HOLD_S, 2 * self._hold_s)

    def _on_within(self, now_s: float) -> None:
        self._over_since_s = None
        if self._within_since_s is None:
            self._within_since_s = now_s
        if now_s - max(self._within_since_s, self._changed_s) < self._hold_s:
            return
        self.known = True
        if self.percent == FULL_PERCENT:
            self._raised = False
            self._hold_s = FIRST_HOLD_S
            return
        self._set(LEVELS[LEVELS.index(self.percent) - 1], now_s)
        self._raised = True

    def _set(self, percent: int, now_s: float) -> None:
        self.percent = percent
        self.known = True
        self._changed_s = now_s


class Throttling:
    """Throttles tasks that use spare CPU, by the reports on their workers.

    Args:
        workers_by_incarnation: the workers.
        log: writes a log line, given an event text and fields.
    """

    def __init__(
        self,
        workers_by_incarnation: Mapping[
            runs.IncarnationKey, fleet.TrackedWorker
        ],
        log: Callable[..., None],
    ) -> None:
        self._workers_by_incarnation = workers_by_incarnation
        self._log = log
        self._steps_down = 0

    def on_report(
        self,
        worker: fleet.TrackedWorker,
        running: Iterable[runs.RunningTask],
        now_s: float,
    ) -> None:
        """Updates what tasks that use spare CPU may do on a worker.

        Args:
            worker: the worker.
            running: the runs that its report lists.
            now_s: current monotonic time.
        """
        throttled = [
            entry
            for entry in worker.entries_by_key.values()
            if entry.step.uses_spare_cpu
        ]
        if not throttled:
            if worker.throttle.percent != FULL_PERCENT:
                worker.throttle = Throttle()
            return
        if worker.throttle.is_new and any(
            entry.is_recorded for entry in throttled
        ):
            worker.throttle.known = False
        over = _is_over(worker, running)
        before = worker.throttle.percent
        if over is not None:
            worker.throttle.update(over=over, now_s=now_s)
        after = worker.throttle.percent
        if after < FULL_PERCENT or not worker.throttle.known:
            for entry in throttled:
                entry.throttled_s = now_s
        if after == before:
            return
        self._steps_down += after < before
        self._log(
            "spare CPU throttled" if after < before else "spare CPU released",
            worker=worker.key.worker,
            percent=after,
            before=before,
            tasks=len(throttled),
        )

    def gauges(self) -> dict[str, float]:
        """Returns the gauges by metric name."""
        return {
            "workers_with_throttled_tasks": sum(
                worker.throttle.percent < FULL_PERCENT
                for worker in self._workers_by_incarnation.values()
            ),
            "throttle_steps_down": self._steps_down,
        }


def _is_over(
    worker: fleet.TrackedWorker, running: Iterable[runs.RunningTask]
) -> bool | None:
    """Returns whether a serving task exceeds its target; None if unknown.

    It isn't known while there are serving tasks and none with a figure.
    """
    known = None
    serving = False
    for task in running:
        entry = worker.entries_by_key.get(task.key)
        if entry is None or not entry.is_current or entry.stop_requested:
            continue
        target_ms = entry.step.target_ms
        if target_ms <= 0:
            continue
        serving = True
        if task.metric is not None:
            known = bool(known) or task.metric > target_ms
    return known if serving else False
