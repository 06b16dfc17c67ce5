"""Reservations for units that don't fit, and the units that pass them."""

from __future__ import annotations

import pytest

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.scheduling import backfill
from pimentobridge.core.scheduling import holds
from pimentobridge.core.scheduling import placement
from pimentobridge.core.scheduling import reclaim
from pimentobridge.testing import engine_harness
from pimentobridge.testing import virtual_runs

# Run time of the tasks that occupy half of the worker.
OCCUPIED_S = 20.0
# When the wide task is expected to fit, with one tick for the pass.
FITS_S = OCCUPIED_S + virtual_runs.TICK_S
LONG_S = 30.0


def _tasks(
    name: str, estimate_s: float, count: int = 1, **fields: bool
) -> model.Job:
    step = model.Step(count, engine_harness.GPU, estimate_s, **fields)
    return engine_harness.job(name * 16, step, account="small")


class _WaitingWideTask:
    """A worker with four tasks `a`, and a wide task `w` that waits for it."""

    def __init__(self, run_time_s_by_job: dict[str, float]) -> None:
        harness = engine_harness.EngineHarness(1)
        self.engine = harness.engine
        self.runs = virtual_runs.VirtualRuns(
            harness, {"a": OCCUPIED_S, "w": LONG_S} | run_time_s_by_job
        )
        self.put(_tasks("a", OCCUPIED_S, 4))
        step = model.Step(1, engine_harness.WORKER, LONG_S)
        self.put(engine_harness.job("w" * 16, step, account="large"))

    def put(self, job: model.Job) -> None:
        """Submits a job, and advances by two ticks."""
        self.engine.put_job(job)
        self.runs.advance(1.0)


# Guards against a large task that waits behind a stream of small tasks of its
# own priority, which take each bit of capacity as it becomes free.
def test_a_stream_of_small_tasks_does_not_delay_a_large_one() -> None:
    fleet = _WaitingWideTask(dict.fromkeys("bcde", LONG_S))
    for name in "bcde":
        fleet.put(_tasks(name, LONG_S))
    fleet.runs.advance(OCCUPIED_S)
    assert fleet.runs.first_start_s("w") <= FITS_S
    assert fleet.runs.first_start_s("b") > fleet.runs.first_start_s("w")


# Guards against capacity that is idle while a large task waits for the rest,
# and against a unit that uses it and delays the task.
def test_what_ends_in_time_is_backfilled_and_delays_nothing() -> None:
    fleet = _WaitingWideTask({"b": 9.0})
    fleet.put(_tasks("b", 5.0))
    fleet.runs.advance(OCCUPIED_S)
    assert fleet.runs.first_start_s("b") < 3.0
    assert fleet.runs.first_start_s("w") <= FITS_S
    assert fleet.engine.backfill.gauges()["units_backfilled_total"] == 1


def test_a_backfilled_unit_with_checkpoints_is_stopped_when_it_is_due() -> None:
    fleet = _WaitingWideTask({"b": LONG_S})
    fleet.put(_tasks("b", LONG_S, checkpointing=True))
    fleet.runs.advance(OCCUPIED_S)
    assert fleet.runs.first_start_s("b") < 3.0
    assert fleet.runs.stops["b"] == 1
    # The stop itself takes a tick.
    assert fleet.runs.first_start_s("w") <= FITS_S + virtual_runs.TICK_S


# Guards against units that are started and stopped again and again: the stops
# lower the share of their account, which puts them before the job that they
# were stopped for.
def test_what_a_stop_frees_goes_to_the_job_with_the_reservation() -> None:
    harness = engine_harness.EngineHarness(2)
    simulated = virtual_runs.VirtualRuns(
        harness, {"l": 1000.0, "b": 1000.0, "w": LONG_S}
    )
    step = model.Step(1, engine_harness.WORKER, 1000.0)
    harness.engine.put_job(engine_harness.job("l" * 16, step, account="large"))
    harness.engine.put_job(_tasks("b", 1000.0, 8, checkpointing=True))
    simulated.advance(1.0)
    wide = engine_harness.job(
        "w" * 16,
        model.Step(1, engine_harness.WORKER, LONG_S),
        account="large",
    )
    for worker in harness.engine.workers_by_incarnation.values():
        for entry in worker.entries_by_key.values():
            entry.backfilled_for = wide.id
    harness.engine.put_job(wide)
    simulated.advance(5.0)
    assert simulated.first_start_s("w") <= 2.0
    assert simulated.stops == {"b": 8}


# Guards against a reservation that keeps capacity idle because the runs that it
# waits for take longer than estimated, again and again.
def test_a_reservation_holds_a_unit_back_for_its_target_at_most() -> None:
    fleet = _WaitingWideTask({"a": 1000.0, "b": 2.0})
    fleet.put(_tasks("b", 0.0))
    # The queue promises 1 s plus twice the assumed run time.
    target_s = 11.0
    fleet.runs.advance(target_s - 1.0)
    assert fleet.runs.first_start_s("b") == float("inf")
    fleet.runs.advance(2.0)
    assert fleet.runs.first_start_s("b") < target_s + 4.0


