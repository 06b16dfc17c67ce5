"""The end of the lease that an agent asks for, against the orders' validity."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import trio

from pimentobridge.bench import harness
from pimentobridge.core.scheduling import engine
from pimentobridge.daemons import worker_agent
from pimentobridge.daemons import worker_view
from pimentobridge.lab import machines
from pimentobridge.lab import world as world_lib
from pimentobridge.platform import runner_status

if TYPE_CHECKING:
    import pytest

PAUSE_S = 8.0


def _reply(clock_s: float) -> runner_status.RunnerStatus:
    return runner_status.RunnerStatus(clock_s=clock_s, running=(), ended=())


# Guards against TWICE (issue 38): the lease of a start that is carried out late
# ran longer than the scheduler waits, if the worker's clock was slow and no
# poll had been answered for a time.
def test_a_slow_clock_of_the_worker_does_not_lengthen_the_lease() -> None:
    view = worker_view.WorkerView(machines.MAX_LEASE_S)
    view.apply(_reply(clock_s=100.0), now_s=1000.0, sent_s=1000.0)
    unanswered_s = 60.0
    worker_clock_s = 100.0 + unanswered_s * (1 - engine.CLOCK_RATE_ERROR)
    assert (
        view.lease_until_s(1000.0 + unanswered_s)
        <= worker_clock_s + machines.MAX_LEASE_S
    )


async def _pause_before_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> tuple[float, float]:
    """Pauses an agent just after it has found its orders valid.

    Returns:
        The end of the lease that it asks for, and the end of the longest one
        by these orders, both on the worker's clock.
    """
    asked_s: list[float] = []
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=1, workers=1
        )
        world.put_configuration()
        world.start()
        await trio.sleep(4.0)
        host = world.workers[0]
        agent = host.agent
        assert agent is not None
        clock = agent._clock  # noqa: SLF001
        may_act = worker_agent.WorkerAgent.may_act
        offset_s = 0.0

        class PausingClock:
            def monotonic(self) -> float:
                return clock.monotonic() + offset_s

            def __getattr__(self, name: str) -> Any:
                return getattr(clock, name)

        def pause_after(self: worker_agent.WorkerAgent) -> bool:
            nonlocal offset_s
            valid = may_act(self)
            if valid:
                offset_s = PAUSE_S
            return valid

        async def poll(*_: object, **arguments: Any) -> object:
            if arguments["lease_until_s"] is not None:
                asked_s.append(arguments["lease_until_s"])
            return runner_status.PollFailure.TIMED_OUT

        monkeypatch.setattr(agent, "_clock", PausingClock())
        monkeypatch.setattr(worker_agent.WorkerAgent, "may_act", pause_after)
        monkeypatch.setattr(agent._runner, "poll", poll)  # noqa: SLF001
        worker_clock_s = host.runner.clock_s
        answered_ago_s = clock.monotonic() - agent._answered_s  # noqa: SLF001
        await agent.poll(0.0)
        nursery.cancel_scope.cancel()
    longest_s = (
        worker_clock_s
        - answered_ago_s
        + engine.ORDER_VALIDITY_S
        + machines.MAX_LEASE_S
    )
    return asked_s[0], longest_s


# Guards against TWICE (issue 38): a pause between the look at the orders' age
# and the computation of the lease lengthened the lease by the pause.
def test_a_pause_does_not_lengthen_the_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    asked_s, longest_s = harness.run_virtual(_pause_before_lease, monkeypatch)
    assert asked_s <= longest_s
