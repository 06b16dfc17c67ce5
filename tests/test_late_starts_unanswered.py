"""A worker whose next incarnation confirms no stop of a late start."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import trio

from pimentobridge.bench import harness
from pimentobridge.core.jobs import runs
from pimentobridge.daemons import late_starts
from pimentobridge.lab import faulty_client
from pimentobridge.lab import world as world_lib
from pimentobridge.platform import http_client

if TYPE_CHECKING:
    import pytest

RUN = runs.RunKey("a" * 16 + ".0.0.0", 1)
STOP_PATH = "/v1/run-stop"


async def _is_reported_at_last(monkeypatch: pytest.MonkeyPatch) -> bool:
    """Returns whether the worker is known long after no start can come late."""
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
        call_normally = faulty_client.FaultyClient.call

        async def call(
            self: Any, method: str, path: str, **arguments: Any
        ) -> http_client.Answer | http_client.Failure:
            if path == STOP_PATH:
                await trio.sleep(arguments["timeout_s"])
                return http_client.Failure.TIMED_OUT
            return await call_normally(self, method, path, **arguments)

        monkeypatch.setattr(faulty_client.FaultyClient, "call", call)
        agent._orders._late_starts.add(
            host.runner.worker, RUN, agent._clock.monotonic()
        )
        host.runner.crash()
        host.runner = host._new_runner(host.runner.worker)
        await trio.sleep(4.0)
        assert agent.view.may_start_late == {RUN}
        await trio.sleep(2 * late_starts.MAX_LATENESS_S)
        assert agent.worker is not None
        assert agent.worker.key.started_ms == host.runner.started_ms
        reported = not agent.view.may_start_late
        nursery.cancel_scope.cancel()
    return reported


# LOST (issue 38): after `MAX_LATENESS_S` nothing can start late any more, but
# the worker is held out of use until a stop is answered.
def test_a_worker_is_reported_once_no_start_can_come_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert harness.run_virtual(_is_reported_at_last, monkeypatch)
