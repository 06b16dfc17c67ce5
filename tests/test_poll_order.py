"""Answers to polls that the worker gave in the same millisecond."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from pimentobridge.bench import harness
from pimentobridge.core.jobs import runs
from pimentobridge.lab import world as world_lib
from pimentobridge.platform import runner_status

if TYPE_CHECKING:
    import pytest

RUN = runs.RunKey("a.0.0.0", 1)
CLOCK_S = 1000.0
STARTED = runner_status.RunnerStatus(
    clock_s=CLOCK_S, running=(runs.RunningTask(RUN, "", 0),), ended=()
)
NOT_STARTED = runner_status.RunnerStatus(clock_s=CLOCK_S, running=(), ended=())
ENDED = runner_status.RunnerStatus(
    clock_s=CLOCK_S,
    running=(),
    ended=(runs.EndedRun(1, RUN, runs.EndCause.DONE, ""),),
)


async def _observation_after(
    monkeypatch: pytest.MonkeyPatch,
    before_stop: runner_status.RunnerStatus,
    after_stop: runner_status.RunnerStatus,
) -> runs.Observation:
    """Returns the report after two polls that were answered at one time.

    Args:
        before_stop: answer to a poll that was sent before a stop. It arrives
            last.
        after_stop: answer to the poll that follows the accepted stop.
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
        answers: list[tuple[float, runner_status.RunnerStatus]] = []

        async def poll(
            *_: object, **_arguments: object
        ) -> runner_status.RunnerStatus:
            if not answers:
                await trio.sleep_forever()
            delay_s, answer = answers.pop(0)
            await trio.sleep(delay_s)
            return answer

        monkeypatch.setattr(agent._runner, "poll", poll)
        # No orders arrive meanwhile, which could end the wait for an answer.
        monkeypatch.setattr(agent, "_on_orders", lambda _: None)
        await trio.sleep(1.0)
        incarnation = agent.worker
        assert incarnation is not None
        answers[:] = [(0.2, before_stop), (0.1, after_stop)]
        async with trio.open_nursery() as polls:
            polls.start_soon(agent.poll, 0.0)
            await trio.sleep(0.05)
            polls.start_soon(agent._orders._on_refused, incarnation.key, RUN)
        observation = agent.view.observation(
            incarnation, crashes=(), agent_state=runs.AgentState.SERVING
        )
        nursery.cancel_scope.cancel()
    return observation


# TWICE (issue 38): the list in a report may be older than the refusal. One that
# shows the run at work holds the refusal back until the run's end is listed.
def test_a_refusal_is_reported_with_no_list_from_before_the_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    observation = harness.run_virtual(
        _observation_after, monkeypatch, NOT_STARTED, STARTED
    )
    assert [task.key for task in observation.running] == [RUN]
    assert observation.refused == ()


# Seen in lw-c-grown-1: a run that had ended was listed again within 1 ms.
def test_an_end_is_not_forgotten_for_an_older_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    observation = harness.run_virtual(
        _observation_after, monkeypatch, STARTED, ENDED
    )
    assert [end.key for end in observation.ended] == [RUN]
    assert observation.refused == (RUN,)
