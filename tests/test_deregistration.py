"""Workers that announce their end and live on, as nobody acknowledges it."""

from __future__ import annotations

import errno
import random
import socket

import httpcore
import pytest
import trio

from pimentobridge.bench import harness
from pimentobridge.core import types
from pimentobridge.core.jobs import runs
from pimentobridge.lab import callers
from pimentobridge.lab import checkers
from pimentobridge.lab import machines
from pimentobridge.lab import world as world_lib
from pimentobridge.platform import http_client
from pimentobridge.platform import runner
from pimentobridge.platform import runner_status

TASK_S = 10.0
FOLLOW_S = 30.0
# The runner ends this long after its announcement, as it got no answer to it.
LINGERS_S = 5.0


async def _linger(host: machines.WorkerHost) -> None:
    """Drains and deregisters a host's runner, which ends some time after."""
    host.runner.draining = True
    await trio.sleep(machines.RUNNER_DRAIN_S)
    assert host.agent is not None
    host.agent.on_deregistered(host.runner.worker)
    await trio.sleep(LINGERS_S)
    host.runner.crash()


async def _leave_under_a_run(
    cut_s: float,
) -> tuple[world_lib.World, checkers.SubmittedJob, float]:
    """Ends the worker of a run, which got no answer to its announcement.

    Args:
        cut_s: how long it can't be reached from its announcement on.

    Returns:
        The deployment once the job is over, the job, and the time from the end
        of the worker to the next run, in seconds.
    """
    async with trio.open_nursery() as nursery:
        world = world_lib.World(
            rng=random.Random(1), nursery=nursery, entries=1, workers=2
        )
        world.put_configuration()
        world.start()
        await trio.sleep(4.0)
        async with trio.open_nursery() as traffic:
            job = callers.one_task_job(TASK_S)
            caller = callers.follow(world, job, for_s=FOLLOW_S)
            traffic.start_soon(caller.run)
            await trio.sleep(1.0)
            host = next(
                host for host in world.workers if host.runner.runs_by_task
            )
            traffic.start_soon(_linger, host)
            await trio.sleep(machines.RUNNER_DRAIN_S)
            if cut_s:
                await host.cut_off_runner(cut_s)
            await trio.sleep(LINGERS_S - cut_s)
            ended_s = trio.current_time()
            while world.checker.started < 2:
                await trio.sleep(0.01)
            held_back_s = trio.current_time() - ended_s
        nursery.cancel_scope.cancel()
    return world, job, held_back_s


# Guards against TWICE (issue 38): a worker that had announced its end counted
# as ended at the first call that couldn't reach it, while its runs went on.
def test_a_cut_does_not_show_that_a_worker_has_left() -> None:
    world, job, _ = harness.run_virtual(_leave_under_a_run, 2.5)
    assert world.checker.finish() == []
    assert job.observed_states[-1][1] == "completed"


# Refusals for 1 s, the poll under way and the placement; a lease takes 6.6 s.
def test_a_run_starts_again_soon_after_its_worker_has_left() -> None:
    world, job, held_back_s = harness.run_virtual(_leave_under_a_run, 0.0)
    assert world.checker.finish() == []
    assert job.observed_states[-1][1] == "completed"
    assert held_back_s < 2.0


class _FailingBackend(httpcore.AsyncNetworkBackend):
    """Opens no connection.

    Args:
        error: raised by each attempt, as the backend of httpcore does.
    """

    def __init__(self, error: Exception) -> None:
        self._error = error

    async def connect_tcp(self, *_: object, **__: object) -> object:  # type: ignore[override]
        raise self._error


def _poll(open_connection: object) -> object:
    incarnation = runs.IncarnationKey(types.WorkerId("i-1"), 1)
    client = runner.Runner(open_connection)  # type: ignore[arg-type]

    async def poll() -> object:
        return await client.poll(
            incarnation, token=1, acknowledged_end=0, lease_until_s=None
        )

    return trio.run(poll)


@pytest.mark.parametrize(
    "error",
    [
        httpcore.ConnectTimeout(),
        httpcore.ConnectError(OSError(errno.EHOSTUNREACH, "no route")),
        httpcore.ConnectError(OSError(errno.ENETUNREACH, "no network")),
    ],
    ids=["timeout", "no route", "no network"],
)
def test_a_connection_that_fails_on_the_way_is_not_refused(
    error: Exception,
) -> None:
    outcome = _poll(
        lambda: http_client.HttpConnection(
            "10.0.0.1:80", network=_FailingBackend(error)
        )
    )
    assert outcome is runner_status.PollFailure.UNREACHABLE


def test_a_port_without_a_listener_refuses_connections() -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
        outcome = _poll(lambda: http_client.HttpConnection(f"127.0.0.1:{port}"))
    assert outcome is runner_status.PollFailure.REFUSED


# A backlog that nobody takes from, as that of a process which stands still.
def test_a_listener_that_accepts_nothing_does_not_refuse() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        waiting = [socket.socket() for _ in range(4)]
        for client in waiting:
            client.setblocking(False)
            client.connect_ex(listener.getsockname())
        port = listener.getsockname()[1]
        outcome = _poll(lambda: http_client.HttpConnection(f"127.0.0.1:{port}"))
        for client in waiting:
            client.close()
    assert outcome is runner_status.PollFailure.TIMED_OUT
