"""Online estimates of run times and completion rates."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pimentobridge.core import types

WINDOW_SAMPLES = 64
MIN_SAMPLES = 5


class RunTimeEstimator:
    """Median of recent run times per class of work and client account.

    Each account has its own window, so that an account whose work runs far
    longer than declared doesn't distort the estimates of other accounts.
    """

    def __init__(self) -> None:
        self._samples_by_key: dict[
            tuple[types.ClassName, types.AccountName], collections.deque[float]
        ] = {}
        self._median_by_key: dict[
            tuple[types.ClassName, types.AccountName], float
        ] = {}

    def observe(
        self,
        work_class: types.ClassName,
        account: types.AccountName,
        run_s: float,
    ) -> None:
        """Records one finished run of `run_s` seconds."""
        key = (work_class, account)
        samples = self._samples_by_key.get(key)
        if samples is None:
            samples = collections.deque(maxlen=WINDOW_SAMPLES)
            self._samples_by_key[key] = samples
        samples.append(run_s)
        if len(samples) >= MIN_SAMPLES:
            self._median_by_key[key] = sorted(samples)[len(samples) // 2]

    def run_s(
        self,
        work_class: types.ClassName,
        account: types.AccountName,
        declared_s: float,
    ) -> float:
        """Returns the median run time in seconds.

        Returns `declared_s` until `MIN_SAMPLES` runs have been observed.
        """
        return self._median_by_key.get((work_class, account), declared_s)


class DrainRate:
    """Completions per second over a sliding window of `horizon_s` seconds."""

    def __init__(self, *, horizon_s: float = 2.0) -> None:
        self._horizon_s = horizon_s
        self._times: collections.deque[float] = collections.deque()

    def observe(self, now_s: float) -> None:
        """Records one completion at `now_s`."""
        self._times.append(now_s)
        self._trim(now_s)

    def per_second(self, now_s: float) -> float | None:
        """Returns the rate, or None with too few completions in the window.

        At least `MIN_SAMPLES` are needed. The rate is taken over the time since
        the oldest of them, but at least a quarter of the window.
        """
        self._trim(now_s)
        if len(self._times) < MIN_SAMPLES:
            return None
        span_s = max(now_s - self._times[0], self._horizon_s / 4)
        return len(self._times) / span_s

    def _trim(self, now_s: float) -> None:
        while self._times and self._times[0] < now_s - self._horizon_s:
            self._times.popleft()
