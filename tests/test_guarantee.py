"""Tests of the scheduler's guarantees and of the bench that checks them.

The checker of the guarantees bench must find no violation in random histories,
and must detect each fault that is injected into the scheduler.
"""

import random

from pimentobridge.bench import guarantees
from pimentobridge.core import account
from pimentobridge.core import cell_index
from pimentobridge.core import clock
from pimentobridge.core import fleet
from pimentobridge.core import job
from pimentobridge.core import scheduler
from pimentobridge.core import types


def _violations(inject_fault) -> guarantees.Violations:
    violations = guarantees.Violations()
    for seed in range(20):
        history = guarantees.History(seed, "muida")
        inject_fault(history)
        for _ in range(40):
            history.step()
            history.check(violations)
    return violations


def test_random_histories_have_no_violations():
    assert _violations(lambda h: None) == guarantees.Violations()


def test_checker_detects_claim_on_cells_bound_to_another_unit():
    def inject_fault(history):
        plan = history.scheduler.plan
        plan.bound.take = lambda cell: None

    assert _violations(inject_fault).guarantee > 0


def test_checker_detects_ignored_quotas():
    def inject_fault(history):
        history.scheduler._within_quota = lambda job: True

    assert _violations(inject_fault).quota > 0


def test_checker_detects_unhandled_worker_loss():
    def inject_fault(history):
        history.scheduler.on_worker_lost = lambda worker: None

    violations = _violations(inject_fault)
    assert violations.overlap + violations.guarantee > 0


def _workers(count: int) -> list[fleet.Worker]:
    return [
        fleet.Worker(
            types.WorkerId(f"w{index}"), "dc", f"r{index // 3}", 8, 64, 256
        )
        for index in range(count)
    ]


def test_small_cells_fill_partly_used_workers_first():
    index = cell_index.CellIndex(_workers(4))
    single_accelerator = account.Shape(1)
    taken_cells = []
    for _ in range(8):
        cell = index.find(single_accelerator)[0]
        index.take(cell)
        taken_cells.append(cell)
    assert {cell.worker for cell in taken_cells} == {taken_cells[0].worker}


def test_wide_job_starts_despite_stream_of_small_jobs():
    """A job that needs adjacent accelerators must not be starved.

    Small jobs that keep arriving would otherwise take every accelerator that
    becomes free.
    """
    manual_clock = clock.ManualClock()
    client = account.ClientAccount(
        types.AccountName("a"),
        types.RegionName("r"),
        teams=[account.Team(types.TeamName("t"), 100)],
    )
    job_scheduler = scheduler.Scheduler(
        clock=manual_clock,
        rng=random.Random(1),
        workers=_workers(2),
        accounts=[client],
    )

    def submit(name, size):
        return job_scheduler.submit(
            job.Job(
                types.JobId(name),
                client.name,
                types.TeamName("t"),
                account.Shape(size),
                manual_clock.monotonic(),
            )
        ).unwrap()

    running = [submit(f"small-{n}", 1) for n in range(16)]
    job_scheduler.schedule()
    wide = submit("wide", 8)
    for number in range(200):
        manual_clock.advance(60)
        job_scheduler.on_finished(running.pop(0))
        running.append(submit(f"next-{number}", 1))
        for start in job_scheduler.schedule():
            job_scheduler.on_started(start.job)
        running.sort(key=lambda j: not j.cells)
        if wide.state is job.JobState.RUNNING:
            break
    assert wide.state is job.JobState.RUNNING
