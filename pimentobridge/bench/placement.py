"""Cost of placement decisions as the fleet grows to 8,000 workers."""

from __future__ import annotations

import random
import time
import tracemalloc

from pimentobridge.bench import harness
from pimentobridge.core import account
from pimentobridge.core import clock as clock_lib
from pimentobridge.core import fleet
from pimentobridge.core import job as job_lib
from pimentobridge.core import scheduler as scheduler_lib
from pimentobridge.core import types

DATA_CENTRES = 7
WORKERS_PER_RACK = 16
WORKERS = (500, 8000)
GANG_SIZES = (1, 8, 64, 512)
# The design size of docs/CAPACITY.md.
JOBS_PER_DAY = 14_000
TEAMS = 78
RUNNING_TASKS = 73_000
DECISIONS = 40
OCCUPIED_FRACTION = 0.4
DAY_S = 86_400.0

# Approximates the design size of 17,000 accelerators on 8,000 workers. Most
# workers have one or two accelerators, some four, and every 40th eight.
_ACCELERATOR_PATTERN = (1, 1, 1, 1, 2, 2, 2, 2, 2, 4)


def run(seed: int) -> harness.Report:
    """Measures index visits, time and memory at 500 and 8,000 workers."""
    visits: dict[tuple[int, int], float] = {}
    duration_s_by_case: dict[tuple[int, int], float] = {}
    figures: dict[str, harness.Figure] = {}
    for workers in WORKERS:
        scheduler, clock, bytes_per_worker = _build_scheduler(
            workers, DATA_CENTRES, seed
        )
        for size in GANG_SIZES:
            if size == max(GANG_SIZES) and workers == min(WORKERS):
                # The small fleet has capacity for the largest gang only if all
                # its workers are in one data centre.
                scheduler, clock, _ = _build_scheduler(workers, 1, seed)
            mean_visits, duration_s = _measure_decisions(
                scheduler, clock, size, seed
            )
            visits[(workers, size)] = mean_visits
            duration_s_by_case[(workers, size)] = duration_s
        figures[f"state_bytes_per_worker_{workers}"] = harness.info(
            bytes_per_worker, "bytes"
        )
    small, large = WORKERS
    for size in GANG_SIZES:
        figures[f"visits_growth_{size}"] = harness.at_most(
            visits[(large, size)] / max(visits[(small, size)], 1), 3.0, "ratio"
        )
        figures[f"visits_at_{large}_{size}"] = harness.info(
            visits[(large, size)], "workers"
        )
        figures[f"decision_ms_at_{large}_{size}"] = harness.info(
            duration_s_by_case[(large, size)] * 1000, "ms"
        )
    decisions_per_s = 1 / duration_s_by_case[(large, 8)]
    figures["decisions_per_s_8"] = harness.info(decisions_per_s, "per_s")
    figures["headroom_over_jobs_a_day"] = harness.info(
        decisions_per_s / (JOBS_PER_DAY / DAY_S), "ratio"
    )
    # The jobs that run in one data centre, at 5.2 tasks per job.
    requeued_jobs = RUNNING_TASKS / DATA_CENTRES / 5.2
    figures["data_centre_loss_requeue_s"] = harness.info(
        requeued_jobs / decisions_per_s, "s"
    )
    return harness.Report("placement", seed, figures)


def fleet_of(count: int, data_centres: int) -> list[fleet.Worker]:
    """Returns workers spread evenly over the data centres."""
    workers = []
    for number in range(count):
        rack = number // WORKERS_PER_RACK
        workers.append(
            fleet.Worker(
                types.WorkerId(f"worker-{number}"),
                types.DataCentreName(f"dc-{rack % data_centres}"),
                types.RackName(f"rack-{rack}"),
                _ACCELERATOR_PATTERN[number % len(_ACCELERATOR_PATTERN)]
                if number % 40
                else 8,
                32,
                128,
            )
        )
    return workers


def _accounts(workers: int) -> list[account.ClientAccount]:
    """Returns accounts that guarantee half of the 8-accelerator workers."""
    names = [types.AccountName(f"account-{n}") for n in range(TEAMS)]
    eight_accelerator_workers = workers // 40
    count = max(1, eight_accelerator_workers // 2 // TEAMS)
    return [
        account.ClientAccount(
            name,
            types.RegionName("r"),
            guarantees=[account.Guarantee(account.Shape(8), count)]
            if number * count < eight_accelerator_workers // 2
            else [],
            teams=[account.Team(types.TeamName("t"), 1_000_000)],
        )
        for number, name in enumerate(names)
    ]


def _build_scheduler(
    workers: int, data_centres: int, seed: int
) -> tuple[scheduler_lib.Scheduler, clock_lib.ManualClock, float]:
    """Returns a scheduler whose fleet is partly occupied by small jobs.

    They occupy `OCCUPIED_FRACTION` of the accelerators. Also returns the
    scheduler's clock and the bytes that its state takes for each worker.
    """
    rng = random.Random(seed)
    clock = clock_lib.ManualClock()
    fleet_workers = fleet_of(workers, data_centres)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    scheduler = scheduler_lib.Scheduler(
        clock=clock,
        rng=rng,
        workers=fleet_workers,
        accounts=_accounts(workers),
    )
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    accelerators = sum(worker.accelerators for worker in fleet_workers)
    occupied = 0
    number = 0
    while occupied < accelerators * OCCUPIED_FRACTION:
        size = rng.choice([1, 1, 2])
        occupied += size
        number += 1
        scheduler.submit(_job(f"fill-{number}", size, 1, clock))
        for start in scheduler.schedule():
            scheduler.on_started(start.job)
    return scheduler, clock, (after - before) / workers


def _job(
    name: str, accelerators: int, workers: int, clock: clock_lib.Clock
) -> job_lib.Job:
    return job_lib.Job(
        id=types.JobId(name),
        account=types.AccountName("account-1"),
        team=types.TeamName("t"),
        shape=account.Shape(accelerators, workers, account.Scope.DATA_CENTRE),
        submitted_s=clock.monotonic(),
    )


def _measure_decisions(
    scheduler: scheduler_lib.Scheduler,
    clock: clock_lib.ManualClock,
    gang_size: int,
    seed: int,
) -> tuple[float, float]:
    """Returns the mean visits and mean seconds for one decision.

    A visit is a data centre, rack or worker that a search examines.
    """
    visits = 0
    began_s = time.perf_counter()
    for number in range(DECISIONS):
        before = scheduler.spare.visits + scheduler.vacant.visits
        job = _job(f"gang-{gang_size}-{number}", 1, gang_size, clock)
        submitted = scheduler.submit(job)
        starts = scheduler.schedule()
        if submitted.is_err() or not starts:
            raise RuntimeError(
                f"no capacity for a gang of {gang_size} workers."
            )
        scheduler.on_started(job)
        scheduler.cancel(job)
        visits += scheduler.spare.visits + scheduler.vacant.visits - before
    duration_s = time.perf_counter() - began_s
    return visits / DECISIONS, duration_s / DECISIONS
