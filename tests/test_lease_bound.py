"""The end of the lease that an agent asks for, against the orders' validity."""

from __future__ import annotations

from pimentobridge.core.scheduling import engine
from pimentobridge.daemons import worker_view
from pimentobridge.lab import machines
from pimentobridge.platform import runner_status


def _reply(clock_s: float) -> runner_status.RunnerStatus:
    return runner_status.RunnerStatus(clock_s=clock_s, running=(), ended=())


# Guards against TWICE (issue 38): the lease of a start that is carried out late
# ran longer than the scheduler waits, if the worker's clock was slow and no
# poll had been answered for a time.
def test_a_slow_clock_of_the_worker_does_not_lengthen_the_lease() -> None:
    view = worker_view.WorkerView(machines.MAX_LEASE_S)
    view.apply(_reply(clock_s=100.0), now_s=1000.0)
    unanswered_s = 60.0
    worker_clock_s = 100.0 + unanswered_s * (1 - engine.CLOCK_RATE_ERROR)
    assert (
        view.lease_until_s(1000.0 + unanswered_s)
        <= worker_clock_s + machines.MAX_LEASE_S
    )
