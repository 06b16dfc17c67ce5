"""The order of client accounts that compete for a fleet."""

from __future__ import annotations

import collections

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import shares
from pimentobridge.testing import engine_harness

LARGE = types.AccountName("large")
SMALL = types.AccountName("small")


def _tasks(
    name: str, account: str, count: int, estimate_s: float = 5.0, **fields: int
) -> model.Job:
    step = model.Step(count, engine_harness.GPU, estimate_s)
    return engine_harness.job(name * 16, step, account=account, **fields)


def _started_by_job(orders: list[runs.Instructions]) -> dict[str, int]:
    started = engine_harness.started(orders)
    return dict(collections.Counter(key.task[0] for _, key in started))


# Guards against a burst of one account that takes the whole fleet: its jobs
# had the least remaining work, so that the other accounts got nothing.
def test_a_burst_of_one_account_is_interleaved_with_small_accounts() -> None:
    harness = engine_harness.EngineHarness(2)
    burst = [_tasks(name, "large", 1, 1.0) for name in "0123456789abcdef"]
    others = [_tasks("y", "other", 4, 9.0), _tasks("z", "third", 4, 9.0)]
    started = _started_by_job(harness.submit(*burst, *others))
    assert started.pop("y") == 4
    assert started.pop("z") == 4
    assert sum(started.values()) == 8


# Guards against starvation by least remaining work: an account with long jobs
# waited for as long as others kept sending short ones.
def test_an_account_with_large_jobs_gets_what_others_free() -> None:
    harness = engine_harness.EngineHarness(1)
    orders = harness.submit(*(_tasks(name, "small", 1) for name in "01234567"))
    (number, first), *_ = engine_harness.started(orders)
    large = _tasks("b", "large", 8, 60.0)
    short = [_tasks(name, "small", 1, 1.0) for name in "cde"]
    started = _started_by_job(harness.submit(large, *short))
    assert started == dict.fromkeys("01234567", 1)
    done = engine_harness.ended(first, runs.EndCause.DONE)
    harness.observe(number, ended=done)
    harness.plan()
    harness.record()
    assert _started_by_job(harness.observe_all())["b"] == 1


def test_a_single_account_keeps_the_order_by_remaining_work() -> None:
    harness = engine_harness.EngineHarness(1)
    jobs = (_tasks("b", "one", 6, 9.0), _tasks("a", "one", 6, 5.0))
    assert _started_by_job(harness.submit(*jobs)) == {"a": 6, "b": 2}


# Guards against an account that pays for its share with the priority of its
# urgent jobs: shares decide only within a priority and a timeliness.
def test_priority_comes_before_shares() -> None:
    harness = engine_harness.EngineHarness(2)
    harness.submit(_tasks("a", "large", 8, 60.0))
    urgent = _tasks("c", "large", 8, 60.0, priority=0)
    started = _started_by_job(harness.submit(urgent, _tasks("b", "small", 8)))
    assert started == {"a": 8, "c": 8}


def test_timeliness_comes_before_shares() -> None:
    harness = engine_harness.EngineHarness(1)
    running = engine_harness.started(harness.submit(_tasks("a", "large", 8)))
    harness.submit(_tasks("b", "small", 8))
    harness.clock.advance(20.0)
    ends = tuple(
        runs.EndedRun(number + 1, key, runs.EndCause.DONE, "")
        for number, (_, key) in enumerate(running)
    )
    harness.observe(0, ended=ends)
    assert _started_by_job(harness.submit(_tasks("c", "large", 8))) == {"c": 8}


def test_the_share_is_the_largest_of_a_resource_of_the_known_fleet() -> None:
    harness = engine_harness.EngineHarness(2)
    workers = harness.engine.workers_by_incarnation
    harness.submit(_tasks("a", "large", 4))
    assert shares.Shares(workers.values()).of(LARGE) == 4 / 16
    for worker in workers.values():
        for entry in worker.entries_by_key.values():
            entry.stop_requested = True
    held = shares.Shares(workers.values())
    assert held.of(LARGE) == 0.0
    held.add(SMALL, model.Resources(8_000, 1000, 1), 2)
    assert held.of(SMALL) == 0.5
    assert held.gauges() == {"largest_account_share": 0.5}


# Guards against errors while a new scheduler knows runs by their records and no
# worker has reported its capacity.
def test_without_any_known_capacity_all_shares_are_zero() -> None:
    harness = engine_harness.EngineHarness(1)
    harness.submit(_tasks("a", "large", 8))
    workers = harness.engine.workers_by_incarnation
    for worker in workers.values():
        worker.incarnation = None
    assert shares.Shares(workers.values()).of(LARGE) == 0.0
