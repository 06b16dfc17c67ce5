"""Random event histories of a fleet, with invariants checked at every step."""

from __future__ import annotations

import dataclasses
import random

from pimentobridge.bench import harness
from pimentobridge.core import account
from pimentobridge.core import clock as clock_lib
from pimentobridge.core import fleet
from pimentobridge.core import job as job_lib
from pimentobridge.core import scheduler as scheduler_lib
from pimentobridge.core import types
from pimentobridge.testing import deployment

HISTORIES = 2000
STEPS = 60


@dataclasses.dataclass
class Violations:
    """Counts of invariant violations over all steps.

    Attributes:
        guarantee: faults in the plan that keeps cells for guaranteed shapes.
        quota: teams that occupy more accelerators than their quota.
        overlap: cells of jobs that overlap another job's cells or lie on
            unavailable workers.
        partial: jobs that have cells without running, or that run with the
            wrong number of cells.
        starved_claims: guaranteed jobs that wait although an idle unit fits and
            the quota suffices.
    """

    guarantee: int = 0
    quota: int = 0
    overlap: int = 0
    partial: int = 0
    starved_claims: int = 0


class History:
    """One random event history on a deployment's fleet.

    Attributes:
        unavailable: workers that are lost or in quarantine.
        faulty_worker: the only worker on which tasks fail.
    """

    def __init__(self, seed: int, name: str) -> None:
        self.rng = random.Random(seed)
        self.clock = clock_lib.ManualClock()
        self.document = deployment.load_document(name)
        self.workers = fleet.workers_of(self.document.fleet)
        self.scheduler = scheduler_lib.Scheduler(
            clock=self.clock,
            rng=self.rng,
            workers=self.workers,
            accounts=self.document.client_accounts,
        )
        self.unavailable: set[types.WorkerId] = set()
        self.submitted = 0
        self.moves = 0
        self.faulty_worker = self.rng.choice(self.workers).id

    def step(self) -> None:
        """Applies one random event, then runs the scheduler."""
        self.clock.advance(self.rng.expovariate(1 / 300))
        action = self.rng.choices(
            [
                self._submit_jobs,
                self._finish_jobs,
                self._fail_task,
                self._lose_worker,
                self._restore_workers,
                self._cancel_jobs,
                self._checkpoint_jobs,
            ],
            [8, 4, 1, 0.6, 0.8, 0.4, 2],
        )[0]
        action()
        while starts := self.scheduler.schedule():
            for start in starts:
                if self.rng.random() < 0.05:
                    self.scheduler.on_conflict(start.job)
                else:
                    self.scheduler.on_started(start.job)

    def check(self, violations: Violations) -> None:
        """Adds the current violations, derived from the jobs and units only."""
        scheduler = self.scheduler
        occupied_by_worker: dict[types.WorkerId, int] = {}
        claimed_by_worker: dict[types.WorkerId, int] = {}
        for job in scheduler.jobs_by_id.values():
            running = job.state in (
                job_lib.JobState.RUNNING,
                job_lib.JobState.RESERVED,
            )
            violations.partial += (
                running and len(job.cells) != job.shape.workers
            )
            violations.partial += not running and bool(job.cells)
            for cell in job.cells:
                mask = occupied_by_worker.get(cell.worker, 0)
                violations.overlap += bool(mask & cell.mask)
                violations.overlap += cell.worker in self.unavailable
                occupied_by_worker[cell.worker] = mask | cell.mask
                if job.id in scheduler.units_by_job:
                    claimed_mask = claimed_by_worker.get(cell.worker, 0)
                    claimed_by_worker[cell.worker] = claimed_mask | cell.mask
        self._check_units(violations, claimed_by_worker)
        self._check_quotas(violations)

    def _check_units(
        self,
        violations: Violations,
        claimed_by_worker: dict[types.WorkerId, int],
    ) -> None:
        planned_by_worker: dict[types.WorkerId, int] = {}
        for unit in self.scheduler.plan.units:
            size = sum(cell.size for cell in unit.cells)
            violations.guarantee += size != unit.shape.total_accelerators
            for cell in unit.cells:
                mask = planned_by_worker.get(cell.worker, 0)
                violations.guarantee += bool(mask & cell.mask)
                violations.guarantee += cell.worker in self.unavailable
                planned_by_worker[cell.worker] = mask | cell.mask
                if unit.job is None:
                    # Only jobs that can be stopped may occupy an idle unit.
                    claimed_mask = claimed_by_worker.get(cell.worker, 0)
                    violations.guarantee += bool(claimed_mask & cell.mask)
        violations.starved_claims += sum(
            job.guaranteed
            and self.scheduler.plan.idle_unit(job.account, job.shape)
            is not None
            and self._within_quota(job)
            for job in self.scheduler.queued
        )

    def _check_quotas(self, violations: Violations) -> None:
        used: dict[tuple[str, str], int] = {}
        for job in self.scheduler.jobs_by_id.values():
            if job.cells:
                key = (job.account, job.team)
                used[key] = used.get(key, 0) + job.accelerators
        for client in self.document.client_accounts:
            for team in client.teams:
                total = used.get((client.name, team.name), 0)
                violations.quota += total > team.quota_accelerators

    def _within_quota(self, job: job_lib.Job) -> bool:
        """Returns whether the team's claims leave enough quota for the job."""
        client = self.document.accounts_by_name[job.account]
        team = next(t for t in client.teams if t.name == job.team)
        claimed_accelerators = sum(
            claimant.accelerators
            for claimant in self.scheduler.jobs_by_id.values()
            if claimant.id in self.scheduler.units_by_job
            and (claimant.account, claimant.team) == (job.account, job.team)
        )
        return (
            claimed_accelerators + job.accelerators <= team.quota_accelerators
        )

    def _submit_jobs(self) -> None:
        for _ in range(self.rng.randint(1, 4)):
            client = self.rng.choice(self.document.client_accounts)
            guaranteed = self.rng.random() < 0.4
            if guaranteed:
                shape = self.rng.choice(client.guarantees).shape
            else:
                shape = account.Shape(
                    accelerators=self.rng.choice([1, 1, 2, 4, 8]),
                    workers=self.rng.choice([1, 1, 1, 2, 3]),
                    scope=self.rng.choice(list(account.Scope)),
                )
            self.submitted += 1
            self.scheduler.submit(
                job_lib.Job(
                    id=types.JobId(f"job-{self.submitted}"),
                    account=client.name,
                    team=self.rng.choice(client.teams).name,
                    shape=shape,
                    submitted_s=self.clock.monotonic(),
                    guaranteed=guaranteed,
                    urgency=self.rng.choice(list(types.Urgency)),
                    declared_run_s=self.rng.lognormvariate(7, 2),
                )
            )

    def _running_jobs(self) -> list[job_lib.Job]:
        return [
            job
            for job in self.scheduler.jobs_by_id.values()
            if job.state is job_lib.JobState.RUNNING
        ]

    def _finish_jobs(self) -> None:
        for job in self._running_jobs():
            if self.rng.random() < 0.3:
                self.scheduler.on_finished(job)

    def _fail_task(self) -> None:
        for job in self._running_jobs():
            workers = {cell.worker for cell in job.cells}
            if self.faulty_worker in workers and self.rng.random() < 0.5:
                self.scheduler.on_failed(job, self.faulty_worker)
                self._record_quarantine()
                return

    def _record_quarantine(self) -> None:
        if self.scheduler.quarantine.is_quarantined(self.faulty_worker):
            self.unavailable.add(self.faulty_worker)

    def _lose_worker(self) -> None:
        candidates = self._workers_allowed_to_fail()
        if not candidates:
            return
        worker = self.rng.choice(candidates)
        self.unavailable.add(worker)
        self.scheduler.on_worker_lost(worker)

    def _workers_allowed_to_fail(self) -> list[types.WorkerId]:
        """Returns workers whose loss the declared failure allowance covers.

        The allowance covers the workers of one rack at a time.
        """
        racks = {
            (w.data_centre, w.rack)
            for w in self.workers
            if w.id in self.unavailable
        }
        return [
            w.id
            for w in self.workers
            if w.id not in self.unavailable
            and (not racks or racks == {(w.data_centre, w.rack)})
        ]

    def _restore_workers(self) -> None:
        for worker in sorted(self.unavailable):
            self.unavailable.discard(worker)
            self.scheduler.on_worker_found(worker)

    def _cancel_jobs(self) -> None:
        for job in list(self.scheduler.jobs_by_id.values()):
            if self.rng.random() < 0.5:
                self.scheduler.cancel(job)

    def _checkpoint_jobs(self) -> None:
        for job in self._running_jobs():
            if self.rng.random() < 0.5:
                self.scheduler.on_checkpoint(job)


def run(seed: int, histories: int = HISTORIES) -> harness.Report:
    """Runs random histories and counts the violations of the invariants."""
    violations = Violations()
    steps = 0
    jobs = 0
    for number in range(histories):
        name = ("muida", "lunetta")[number % 2]
        history = History(seed * 1_000_003 + number, name)
        for _ in range(STEPS):
            history.step()
            history.check(violations)
            steps += 1
        jobs += history.submitted
    return harness.Report(
        name="guarantees",
        seed=seed,
        figures={
            "guarantee_violations": harness.at_most(
                violations.guarantee, 0, "count"
            ),
            "quota_violations": harness.at_most(violations.quota, 0, "count"),
            "overlaps": harness.at_most(violations.overlap, 0, "count"),
            "partial_gangs": harness.at_most(violations.partial, 0, "count"),
            "claims_left_waiting": harness.at_most(
                violations.starved_claims, 0, "count"
            ),
            "histories": harness.at_least(histories, HISTORIES, "count"),
            "steps": harness.info(steps, "count"),
            "jobs": harness.info(jobs, "count"),
        },
    )
