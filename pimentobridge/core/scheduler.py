"""Placement of jobs: queue order, guarantees, borrowing and reclaim.

The scheduler works on a view of the fleet that may be stale. The agents are the
authority on which accelerators are free; a start that they refuse is reported
back through `Scheduler.on_conflict`.
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
    """Decision to start a job on its cells, after its victims have stopped.

    Attributes:
        victims: running jobs that are preempted to free the cells or quota.
    """

    job: job_lib.Job
    victims: tuple[job_lib.Job, ...] = ()


class Scheduler:
    """Places jobs on the part of the fleet that one process schedules.

    Attributes:
        plan: cells bound to each guaranteed unit.
        vacant: index of cells on which no job is placed.
        spare: index of vacant cells that aren't bound to a guaranteed unit.
        quarantine: workers that take no new work because jobs fail there.
        jobs_by_id: queued and running jobs.
        lost_work_s: accelerator seconds of unsaved work that preempted jobs
            have lost.

    Args:
        random_victims: reclaims random cells, whatever work is lost; a
            baseline for benchmarks.
        may_start: returns whether a job may be started now, that is, whether
            no earlier attempt of it can still be running.
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
        self._lost_worker_ids: set[types.WorkerId] = set()
        self._accounts_by_name = {client.name: client for client in accounts}
        present_workers = list(self._workers_by_id.values())
        self.plan = guarantee.GuaranteePlan(
            present_workers, cells.demands_of(self._accounts_by_name.values())
        )
        # Spare cells are the vacant cells that no guaranteed unit is bound to.
        self.vacant = cell_index.CellIndex(present_workers)
        self.spare = cell_index.CellIndex(present_workers)
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
        """Jobs that wait to be placed."""
        return list(self._queue.values())

    @property
    def units_by_job(self) -> dict[types.JobId, guarantee.Unit]:
        """Guaranteed units that running jobs have claimed, by job."""
        return self._units_by_job

    def used_by_team(
        self, client: types.AccountName, team: types.TeamName
    ) -> int:
        """Returns the accelerators that a team's jobs occupy."""
        return self._used_by_team[(client, team)]

    def submit(
        self, job: job_lib.Job
    ) -> result.Result[job_lib.Job, errors.Problem]:
        """Queues a job, or returns why it can never run."""
        problem = self._rejection_of(job)
        if problem is not None:
            job.state = job_lib.JobState.REFUSED
            return result.Err(problem)
        job.state = job_lib.JobState.QUEUED
        self.jobs_by_id[job.id] = job
        self._queue[job.id] = job
        return result.Ok(job)

    def schedule(self) -> list[Start]:
        """Places queued jobs and returns those to start now.

        The cells of each returned job are already marked as taken. Once a job
        without guarantee can't be placed, later ones of the same accelerators,
        workers and scope are skipped in this pass.
        """
        starts = []
        blocked_shapes: set[tuple[int, int, account_lib.Scope]] = set()
        for job in self._queue_in_order()[:MAX_QUEUE_SCAN]:
            shape = job.shape
            shape_key = (shape.accelerators, shape.workers, shape.scope)
            if not job.guaranteed and shape_key in blocked_shapes:
                continue
            start = self._try_start(job)
            if start is not None:
                starts.append(start)
            elif not job.guaranteed:
                blocked_shapes.add(shape_key)
                self._consider_reservation(job)
        return starts

    def on_started(self, job: job_lib.Job) -> None:
        """Records that every task of a job has started."""
        now_s = self._clock.monotonic()
        job.state = job_lib.JobState.RUNNING
        job.started_s = now_s
        job.checkpointed_s = now_s

    def on_conflict(self, job: job_lib.Job) -> None:
        """Requeues a job whose cells the agents refused to hold."""
        self._vacate(job)
        job.state = job_lib.JobState.QUEUED
        self._queue[job.id] = job

    def on_checkpoint(self, job: job_lib.Job) -> None:
        """Records a checkpoint, which saves a job's work up to now."""
        now_s = self._clock.monotonic()
        job.saved_s += now_s - job.checkpointed_s
        job.checkpointed_s = now_s

    def on_finished(self, job: job_lib.Job) -> None:
        """Ends a job that has finished successfully."""
        for cell in job.cells:
            self.quarantine.on_success(cell.worker)
        self._end(job, job_lib.JobState.FINISHED)

    def on_failed(self, job: job_lib.Job, worker: types.WorkerId) -> None:
        """Attributes a task's failure to its worker or to the job.

        A worker at fault is quarantined and treated as lost. A job that has
        failed `MAX_JOB_FAILURES` times by its own fault ends; any other is
        requeued.
        """
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
        """Cancels a job in any state but an ended one."""
        if job.state not in job_lib.ENDED:
            self._end(job, job_lib.JobState.CANCELLED)

    def restore(self, job: job_lib.Job) -> None:
        """Takes over a job and its cells from the scheduler this one replaces.

        The job is queued instead if its cells aren't available here.
        """
        self.jobs_by_id[job.id] = job
        running_cells, job.cells = job.cells, []
        workers_known = all(
            cell.worker in self._workers_by_id for cell in running_cells
        )
        if (
            running_cells
            and workers_known
            and all(self.vacant.is_free(c) for c in running_cells)
        ):
            self._occupy_running(job, running_cells)
        else:
            job.state = job_lib.JobState.QUEUED
            self._queue[job.id] = job

    def occupy_as_reported(
        self, job: job_lib.Job, shares: Iterable[gangs.Share]
    ) -> None:
        """Marks a job as running on the cells that its agents report."""
        running_cells = [
            cells.Cell(types.WorkerId(share.agent), block.start, block.size)
            for share in shares
            for block in share.blocks
        ]
        workers_known = all(
            cell.worker in self._workers_by_id for cell in running_cells
        )
        if workers_known and all(
            self.vacant.is_free(cell) for cell in running_cells
        ):
            self._occupy_running(job, running_cells)

    def has_worker(self, worker_id: types.WorkerId) -> bool:
        """Returns whether a worker was ever added, even if it is lost now."""
        return worker_id in self._workers_by_id

    def add_worker(self, worker: fleet.Worker) -> None:
        """Adds a worker that the scheduler didn't know before."""
        self._workers_by_id[worker.id] = worker
        self._lost_worker_ids.add(worker.id)
        self.on_worker_found(worker.id)

    def on_worker_lost(self, worker_id: types.WorkerId) -> None:
        """Removes a worker and requeues every job that had a task on it.

        A job is requeued once and as a whole, even if only some of its tasks
        were on the worker.
        """
        if (
            worker_id in self._lost_worker_ids
            or worker_id not in self._workers_by_id
        ):
            return
        self._lost_worker_ids.add(worker_id)
        for job_id in sorted(self._jobs_by_worker.get(worker_id, set())):
            self._requeue(self.jobs_by_id[job_id])
        affected_units = self.plan.remove_worker(worker_id)
        self.vacant.remove_worker(worker_id)
        self.spare.remove_worker(worker_id)
        self._drop_reservation()
        self._replan_after_loss(affected_units)
        self._refuse_infeasible()

    def on_worker_found(self, worker_id: types.WorkerId) -> None:
        """Returns a lost or quarantined worker to the fleet."""
        if worker_id not in self._lost_worker_ids:
            return
        self._lost_worker_ids.discard(worker_id)
        worker = self._workers_by_id[worker_id]
        self.vacant.add_worker(worker)
        self.spare.add_worker(worker)
        self.plan.add_worker(worker)
        self._rebuild_spare()

    def readmit_workers(self, worker_ids: Iterable[types.WorkerId]) -> None:
        """Returns workers to the fleet whose quarantine has ended."""
        for worker_id in worker_ids:
            self.on_worker_found(worker_id)

    def _rejection_of(self, job: job_lib.Job) -> errors.Problem | None:
        """Returns why a job can never run, or None if it can."""
        client = self._accounts_by_name.get(job.account)
        if client is None:
            return _refusal(
                errors.ErrorKind.UNKNOWN_ACCOUNT,
                f"received account {job.account!r}.",
                "Name an account that the configuration declares.",
            )
        team = next((t for t in client.teams if t.name == job.team), None)
        if team is None:
            team_names = ", ".join(t.name for t in client.teams) or "none"
            return _refusal(
                errors.ErrorKind.INVALID_REQUEST,
                f"received team {job.team!r}; the account has {team_names}.",
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
            if worker.id not in self._lost_worker_ids
        )
        return empty.find(shape) is not None

    def _queue_in_order(self) -> list[job_lib.Job]:
        """Returns the queued jobs in scheduling order.

        Jobs with a guarantee come first; then the order is by urgency, by the
        account's use relative to its share, and by submission time.
        """
        return sorted(
            self._queue.values(),
            key=lambda job: (
                not job.guaranteed,
                job.urgency.rank,
                self._relative_usage(job.account),
                job.submitted_s,
                job.id,
            ),
        )

    def _relative_usage(self, name: types.AccountName) -> float:
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
        chosen_cells = self.spare.find(job.shape) or self.vacant.find(job.shape)
        if chosen_cells is None:
            return None
        self._occupy(job, chosen_cells)
        return Start(job)

    def _try_claim(self, job: job_lib.Job) -> Start | None:
        unit = self.plan.idle_unit(job.account, job.shape)
        if unit is None or not unit.cells:
            return None
        quota_victims = self._quota_victims(job)
        if quota_victims is None:
            return None
        chosen_cells = self.spare.find(unit.shape)
        if chosen_cells is None:
            chosen_cells = self._selector.cells_for_claim(
                unit, self._fleet_view()
            )
        victims = self._victims_on(chosen_cells)
        if chosen_cells != unit.cells:
            self._rebind(unit, chosen_cells)
        victims = tuple({v.id: v for v in (*victims, *quota_victims)}.values())
        for victim in victims:
            self.lost_work_s += victim.unsaved_s(self._clock.monotonic())
            self._requeue(victim)
        unit.job = job.id
        self._units_by_job[job.id] = unit
        self._occupy(job, chosen_cells)
        return Start(job, victims)

    def _quota_victims(self, job: job_lib.Job) -> list[job_lib.Job] | None:
        """Returns the jobs to preempt so that a claim fits the team's quota.

        A claim takes precedence over the cells that the team's other jobs have
        borrowed. None means that the claims alone exhaust the team's quota.
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

    def _fleet_view(self) -> reclaim.FleetView:
        return reclaim.FleetView(
            workers=[
                worker
                for worker in self._workers_by_id.values()
                if worker.id not in self._lost_worker_ids
            ],
            bound=self.plan.bound,
            borrowers_on=self._borrowers_on,
            now_s=self._clock.monotonic(),
        )

    def _victims_on(
        self, chosen_cells: list[cells.Cell]
    ) -> tuple[job_lib.Job, ...]:
        victims: dict[types.JobId, job_lib.Job] = {}
        for cell in chosen_cells:
            for job in self._borrowers_on(cell):
                victims[job.id] = job
        return tuple(victims.values())

    def _borrowers_on(self, cell: cells.Cell) -> list[job_lib.Job]:
        """Returns the jobs that run on `cell` without a guaranteed unit."""
        borrowers = []
        for job_id in sorted(self._jobs_by_worker.get(cell.worker, set())):
            job = self.jobs_by_id[job_id]
            overlaps = any(
                job_cell.worker == cell.worker and job_cell.mask & cell.mask
                for job_cell in job.cells
            )
            if overlaps and job_id not in self._units_by_job:
                borrowers.append(job)
        return borrowers

    def _rebind(
        self, unit: guarantee.Unit, chosen_cells: list[cells.Cell]
    ) -> None:
        previous_cells = list(unit.cells)
        self.plan.rebind(unit, chosen_cells)
        for cell in previous_cells:
            if self.vacant.is_free(cell):
                self.spare.release(cell)
            else:
                self._refresh_spare(cell.worker)
        for cell in chosen_cells:
            self.spare.take(cell)

    def _refresh_spare(self, worker_id: types.WorkerId) -> None:
        """Recomputes a worker's spare cells from `vacant` and the plan."""
        if worker_id in self._lost_worker_ids:
            return
        taken = self.vacant.used(worker_id) | self.plan.bound.used(worker_id)
        self.spare.set_used(worker_id, taken)

    def _rebuild_spare(self) -> None:
        for worker_id in self._workers_by_id:
            self._refresh_spare(worker_id)

    def _occupy(self, job: job_lib.Job, chosen_cells: list[cells.Cell]) -> None:
        self._queue.pop(job.id, None)
        job.state = job_lib.JobState.RESERVED
        job.cells = chosen_cells
        now_s = self._clock.monotonic()
        job.started_s = job.checkpointed_s = now_s
        for cell in chosen_cells:
            self.vacant.take(cell)
            self._refresh_spare(cell.worker)
            self._jobs_by_worker.setdefault(cell.worker, set()).add(job.id)
        self._used_by_account[job.account] += job.accelerators
        self._used_by_team[(job.account, job.team)] += job.accelerators

    def _occupy_running(
        self, job: job_lib.Job, running_cells: list[cells.Cell]
    ) -> None:
        """Occupies the cells that a job already runs on.

        A job with a guarantee also claims an idle unit, if one fits.
        """
        state = job.state
        if job.guaranteed:
            unit = self.plan.idle_unit(job.account, job.shape)
            if unit is not None:
                self._bind_running(unit, running_cells)
                unit.job = job.id
                self._units_by_job[job.id] = unit
        self._occupy(job, running_cells)
        job.state = (
            state
            if state is not job_lib.JobState.QUEUED
            else (job_lib.JobState.RUNNING)
        )

    def _bind_running(
        self, unit: guarantee.Unit, running_cells: list[cells.Cell]
    ) -> None:
        """Binds a unit to the cells its job runs on.

        Units that were bound to any of these cells are planned again.
        """
        self.plan.unbind(unit)
        affected_units = [
            other
            for other in self.plan.units
            if any(
                bound.worker == running.worker and bound.mask & running.mask
                for bound in other.cells
                for running in running_cells
            )
        ]
        for other in affected_units:
            self.plan.unbind(other)
        self.plan.rebind(unit, running_cells)
        self.plan.replan(affected_units)
        self._rebuild_spare()

    def _vacate(self, job: job_lib.Job) -> None:
        """Frees a job's cells and its claim; the unit keeps its cells."""
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

    def _replan_after_loss(self, affected_units: list[guarantee.Unit]) -> None:
        """Binds units to new cells after a worker is lost.

        If they don't fit, all idle units are planned again, and as a last
        resort running jobs with a claim are requeued as well.
        """
        if self.plan.replan(affected_units) and self.plan.replan_idle():
            self._requeue_claiming_jobs()
        self._rebuild_spare()

    def _requeue_claiming_jobs(self) -> None:
        """Requeues all jobs with a claim and plans all units again."""
        for job_id in sorted(self._units_by_job):
            job = self.jobs_by_id[job_id]
            job.moves += 1
            self._requeue(job)
        self.plan.replan_idle()

    def _refuse_infeasible(self) -> None:
        for job in list(self._queue.values()):
            if not self._fits_empty_fleet(job.shape):
                self._end(job, job_lib.JobState.REFUSED)

    def _consider_reservation(self, job: job_lib.Job) -> None:
        """Reserves cells for a job that has waited long for adjacent ones.

        Reserved cells that become free stay empty until the job starts. They
        aren't backfilled with shorter jobs, because declared run times are too
        inaccurate for that.
        """
        if self._reservation is not None or not self._within_quota(job):
            return
        waited_s = self._clock.monotonic() - job.submitted_s
        if waited_s < RESERVE_AFTER_S or job.accelerators < 2:
            return
        reserved_cells = self._selector.cheapest_cells(
            job.shape, self._fleet_view()
        )
        if reserved_cells is None:
            return
        self._reservation = (job.id, reserved_cells)
        for cell in reserved_cells:
            self.spare.block(cell)
            self.vacant.block(cell)

    def _try_reserved(self, job: job_lib.Job) -> Start | None:
        if self._reservation is None:
            return None
        _, reserved_cells = self._reservation
        if any(self._is_occupied(cell) for cell in reserved_cells):
            return None
        self._drop_reservation()
        self._occupy(job, reserved_cells)
        return Start(job)

    def _is_occupied(self, cell: cells.Cell) -> bool:
        return any(
            job_cell.worker == cell.worker and job_cell.mask & cell.mask
            for job_id in self._jobs_by_worker.get(cell.worker, set())
            for job_cell in self.jobs_by_id[job_id].cells
        )

    def _drop_reservation(self) -> None:
        if self._reservation is None:
            return
        _, reserved_cells = self._reservation
        self._reservation = None
        for cell in reserved_cells:
            self.vacant.unblock(cell)
            self.spare.unblock(cell)


def _refusal(
    kind: errors.ErrorKind, detail: str, remedy: str
) -> errors.Problem:
    return errors.Problem(kind, detail, remedy)
