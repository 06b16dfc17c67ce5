"""Placement of jobs: queue order, guarantees, borrowing and reclaim.

The scheduler decides on a view of the fleet that may be stale. Agents settle
what is really free; a start that they refuse comes back as a conflict.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import result

from pimentobridge.core import account as account_lib
from pimentobridge.core import cell_index
from pimentobridge.core import cells
from pimentobridge.core import errors
from pimentobridge.core import guarantee
from pimentobridge.core import job as job_lib
from pimentobridge.core import quarantine
from pimentobridge.core import reclaim
from pimentobridge.core import types

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import fleet
    from pimentobridge.protocol import gangs

MAX_JOB_FAILURES = 3
RESERVE_AFTER_S = 600.0
MAX_QUEUE_SCAN = 200


@dataclasses.dataclass(frozen=True)
class Start:
    """Decision to start a job on its cells, after its victims have stopped."""

    job: job_lib.Job
    victims: tuple[job_lib.Job, ...] = ()


class Scheduler:
    """Jobs, guarantees and cells of the part of the fleet placed here.

    Args:
        random_victims: baseline that reclaims without regard to lost work.
        may_start: whether no earlier attempt of a job can still be running.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        rng: random.Random,
        workers: Iterable[fleet.Worker],
        accounts: Iterable[account_lib.ClientAccount],
        random_victims: bool = False,
        may_start: Callable[[job_lib.Job], bool] = lambda job: True,
    ) -> None:
        self._may_start = may_start
        self._clock = clock
        self._workers_by_id = {worker.id: worker for worker in workers}
        self._lost: set[types.WorkerId] = set()
        self._accounts_by_name = {client.name: client for client in accounts}
        present = list(self._workers_by_id.values())
        self.plan = guarantee.GuaranteePlan(
            present, cells.demands_of(self._accounts_by_name.values())
        )
        # Vacant: no task runs there. Spare: vacant and bound to no guarantee.
        self.vacant = cell_index.CellIndex(present)
        self.spare = cell_index.CellIndex(present)
        for unit in self.plan.units:
            for cell in unit.cells:
                self.spare.take(cell)
        self.quarantine = quarantine.Quarantine(clock)
        self._selector = reclaim.VictimSelector(
            rng=rng, random_victims=random_victims
        )
        self.jobs_by_id: dict[types.JobId, job_lib.Job] = {}
        self._queue: dict[types.JobId, job_lib.Job] = {}
        self._units_by_job: dict[types.JobId, guarantee.Unit] = {}
        self._jobs_by_worker: dict[types.WorkerId, set[types.JobId]] = {}
        self._used_by_account: collections.Counter[types.AccountName] = (
            collections.Counter()
        )
        self._used_by_team: collections.Counter[
            tuple[types.AccountName, types.TeamName]
        ] = collections.Counter()
        self._reservation: tuple[types.JobId, list[cells.Cell]] | None = None
        self.lost_work_s = 0.0

    @property
    def queued(self) -> list[job_lib.Job]:
        """Jobs that wait."""
        return list(self._queue.values())

    @property
    def units_by_job(self) -> dict[types.JobId, guarantee.Unit]:
        """Guaranteed units that jobs claim now."""
        return self._units_by_job

    def used_by_team(
        self, client: types.AccountName, team: types.TeamName
    ) -> int:
        """Returns the accelerators that a team's jobs occupy."""
        return self._used_by_team[(client, team)]

    def submit(
        self, job: job_lib.Job
    ) -> result.Result[job_lib.Job, errors.Problem]:
        """Queues a job, or says why it can never run."""
        problem = self._never_runs(job)
        if problem is not None:
            job.state = job_lib.JobState.REFUSED
            return result.Err(problem)
        job.state = job_lib.JobState.QUEUED
        self.jobs_by_id[job.id] = job
        self._queue[job.id] = job
        return result.Ok(job)

    def schedule(self) -> list[Start]:
        """Returns the jobs that start now, each with its cells taken."""
        starts = []
        blocked: set[tuple[int, int, account_lib.Scope]] = set()
        for job in self._in_order()[:MAX_QUEUE_SCAN]:
            shape = job.shape
            key = (shape.accelerators, shape.workers, shape.scope)
            if not job.guaranteed and key in blocked:
                continue
            start = self._try_start(job)
            if start is not None:
                starts.append(start)
            elif not job.guaranteed:
                blocked.add(key)
                self._consider_reservation(job)
        return starts

    def on_started(self, job: job_lib.Job) -> None:
        """Records that every task of a job has started."""
        now_s = self._clock.monotonic()
        job.state = job_lib.JobState.RUNNING
        job.started_s = now_s
        job.checkpointed_s = now_s

    def on_conflict(self, job: job_lib.Job) -> None:
        """Queues a job again whose cells weren't free at the agents."""
        self._vacate(job)
        job.state = job_lib.JobState.QUEUED
        self._queue[job.id] = job

    def on_checkpoint(self, job: job_lib.Job) -> None:
        """Records that a job's work is safe up to now."""
        now_s = self._clock.monotonic()
        job.saved_s += now_s - job.checkpointed_s
        job.checkpointed_s = now_s

    def on_finished(self, job: job_lib.Job) -> None:
        """Ends a job that has done its work."""
        for cell in job.cells:
            self.quarantine.on_success(cell.worker)
        self._end(job, job_lib.JobState.FINISHED)

    def on_failed(self, job: job_lib.Job, worker: types.WorkerId) -> None:
        """Records a task's failure; the worker or the job is at fault."""
        worker_at_fault = self.quarantine.on_failure(worker, job.id)
        if not worker_at_fault:
            job.failures += 1
        if job.failures >= MAX_JOB_FAILURES:
            self._end(job, job_lib.JobState.FAILED)
        else:
            self._requeue(job)
        if worker_at_fault:
            self.on_worker_lost(worker)

    def cancel(self, job: job_lib.Job) -> None:
        """Ends a job at its submitter's wish, whatever its state."""
        if job.state not in job_lib.ENDED:
            self._end(job, job_lib.JobState.CANCELLED)

    def restore(self, job: job_lib.Job) -> None:
        """Takes over a job with the cells it has, after a new plan."""
        self.jobs_by_id[job.id] = job
        held, job.cells = job.cells, []
        present = all(cell.worker in self._workers_by_id for cell in held)
        if held and present and all(self.vacant.is_free(c) for c in held):
            self._occupy_held(job, held)
        else:
            job.state = job_lib.JobState.QUEUED
            self._queue[job.id] = job

    def occupy_as_reported(
        self, job: job_lib.Job, shares: Iterable[gangs.Share]
    ) -> None:
        """Takes over a job that agents report to run."""
        held = [
            cells.Cell(types.WorkerId(share.agent), block.start, block.size)
            for share in shares
            for block in share.blocks
        ]
        known = all(cell.worker in self._workers_by_id for cell in held)
        if known and all(self.vacant.is_free(cell) for cell in held):
            self._occupy_held(job, held)

    def has_worker(self, worker_id: types.WorkerId) -> bool:
        """Returns whether a worker was ever known here."""
        return worker_id in self._workers_by_id

    def add_worker(self, worker: fleet.Worker) -> None:
        """Takes a worker that was not known before."""
        self._workers_by_id[worker.id] = worker
        self._lost.add(worker.id)
        self.on_worker_found(worker.id)

    def on_worker_lost(self, worker_id: types.WorkerId) -> None:
        """Drops a worker; its jobs are queued again, each once and whole."""
        if worker_id in self._lost or worker_id not in self._workers_by_id:
            return
        self._lost.add(worker_id)
        for job_id in sorted(self._jobs_by_worker.get(worker_id, set())):
            self._requeue(self.jobs_by_id[job_id])
        hit = self.plan.remove_worker(worker_id)
        self.vacant.remove_worker(worker_id)
        self.spare.remove_worker(worker_id)
        self._drop_reservation()
        self._repair(hit)
        self._refuse_impossible()

    def on_worker_found(self, worker_id: types.WorkerId) -> None:
        """Takes back a worker that was lost or in quarantine."""
        if worker_id not in self._lost:
            return
        self._lost.discard(worker_id)
        worker = self._workers_by_id[worker_id]
        self.vacant.add_worker(worker)
        self.spare.add_worker(worker)
        self.plan.add_worker(worker)
        self._rebuild_spare()

    def readmit_workers(self, probe: Iterable[types.WorkerId]) -> None:
        """Takes back the workers whose quarantine has ended."""
        for worker_id in probe:
            self.on_worker_found(worker_id)

    def _never_runs(self, job: job_lib.Job) -> errors.Problem | None:
        client = self._accounts_by_name.get(job.account)
        if client is None:
            return _refusal(
                errors.ErrorKind.UNKNOWN_ACCOUNT,
                f"received account {job.account!r}.",
                "Name an account that the configuration declares.",
            )
        team = next((t for t in client.teams if t.name == job.team), None)
        if team is None:
            known = ", ".join(t.name for t in client.teams) or "none"
            return _refusal(
                errors.ErrorKind.INVALID_REQUEST,
                f"received team {job.team!r}; the account has {known}.",
                "Name one of the account's teams.",
            )
        if job.accelerators > team.quota_accelerators:
            return _refusal(
                errors.ErrorKind.DOES_NOT_FIT,
                f"the job needs {job.accelerators} accelerators; the quota of"
                f" {job.team!r} is {team.quota_accelerators}.",
                "Ask for fewer, or have both owners raise the quota.",
            )
        if job.guaranteed and not self.plan.could_ever_hold(
            job.account, job.shape
        ):
            return _refusal(
                errors.ErrorKind.DOES_NOT_FIT,
                f"no guarantee of {job.account!r} holds {job.shape}.",
                "Submit the job without the guarantee, or in a shape that the"
                " configuration guarantees.",
            )
        if not self._fits_empty_fleet(job.shape):
            return _refusal(
                errors.ErrorKind.DOES_NOT_FIT,
                f"no part of the fleet has room for {job.shape} even when it"
                " is empty.",
                "Ask for fewer accelerators together, or for a wider scope.",
            )
        return None

    def _fits_empty_fleet(self, shape: account_lib.Shape) -> bool:
        if self.vacant.find(shape) is not None:
            return True
        empty = cell_index.CellIndex(
            worker
            for worker in self._workers_by_id.values()
            if worker.id not in self._lost
        )
        return empty.find(shape) is not None

    def _in_order(self) -> list[job_lib.Job]:
        """Returns waiting jobs: claims, then urgency, then fair shares."""
        return sorted(
            self._queue.values(),
            key=lambda job: (
                not job.guaranteed,
                job.urgency.rank,
                self._dominant_share(job.account),
                job.submitted_s,
                job.id,
            ),
        )

    def _dominant_share(self, name: types.AccountName) -> float:
        share = self._accounts_by_name[name].share
        return self._used_by_account[name] / share

    def _within_quota(self, job: job_lib.Job) -> bool:
        return job.accelerators <= self._quota_left(job)

    def _quota_left(self, job: job_lib.Job) -> int:
        client = self._accounts_by_name[job.account]
        quota = next(
            t.quota_accelerators for t in client.teams if t.name == job.team
        )
        used = self._used_by_team[(job.account, job.team)]
        return quota - used

    def _try_start(self, job: job_lib.Job) -> Start | None:
        if not self._may_start(job):
            return None
        if job.guaranteed:
            return self._try_claim(job)
        if not self._within_quota(job):
            return None
        if self._reservation and self._reservation[0] == job.id:
            return self._try_reserved(job)
        found = self.spare.find(job.shape) or self.vacant.find(job.shape)
        if found is None:
            return None
        self._occupy(job, found)
        return Start(job)

    def _try_claim(self, job: job_lib.Job) -> Start | None:
        unit = self.plan.idle_unit(job.account, job.shape)
        if unit is None or not unit.cells:
            return None
        own = self._quota_victims(job)
        if own is None:
            return None
        found = self.spare.find(unit.shape)
        if found is None:
            found = self._selector.cells_for_claim(unit, self._view())
        victims = self._victims(found)
        if found != unit.cells:
            self._rebind(unit, found)
        victims = tuple({v.id: v for v in (*victims, *own)}.values())
        for victim in victims:
            self.lost_work_s += victim.unsaved_s(self._clock.monotonic())
            self._requeue(victim)
        unit.job = job.id
        self._units_by_job[job.id] = unit
        self._occupy(job, found)
        return Start(job, victims)

    def _quota_victims(self, job: job_lib.Job) -> list[job_lib.Job] | None:
        """Returns the team's own borrowers that a claim needs stopped.

        A claim comes before what the team has borrowed; None means that the
        team's claims alone fill its quota.
        """
        victims: list[job_lib.Job] = []
        excess = job.accelerators - self._quota_left(job)
        if excess <= 0:
            return victims
        now_s = self._clock.monotonic()
        borrowers = sorted(
            (
                other
                for other in self.jobs_by_id.values()
                if (other.account, other.team) == (job.account, job.team)
                and other.cells
                and other.id not in self._units_by_job
            ),
            key=lambda other: (other.unsaved_s(now_s), other.id),
        )
        for other in borrowers:
            victims.append(other)
            excess -= other.accelerators
            if excess <= 0:
                return victims
        return None

    def _view(self) -> reclaim.FleetView:
        return reclaim.FleetView(
            workers=[
                worker
                for worker in self._workers_by_id.values()
                if worker.id not in self._lost
            ],
            bound=self.plan.bound,
            borrowers_on=self._borrowers_on,
            now_s=self._clock.monotonic(),
        )

    def _victims(self, found: list[cells.Cell]) -> tuple[job_lib.Job, ...]:
        victims: dict[types.JobId, job_lib.Job] = {}
        for cell in found:
            for job in self._borrowers_on(cell):
                victims[job.id] = job
        return tuple(victims.values())

    def _borrowers_on(self, cell: cells.Cell) -> list[job_lib.Job]:
        """Returns the jobs without guarantee whose cells overlap `cell`."""
        found = []
        for job_id in sorted(self._jobs_by_worker.get(cell.worker, set())):
            job = self.jobs_by_id[job_id]
            overlaps = any(
                held.worker == cell.worker and held.mask & cell.mask
                for held in job.cells
            )
            if overlaps and job_id not in self._units_by_job:
                found.append(job)
        return found

    def _rebind(self, unit: guarantee.Unit, found: list[cells.Cell]) -> None:
        before = list(unit.cells)
        self.plan.rebind(unit, found)
        for cell in before:
            if self.vacant.is_free(cell):
                self.spare.release(cell)
            else:
                self._refresh_spare(cell.worker)
        for cell in found:
            self.spare.take(cell)

    def _refresh_spare(self, worker_id: types.WorkerId) -> None:
        """Derives a worker's spare accelerators from the other indexes."""
        if worker_id in self._lost:
            return
        taken = self.vacant.used(worker_id) | self.plan.bound.used(worker_id)
        self.spare.set_used(worker_id, taken)

    def _rebuild_spare(self) -> None:
        for worker_id in self._workers_by_id:
            self._refresh_spare(worker_id)

    def _occupy(self, job: job_lib.Job, found: list[cells.Cell]) -> None:
        self._queue.pop(job.id, None)
        job.state = job_lib.JobState.RESERVED
        job.cells = found
        now_s = self._clock.monotonic()
        job.started_s = job.checkpointed_s = now_s
        for cell in found:
            self.vacant.take(cell)
            self._refresh_spare(cell.worker)
            self._jobs_by_worker.setdefault(cell.worker, set()).add(job.id)
        self._used_by_account[job.account] += job.accelerators
        self._used_by_team[(job.account, job.team)] += job.accelerators

    def _occupy_held(self, job: job_lib.Job, held: list[cells.Cell]) -> None:
        """Occupies cells that a job runs on already, with its claim if any."""
        state = job.state
        if job.guaranteed:
            unit = self.plan.idle_unit(job.account, job.shape)
            if unit is not None:
                self._bind_held(unit, held)
                unit.job = job.id
                self._units_by_job[job.id] = unit
        self._occupy(job, held)
        job.state = (
            state
            if state is not job_lib.JobState.QUEUED
            else (job_lib.JobState.RUNNING)
        )

    def _bind_held(self, unit: guarantee.Unit, held: list[cells.Cell]) -> None:
        """Binds a unit to the cells its job has; others are planned anew."""
        self.plan.unbind(unit)
        hit = [
            other
            for other in self.plan.units
            if any(
                c.worker == h.worker and c.mask & h.mask
                for c in other.cells
                for h in held
            )
        ]
        for other in hit:
            self.plan.unbind(other)
        self.plan.rebind(unit, held)
        self.plan.replan(hit)
        self._rebuild_spare()

    def _vacate(self, job: job_lib.Job) -> None:
        """Frees a job's cells; a claimed unit goes back into plan."""
        if not job.cells:
            return
        for cell in job.cells:
            self.vacant.release(cell)
            self._refresh_spare(cell.worker)
            self._jobs_by_worker[cell.worker].discard(job.id)
        job.cells = []
        self._used_by_account[job.account] -= job.accelerators
        self._used_by_team[(job.account, job.team)] -= job.accelerators
        unit = self._units_by_job.pop(job.id, None)
        if unit is not None:
            unit.job = None

    def _requeue(self, job: job_lib.Job) -> None:
        self._vacate(job)
        job.state = job_lib.JobState.CHECKPOINTED
        self._queue[job.id] = job

    def _end(self, job: job_lib.Job, state: job_lib.JobState) -> None:
        self._vacate(job)
        self._queue.pop(job.id, None)
        if self._reservation and self._reservation[0] == job.id:
            self._drop_reservation()
        job.state = state
        del self.jobs_by_id[job.id]

    def _repair(self, hit: list[guarantee.Unit]) -> None:
        """Binds units anew after a loss, moving running jobs if it must."""
        if self.plan.replan(hit) and self.plan.replan_idle():
            self._move_claims()
        self._rebuild_spare()

    def _move_claims(self) -> None:
        """Checkpoints every claim, so that the whole plan can be made anew."""
        for job_id in sorted(self._units_by_job):
            job = self.jobs_by_id[job_id]
            job.moves += 1
            self._requeue(job)
        self.plan.replan_idle()

    def _refuse_impossible(self) -> None:
        for job in list(self._queue.values()):
            if not self._fits_empty_fleet(job.shape):
                self._end(job, job_lib.JobState.REFUSED)

    def _consider_reservation(self, job: job_lib.Job) -> None:
        """Keeps room for a job that has waited long for adjacent cells.

        Cells of the reservation that become free are kept for the job, whatever
        run times the jobs behind it declare: declared times are too far off to
        fill the gaps by.
        """
        if self._reservation is not None or not self._within_quota(job):
            return
        waited_s = self._clock.monotonic() - job.submitted_s
        if waited_s < RESERVE_AFTER_S or job.accelerators < 2:
            return
        target = self._selector.cheapest(job.shape, self._view())
        if target is None:
            return
        self._reservation = (job.id, target)
        for cell in target:
            self.spare.block(cell)
            self.vacant.block(cell)

    def _try_reserved(self, job: job_lib.Job) -> Start | None:
        if self._reservation is None:
            return None
        _, target = self._reservation
        if any(self._jobs_on(cell) for cell in target):
            return None
        self._drop_reservation()
        self._occupy(job, target)
        return Start(job)

    def _jobs_on(self, cell: cells.Cell) -> bool:
        return any(
            held.worker == cell.worker and held.mask & cell.mask
            for job_id in self._jobs_by_worker.get(cell.worker, set())
            for held in self.jobs_by_id[job_id].cells
        )

    def _drop_reservation(self) -> None:
        if self._reservation is None:
            return
        _, target = self._reservation
        self._reservation = None
        for cell in target:
            self.vacant.unblock(cell)
            self.spare.unblock(cell)


def _refusal(
    kind: errors.ErrorKind, detail: str, remedy: str
) -> errors.Problem:
    return errors.Problem(kind, detail, remedy)
