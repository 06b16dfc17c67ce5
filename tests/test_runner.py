"""Calls to a worker's runner, which may start again under its id."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from pimentobridge.core import types
from pimentobridge.core.jobs import runs
from pimentobridge.lab import faults
from pimentobridge.lab import simulation
from pimentobridge.platform import http_client
from pimentobridge.platform import runner
from pimentobridge.platform import runner_status

WORKER = types.WorkerId("i-1")
FIRST = runs.IncarnationKey(WORKER, 1)
SECOND = runs.IncarnationKey(WORKER, 2)
ORDER = runs.StartOrder(runs.RunKey("a.0.0.0", 1), "spec", "")


class _Machine:
    """Accepts connections for one incarnation of a runner after the other.

    Attributes:
        born_ms: start of the present incarnation.
        calls: path and body of each call, with the incarnation that got it.
        connections: number of connections that were opened.
    """

    def __init__(self) -> None:
        self.born_ms = FIRST.started_ms
        self.calls: list[tuple[int, str, dict[str, Any]]] = []
        self.connections = 0

    def connect(self) -> _Connection:
        self.connections += 1
        return _Connection(self)

    def carried_out(self, born_ms: int) -> list[str]:
        """Returns the paths of the calls that an incarnation got."""
        return [path for born, path, _ in self.calls if born == born_ms]


class _Connection:
    """A connection that ends with the incarnation that has accepted it."""

    def __init__(self, machine: _Machine) -> None:
        self._machine = machine
        self._born_ms = machine.born_ms

    @property
    def reusable(self) -> bool:
        return self._born_ms == self._machine.born_ms

    async def call(
        self, method: str, path: str, *, body: dict[str, Any], **_: Any
    ) -> http_client.Answer | http_client.Failure:
        del method
        if not self.reusable:
            return http_client.Failure.NO_ANSWER
        self._machine.calls.append((self._born_ms, path, body))
        status = {"running": [], "finished": [], "born": self._born_ms}
        return http_client.Answer(200, {"clockMs": 5, **status})

    async def close(self) -> None:
        pass


def _start(
    client: runner.Runner, incarnation: runs.IncarnationKey
) -> runner.StartResult:
    async def start() -> runner.StartResult:
        return await client.start(
            incarnation, ORDER, token=7, lease_until_s=9.0
        )

    return trio.run(start)


# Guards against TWICE (issue 35, review/3): a start that was tried again
# reached the runner's next incarnation, which carried it out.
def test_an_order_does_not_reach_a_later_incarnation() -> None:
    machine = _Machine()
    client = runner.Runner(machine.connect)
    assert _start(client, FIRST) is runner.StartResult.RUNNING
    machine.born_ms = SECOND.started_ms
    assert _start(client, FIRST) is runner.StartResult.WRONG_INCARNATION
    assert "/v1/run-start" not in machine.carried_out(SECOND.started_ms)
    assert _start(client, SECOND) is runner.StartResult.RUNNING


# A number up to which ends are acknowledged, or a lease, is one incarnation's.
def test_a_later_incarnation_gets_no_acknowledgement_and_no_lease() -> None:
    machine = _Machine()
    machine.born_ms = SECOND.started_ms
    client = runner.Runner(machine.connect)

    async def poll() -> object:
        return await client.poll(
            FIRST, token=7, acknowledged_end=57, lease_until_s=9.0
        )

    assert trio.run(poll) is runner_status.PollFailure.WRONG_INCARNATION
    assert [body for _, _, body in machine.calls] == [
        {"fencingToken": 7, "lastSeen": 0}
    ]


def test_a_stop_does_not_reach_a_later_incarnation() -> None:
    machine = _Machine()
    machine.born_ms = SECOND.started_ms
    client = runner.Runner(machine.connect)

    async def stop() -> runner.StopResult:
        return await client.stop(FIRST, ORDER.key, token=7)

    assert trio.run(stop) is runner.StopResult.WRONG_INCARNATION
    assert "/v1/run-stop" not in machine.carried_out(SECOND.started_ms)


def test_a_connection_is_verified_once() -> None:
    machine = _Machine()
    client = runner.Runner(machine.connect)
    for _ in range(3):
        _start(client, FIRST)
    assert machine.connections == 1
    assert machine.carried_out(FIRST.started_ms) == [
        "/v1/hold",
        *["/v1/run-start"] * 3,
    ]


@pytest.mark.parametrize("seed", [1, 2, 7, 8])
def test_no_task_runs_twice_when_runners_restart_behind_a_cut(
    seed: int,
) -> None:
    cut = faults.Fault("runners restart behind a cut", 6.0, 2.0, (0, 2))
    assert simulation.run(seed, [cut]).findings == []
