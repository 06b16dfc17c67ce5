"""An unexpected error in one message or pass must not end a process."""

from __future__ import annotations

import random

import pytest
import trio

from pimentobridge.bench import harness
from pimentobridge.core.scheduling import engine
from pimentobridge.core.scheduling import planner
from pimentobridge.daemons import scheduling
from pimentobridge.lab import callers
from pimentobridge.lab import world as world_lib

JOB = "a" * 16
BODY = (
    b'{"spec": "{\\"seconds\\": 1.0, \\"request\\": [1000, 1000, 1],'
    b' \\"gang\\": 0, \\"failing_runs\\": 0, \\"checkpointing\\": false}",'
    b' "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1,'
    b' "estimateMs": 1000}]}'
)
WARM_UP_S = 3.0
ENOUGH_S = 8.0


async def _state_of_a_job(
    wait_s: float = 0.0,
) -> tuple[bytes, list[bool], int]:
    """Returns a job's state, whether each process goes on, and the starts.

    Args:
        wait_s: how much longer than usual to wait for the state, in seconds.
    """
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=2, workers=1
        )
        world.put_configuration()
        world.start()
        await trio.sleep(WARM_UP_S)
        before = [host.entry for host in world.entries]
        call = callers.make_call(world, "shop")
        status, _ = await call("POST", f"/queue-1/{JOB}", BODY)
        assert status == 200
        await trio.sleep(ENOUGH_S + wait_s)
        _, answer = await call("GET", f"/queue-1/{JOB}", b"")
        after = [host.entry for host in world.entries]
        nursery.cancel_scope.cancel()
    same = [first is last for first, last in zip(before, after, strict=True)]
    return answer, same, world.checker.started


class _FailsOnce:
    """Wraps a method that raises an unexpected error once, at its call."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._monkeypatch = monkeypatch
        self.raised = 0

    def patch(self, owner: type, name: str) -> None:
        """Replaces the method of a class."""
        method = getattr(owner, name)

        def wrapped(*args: object, **fields: object) -> object:
            if not self.raised and trio.current_time() > WARM_UP_S:
                self.raised += 1
                raise KeyError("unexpected")
            return method(*args, **fields)

        self._monkeypatch.setattr(owner, name, wrapped)


@pytest.mark.parametrize(
    ("owner", "name"),
    [(planner.Planner, "run"), (engine.Engine, "observe")],
    ids=["pass", "report"],
)
def test_the_system_goes_on_after_an_unexpected_error(
    owner: type, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    failure = _FailsOnce(monkeypatch)
    failure.patch(owner, name)
    answer, same_processes, _ = harness.run_virtual(_state_of_a_job, seed=1)
    assert failure.raised == 1
    assert same_processes == [True, True]
    assert answer == b'{"state":"completed"}'


# Guards against work that is run twice: an end whose processing failed stays
# with the worker until the next scheduler records it.
def test_an_end_that_could_not_be_processed_is_read_by_the_next_scheduler(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    failure = _FailsOnce(monkeypatch)
    failure.patch(engine.Engine, "_on_end")
    answer, same_processes, started = harness.run_virtual(
        lambda: _state_of_a_job(wait_s=scheduling.MIN_TERM_S), seed=1
    )
    assert failure.raised == 1
    assert same_processes == [True, True]
    assert answer == b'{"state":"completed"}'
    assert started == 1
