"""Claims of guaranteed shapes while borrowers occupy the whole fleet."""

from __future__ import annotations

import random

import trio

from pimentobridge.bench import harness
from pimentobridge.core import account
from pimentobridge.core import clock as clock_lib
from pimentobridge.core import fleet
from pimentobridge.core import job as job_lib
from pimentobridge.core import scheduler as scheduler_lib
from pimentobridge.core import types
from pimentobridge.protocol import jobs
from pimentobridge.testing import deployment
from pimentobridge.testing import worker

START_BOUND_S = 3.4
LOST_WORK_BOUND = 0.5
CLAIM_ROUNDS = 40
PLATFORM_STOP_S = worker.STOP_S


def run(seed: int) -> harness.Report:
    """Measures the time from claim to start, and the work lost by preemption.

    The time is measured with production agents, the lost work with the
    scheduler alone.
    """
    figures: dict[str, harness.Figure] = {}
    baselines: dict[str, dict[str, float]] = {}
    for size in (deployment.MUIDA, deployment.LUNETTA):
        waits_s, claims = harness.run_virtual(
            _measure_claims, size, seed, seed=seed
        )
        figures[f"{size.name}.claim_to_start_p99_s"] = harness.at_most(
            harness.percentile(waits_s, 0.99), START_BOUND_S, "s"
        )
        figures[f"{size.name}.claims_started"] = harness.at_least(
            len(waits_s) / claims, 1.0, "ratio"
        )
        least_lost_work_s = _lost_work_s(size, seed, random_victims=False)
        random_lost_work_s = _lost_work_s(size, seed, random_victims=True)
        figures[f"{size.name}.lost_work_over_random"] = harness.at_most(
            least_lost_work_s / random_lost_work_s, LOST_WORK_BOUND, "ratio"
        )
        baselines[f"{size.name}.random_victims"] = {
            "lost_accelerator_s": random_lost_work_s
        }
        baselines[f"{size.name}.least_lost"] = {
            "lost_accelerator_s": least_lost_work_s
        }
    return harness.Report("reclaim", seed, figures, baselines)


async def _measure_claims(
    size: deployment.Size, seed: int
) -> tuple[list[float], int]:
    """Fills the fleet with borrowers, then claims every guarantee.

    Returns the seconds from claim to start, and the number of claims.
    """
    site = deployment.Deployment(
        size=size, rng=random.Random(seed), entries=2, workers=True
    )
    waits_s: list[float] = []
    claims = 0
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(8.0)
        for job_number, spec in enumerate(_borrower_specs(site, seed)):
            site.submit_job(spec, job_number % 2)
        await trio.sleep(15.0)
        async with trio.open_nursery() as claim_nursery:
            for client in site.document.client_accounts:
                for guarantee in client.guarantees:
                    for unit_number in range(guarantee.count):
                        claims += 1
                        spec = _claim_spec(
                            client, guarantee, claims, unit_number
                        )
                        claim_nursery.start_soon(
                            _submit_and_await_start, site, spec, waits_s
                        )
                        await trio.sleep(0.7)
            claim_nursery.cancel_scope.deadline = trio.current_time() + 20.0
        nursery.cancel_scope.cancel()
    return waits_s, claims


def _borrower_specs(
    site: deployment.Deployment, seed: int
) -> list[jobs.JobSpec]:
    """Returns small jobs of random accounts that fill every accelerator."""
    rng = random.Random(seed)
    specs = []
    clients = site.document.client_accounts
    for job_number in range(120):
        client = rng.choice(clients)
        specs.append(
            jobs.JobSpec(
                id=types.JobId(f"borrower-{job_number}"),
                account=client.name,
                team=rng.choice(client.teams).name,
                shape=account.Shape(rng.choice([1, 1, 2, 4])),
                urgency=types.Urgency.BATCH,
            )
        )
    return specs


def _claim_spec(
    client: account.ClientAccount,
    guarantee: account.Guarantee,
    job_number: int,
    unit_number: int,
) -> jobs.JobSpec:
    return jobs.JobSpec(
        id=types.JobId(f"claim-{job_number}-{unit_number}"),
        account=client.name,
        team=max(client.teams, key=lambda t: t.quota_accelerators).name,
        shape=guarantee.shape,
        guaranteed=True,
        urgency=types.Urgency.URGENT,
    )


async def _submit_and_await_start(
    site: deployment.Deployment, spec: jobs.JobSpec, waits_s: list[float]
) -> None:
    began_s = trio.current_time()
    gang = types.GangId(spec.id)
    site.submit_job(spec, 0)
    while True:
        await trio.sleep(0.02)
        entries = [w for w in site.work_log.entries if w.gang == gang]
        running = sum(w.ended_s == float("inf") for w in entries)
        if running == _worker_count(entries):
            waits_s.append(trio.current_time() - began_s)
            return


def _worker_count(entries: list[worker.Work]) -> int:
    return max(1, len({w.worker for w in entries}))


def _lost_work_s(
    size: deployment.Size, seed: int, *, random_victims: bool
) -> float:
    """Returns the accelerator seconds of work that repeated claims destroy."""
    rng = random.Random(seed)
    clock = clock_lib.ManualClock()
    document = deployment.load_document(size.name)
    scheduler = scheduler_lib.Scheduler(
        clock=clock,
        rng=random.Random(seed),
        workers=fleet.workers_of(document.fleet),
        accounts=document.client_accounts,
        random_victims=random_victims,
    )
    job_number = 0
    for _ in range(CLAIM_ROUNDS):
        job_number = _submit_borrowers(
            scheduler, document.client_accounts, rng, clock, job_number
        )
        claims = []
        for client in document.client_accounts:
            for guarantee in client.guarantees:
                job_number += 1
                claims.append(_claim_job(client, guarantee, job_number, clock))
                scheduler.submit(claims[-1])
        for start in scheduler.schedule():
            scheduler.on_started(start.job)
        clock.advance(rng.uniform(60, 600))
        for claim in claims:
            scheduler.on_finished(claim)
    return scheduler.lost_work_s


def _claim_job(
    client: account.ClientAccount,
    guarantee: account.Guarantee,
    job_number: int,
    clock: clock_lib.Clock,
) -> job_lib.Job:
    return job_lib.Job(
        id=types.JobId(f"claim-{job_number}"),
        account=client.name,
        team=max(client.teams, key=lambda t: t.quota_accelerators).name,
        shape=guarantee.shape,
        submitted_s=clock.monotonic(),
        guaranteed=True,
    )


def _submit_borrowers(
    scheduler: scheduler_lib.Scheduler,
    clients: list[account.ClientAccount],
    rng: random.Random,
    clock: clock_lib.ManualClock,
    job_number: int,
) -> int:
    """Fills the fleet with borrowers that checkpoint at random times.

    Returns the number of the last submitted job.
    """
    for _ in range(40):
        job_number += 1
        client = rng.choice(clients)
        scheduler.submit(
            job_lib.Job(
                id=types.JobId(f"borrower-{job_number}"),
                account=client.name,
                team=rng.choice(client.teams).name,
                shape=account.Shape(rng.choice([1, 2, 4])),
                submitted_s=clock.monotonic(),
                urgency=types.Urgency.BATCH,
            )
        )
    for _ in range(10):
        for start in scheduler.schedule():
            scheduler.on_started(start.job)
        clock.advance(rng.uniform(30, 300))
        for job in list(scheduler.jobs_by_id.values()):
            running = job.state is job_lib.JobState.RUNNING
            if running and rng.random() < 0.25:
                scheduler.on_checkpoint(job)
    return job_number
