"""Tests steps that only workers allowed by an external policy may run."""

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
from pimentobridge.lab import operator_documents
from pimentobridge.lab import world as world_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

POLICY = configuration.AdvicePolicy(0.05, 0.005, 3.0)
STEP = advice.StepName(types.JobId("a" * 16), 0, 0)
WORKER = model.Resources(16_000, 16_000, 8)


def make_submission(number: int, *, count: int = 1) -> checkers.SubmittedJob:
    spec = {"seconds": 1.0, "request": [1, 1, 1], "advised": True}
    step = {"count": count, "cpu": 1, "memMb": 1, "gpu": 1, "estimateMs": 1000}
    return checkers.SubmittedJob(
        id=f"{number:016x}",
        spec=json.dumps(spec),
        steps=[step],
        max_attempts=operator_documents.MAX_ATTEMPTS,
    )


def run_world(
    script: Callable[[world_lib.World], Awaitable[None]], *, jobs: int
) -> world_lib.World:
    """Submits jobs to a queue with a policy and runs until they have ended.

    The script runs beside them, to inject faults.
    """

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
                    job = make_submission(number, count=4)
                    caller = callers.Caller(
                        callers.make_call(
                            world, operator_documents.ACCOUNTS[0]
                        ),
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


def final_states(world: world_lib.World) -> set[str]:
    return {
        job.observed_states[-1][1] for job in world.checker.jobs_by_id.values()
    }


async def _no_faults(_: world_lib.World) -> None:
    """Injects no faults."""


def test_only_workers_allowed_by_the_policy_run_a_step() -> None:
    world = run_world(_no_faults, jobs=4)
    assert final_states(world) == {"completed"}
    assert world.pool.ticket_rejections == 0
    assert world.checker.finish() == []


def test_jobs_wait_while_the_policy_is_unavailable() -> None:
    async def script(world: world_lib.World) -> None:
        world.advice_faults.outage = faulty_client.OutageMode.SILENT
        await trio.sleep(5.0)
        assert world.checker.started == 0
        world.advice_faults.outage = None

    world = run_world(script, jobs=2)
    assert final_states(world) == {"completed"}


def test_a_new_ticket_is_requested_after_a_refused_start() -> None:
    async def script(world: world_lib.World) -> None:
        # Orders reach the workers only after their tickets have expired.
        world.runner_faults.delay_factor = (
            1.2 * world.advice.validity_s / world_lib.RUNNER_CALL_S
        )
        await trio.sleep(8.0)
        world.runner_faults.delay_factor = 1.0

    world = run_world(script, jobs=2)
    assert world.pool.ticket_rejections > 0
    assert final_states(world) == {"completed"}


class AdviceFixture:
    """An advice cache and workers, of which the last `full` are fully used."""

    def __init__(self, workers: int, *, full: int = 0) -> None:
        self.cache = advice.AdviceCache()
        self.workers = [self._worker(number) for number in range(workers)]
        for worker in self.workers[workers - full :]:
            worker.used = WORKER
        self.free_by_key = {worker.key: worker.free for worker in self.workers}
        self.demand = placement.Demand(
            model.Step(1, model.Resources(1000, 1000, 1), 5.0), 1, "plans"
        )

    def _worker(self, number: int) -> fleet.TrackedWorker:
        key = runs.IncarnationKey(types.WorkerId(f"w{number:03}"), 1)
        incarnation = runs.WorkerIncarnation(
            key=key,
            service="plans",
            data_centre=types.DataCentreName("dc"),
            rack=types.RackName("rack"),
            labels=(),
            capacity=WORKER,
        )
        return fleet.TrackedWorker(key, 0.0, incarnation=incarnation)

    def question(
        self, now_s: float, *, any_worker: bool = False
    ) -> advice.Question | None:
        """Returns the question of a new scheduling pass, if it has one."""
        self.cache.start_pass()
        free_by_key = None if any_worker else self.free_by_key
        self.cache.enqueue(STEP, self.demand, POLICY, free_by_key=free_by_key)
        return self.cache.next_question(self.workers, now_s)

    def answer(self, question: advice.Question, allowed: int) -> Any:
        """Allows only the first `allowed` of the workers in the question."""
        tickets = {
            incarnation.worker: "t"
            for incarnation in question.incarnations[:allowed]
        }
        self.cache.on_answer(question, advice.Answer(tickets, 3.0), 0.0)


def test_a_question_names_no_more_workers_than_the_limit() -> None:
    question = AdviceFixture(100).question(0.0)
    assert question is not None
    assert len(question.incarnations) == advice.MAX_WORKERS_PER_QUESTION


def test_a_denied_worker_is_not_asked_about_again() -> None:
    fixture = AdviceFixture(3)
    first = fixture.question(0.0)
    assert first is not None
    fixture.answer(first, 1)
    assert fixture.question(1.0) is None
    later = fixture.question(10.0)
    assert later is not None
    assert later.incarnations == first.incarnations[:1]


def test_full_workers_are_asked_about_only_for_urgent_steps() -> None:
    fixture = AdviceFixture(4, full=3)
    question = fixture.question(0.0)
    assert question is not None
    assert len(question.incarnations) == 1
    urgent = fixture.question(0.0, any_worker=True)
    assert urgent is not None
    assert len(urgent.incarnations) == 4


def test_a_ticket_is_not_used_shortly_before_its_expiry() -> None:
    fixture = AdviceFixture(1)
    question = fixture.question(0.0)
    assert question is not None
    fixture.answer(question, 1)
    assert fixture.cache.tickets(STEP, 2.0)
    assert not fixture.cache.tickets(STEP, 3.0 - advice.START_MARGIN_S)


def test_a_ticket_that_a_worker_refused_is_not_used_again() -> None:
    fixture = AdviceFixture(1)
    question = fixture.question(0.0)
    assert question is not None
    fixture.answer(question, 1)
    assert fixture.question(0.1) is None
    fixture.cache.drop_ticket(STEP, question.incarnations[0])
    assert not fixture.cache.tickets(STEP, 0.1)
    assert fixture.question(0.1) == question
