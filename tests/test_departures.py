"""Workers that are expected to depart, and how placement avoids them."""

from __future__ import annotations

import collections
import dataclasses
import json
from typing import Any

import msgspec
import pytest

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import departures
from pimentobridge.core.scheduling import replacements
from pimentobridge.platform import heartbeats
from pimentobridge.testing import engine_harness

TASK = model.Step(1, engine_harness.GPU, 8.0)


def _fleet(*versions: str) -> engine_harness.EngineHarness:
    """Returns one worker of each version; those of v2 started later."""
    harness = engine_harness.EngineHarness(0)
    for number, version in enumerate(versions):
        started_ms = 2 if version == "v2" else 1
        harness.incarnations.append(
            msgspec.structs.replace(
                harness.incarnation(number, started_ms), version=version
            )
        )
    harness.observe_all()
    return harness


def _drain(
    harness: engine_harness.EngineHarness,
    number: int,
    leaves_in_s: float | None = 4.0,
) -> None:
    harness.incarnations[number] = msgspec.structs.replace(
        harness.incarnations[number], draining=True, leaves_in_s=leaves_in_s
    )
    harness.observe(number)


def _worker_of(
    harness: engine_harness.EngineHarness, step: model.Step, priority: int = 1
) -> int:
    """Returns the worker on which a new job of one task starts."""
    name = f"{len(harness.engine.jobs_by_id):016x}"
    ((number, _),) = [
        order
        for order in engine_harness.started(
            harness.submit(engine_harness.job(name, step, priority=priority))
        )
        if order[1].task.startswith(name)
    ]
    return number


# Guards against a load of 41 replaced workers: work was moved onto workers that
# were replaced next, and 75 tasks restarted two to four times. Without an
# update, and for versions that can't be compared, the first worker is best.
@pytest.mark.parametrize(
    ("versions", "chosen"),
    [
        (("v1", "v2", "v1"), 1),
        (("v1", "v1", "v1"), 0),
        (("", "v2", ""), 0),
        (("v2", "v1", "v2"), 0),
    ],
)
def test_work_goes_to_workers_that_are_not_replaced_next(
    versions: tuple[str, ...], chosen: int
) -> None:
    harness = _fleet(*versions)
    _drain(harness, 2)
    assert _worker_of(harness, TASK) == chosen


# Guards against the load of a rolling update that keeps the version: 118 tasks
# were moved 273 times, onto workers that were replaced next.
@pytest.mark.parametrize(("joined", "chosen"), [(3, 4), (2, 0)])
def test_work_goes_to_workers_that_have_joined_during_a_replacement(
    joined: int, chosen: int
) -> None:
    harness = _fleet(*["v1"] * 4)
    harness.clock.advance(5.0)
    harness.observe_all()
    for number in range(4, 4 + joined):
        harness.incarnations.append(
            msgspec.structs.replace(harness.incarnation(number), version="v1")
        )
        harness.observe(number)
    for number in (1, 2, 3):
        _drain(harness, number)
    assert _worker_of(harness, TASK) == chosen


# Guards against a preference that keeps work waiting.
def test_work_goes_to_a_worker_to_be_replaced_if_there_is_no_other() -> None:
    harness = _fleet("v1", "v2", "v1")
    _drain(harness, 2)
    whole = model.Step(1, engine_harness.WORKER, 8.0)
    assert _worker_of(harness, whole) == 1
    assert _worker_of(harness, whole) == 0


# Guards against urgent callers that wait or run far from their data for an
# update that doesn't reach their work, and against moves of saved work.
@pytest.mark.parametrize(
    ("step", "priority", "chosen"),
    [
        (model.Step(1, engine_harness.GPU, 3.0), 0, 0),
        (model.Step(1, engine_harness.GPU, 3.0), 1, 1),
        (model.Step(1, engine_harness.GPU, 5.0), 0, 1),
        (model.Step(1, engine_harness.GPU, 8.0, checkpointing=True), 1, 0),
    ],
)
def test_work_that_an_update_does_not_harm_runs_anywhere(
    step: model.Step, priority: int, chosen: int
) -> None:
    harness = _fleet("v1", "v2", "v1")
    _drain(harness, 2)
    assert _worker_of(harness, step, priority) == chosen


def test_an_update_is_over_some_time_after_the_last_drain() -> None:
    harness = _fleet("v1", "v2", "v1")
    _drain(harness, 2)
    gauges = harness.engine.departures.gauges
    assert gauges()["workers_expected_to_depart"] == 1
    harness.clock.advance(departures.UPDATE_WINDOW_S)
    assert gauges()["workers_expected_to_depart"] == 0


# Guards against state that grows for days: with each version that workers have
# had, and with each drain while workers leave and join all the time.
@pytest.mark.parametrize("interval_s", [1.0, departures.UPDATE_WINDOW_S])
def test_what_is_known_of_drains_does_not_grow(interval_s: float) -> None:
    harness = _fleet("v0")
    known = harness.engine.departures

    def replace_all(times: int) -> int:
        for _ in range(times):
            _drain(harness, 0)
            harness.clock.advance(interval_s)
            started_ms = harness.incarnations[0].key.started_ms + 1
            harness.incarnations[0] = msgspec.structs.replace(
                harness.incarnation(0, started_ms), version=f"v{started_ms}"
            )
            harness.observe(0)
        return _count_values(vars(known))

    early = replace_all(30)
    assert replace_all(100) == early


