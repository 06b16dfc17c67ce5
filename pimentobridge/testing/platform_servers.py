"""Process that serves a fake platform over HTTP: the store and the runners.

All runners share one process, because the members of a gang wait for each
other. Each runner sends heartbeats to the control address of its agent.
"""

from __future__ import annotations

import argparse
import dataclasses
import random
import time
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import trio

from pimentobridge.core.jobs import model
from pimentobridge.daemons import http
from pimentobridge.daemons import http_server
from pimentobridge.platform import http_client
from pimentobridge.testing import order_faults
from pimentobridge.testing import platform_runner
from pimentobridge.testing import platform_store

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    Handler = Callable[["Call"], Awaitable[http_client.Answer]]

CAPACITY = model.Resources(32_000, 128_000, 8)
SMALL_CAPACITY = model.Resources(16_000, 64_000, 8)
SERVICE = "plans"
MAX_LEASE_S = 6.0
HEARTBEAT_INTERVAL_S = 0.5
# Time after which a runner that a task has crashed is back.
RUNNER_RESTART_S = 1.5
# Time after which an order that gets no answer is dropped.
UNANSWERED_S = 10.0
# Answer on a connection whose process has ended, which is then closed.
ENDED_STATUS = 500
OPERATOR_PATH = "/operator/"
STARTS_PATH = "/starts"
WORKERS_PER_RACK = 3


@dataclasses.dataclass(frozen=True)
class Call:
    """A call to a service of the platform.

    Attributes:
        path: path and query.
        body: decoded body; None if there is none.
        expected_worker: worker to which the call is addressed; empty if the
            caller named none.
        connection: the caller's address and port, the same for all calls on a
            connection.
    """

    method: str
    path: str
    body: Any
    expected_worker: str
    connection: tuple[str, int]


