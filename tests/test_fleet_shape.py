"""Jobs that the whole fleet can't run are refused at once, and no others."""

from __future__ import annotations

import msgspec
import pytest

from pimentobridge.core.jobs import model
from pimentobridge.core.scheduling import fleet_shape
from pimentobridge.daemons import fleet_record
from pimentobridge.daemons import keys
from pimentobridge.platform import kv_store
from pimentobridge.testing import engine_harness
from pimentobridge.testing import odd_entries

WORKERS = 4
WHOLE = engine_harness.WORKER


def _shape(workers: int = WORKERS) -> fleet_shape.FleetShape:
    harness = engine_harness.EngineHarness(workers)
    return fleet_shape.FleetShape().including(
        harness.engine.workers_by_incarnation.values()
    )


@pytest.mark.parametrize(
    ("step", "fits"),
    [
        (model.Step(WORKERS, WHOLE, gang=True), True),
        (model.Step(WORKERS + 1, WHOLE, gang=True), False),
        (model.Step(WORKERS + 1, WHOLE), True),
        (model.Step(1, model.Resources(1, 1, 9)), False),
        (model.Step(8, engine_harness.GPU, gang=True, max_per_worker=1), False),
        (model.Step(1, WHOLE, required_label="rack-0"), True),
        (model.Step(1, WHOLE, required_label="b"), False),
        (model.Step(3, WHOLE, gang=True, required_label="rack-0"), False),
        # A gang that no rack holds may run across racks.
        (model.Step(WORKERS, WHOLE, gang=True, same_rack=True), True),
    ],
)
def test_a_job_is_refused_only_if_the_whole_fleet_is_too_small(
    step: model.Step, fits: bool
) -> None:
    problem = _shape().problem_in(engine_harness.job("a" * 16, step))
    assert (problem == "") is fits


def test_the_problem_names_what_was_asked_and_what_there_is() -> None:
    step = model.Step(WORKERS + 1, WHOLE, gang=True)
    problem = _shape().problem_in(engine_harness.job("a" * 16, step))
    assert "5 tasks of 16 cores, 16000 MiB and 8 accelerators" in problem
    assert "all 4 workers" in problem


# A gang that fits when all workers are back waits for them.
def test_workers_that_are_away_count() -> None:
    harness = engine_harness.EngineHarness(1)
    shape = _shape().including(harness.engine.workers_by_incarnation.values())
    assert shape == _shape()


# Guards against LOST (issue 35, review/2): the comparison of two sizes ended
# each term of the scheduler, so that no lease of a lost worker expired.
def test_workers_of_a_service_may_differ_in_size() -> None:
    harness = engine_harness.EngineHarness(2)
    large = harness.incarnations[1]
    harness.incarnations[1] = msgspec.structs.replace(
        large, capacity=WHOLE + WHOLE, labels=harness.incarnations[0].labels
    )
    harness.observe_all()
    shape = fleet_shape.FleetShape().including(
        harness.engine.workers_by_incarnation.values()
    )
    assert [count.workers for count in shape.counts] == [1, 1]
    assert shape.counts[0].shape.capacity == WHOLE
    assert fleet_shape.decode(fleet_shape.encode(shape)) == shape


def test_nothing_is_refused_while_no_worker_of_the_service_is_known() -> None:
    step = model.Step(1, model.Resources(1, 1, 9))
    job = engine_harness.job("a" * 16, step)
    assert fleet_shape.FleetShape().problem_in(job) == ""


def test_the_record_can_be_read_again() -> None:
    assert fleet_shape.decode(fleet_shape.encode(_shape())) == _shape()


def test_an_odd_record_refuses_nothing() -> None:
    items = {
        keys.FLEET: kv_store.Item(keys.FLEET, odd_entries.NESTED_RECORD, 1)
    }
    assert fleet_record.read(items) is None
