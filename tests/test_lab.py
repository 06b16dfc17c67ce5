"""Days of the whole system in virtual time, and the faults that they found."""

from __future__ import annotations

import random

import pytest
import trio

from pimentobridge.bench import harness
from pimentobridge.core.scheduling import engine
from pimentobridge.daemons import leadership
from pimentobridge.daemons import recorder
from pimentobridge.lab import faults
from pimentobridge.lab import simulation
from pimentobridge.lab import world as world_lib
from pimentobridge.testing import platform_runner

SEEDS = range(1, 9)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_day_keeps_every_promise(seed: int) -> None:
    verdict = simulation.run(seed)
    assert verdict.findings == []
    assert verdict.accepted >= verdict.submitted * 0.6


def test_a_day_repeats_exactly() -> None:
    assert simulation.run(3) == simulation.run(3)


def test_a_calm_day_accepts_every_job() -> None:
    verdict = simulation.run(1, [])
    assert verdict.findings == []
    assert verdict.accepted == verdict.submitted


@pytest.mark.parametrize("kind", faults.KINDS)
def test_one_fault_of_each_kind(kind: str) -> None:
    fault = faults.Fault(kind=kind, at_s=9.0, for_s=7.0, targets=(0, 1))
    assert simulation.run(11, [fault]).findings == []


def test_an_agent_replaces_its_silent_connection() -> None:
    # Orders still came, so that the agent took its own reports for delivered.
    fault = faults.Fault("connections silent", 16.6, 6.7, (1, 5))
    assert simulation.run(28, [fault]).findings == []


def _orders_age_s(*, to_agent: bool) -> float:
    """Returns the age of an agent's orders, 6 s after one way went silent."""

    async def main() -> float:
        async with trio.open_nursery() as nursery:
            world = world_lib.World(
                rng=random.Random(1), nursery=nursery, entries=1, workers=1
            )
            world.put_configuration()
            world.start()
            await trio.sleep(5.0)
            host, entry = world.workers[0], world.entries[0]
            ends = (entry.address, host.address)
            world.network.silence(*(ends if to_agent else reversed(ends)))
            await trio.sleep(6.0)
            assert host.agent is not None
            age_s = host.agent.gauges()["orders_age_seconds"]
            nursery.cancel_scope.cancel()
        return age_s

    age_s: float = harness.run_virtual(main)
    return age_s


@pytest.mark.parametrize("to_agent", [True, False])
def test_either_end_replaces_its_silent_connection(to_agent: bool) -> None:
    # The other way still works, so that its messages are no sign of delivery.
    assert _orders_age_s(to_agent=to_agent) < engine.ORDER_VALIDITY_S


def test_an_ejected_worker_comes_back_without_another_event() -> None:
    # The end of an ejection is no event: nothing asked for a pass after it.
    fault = faults.Fault("orders late", 20.38, 7.79, (0, 2))
    assert simulation.run(20, [fault]).findings == []


def test_jobs_start_while_all_entries_are_being_restarted() -> None:
    # All had resigned for 3.1 s: nobody scheduled until the first was back.
    vacant_s = 0.0

    async def script(world: world_lib.World) -> None:
        nonlocal vacant_s
        plan = faults.Fault("all entries terminated", 0.0, 0.0)
        world.nursery.start_soon(faults.inject, world, plan)
        for _ in range(60):
            await trio.sleep(0.1)
            acting = any(
                host.entry is not None and host.entry.leadership.acting
                for host in world.entries
            )
            vacant_s += 0.0 if acting else 0.1

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world = world_lib.World(
                rng=random.Random(1), nursery=nursery, entries=3, workers=1
            )
            world.put_configuration()
            world.start()
            await trio.sleep(3.0)
            await script(world)
            nursery.cancel_scope.cancel()

    harness.run_virtual(main)
    assert vacant_s < leadership.LEASE_S


def _rules(findings: list[str]) -> set[str]:
    return {finding.split(" ")[0] for finding in findings}


def test_the_checkers_see_a_missing_wait_for_leases(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(engine, "LEASE_SLACK_S", -7.0)
    fault = faults.Fault("agents cut off", 9.0, 5.0, (0, 1, 2))
    assert "TWICE" in _rules(simulation.run(11, [fault]).findings)


def test_the_checkers_see_ends_that_are_not_recorded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def forget_at_once(worker: object) -> None:
        worker.seen = worker.processed  # type: ignore[attr-defined]

    monkeypatch.setattr(
        "pimentobridge.core.scheduling.fleet.TrackedWorker.advance_seen",
        forget_at_once,
    )
    plan = [
        faults.Fault("store resets", 8.0 + at, 1.5) for at in (0, 5, 10)
    ] + [faults.Fault("scheduler killed", 9.4 + at, 0.0) for at in (0, 5, 10)]
    found: set[str] = set()
    for seed in range(1, 7):
        found |= _rules(simulation.run(seed, plan).findings)
    assert "TWICE" in found


def test_the_checkers_see_a_missing_fence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def send_at_once(self: recorder.Recorder) -> None:
        for tracked in self._engine.dirty_by_id.values():
            tracked.recorded = tracked.changes

    monkeypatch.setattr(recorder.Recorder, "wake", send_at_once)
    plan = [faults.Fault("scheduler killed", 9.4 + at, 0.0) for at in (0, 6)]
    found: set[str] = set()
    for seed in range(1, 4):
        found |= _rules(simulation.run(seed, plan).findings)
    assert found & {"TWICE", "LOST", "BUDGET", "MIXED"}


def test_a_gang_that_is_not_whole_is_seen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    start = platform_runner.PlatformRunner._start
    dropped: set[str] = set()

    def drop_one(self: platform_runner.PlatformRunner, body: dict):  # type: ignore[no-untyped-def,type-arg]
        task = str(body["task"])
        if task.endswith(".1") and task not in dropped:
            dropped.add(task)
            return self._answer(503)
        return start(self, body)

    monkeypatch.setattr(platform_runner.PlatformRunner, "_start", drop_one)
    monkeypatch.setattr(
        "pimentobridge.core.scheduling.ledger.RunEntry.is_current", True
    )
    assert "GANG" in _rules(simulation.run(1, []).findings)
