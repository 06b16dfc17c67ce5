"""An engine with scripted agents, for tests of scheduling."""

from __future__ import annotations

from typing import Any

from pimentobridge.core import clock as clock_lib
from pimentobridge.core import contained_error
from pimentobridge.core import types
from pimentobridge.core.jobs import configuration
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import engine as engine_lib
from pimentobridge.core.scheduling import occurrences
from pimentobridge.core.scheduling import orders as orders_lib
from pimentobridge.core.scheduling import planner as planner_lib

MAX_LEASE_S = 6.0
SERVICE = "plans"
GPU = model.Resources(1000, 1000, 1)
WORKER = model.Resources(16_000, 16_000, 8)


def queue(priority: int = 1, attempts: int = 2) -> configuration.Queue:
    """Returns a queue of a priority."""
    return configuration.Queue(
        name=f"queue-{priority}",
        hostname="host",
        prefix="/",
        service=SERVICE,
        priority=priority,
        max_attempts=attempts,
        stretch=2.0,
        objective_s=1.0,
        timeout_s=3.0,
    )


def job(
    name: str = "a" * 16,
    *steps: model.Step,
    priority: int = 1,
    account: str = "shop",
    **fields: Any,
) -> model.Job:
    """Returns a job; of one task with one accelerator if no step is given."""
    return model.Job(
        id=types.JobId(name),
        queue=queue(priority),
        account=types.AccountName(account),
        spec="spec",
        steps=steps or (model.Step(1, GPU, 5.0),),
        submitted_ms=0,
        **fields,
    )


class EngineHarness:
    """An engine with simulated agents, whose reports the test supplies.

    The account "shop" has a guarantee of 8 accelerators, one whole worker.
    """

    def __init__(self, workers: int = 2) -> None:
        self.clock = clock_lib.ManualClock(100.0)
        self.revision = 0
        self.engine = self.new_engine()
        self.incarnations = [
            self.incarnation(number) for number in range(workers)
        ]
        self.observe_all()

    def new_engine(self) -> engine_lib.Engine:
        """Returns an engine without jobs and workers, as at a new term."""
        self.logged_events: list[str] = []
        engine = engine_lib.Engine(
            clock=self.clock,
            max_lease_s=MAX_LEASE_S,
            log=lambda message, **_: self.logged_events.append(message),
        )
        engine.configuration = configuration.JobConfiguration(
            version=1,
            queues_by_name={},
            services_by_name={},
            accounts_by_name={
                types.AccountName("shop"): configuration.ClientAccount(
                    types.AccountName("shop"), frozenset(), 8
                )
            },
            max_body_bytes=1000,
        )
        return engine

    def incarnation(
        self, number: int, started_ms: int = 1
    ) -> runs.WorkerIncarnation:
        """Returns what a worker says of one of its incarnations."""
        return runs.WorkerIncarnation(
            key=runs.IncarnationKey(types.WorkerId(f"w{number}"), started_ms),
            service=SERVICE,
            data_centre=types.DataCentreName("dc"),
            rack=types.RackName(f"rack-{number // 2}"),
            labels=("a", f"rack-{number // 2}"),
            capacity=WORKER,
        )

    def observe(self, number: int, **lists: Any) -> runs.Instructions:
        """Reports on a worker; returns the orders for it."""
        self.engine.observe(
            types.Address(f"agent-{number}"),
            runs.Observation(self.incarnations[number], **lists),
        )
        key = self.incarnations[number].key
        worker = self.engine.workers_by_incarnation.get(key)
        if worker is None:
            return runs.Instructions(key)
        return orders_lib.instructions_for(worker, self.engine.jobs_by_id)

    def observe_all(self) -> list[runs.Instructions]:
        """Reports on each worker without any run; returns the orders."""
        return [
            self.observe(number) for number in range(len(self.incarnations))
        ]

    def plan(self) -> None:
        """Runs what precedes a scheduling pass, and the pass."""
        self.engine.declare_lost()
        occurrences.open_due(self.engine, early_s=0.25, clock=self.clock)
        planner_lib.Planner(
            self.engine,
            clock=self.clock,
            log=lambda message, **_: self.logged_events.append(message),
            contain=contained_error.not_contained,
        ).run()

    def jobs_being_stopped(self) -> set[str]:
        """Returns the ids of the jobs with runs that are to be stopped."""
        return {
            str(entry.tracked.id)
            for worker in self.engine.workers_by_incarnation.values()
            for entry in worker.entries_by_key.values()
            if entry.stop_requested
        }

    def record(self) -> None:
        """Marks all changes as recorded in the store."""
        for tracked in list(self.engine.dirty_by_id.values()):
            self.revision += 1
            self.engine.on_recorded(tracked.id, tracked.changes, self.revision)

    def submit(self, *jobs: model.Job) -> list[runs.Instructions]:
        """Adds jobs, runs a pass, records it and returns the orders."""
        for submission in jobs:
            self.engine.put_job(submission)
        self.plan()
        self.record()
        return self.observe_all()


def started(
    orders: list[runs.Instructions],
) -> list[tuple[int, runs.RunKey]]:
    """Returns the worker and the run of each start in the orders."""
    return [
        (number, start.key)
        for number, instructions in enumerate(orders)
        for start in instructions.all_starts
    ]


def running(*keys: runs.RunKey) -> tuple[runs.RunningTask, ...]:
    """Returns listings of runs that have made some progress."""
    return tuple(runs.RunningTask(key, "", 10) for key in keys)


def just_started(*keys: runs.RunKey) -> tuple[runs.RunningTask, ...]:
    """Returns listings of runs without progress."""
    return tuple(runs.RunningTask(key, "", 0) for key in keys)


def ended(
    key: runs.RunKey, cause: runs.EndCause, number: int = 1
) -> tuple[runs.EndedRun, ...]:
    """Returns a listing of the end of one run."""
    return (runs.EndedRun(number, key, cause, ""),)
