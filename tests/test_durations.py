"""Expected work of tasks, from estimates and from runs that ended as done."""

from __future__ import annotations

import random

import pytest

from pimentobridge.core.jobs import model
from pimentobridge.core.scheduling import durations
from pimentobridge.core.scheduling import ranking
from pimentobridge.testing import engine_harness
from pimentobridge.testing import uneven_fleet

WORK_S = 6.0


def _run_jobs(
    fleet: uneven_fleet.UnevenFleet,
    jobs: int,
    *,
    estimate: float,
    works_s: list[float] | None = None,
) -> None:
    """Runs jobs of one task, whose estimates are off by a factor."""
    for number in range(jobs):
        work_s = works_s[number] if works_s else WORK_S
        step = model.Step(1, engine_harness.GPU, estimate * work_s)
        fleet.submit(engine_harness.job(f"{number:016x}", step), work_s)
    fleet.run(60.0)


def _expected_s(
    fleet: uneven_fleet.UnevenFleet, estimate_s: float, image: str = ""
) -> float:
    step = model.Step(1, engine_harness.GPU, estimate_s, image=image)
    job = engine_harness.job("f" * 16, step)
    fleet.submit(job, WORK_S)
    fleet.harness.plan()
    tracked = fleet.harness.engine.jobs_by_id[job.id]
    return ranking.expected_s(tracked, 0)


def test_too_few_runs_leave_the_estimate_as_sent() -> None:
    fleet = uneven_fleet.UnevenFleet([1.0] * 2)
    _run_jobs(fleet, durations.MIN_JOBS - 1, estimate=2.0)
    assert _expected_s(fleet, 12.0) == 12.0


def test_another_image_keeps_its_estimates() -> None:
    fleet = uneven_fleet.UnevenFleet([1.0] * 2)
    _run_jobs(fleet, 15, estimate=2.0)
    assert _expected_s(fleet, 12.0, image="another") == 12.0


# Guards against deadlines and orders that follow estimates which are off by up
# to 90 %, always in the same direction.
@pytest.mark.parametrize("estimate", [0.5, 1.9])
def test_a_constant_error_of_estimates_is_corrected(estimate: float) -> None:
    fleet = uneven_fleet.UnevenFleet([1.0] * 2)
    _run_jobs(fleet, 15, estimate=estimate)
    assert _expected_s(fleet, estimate * WORK_S) == pytest.approx(
        WORK_S, rel=0.1
    )


# Guards against one figure for all jobs of a queue whose callers know well how
# long theirs take.
def test_good_estimates_outweigh_what_varies_widely() -> None:
    rng = random.Random(1)
    works_s = [WORK_S * rng.lognormvariate(0, 0.8) for _ in range(30)]
    fleet = uneven_fleet.UnevenFleet([1.0] * 2)
    _run_jobs(fleet, 30, estimate=1.0, works_s=works_s)
    assert _expected_s(fleet, 3 * WORK_S) > 2 * WORK_S


def test_a_run_on_a_fast_worker_counts_with_its_speed() -> None:
    def learned_s(speed: float) -> float:
        fleet = uneven_fleet.UnevenFleet([1.0])
        speeds = fleet.harness.engine.speeds
        speeds.speed_of_run = lambda _: speed  # type: ignore[method-assign]
        _run_jobs(fleet, 15, estimate=1.0)
        return _expected_s(fleet, 0.0)

    assert learned_s(1.6) == pytest.approx(1.6 * learned_s(1.0))


# Guards against many tasks of one job that count as many jobs, so that one work
# would seem certain.
def test_the_tasks_of_a_step_count_once() -> None:
    fleet = uneven_fleet.UnevenFleet([1.0] * 2)
    step = model.Step(16, engine_harness.GPU, 2 * WORK_S)
    fleet.submit(engine_harness.job("a" * 16, step), WORK_S)
    fleet.run(10.0)
    assert _expected_s(fleet, 12.0) == 12.0
