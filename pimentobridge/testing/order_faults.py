"""Faults of the orders to a worker's runner: to start or to stop a run."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

ORDER_PATHS = frozenset({"/v1/run-start", "/v1/run-stop"})
MIN_LATENESS_S = 1.0
MAX_LATENESS_S = 12.0


class Treatment(enum.Enum):
    """What happens to an order.

    Attributes:
        ANSWERED: it is carried out and answered.
        ANSWER_LOST: it is carried out but never answered.
        LATE: it is carried out seconds later and never answered.
    """

    ANSWERED = "answered"
    ANSWER_LOST = "answer lost"
    LATE = "late"


@dataclasses.dataclass(frozen=True)
class OrderFaults:
    """Faults of the orders to one runner; polls aren't affected.

    Attributes:
        lost_answer_rate: share of the orders that are carried out but never
            answered.
        late_execution_rate: share of the orders that are carried out seconds
            later and never answered.
    """

    lost_answer_rate: float = 0.0
    late_execution_rate: float = 0.0

    def treatment(self, path: str, rng: random.Random) -> Treatment:
        """Draws what happens to a call to the runner.

        Args:
            path: URL path of the call.
            rng: source of randomness.
        """
        if path not in ORDER_PATHS:
            return Treatment.ANSWERED
        drawn = rng.random()
        if drawn < self.late_execution_rate:
            return Treatment.LATE
        if drawn < self.late_execution_rate + self.lost_answer_rate:
            return Treatment.ANSWER_LOST
        return Treatment.ANSWERED


def random_lateness_s(rng: random.Random) -> float:
    """Draws how much later an order is carried out, in seconds."""
    return rng.uniform(MIN_LATENESS_S, MAX_LATENESS_S)
