"""Random histories of a fleet; every invariant is checked after every step."""

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
    """What was found wrong over all steps."""

    guarantee: int = 0
    quota: int = 0
    overlap: int = 0
    partial: int = 0
    starved_claims: int = 0


class History:
    """One random history on a deployment's fleet."""

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
        self.lost: set[types.WorkerId] = set()
        self.submitted = 0
        self.moves = 0
        self.bad_worker = self.rng.choice(self.workers).id

    def step(self) -> None:
        """Makes one random thing happen, then schedules."""
        self.clock.advance(self.rng.expovariate(1 / 300))
        action = self.rng.choices(
            [
                self._arrive,
                self._finish,
                self._fail_task,
                self._lose_worker,
                self._find_worker,
                self._cancel_wave,
                self._checkpoint,
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

    def check(self, found: Violations) -> None:
        """Counts what is wrong now, from the jobs and units themselves."""
        scheduler = self.scheduler
        taken: dict[types.WorkerId, int] = {}
        claimed: dict[types.WorkerId, int] = {}
        for job in scheduler.jobs_by_id.values():
            running = job.state in (
                job_lib.JobState.RUNNING,
                job_lib.JobState.RESERVED,
            )
            found.partial += running and len(job.cells) != job.shape.workers
            found.partial += not running and bool(job.cells)
            for cell in job.cells:
                mask = taken.get(cell.worker, 0)
                found.overlap += bool(mask & cell.mask)
                found.overlap += cell.worker in self.lost
                taken[cell.worker] = mask | cell.mask
                if job.id in scheduler.units_by_job:
                    held = claimed.get(cell.worker, 0)
                    claimed[cell.worker] = held | cell.mask
        self._check_units(found, claimed)
        self._check_quotas(found)

    def _check_units(
        self, found: Violations, claimed: dict[types.WorkerId, int]
    ) -> None:
        kept: dict[types.WorkerId, int] = {}
        for unit in self.scheduler.plan.units:
            size = sum(cell.size for cell in unit.cells)
            found.guarantee += size != unit.shape.total_accelerators
            for cell in unit.cells:
                mask = kept.get(cell.worker, 0)
                found.guarantee += bool(mask & cell.mask)
                found.guarantee += cell.worker in self.lost
                kept[cell.worker] = mask | cell.mask
                if unit.job is None:
                    # Only work that can be stopped may stand on it.
                    busy = claimed.get(cell.worker, 0)
                    found.guarantee += bool(busy & cell.mask)
        found.starved_claims += sum(
            job.guaranteed
            and self.scheduler.plan.idle_unit(job.account, job.shape)
            is not None
            and self._within_quota(job)
            for job in self.scheduler.queued
        )

    def _check_quotas(self, found: Violations) -> None:
        used: dict[tuple[str, str], int] = {}
        for job in self.scheduler.jobs_by_id.values():
            if job.cells:
                key = (job.account, job.team)
                used[key] = used.get(key, 0) + job.accelerators
        for client in self.document.client_accounts:
            for team in client.teams:
                total = used.get((client.name, team.name), 0)
                found.quota += total > team.quota_accelerators

    def _within_quota(self, job: job_lib.Job) -> bool:
        """Returns whether the team's claims leave quota for one more."""
        client = self.document.accounts_by_name[job.account]
        team = next(t for t in client.teams if t.name == job.team)
        claimed = sum(
            other.accelerators
            for other in self.scheduler.jobs_by_id.values()
            if other.id in self.scheduler.units_by_job
            and (other.account, other.team) == (job.account, job.team)
        )
        return claimed + job.accelerators <= team.quota_accelerators

    def _arrive(self) -> None:
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

    def _running(self) -> list[job_lib.Job]:
        return [
            job
            for job in self.scheduler.jobs_by_id.values()
            if job.state is job_lib.JobState.RUNNING
        ]

    def _finish(self) -> None:
        for job in self._running():
            if self.rng.random() < 0.3:
                self.scheduler.on_finished(job)

    def _fail_task(self) -> None:
        for job in self._running():
            workers = {cell.worker for cell in job.cells}
            if self.bad_worker in workers and self.rng.random() < 0.5:
                self.scheduler.on_failed(job, self.bad_worker)
                self._note_quarantined()
                return

    def _note_quarantined(self) -> None:
        if self.scheduler.quarantine.is_quarantined(self.bad_worker):
            self.lost.add(self.bad_worker)

    def _lose_worker(self) -> None:
        allowed = self._allowed_losses()
        if not allowed:
            return
        worker = self.rng.choice(allowed)
        self.lost.add(worker)
        self.scheduler.on_worker_lost(worker)

    def _allowed_losses(self) -> list[types.WorkerId]:
        """Workers whose loss stays within the declared failure allowance."""
        racks = {
            (w.data_centre, w.rack) for w in self.workers if w.id in self.lost
        }
        return [
            w.id
            for w in self.workers
            if w.id not in self.lost
            and (not racks or racks == {(w.data_centre, w.rack)})
        ]

    def _find_worker(self) -> None:
        for worker in sorted(self.lost):
            self.lost.discard(worker)
            self.scheduler.on_worker_found(worker)

    def _cancel_wave(self) -> None:
        for job in list(self.scheduler.jobs_by_id.values()):
            if self.rng.random() < 0.5:
                self.scheduler.cancel(job)

    def _checkpoint(self) -> None:
        for job in self._running():
            if self.rng.random() < 0.5:
                self.scheduler.on_checkpoint(job)


def run(seed: int, histories: int = HISTORIES) -> harness.Report:
    """Runs random histories and counts violations of the invariants."""
    found = Violations()
    steps = 0
    jobs = 0
    for number in range(histories):
        name = ("muida", "lunetta")[number % 2]
        history = History(seed * 1_000_003 + number, name)
        for _ in range(STEPS):
            history.step()
            history.check(found)
            steps += 1
        jobs += history.submitted
    return harness.Report(
        name="guarantees",
        seed=seed,
        figures={
            "guarantee_violations": harness.at_most(
                found.guarantee, 0, "count"
            ),
            "quota_violations": harness.at_most(found.quota, 0, "count"),
            "overlaps": harness.at_most(found.overlap, 0, "count"),
            "partial_gangs": harness.at_most(found.partial, 0, "count"),
            "claims_left_waiting": harness.at_most(
                found.starved_claims, 0, "count"
            ),
            "histories": harness.at_least(histories, HISTORIES, "count"),
            "steps": harness.info(steps, "count"),
            "jobs": harness.info(jobs, "count"),
        },
    )