def _count_values(value: object) -> int:
    """Returns the number of values in containers and the objects they hold."""
    if isinstance(value, dict):
        return sum(map(_count_values, value.values()))
    if isinstance(value, list | tuple | collections.deque):
        return sum(map(_count_values, value))
    if isinstance(value, replacements.Replacements):
        return _count_values(vars(value))
    if dataclasses.is_dataclass(value):
        return _count_values(vars(value))
    return 1


# Guards against an update that is inferred only for workers that begin to drain
# after the first new worker is up.
def test_a_new_version_is_noticed_after_a_drain() -> None:
    harness = _fleet("v1", "v1", "v1")
    _drain(harness, 2)
    harness.incarnations[1] = msgspec.structs.replace(
        harness.incarnation(1, started_ms=2), version="v2"
    )
    harness.observe(1)
    assert _worker_of(harness, TASK) == 1


def _fleet_with_short_notice(notice_s: float) -> engine_harness.EngineHarness:
    """Returns workers 0 and 1 beside the drained one, and 2 elsewhere."""
    harness = engine_harness.EngineHarness(4)
    harness.incarnations[3] = msgspec.structs.replace(
        harness.incarnations[3], rack=types.RackName("rack-0")
    )
    harness.incarnations[2] = msgspec.structs.replace(
        harness.incarnations[2], data_centre=types.DataCentreName("other")
    )
    harness.observe_all()
    _drain(harness, 3, notice_s)
    return harness


# Guards against long work that is lost to the next of several termination
# notices in a rack or data centre.
@pytest.mark.parametrize(
    ("notice_s", "step", "chosen"),
    [
        (2.0, TASK, 2),
        (4.0, TASK, 0),
        (2.0, model.Step(1, engine_harness.GPU, 2.0), 0),
        (2.0, model.Step(1, engine_harness.GPU, 8.0, checkpointing=True), 0),
    ],
)
def test_long_work_avoids_places_with_short_notices(
    notice_s: float, step: model.Step, chosen: int
) -> None:
    harness = _fleet_with_short_notice(notice_s)
    assert _worker_of(harness, step) == chosen


def test_another_rack_is_better_than_one_with_a_short_notice() -> None:
    harness = _fleet_with_short_notice(2.0)
    harness.incarnations[1] = msgspec.structs.replace(
        harness.incarnations[1], rack=types.RackName("rack-1")
    )
    harness.observe(1)
    _drain(harness, 2)
    assert _worker_of(harness, TASK) == 1


def test_places_are_used_again_some_time_after_a_short_notice() -> None:
    harness = _fleet_with_short_notice(2.0)
    harness.clock.advance(departures.AVOIDED_AFTER_NOTICE_S)
    harness.observe_all()
    assert _worker_of(harness, TASK) == 0


# Guards against a worker that promises more time than it has.
def test_a_worker_that_departs_early_counts_as_a_short_notice() -> None:
    harness = _fleet_with_short_notice(6.5)
    harness.clock.advance(1.5)
    harness.observe(3, terminated=True)
    assert "short termination notice" in harness.logged_events


# Guards against notices that a new scheduler takes for short ones because it
# hears of them late.
def test_a_drain_that_had_begun_before_is_no_short_notice() -> None:
    harness = _fleet_with_short_notice(4.0)
    harness.incarnations[3] = msgspec.structs.replace(
        harness.incarnations[3], leaves_in_s=1.0
    )
    harness.engine = harness.new_engine()
    harness.observe_all()
    assert "short termination notice" not in harness.logged_events


@pytest.mark.parametrize(
    ("fields", "version"),
    [
        ({"version": "v2"}, "v2"),
        ({}, ""),
        ({"version": None}, ""),
        ({"version": 2}, ""),
        ({"version": 1e300}, ""),
        ({"version": ["v2"]}, ""),
        ({"version": "v" * 1000}, ""),
    ],
)
def test_a_heartbeat_with_an_odd_version_counts_as_without(
    fields: dict[str, Any], version: str
) -> None:
    body = {
        "service": "s",
        "address": "a:1",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 1, "memMb": 1, "gpu": 1},
        "labels": ["a", "rack"],
        "sequence": 1,
        "born": 1,
        **fields,
    }
    heartbeat = heartbeats.decode("w", json.dumps(body).encode())
    assert heartbeat.incarnation.version == version


# Guards against agents of the version before, whose reports have no version.
def test_a_report_without_a_version_is_read() -> None:
    harness = engine_harness.EngineHarness(1)
    fields = msgspec.structs.astuple(harness.incarnations[0])[:-1]
    data = msgspec.msgpack.encode(fields)
    read = msgspec.msgpack.decode(data, type=runs.WorkerIncarnation)
    assert read == harness.incarnations[0]
