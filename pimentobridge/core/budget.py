"""Token budgets that refill over time or with each new request."""

from __future__ import annotations


class TokenBucket:
    """Token bucket that one large spend may overdraw."""

    def __init__(
        self, *, rate_per_s: float, burst: float, now_s: float = 0.0
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s = now_s

    def set_rate(self, rate_per_s: float) -> None:
        """Sets the refill rate in tokens per second."""
        self._rate_per_s = rate_per_s

    def ready_at(self, now_s: float) -> float:
        """Returns the earliest time, in seconds, at which a spend succeeds."""
        self._refill(now_s)
        if self._tokens > 0:
            return now_s
        return now_s + (1e-6 - self._tokens) / self._rate_per_s

    def try_spend(self, amount: float, now_s: float) -> bool:
        """Spends `amount` if any tokens are left; returns whether it did."""
        self._refill(now_s)
        if self._tokens <= 0:
            return False
        self._tokens -= amount
        return True

    def _refill(self, now_s: float) -> None:
        gained = (now_s - self._updated_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._updated_s = now_s


class RetryBudget:
    """Limits retries to a fraction of the new requests.

    Args:
        ratio: retries earned by each new request.
        burst: most retries that can be saved up.
    """

    def __init__(self, *, ratio: float = 0.2, burst: float = 10.0) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst
        self.retries = 0
        self.new_requests = 0

    def on_new_request(self) -> None:
        """Records one request that is not a retry."""
        self.new_requests += 1
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self.retries += 1
        return True
