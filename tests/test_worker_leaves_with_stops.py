"""A worker that leaves and closes its port while its runs are being stopped."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from pimentobridge.bench import harness
from pimentobridge.core.jobs import runs
from pimentobridge.daemons import worker_contact
from pimentobridge.lab import world as world_lib
from pimentobridge.platform import runner as runner_lib
from pimentobridge.platform import runner_status

if TYPE_CHECKING:
    from typing import Any

    import pytest

RUNS = 12


async def _found_ended_after_s(monkeypatch: pytest.MonkeyPatch) -> float:
    """Returns how long a worker refuses connections before it counts as ended.

    It accepts the stops of its runs, and then no connection any more. Its
    answers to the stops are under way when the first poll is refused.
    """
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=1, workers=1
        )
        world.put_configuration()
        world.start()
        await trio.sleep(4.0)
        agent = world.workers[0].agent
        assert agent is not None
        monkeypatch.setattr(agent, "_on_orders", lambda _: None)

        async def refuse(*_: Any, **__: Any) -> runner_status.PollFailure:
            await trio.sleep(0.001)
            return runner_status.PollFailure.REFUSED

        async def stop(*_: Any, **__: Any) -> runner_lib.StopResult:
            await trio.sleep(0.001)
            return runner_lib.StopResult.STOPPED

        monkeypatch.setattr(agent._runner, "poll", refuse)
        monkeypatch.setattr(agent._runner, "stop", stop)
        agent.view.contact.deregistered = True
        while not agent.view.contact.refused_pauses:
            await trio.sleep(0.01)
        began_s = trio.current_time()
        for number in range(RUNS):
            nursery.start_soon(
                agent._orders._stop_run, runs.RunKey(f"a.0.0.{number}", 1)
            )
        while not agent.view.contact.ended:
            await trio.sleep(0.01)
        taken_s = trio.current_time() - began_s
        nursery.cancel_scope.cancel()
    return taken_s


# TWICE (issue 38): each poll after an accepted stop counts like 0.1 s.
def test_a_worker_that_is_stopping_its_runs_has_not_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    taken_s = harness.run_virtual(_found_ended_after_s, monkeypatch)
    assert taken_s > worker_contact.REFUSAL_S
