"""Steps that only some workers may run, by the word of an outside policy."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING
from typing import Any

import trio

from pimentobridge.bench import harness
from pimentobridge.core import types
from pimentobridge.core.jobs import configuration
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import advice
from pimentobridge.core.scheduling import fleet
from pimentobridge.core.scheduling import placement
from pimentobridge.lab import callers
from pimentobridge.lab import checkers
from pimentobridge.lab import faulty_client
from pimentobridge.lab import world as world_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

POLICY = configuration.Advice(0.05, 0.005, 3.0)
STEP = advice.StepName(types.JobId("a" * 16), 0, 0)
WORKER = model.Resources(16_000, 16_000, 8)


def submitted(number: int, *, count: int = 1) -> checkers.SubmittedJob:
    spec = {"seconds": 1.0, "request": [1, 1, 1], "advised": True}
    step = {"count": count, "cpu": 1, "memMb": 1, "gpu": 1, "estimateMs": 1000}
    return checkers.SubmittedJob(
        id=f"{number:016x}",
        spec=json.dumps(spec),
        steps=[step],
        max_attempts=world_lib.MAX_ATTEMPTS,
    )


def play(
    script: Callable[[world_lib.World], Awaitable[None]], *, jobs: int
) -> world_lib.World:
    """Hands jobs to an advised queue, and plays until they have ended."""

    async def main() -> world_lib.World:
        async with trio.open_nursery() as nursery:
            world = world_lib.World(
                rng=random.Random(1),
                nursery=nursery,
                entries=2,
                workers=6,
                advised=(1,),
            )
            world.put_configuration()
            world.start()
            await trio.sleep(3.0)
            async with trio.open_nursery() as traffic:
                for number in range(jobs):
                    job = submitted(number, count=4)
                    caller = callers.Caller(
                        callers.make_call(world, world_lib.ACCOUNTS[0]),
                        world.checker,
                        job,
                        path=f"/queue-1/{job.id}",
                        cancels_after_s=None,
                        until_s=trio.current_time() + 60.0,
                    )
                    traffic.start_soon(caller.run)
                traffic.start_soon(script, world)
            nursery.cancel_scope.cancel()
        return world

    world: world_lib.World = harness.run_virtual(main)
    return world


def states(world: world_lib.World) -> set[str]:
    return {
        job.observed_states[-1][1] for job in world.checker.jobs_by_id.values()
    }


async def _nothing(_: world_lib.World) -> None:
    """Lets a calm day pass."""


def test_only_allowed_workers_run_a_step() -> None:
    world = play(_nothing, jobs=4)
    assert states(world) == {"completed"}
    assert world.pool.ticket_rejections == 0
    assert world.checker.finish() == []


def test_jobs_wait_for_a_policy_that_is_away() -> None:
    async def script(world: world_lib.World) -> None:
        world.advice_faults.outage = faulty_client.OutageMode.SILENT
        await trio.sleep(5.0)
        assert world.checker.started == 0
        world.advice_faults.outage = None

    world = play(script, jobs=2)
    assert states(world) == {"completed"}


def test_a_ticket_of_a_refused_start_is_asked_for_again() -> None:
    async def script(world: world_lib.World) -> None:
        # Orders reach the workers after the tickets have lapsed.
        world.runner_faults.delay_factor = (
            1.2 * world.advice.validity_s / world_lib.RUNNER_CALL_S
        )
        await trio.sleep(8.0)
        world.runner_faults.delay_factor = 1.0

    world = play(script, jobs=2)
    assert world.pool.ticket_rejections > 0
    assert states(world) == {"completed"}


class Book:
    """An advice book beside workers of which the last ones are full."""

    def __init__(self, workers: int, *, full: int = 0) -> None:
        self.book = advice.AdviceBook()
        self.workers = [self._worker(number) for number in range(workers)]
        for worker in self.workers[workers - full :]:
            worker.used = WORKER
        self.rooms = {worker.key: worker.free for worker in self.workers}
        self.demand = placement.Demand(
            model.Step(1, model.Resources(1000, 1000, 1), 5.0), 1, "plans"
        )

    def _worker(self, number: int) -> fleet.TrackedWorker:
        key = runs.LifeKey(types.WorkerId(f"w{number:03}"), 1)
        life = runs.WorkerLife(
            key=key,
            service="plans",
            data_centre=types.DataCentreName("dc"),
            rack=types.RackName("rack"),
            labels=(),
            capacity=WORKER,
        )
        return fleet.TrackedWorker(key, 0.0, life=life)

    def question(
        self, now_s: float, *, anywhere: bool = False
    ) -> advice.Question | None:
        self.book.start_pass()
        rooms = None if anywhere else self.rooms
        self.book.want(STEP, self.demand, POLICY, rooms=rooms)
        return self.book.next_question(self.workers, now_s)

    def answer(self, question: advice.Question, allowed: int) -> Any:
        tickets = {life.worker: "t" for life in question.lives[:allowed]}
        self.book.on_answer(question, advice.Answer(tickets, 3.0), 0.0)


def test_no_call_names_more_workers_than_the_limit() -> None:
    question = Book(100).question(0.0)
    assert question is not None
    assert len(question.lives) == advice.MAX_ASKED


def test_a_denied_worker_is_not_asked_about_again() -> None:
    book = Book(3)
    first = book.question(0.0)
    assert first is not None
    book.answer(first, 1)
    assert book.question(1.0) is None
    later = book.question(10.0)
    assert later is not None
    assert later.lives == first.lives[:1]


def test_full_workers_are_asked_about_only_for_urgent_steps() -> None:
    book = Book(4, full=3)
    question = book.question(0.0)
    assert question is not None
    assert len(question.lives) == 1
    urgent = book.question(0.0, anywhere=True)
    assert urgent is not None
    assert len(urgent.lives) == 4


def test_a_ticket_is_used_only_while_a_start_arrives_in_time() -> None:
    book = Book(1)
    question = book.question(0.0)
    assert question is not None
    book.answer(question, 1)
    assert book.book.tickets(STEP, 2.0)
    assert not book.book.tickets(STEP, 3.0 - advice.START_MARGIN_S)


def test_a_ticket_that_a_worker_refused_is_not_used_again() -> None:
    book = Book(1)
    question = book.question(0.0)
    assert question is not None
    book.answer(question, 1)
    assert book.question(0.1) is None
    book.book.drop_ticket(STEP, question.lives[0])
    assert not book.book.tickets(STEP, 0.1)
    assert book.question(0.1) == question
