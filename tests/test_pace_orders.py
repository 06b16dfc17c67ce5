"""Orders that limit the work of a run, from the agent to its worker."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest
import trio
import trio.testing

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.daemons import run_orders
from pimentobridge.daemons import started_runs
from pimentobridge.daemons import trio_clock
from pimentobridge.daemons import worker_view
from pimentobridge.platform import http_client
from pimentobridge.platform import runner as runner_lib
from pimentobridge.testing import engine_harness

if TYPE_CHECKING:
    from collections.abc import Callable

KEY = runs.IncarnationKey(types.WorkerId("w"), 1)
RUN = runs.RunKey("a.0.0.0", 1)
PACE_PATH = "/v1/pace"


class _Connection:
    """A connection to a worker that answers pace calls as it is told to.

    Args:
        answers: answer to each pace call; the last one also to later calls.

    Attributes:
        bodies: body of each pace call.
    """

    def __init__(self, answers: list[int | http_client.Failure]) -> None:
        self._answers = answers
        self.bodies: list[dict[str, Any]] = []
        self.on_call: Callable[[], None] = lambda: None

    reusable = True

    async def call(
        self, method: str, path: str, *, body: dict[str, Any], **_: Any
    ) -> http_client.Answer | http_client.Failure:
        del method
        status = {"running": [], "finished": [], "born": 1, "clockMs": 5}
        if path != PACE_PATH:
            return http_client.Answer(200, status)
        self.bodies.append(body)
        self.on_call()
        answer = self._answers[min(len(self.bodies), len(self._answers)) - 1]
        if isinstance(answer, http_client.Failure):
            return answer
        return http_client.Answer(answer, status)

    async def close(self) -> None:
        pass


class _Agent:
    """An agent with valid orders."""

    def __init__(self) -> None:
        self.token = 7
        self.worker: runs.WorkerIncarnation | None = runs.WorkerIncarnation(
            KEY,
            "service",
            types.DataCentreName("dc"),
            types.RackName("rack"),
            (),
            model.NO_RESOURCES,
        )
        self.view = worker_view.WorkerView(6.0)
        self.valid = True

    def may_act(self) -> bool:
        return self.valid

    def is_current(self, incarnation: runs.IncarnationKey) -> bool:
        return incarnation == KEY

    def wants_start(
        self, incarnation: runs.IncarnationKey, key: runs.RunKey
    ) -> bool:
        raise NotImplementedError

    def lease_until_s(self) -> float:
        raise NotImplementedError

    async def poll(self, wait_s: float) -> bool:
        raise NotImplementedError

    def wake_report(self) -> None:
        raise NotImplementedError

    def wake_poll(self) -> None:
        raise NotImplementedError


def _percents(
    connection: _Connection,
    orders: list[int],
    *,
    agent: _Agent | None = None,
    started: bool = True,
) -> list[int]:
    """Orders one share after the other, 1 s apart; returns those called."""
    agent = agent or _Agent()
    known = started_runs.StartedRuns()
    if started:
        known.on_started(RUN)

    async def main() -> None:
        carrier = run_orders.RunOrders(
            agent,
            runner=runner_lib.Runner(lambda: connection),  # type: ignore[arg-type]
            clock=trio_clock.TrioClock(),
            started=known,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(carrier.run)
            await trio.sleep(0.1)
            for percent in orders:
                pace = runs.PaceOrder(RUN, percent)
                carrier.act_on(runs.Instructions(KEY, paces=(pace,)), ())
                await trio.sleep(1.0)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return [body["percent"] for body in connection.bodies]


def test_a_share_is_called_once_with_the_token() -> None:
    connection = _Connection([200])
    assert _percents(connection, [100, 50, 50, 20, 100]) == [50, 20, 100]
    assert connection.bodies[0] == {
        "task": RUN.task,
        "run": RUN.run,
        "percent": 50,
        "fencingToken": 7,
    }


# Guards against a serving task that stays harmed because one call was lost.
def test_a_call_is_repeated_until_it_is_answered() -> None:
    lost = http_client.Failure.NO_ANSWER
    connection = _Connection([lost, lost, 503, 200])
    assert _percents(connection, [50, 50]) == [50] * 4


# Guards against a run that keeps the share that an earlier agent has set.
def test_the_share_of_a_run_that_another_agent_started_is_set() -> None:
    assert _percents(_Connection([200]), [100, 100], started=False) == [100]


# Guards against endless calls to workers that don't limit work, or about runs
# that have ended.
@pytest.mark.parametrize("status", [400, 404])
def test_a_rejected_call_is_not_repeated(status: int) -> None:
    assert _percents(_Connection([status]), [50, 50]) == [50]


# Guards against calls on behalf of a scheduler that has been replaced.
def test_a_call_with_an_outdated_token_waits_for_new_orders() -> None:
    assert _percents(_Connection([409]), [50]) == [50]


def test_a_repeated_call_has_the_newest_token() -> None:
    agent = _Agent()
    connection = _Connection([http_client.Failure.NO_ANSWER, 200])

    def take_newer_orders() -> None:
        agent.token = 8

    connection.on_call = take_newer_orders
    _percents(connection, [50], agent=agent)
    assert [body["fencingToken"] for body in connection.bodies] == [7, 8]


# Guards against calls without valid orders, as while the agent is cut off.
def test_no_call_is_repeated_without_valid_orders() -> None:
    agent = _Agent()
    connection = _Connection([http_client.Failure.NO_ANSWER])

    def lose_orders() -> None:
        agent.valid = False

    connection.on_call = lose_orders
    assert _percents(connection, [50], agent=agent) == [50]


class _EarlierInstructions(msgspec.Struct, frozen=True, array_like=True):
    """Orders as versions without paces send and read them."""

    incarnation: runs.IncarnationKey
    acknowledged_end: int = 0
    starts: tuple[runs.StartOrder, ...] = ()
    stops: tuple[runs.RunKey, ...] = ()


# Guards against orders that an agent and a scheduler of different versions
# can't exchange.
def test_orders_are_read_by_earlier_versions_and_the_reverse() -> None:
    orders = runs.Instructions(
        KEY, 3, stops=(RUN,), paces=(runs.PaceOrder(RUN, 50),)
    )
    earlier = _EarlierInstructions(KEY, 3, stops=(RUN,))
    encoded = msgspec.msgpack.encode(orders)
    assert msgspec.msgpack.decode(encoded, type=_EarlierInstructions) == earlier
    encoded = msgspec.msgpack.encode(earlier)
    received = msgspec.msgpack.decode(encoded, type=runs.Instructions)
    assert received == runs.Instructions(KEY, 3, stops=(RUN,))


# Guards against orders that grow where no task uses spare CPU.
def test_only_runs_that_use_spare_cpu_have_a_pace() -> None:
    harness = engine_harness.EngineHarness(1)
    started = engine_harness.started(
        harness.submit(engine_harness.job("a" * 16))
    )
    keys = [key for _, key in started]
    orders = harness.observe(0, running=engine_harness.running(*keys))
    assert orders.paces == ()
