"""Which of an agent's reports the scheduler believes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from pimentobridge.core import clock as clock_lib
from pimentobridge.core import types
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.daemons import scheduling
from pimentobridge.daemons import stored_jobs
from pimentobridge.platform import boot_settings
from pimentobridge.protocol import control
from pimentobridge.testing import engine_harness

if TYPE_CHECKING:
    from pimentobridge.protocol import messages

TOKEN = 7
AGENT = types.Address("tcp://agent:7000")
NOW_S = 100.0
# The time of day was set back between the starts of these incarnations.
EARLIER = runs.IncarnationKey(types.WorkerId("i-1"), 2000)
PRESENT = runs.IncarnationKey(types.WorkerId("i-1"), 1000)
FOLLOWING = runs.IncarnationKey(types.WorkerId("i-1"), 500)


class Leader:
    """The leader's key, held for ever."""

    token = TOKEN
    is_leader = True

    def step_down(self, reason: str) -> None:
        raise AssertionError


class Outbox:
    """Keeps the orders that are sent."""

    def __init__(self) -> None:
        self.sent: list[control.WorkerOrders] = []

    def send(self, receiver: types.Address, message: messages.Message) -> None:
        assert receiver == AGENT
        assert isinstance(message, control.WorkerOrders)
        self.sent.append(message)

    def reset(self, receiver: types.Address) -> None:
        pass


def _new_scheduler(outbox: Outbox) -> scheduling.Scheduler:
    unused: Any = None
    fakes: dict[str, Any] = {"endpoint": outbox, "leadership": Leader()}
    return scheduling.Scheduler(
        address=types.Address("tcp://entry:7000"),
        clock=clock_lib.ManualClock(NOW_S),
        store=unused,
        settings=boot_settings.ProcessSettings(
            node=types.NodeId("entry"),
            ip="entry",
            data_centre=types.DataCentreName("dc"),
            region=types.RegionName("region"),
            internal_ports=(7000, 7015),
            store="store",
            max_lease_s=engine_harness.MAX_LEASE_S,
        ),
        entries=lambda: (),
        items_by_key={},
        policy_service=None,
        stored_jobs=stored_jobs.StoredJobs(
            clock_lib.ManualClock(NOW_S), max_value_bytes=1024
        ),
        **fakes,
    )


def _report(
    process: str,
    sent_s: float,
    incarnation: runs.IncarnationKey | None = None,
    *,
    answered_s: float = 0.0,
) -> control.WorkerReport:
    observation = None
    if incarnation is not None:
        observation = runs.Observation(
            runs.WorkerIncarnation(
                key=incarnation,
                service=engine_harness.SERVICE,
                data_centre=types.DataCentreName("dc"),
                rack=types.RackName("rack"),
                labels=(),
                capacity=engine_harness.WORKER,
            )
        )
    return control.WorkerReport(
        agent=AGENT,
        process=process,
        token=TOKEN if incarnation is not None else 0,
        sent_s=sent_s,
        answered_s=answered_s,
        worker=observation,
    )


def _put_run_on(
    scheduler: scheduling.Scheduler, incarnation: runs.IncarnationKey
) -> progress_lib.Unit:
    """Adds a job with a recorded run on an incarnation."""
    placement = progress_lib.Placement(
        incarnation.worker, incarnation.started_ms, AGENT
    )
    job = engine_harness.job()
    progress = progress_lib.Progress(
        progress_lib.JobState.RUNNING,
        {0: progress_lib.new_occurrence(job)},
    )
    _, _, unit = next(progress.units())
    unit.run, unit.status = 1, progress_lib.UnitStatus.ACTIVE
    unit.placements = [placement]
    scheduler.put_job(job, progress, revision=5)
    return unit


# Guards against TWICE (issue 38): a late report of a process that was unknown
# to a new scheduler counted as newer than those of the present process. It
# replaced the incarnation that runs by an earlier one.
def test_a_late_report_of_an_unknown_process_releases_no_run() -> None:
    scheduler = _new_scheduler(Outbox())
    unit = _put_run_on(scheduler, PRESENT)
    scheduler.on_report(_report("present", 3.0, PRESENT))
    scheduler.on_report(_report("earlier", 14_000.0, EARLIER))
    assert unit.status is progress_lib.UnitStatus.ACTIVE
    assert list(scheduler.engine.workers_by_incarnation) == [PRESENT]


# Guards against LOST (issue 38): the present process counted as replaced by the
# one before, and got no more answers.
def test_a_late_report_does_not_keep_the_present_process_from_orders() -> None:
    outbox = Outbox()
    scheduler = _new_scheduler(outbox)
    scheduler.on_report(_report("present", 3.0, PRESENT))
    scheduler.on_report(_report("earlier", 14_000.0, EARLIER))
    scheduler.on_report(_report("present", 4.0, PRESENT))
    newest = outbox.sent[-1]
    assert (newest.process, newest.echo_s) == ("present", 4.0)


def test_a_new_process_is_believed_once_orders_have_reached_it() -> None:
    outbox = Outbox()
    scheduler = _new_scheduler(outbox)
    unit = _put_run_on(scheduler, PRESENT)
    scheduler.on_report(_report("present", 9.0, PRESENT))
    scheduler.on_report(_report("following", 1.0))
    newest = outbox.sent[-1]
    assert (newest.process, newest.echo_s) == ("following", 1.0)
    assert unit.status is progress_lib.UnitStatus.ACTIVE
    scheduler.on_report(_report("following", 2.0, FOLLOWING, answered_s=1.0))
    assert unit.status is progress_lib.UnitStatus.WAITING
    late = msgspec.structs.replace(_report("present", 10.0, PRESENT))
    scheduler.on_report(late)
    assert list(scheduler.engine.workers_by_incarnation) == [FOLLOWING]


# Guards against LOST (issue 38): the time of day had been set back, so that the
# incarnation after a drained one counted as older, until the end of the term.
def test_the_incarnation_after_one_that_has_ended_is_used() -> None:
    scheduler = _new_scheduler(Outbox())
    drained = _report("a", 3.0, EARLIER)
    assert drained.worker is not None
    ended = msgspec.structs.replace(drained.worker, terminated=True)
    scheduler.on_report(drained)
    scheduler.on_report(
        msgspec.structs.replace(drained, sent_s=4.0, worker=ended)
    )
    scheduler.on_report(_report("a", 5.0, PRESENT))
    assert list(scheduler.engine.workers_by_incarnation) == [PRESENT]