# Guards against tasks of a service that become unavailable, more than `mayMiss`
# of them at a time: they may be in reserved capacity that was idle for long.
def test_a_service_in_reserved_capacity_is_not_stopped() -> None:
    fleet = _WaitingWideTask({"a": 60.0, "s": float("inf")})
    service = model.Step(
        3,
        engine_harness.GPU,
        checkpointing=True,
        long_running=True,
        max_unavailable=1,
    )
    fleet.put(engine_harness.job("s" * 16, service, account="small"))
    fleet.runs.advance(80.0)
    assert fleet.runs.first_start_s("s") < 20.0
    assert fleet.runs.stops["s"] == 0


# Guards against units that are started and stopped again and again, while the
# job that they are stopped for never starts: what a reservation has held back
# for too long may use it, but not what a stop has just freed.
def test_what_a_stop_frees_is_closed_to_what_was_held_back_for_long() -> None:
    harness = engine_harness.EngineHarness(1)
    small = _tasks("b", 1.0, checkpointing=True)
    wide = engine_harness.job(
        "w" * 16, model.Step(1, engine_harness.WORKER, LONG_S)
    )
    harness.submit(small, wide)
    tracked, owner = (
        harness.engine.jobs_by_id[job.id] for job in (small, wide)
    )
    ((key, worker),) = harness.engine.workers_by_incarnation.items()
    (entry,) = worker.entries_by_key.values()
    entry.backfilled_for = wide.id
    (incarnation,) = harness.incarnations
    decisions = backfill.Backfill(lambda *_, **__: None)
    demand = _demand(1.0, checkpointing=True)

    def placed(now_s: float, *, reserved: bool) -> backfill.Placed | None:
        candidates = placement.Candidates([worker])
        candidates.free_by_key[key] = incarnation.capacity
        held = holds.Holds(candidates)
        decisions.start_pass(held, {small.id, wide.id})
        held.apply_to(1, guaranteed=False)
        if reserved:
            hold = holds.Hold(wide.id, 1, [key], engine_harness.WORKER, 0.0)
            held.reserve(hold, engine_harness.SERVICE)
        return decisions.place(candidates, held, tracked, demand, now_s)

    assert placed(0.0, reserved=True) is None
    assert placed(100.0, reserved=True) == backfill.Placed([key], wide.id)
    victim = reclaim.Victim(entry.unit)
    victim.entries.append((worker, entry))
    wide_demand = placement.Demand(owner.step_of(0), 1, engine_harness.SERVICE)
    decisions.on_stopped([victim], owner, wide_demand, [key])
    assert placed(101.0, reserved=False) is None


# Guards against an urgent job that waits for a less urgent reservation.
def test_a_reservation_does_not_bind_more_urgent_jobs() -> None:
    fleet = _WaitingWideTask({"u": LONG_S})
    step = model.Step(1, engine_harness.GPU, LONG_S)
    fleet.put(engine_harness.job("u" * 16, step, priority=0, account="urgent"))
    assert fleet.runs.first_start_s("u") < 3.0


# Guards against a guaranteed job that starts too late: it comes first in its
# priority, where others may claim what they have made free.
def test_a_claim_binds_its_priority_but_not_what_is_guaranteed() -> None:
    harness = engine_harness.EngineHarness(1)
    (key,) = harness.engine.workers_by_incarnation
    candidates = placement.Candidates(
        harness.engine.workers_by_incarnation.values()
    )
    held = holds.Holds(candidates)
    claim = holds.Hold(types.JobId("w"), 0, [key], engine_harness.WORKER, 0.0)
    held.add_claim(claim)
    held.apply_to(0, guaranteed=True)
    assert candidates.free_by_key[key] == engine_harness.WORKER
    held.apply_to(0, guaranteed=False)
    assert candidates.free_by_key[key] == model.NO_RESOURCES
    assert held.binding_on(0) == [claim]
    held.release(types.JobId("w"))
    assert candidates.free_by_key[key] == engine_harness.WORKER
    assert held.binding_on(0) == []


def _demand(estimate_s: float, **fields: bool) -> placement.Demand:
    step = model.Step(1, engine_harness.GPU, estimate_s, **fields)
    return placement.Demand(step, 1, "plans", expected_s=estimate_s or 5.0)


@pytest.mark.parametrize(
    ("demand", "fits_in_s", "expected"),
    [
        (_demand(5.0), 10.0, True),
        (_demand(5.0), 9.9, False),
        (_demand(0.0), 1000.0, False),
        (_demand(50.0, checkpointing=True), 4.0, True),
        (_demand(50.0, checkpointing=True), 3.9, False),
        (_demand(5.0, checkpointing=True, long_running=True), 99.0, False),
    ],
)
def test_who_may_use_reserved_capacity(
    demand: placement.Demand, fits_in_s: float, expected: bool
) -> None:
    hold = holds.Hold(types.JobId("w"), 1, [], engine_harness.WORKER, fits_in_s)
    assert backfill.ends_in_time(hold, demand) is expected