class _App:
    """ASGI application that passes requests to a handler."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    async def __call__(
        self, scope: http.Scope, receive: Any, send: Any
    ) -> None:
        if scope["type"] == "lifespan":
            await http.accept_lifespan(receive, send)
            return
        try:
            content = await http.read_body(receive)
        except http.DisconnectedError:
            return
        query = scope["query_string"].decode()
        path = scope["path"] + (f"?{query}" if query else "")
        body = msgspec.json.decode(content) if content else None
        call = Call(
            method=scope["method"],
            path=path,
            body=body,
            expected_worker=http.header(scope, "expected-instance"),
            connection=tuple(scope["client"]),
        )
        answer = await self._handler(call)
        response = http.Response(
            answer.status, msgspec.json.encode(answer.body)
        )
        if answer.status == ENDED_STATUS:
            response.headers.append((b"connection", b"close"))
        await http.send_response(send, response)


class _RunCounter(platform_runner.RunObserver):
    """Counts the starts of all runs, and the completed runs of each task."""

    def __init__(self) -> None:
        self.done_by_task: dict[str, int] = {}
        self.starts = 0

    def on_start(
        self,
        runner: platform_runner.PlatformRunner,
        run: platform_runner.Run,
    ) -> None:
        self.starts += 1

    def on_end(
        self,
        runner: platform_runner.PlatformRunner,
        run: platform_runner.Run,
        cause: str,
    ) -> None:
        if cause == "done":
            count = self.done_by_task.get(run.task, 0)
            self.done_by_task[run.task] = count + 1


class FakePlatform:
    """The platform's store and the runners of all workers.

    Args:
        store_address: address at which to serve the store.
        runner_addresses: address of each runner, and the control address of its
            agent.
        observer: receives the events of all runners.
        small_workers: how many of the workers, the last ones, have half the
            memory and processors of the others.
        stop_s: duration of a stop of a run, in seconds.
        rng: decides which orders are affected by faults.

    Attributes:
        store: the fake store.
        cut_off: numbers of the runners that send no heartbeats.
        order_faults_by_runner: faults of the orders to single runners, by
            number.
        store_busy: whether the store rejects every call with status 503.
        pool: all runners.
        runners: the current incarnation of each worker's runner.
    """

    def __init__(
        self,
        store_address: str,
        runner_addresses: Sequence[tuple[str, str]],
        observer: platform_runner.RunObserver,
        *,
        small_workers: int = 0,
        stop_s: float = platform_runner.STOP_DURATION_S,
        rng: random.Random | None = None,
    ) -> None:
        self._store_address = store_address
        self._runner_addresses = runner_addresses
        self.store = platform_store.PlatformStore(trio.current_time)
        self.store_busy = False
        self._rng = rng or random.Random(0)
        self.pool = platform_runner.RunnerPool(
            trio.current_time, observer, stop_s=stop_s, rng=self._rng
        )
        self._incarnations = 0
        self._small_workers = small_workers
        self.runners = [
            self._new_runner(number) for number in range(len(runner_addresses))
        ]
        self.cut_off: set[int] = set()
        self.order_faults_by_runner: dict[int, order_faults.OrderFaults] = {}
        self._late_orders: trio.Nursery | None = None

    async def run(self, *, fallback: Handler | None = None) -> None:
        """Serves until cancelled.

        Args:
            fallback: handles calls to the store's address whose path does not
                start with `/v1/`; None to answer them with status 404.
        """
        never_shut_down = trio.Event()

        async def handle_store(call: Call) -> http_client.Answer:
            if call.path.startswith("/v1/"):
                if self.store_busy:
                    return http_client.Answer(503, {})
                return await self.store.handle(
                    call.method, call.path, call.body
                )
            if fallback is None:
                return http_client.Answer(404, {})
            return await fallback(call)

        async with trio.open_nursery() as nursery:
            self._late_orders = nursery
            nursery.start_soon(self.pool.run)
            nursery.start_soon(_expire_leases, self.store)
            nursery.start_soon(
                http_server.serve,
                _App(handle_store),
                [self._store_address],
                never_shut_down,
            )
            for number, (address, _) in enumerate(self._runner_addresses):
                app = _App(self._runner_handler(number))
                nursery.start_soon(
                    http_server.serve, app, [address], never_shut_down
                )
                nursery.start_soon(self._send_heartbeats, number)

    def crash(
        self, number: int, *, keeps_id: bool = False, clock_jump_ms: int = 0
    ) -> None:
        """Crashes a runner and starts a new incarnation at the same address.

        Args:
            number: number of the runner.
            keeps_id: whether the new incarnation has the id of the old one.
            clock_jump_ms: how far the time of day that the new incarnation
                takes for its start has jumped, in milliseconds.
        """
        crashed = self.runners[number]
        crashed.crash()
        self.runners[number] = self._new_runner(
            number,
            crashed.worker if keeps_id else None,
            clock_jump_ms=clock_jump_ms,
        )

    async def leave(self, number: int, drain_s: float, linger_s: float) -> None:
        """Drains a runner, deregisters it and ends it.

        Args:
            number: number of the runner.
            drain_s: time until it deregisters, in seconds.
            linger_s: how much longer it goes on, for lack of an
                acknowledgement, in seconds.
        """
        runner = self.runners[number]
        runner.draining = True
        await trio.sleep(drain_s)
        client = http_client.HttpClient(self._runner_addresses[number][1])
        if runner.up:
            await client.call(
                "POST",
                f"/v1/instances/{runner.worker}/deregister",
                timeout_s=1.0,
                body={},
            )
        await trio.sleep(linger_s)
        if runner.up:
            runner.crash()

    def _new_runner(
        self,
        number: int,
        worker: str | None = None,
        *,
        clock_jump_ms: int = 0,
    ) -> platform_runner.PlatformRunner:
        self._incarnations += 1
        is_small = number >= len(self._runner_addresses) - self._small_workers
        return platform_runner.PlatformRunner(
            self.pool,
            worker or f"worker-{self._incarnations}",
            SMALL_CAPACITY if is_small else CAPACITY,
            started_ms=int(time.time() * 1000)
            + clock_jump_ms
            + self._incarnations,
            max_lease_s=MAX_LEASE_S,
        )

    def _runner_handler(self, number: int) -> Handler:
        # A connection ends with the incarnation that has accepted it.
        runners_by_connection: dict[
            tuple[str, int], platform_runner.PlatformRunner
        ] = {}

        async def handle(call: Call) -> http_client.Answer:
            runner = runners_by_connection.setdefault(
                call.connection, self.runners[number]
            )
            answer = http_client.Answer(ENDED_STATUS, {})
            if runner.up:
                answer = await self._handle_runner_call(number, runner, call)
            if not runner.up:
                # The port may be used again by another connection.
                runners_by_connection.pop(call.connection, None)
                return http_client.Answer(ENDED_STATUS, {})
            return answer

        return handle

    async def _handle_runner_call(
        self,
        number: int,
        runner: platform_runner.PlatformRunner,
        call: Call,
    ) -> http_client.Answer:
        faults = self.order_faults_by_runner.get(number)
        treatment = order_faults.Treatment.ANSWERED
        if faults is not None:
            treatment = faults.treatment(call.path, self._rng)
        if treatment is order_faults.Treatment.LATE:
            assert self._late_orders is not None
            self._late_orders.start_soon(self._execute_late, runner, call)
        else:
            answer = await runner.handle(
                call.path, call.body, call.expected_worker
            )
            if treatment is order_faults.Treatment.ANSWERED:
                return answer
        # The caller gives up before that and closes the connection.
        await trio.sleep(UNANSWERED_S)
        return http_client.Answer(ENDED_STATUS, {})

    async def _execute_late(
        self, runner: platform_runner.PlatformRunner, call: Call
    ) -> None:
        await trio.sleep(order_faults.random_lateness_s(self._rng))
        if runner.up:
            await runner.handle(call.path, call.body, call.expected_worker)

    async def _send_heartbeats(self, number: int) -> None:
        address, control_address = self._runner_addresses[number]
        client = http_client.HttpClient(control_address)
        sequence = 0
        while True:
            sequence += 1
            runner = self.runners[number]
            if not runner.up:
                await trio.sleep(RUNNER_RESTART_S)
                if self.runners[number] is runner:
                    self.runners[number] = self._new_runner(number)
                continue
            if number in self.cut_off:
                await trio.sleep(HEARTBEAT_INTERVAL_S)
                continue
            await client.call(
                "POST",
                f"/v1/instances/{runner.worker}/heartbeat",
                timeout_s=1.0,
                body={
                    "service": SERVICE,
                    "address": address,
                    "zone": "north-a",
                    "version": "v1",
                    "slots": 8,
                    "state": "draining" if runner.draining else "ready",
                    "capacity": {
                        "cpu": runner.capacity.cpu_millicores,
                        "memMb": runner.capacity.memory_mib,
                        "gpu": runner.capacity.accelerators,
                    },
                    "labels": ["a", f"rack-{number // WORKERS_PER_RACK}"],
                    "sequence": sequence,
                    "born": runner.started_ms,
                    "clockMs": runner.clock_s * 1000,
                },
            )
            await trio.sleep(HEARTBEAT_INTERVAL_S)


async def _expire_leases(store: platform_store.PlatformStore) -> None:
    while True:
        store.expire_leases()
        await trio.sleep(0.05)


async def _serve(
    store_address: str, runner_addresses: list[tuple[str, str]]
) -> None:
    counter = _RunCounter()
    platform = FakePlatform(store_address, runner_addresses, counter)

    async def fallback(call: Call) -> http_client.Answer:
        if call.path.startswith(OPERATOR_PATH):
            key = call.path.removeprefix(OPERATOR_PATH)
            platform.store.put(key, call.body["value"])
            return http_client.Answer(200, {})
        if call.path == STARTS_PATH:
            return http_client.Answer(
                200, {"starts": counter.starts, "done": counter.done_by_task}
            )
        return http_client.Answer(404, {})

    await platform.run(fallback=fallback)


def main() -> None:
    """Serves until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--store", required=True, metavar="IP:PORT")
    parser.add_argument(
        "--runner",
        action="append",
        default=[],
        metavar="IP:PORT=CONTROL-IP:PORT",
    )
    options = parser.parse_args()
    runner_addresses = []
    for addresses in options.runner:
        address, _, control_address = addresses.partition("=")
        runner_addresses.append((address, control_address))
    trio.run(_serve, options.store, runner_addresses)


if __name__ == "__main__":
    main()
