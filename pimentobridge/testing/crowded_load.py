"""Jobs that ask for more than a fleet has, for tests of scheduling.

A third of the work is urgent: narrow gangs that run for seconds. Half are wide
gangs that run long, and the rest are many single tasks of low priority.
"""

from __future__ import annotations

import random

from pimentobridge.core.jobs import model
from pimentobridge.testing import engine_harness

# Accelerators of a gang's member; most ask for a whole worker.
ACCELERATORS = (1, 2, 4, 8, 8)
URGENT_CPU = 1000
NORMAL_CPU = 3000
BATCH_CPU = 700
MEMORY = 1000
MAX_WIDTH = 40


def jobs(*, seed: int, accelerators: int, accounts: int = 1) -> list[model.Job]:
    """Returns jobs that ask for at least that many accelerators together.

    Args:
        seed: seed of the random choices.
        accelerators: number of accelerators.
        accounts: number of client accounts, which submit in turn.
    """
    rng = random.Random(seed)
    made: list[model.Job] = []
    asked = 0
    while asked < accelerators:
        priority = rng.choices([0, 1, 2], [74, 15, 11])[0]
        step = _step(rng, priority)
        account = "shop" if accounts == 1 else f"shop-{len(made) % accounts}"
        made.append(
            engine_harness.job(
                f"{len(made):016x}", step, priority=priority, account=account
            )
        )
        asked += step.count * step.request.accelerators
    return made


def _step(rng: random.Random, priority: int) -> model.Step:
    each = rng.choice(ACCELERATORS)
    if priority == 0:
        return model.Step(
            _width(rng, 5.0),
            model.Resources(URGENT_CPU, MEMORY, each),
            5.0,
            gang=True,
            same_rack=rng.random() < 0.8,
        )
    if priority == 1:
        return model.Step(
            _width(rng, 13.0),
            model.Resources(NORMAL_CPU, MEMORY, each),
            17.0,
            gang=True,
            checkpointing=rng.random() < 0.4,
        )
    request = model.Resources(BATCH_CPU, MEMORY, 1)
    return model.Step(_width(rng, 38.0), request, 19.0)


def _width(rng: random.Random, mean: float) -> int:
    return min(MAX_WIDTH, 1 + int(rng.expovariate(1 / mean)))
