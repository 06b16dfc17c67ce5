"""Simulations of the whole system, and regression tests of bugs they found."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec
import pytest
import trio

from pimentobridge.bench import harness
from pimentobridge.core.scheduling import engine
from pimentobridge.core.scheduling import fleet_shape
from pimentobridge.daemons import leadership
from pimentobridge.daemons import recorder
from pimentobridge.daemons import worker_announcements
from pimentobridge.lab import faults
from pimentobridge.lab import machines
from pimentobridge.lab import simulation
from pimentobridge.lab import world as world_lib
from pimentobridge.testing import platform_runner

if TYPE_CHECKING:
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.platform import heartbeats

SEEDS = range(1, 9)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_guarantee_is_violated_under_random_faults(seed: int) -> None:
    result = simulation.run(seed)
    assert result.findings == []
    assert result.accepted >= result.submitted * 0.6


def test_the_same_seed_gives_the_same_result() -> None:
    assert simulation.run(3) == simulation.run(3)


def test_every_job_is_accepted_without_faults() -> None:
    result = simulation.run(1, [])
    assert result.findings == []
    assert result.accepted == result.submitted


@pytest.mark.parametrize("kind", faults.KINDS)
def test_no_guarantee_is_violated_under_each_kind_of_fault(kind: str) -> None:
    fault = faults.Fault(kind=kind, at_s=9.0, for_s=7.0, targets=(0, 1))
    assert simulation.run(11, [fault]).findings == []


def test_an_agent_replaces_its_silent_connection() -> None:
    # Orders still arrived from the other direction, so the agent took its own
    # reports as delivered and kept the silent connection.
    fault = faults.Fault("connections silent", 16.6, 6.7, (1, 5))
    assert simulation.run(28, [fault]).findings == []


def _orders_age_s(*, to_agent: bool) -> float:
    """Returns the age of orders 6 s after one direction is silenced."""

    async def main() -> float:
        async with trio.open_nursery() as nursery:
            world = world_lib.World(
                rng=random.Random(1), nursery=nursery, entries=1, workers=1
            )
            world.put_configuration()
            world.start()
            await trio.sleep(5.0)
            host, entry = world.workers[0], world.entries[0]
            endpoints = (entry.address, host.address)
            world.network.silence(
                *(endpoints if to_agent else reversed(endpoints))
            )
            await trio.sleep(6.0)
            assert host.agent is not None
            age_s = host.agent.gauges()["orders_age_seconds"]
            nursery.cancel_scope.cancel()
        return age_s

    age_s: float = harness.run_virtual(main)
    return age_s


@pytest.mark.parametrize("to_agent", [True, False])
def test_either_end_replaces_its_silent_connection(to_agent: bool) -> None:
    # The other direction still works, so messages received over it don't prove
    # that the endpoint's own messages are delivered.
    assert _orders_age_s(to_agent=to_agent) < engine.ORDER_VALIDITY_S


def test_an_ejected_worker_is_readmitted_without_another_event() -> None:
    # The end of an ejection raises no event, so no scheduling pass followed it.
    fault = faults.Fault("orders late", 20.38, 7.79, (0, 2))
    assert simulation.run(20, [fault]).findings == []


def test_jobs_start_while_all_entries_are_being_restarted() -> None:
    # All entries had resigned, so nothing was scheduled for 3.1 s, until the
    # first of them had restarted.
    without_leader_s = 0.0

    async def measure_time_without_leader(world: world_lib.World) -> None:
        nonlocal without_leader_s
        injected = faults.Fault("all entries terminated", 0.0, 0.0)
        world.nursery.start_soon(faults.inject, world, injected)
        for _ in range(60):
            await trio.sleep(0.1)
            has_leader = any(
                host.entry is not None and host.entry.leadership.is_leader
                for host in world.entries
            )
            without_leader_s += 0.0 if has_leader else 0.1

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world = world_lib.World(
                rng=random.Random(1), nursery=nursery, entries=3, workers=1
            )
            world.put_configuration()
            world.start()
            await trio.sleep(3.0)
            await measure_time_without_leader(world)
            nursery.cancel_scope.cancel()

    harness.run_virtual(main)
    assert without_leader_s < leadership.LEASE_S


# Guards against LOST (issue 35, review/1): the clock of a machine begins anew
# when it loses power, and the reports of the agent that ran there next counted
# as older than those before.
@pytest.mark.parametrize("seed", [1, 2])
def test_workers_are_used_again_after_they_have_lost_power(seed: int) -> None:
    fault = faults.Fault("workers lose power", 6.0, 2.0, tuple(range(6)))
    assert simulation.run(seed, [fault]).findings == []


# Guards against LOST (issue 38): incarnations of a worker were ordered by the
# time of day of their starts, and one with an earlier start was never used.
@pytest.mark.parametrize("seed", [1, 2])
def test_workers_that_restart_with_an_earlier_time_of_day_are_used(
    seed: int,
) -> None:
    fault = faults.Fault(
        "runners restart with clocks set back", 6.0, 0.0, tuple(range(6))
    )
    assert simulation.run(seed, [fault]).findings == []


def _rules(findings: list[str]) -> set[str]:
    return {finding.split(" ")[0] for finding in findings}


def test_the_checker_detects_that_expiry_of_leases_is_not_awaited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Tasks on unreachable workers are restarted before their leases expire. A
    # seed whose tasks on them end by themselves shows nothing.
    monkeypatch.setattr(engine, "LEASE_SLACK_S", -7.0)
    fault = faults.Fault("agents cut off", 9.0, 5.0, (0, 1, 2))
    detected = [
        "TWICE" in _rules(simulation.run(seed, [fault]).findings)
        for seed in range(11, 19)
    ]
    assert sum(detected) >= 5


def test_the_checker_detects_ends_acknowledged_before_being_recorded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Ends are acknowledged to the runner before the store has recorded them.
    def acknowledge_at_once(worker: object) -> None:
        worker.acknowledged_end = worker.processed_end  # type: ignore[attr-defined]

    monkeypatch.setattr(
        "pimentobridge.core.scheduling.fleet.TrackedWorker.acknowledge_ends",
        acknowledge_at_once,
    )
    injected = [
        faults.Fault("store resets", 8.0 + offset_s, 1.5)
        for offset_s in (0, 5, 10)
    ] + [
        faults.Fault("scheduler killed", 9.4 + offset_s, 0.0)
        for offset_s in (0, 5, 10)
    ]
    violated_rules: set[str] = set()
    for seed in range(1, 7):
        violated_rules |= _rules(simulation.run(seed, injected).findings)
    assert "TWICE" in violated_rules


def test_the_checker_detects_orders_sent_before_being_recorded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Every change counts as recorded before it is written to the store.
    def mark_recorded_at_once(self: recorder.Recorder) -> None:
        for tracked in self._engine.dirty_by_id.values():
            tracked.recorded_change = tracked.changes

    monkeypatch.setattr(recorder.Recorder, "wake", mark_recorded_at_once)
    injected = [
        faults.Fault("scheduler killed", 9.4 + offset_s, 0.0)
        for offset_s in (0, 6)
    ]
    violated_rules: set[str] = set()
    for seed in range(1, 4):
        violated_rules |= _rules(simulation.run(seed, injected).findings)
    assert violated_rules & {"TWICE", "LOST", "BUDGET", "MIXED"}


def test_the_checker_detects_orders_for_another_incarnation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Connections count as leading to the incarnation that an order is for.
    async def accept(*_: object) -> None:
        pass

    monkeypatch.setattr("pimentobridge.platform.runner._verify", accept)
    fault = faults.Fault("runners restart behind a cut", 6.0, 2.0, (0, 2))
    violated_rules: set[str] = set()
    for seed in (1, 2):
        violated_rules |= _rules(simulation.run(seed, [fault]).findings)
    assert "TWICE" in violated_rules


def test_the_checker_detects_that_any_sender_is_believed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Whatever incarnation a heartbeat names is taken for the runner's. Each
    # runner has sent its only heartbeat before, as the next one of its own
    # would be believed as well.
    def believe(
        self: worker_announcements.WorkerAnnouncements,
        heartbeat: heartbeats.Heartbeat,
    ) -> None:
        self._on_confirmed(heartbeat)

    monkeypatch.setattr(machines, "HEARTBEAT_INTERVAL_S", float("inf"))
    fault = faults.Fault("odd heartbeats", 9.0, 2.0, tuple(range(6)))
    assert simulation.run(1, [fault]).findings == []
    monkeypatch.setattr(
        worker_announcements.WorkerAnnouncements, "add", believe
    )
    assert "LOST" in _rules(simulation.run(1, [fault]).findings)


def test_the_checker_detects_the_comparison_of_sizes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Seed 1 has a small worker, seed 3 none.
    monkeypatch.setattr(fleet_shape, "_sort_key", msgspec.structs.astuple)
    assert "FAULT" in _rules(simulation.run(1, []).findings)
    assert simulation.run(3, []).findings == []


def test_the_checker_detects_an_incomplete_gang(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # One start of a gang member is rejected, and every run counts as current,
    # so the engine leaves the other members waiting.
    start = platform_runner.PlatformRunner._start
    rejected: set[str] = set()

    def reject_first_start(self: platform_runner.PlatformRunner, body: dict):  # type: ignore[no-untyped-def,type-arg]
        task = str(body["task"])
        if task.endswith(".1") and task not in rejected:
            rejected.add(task)
            return self._answer(503)
        return start(self, body)

    monkeypatch.setattr(
        platform_runner.PlatformRunner, "_start", reject_first_start
    )
    monkeypatch.setattr(
        "pimentobridge.core.scheduling.ledger.RunEntry.is_current", True
    )
    assert "GANG" in _rules(simulation.run(1, []).findings)


def _repeated(kind: str, workers: tuple[int, ...]) -> list[faults.Fault]:
    """Returns faults of one kind, again and again during the traffic."""
    return [
        faults.Fault(kind, at_s, 7.0, workers)
        for at_s in (2.0, 10.0, 18.0, 26.0)
    ]


def test_the_checker_detects_refused_runs_that_are_being_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A refusal releases a run that an earlier, unanswered start has begun, and
    # that the worker lists as running while it is being stopped.
    def release(
        self: engine.Engine, worker: fleet.TrackedWorker, refused: runs.RunKey
    ) -> None:
        if refused in worker.entries_by_key:
            worker.health.on_refused(trio.current_time())
        self._release_run(worker, refused, "start refused")

    monkeypatch.setattr(engine.Engine, "_on_refusal", release)
    injected = _repeated("runners unhealthy, answers cut off", (0, 1))
    detected = [
        "TWICE" in _rules(simulation.run(seed, injected).findings)
        for seed in range(1, 9)
    ]
    assert sum(detected) >= 3


# Guards against TWICE (issue 38): a runner that had deregistered counted as
# ended once a call couldn't reach it, while it went on behind a cut.
@pytest.mark.parametrize("seed", [14, 19])
def test_a_runner_that_has_left_may_go_on_behind_a_cut(seed: int) -> None:
    injected = _repeated("runners leave behind a cut", (0, 1, 2))
    assert simulation.run(seed, injected).findings == []


# Guards against LOST (issue 38): a runner that names an earlier start than the
# runner before it on its machine was not used, and the runs of that one, which
# had ended, counted as running.
@pytest.mark.parametrize("seed", [12])
def test_workers_are_used_after_the_time_of_day_has_jumped(seed: int) -> None:
    fault = faults.Fault("clocks jump, runners restart", 9.0, 7.0, (0, 1))
    assert simulation.run(seed, [fault]).findings == []
