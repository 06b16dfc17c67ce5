"""Process that serves a fake platform over HTTP: the store and the runners.

All runners share one process, because the members of a gang wait for each
other. Each runner sends heartbeats to the control address of its agent.
"""

from __future__ import annotations

import argparse
import time
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import trio

from pimentobridge.core.jobs import model
from pimentobridge.daemons import http
from pimentobridge.daemons import http_server
from pimentobridge.platform import http_client
from pimentobridge.testing import platform_runner
from pimentobridge.testing import platform_store

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    # Arguments: method, path, decoded body and expected instance.
    Handler = Callable[[str, str, Any, str], Awaitable[http_client.Answer]]

CAPACITY = model.Resources(32_000, 128_000, 8)
SERVICE = "plans"
MAX_LEASE_S = 6.0
HEARTBEAT_INTERVAL_S = 0.5
# Time after which a runner that a task has crashed is back.
RUNNER_RESTART_S = 1.5
OPERATOR_PATH = "/operator/"
STARTS_PATH = "/starts"
WORKERS_PER_RACK = 3


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
        content = await http.read_body(receive)
        query = scope["query_string"].decode()
        path = scope["path"] + (f"?{query}" if query else "")
        body = msgspec.json.decode(content) if content else None
        expected_instance = http.header(scope, "expected-instance")
        answer = await self._handler(
            scope["method"], path, body, expected_instance
        )
        await http.send_response(
            send,
            http.Response(answer.status, msgspec.json.encode(answer.body)),
        )


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

    Attributes:
        store: the fake store.
        store_busy: whether the store rejects every call with status 503.
        pool: all runners.
        runners: the current incarnation of each worker's runner.
    """

    def __init__(
        self,
        store_address: str,
        runner_addresses: Sequence[tuple[str, str]],
        observer: platform_runner.RunObserver,
    ) -> None:
        self._store_address = store_address
        self._runner_addresses = runner_addresses
        self.store = platform_store.PlatformStore(trio.current_time)
        self.store_busy = False
        self.pool = platform_runner.RunnerPool(trio.current_time, observer)
        self._incarnations = 0
        self.runners = [self._new_runner() for _ in runner_addresses]

    async def run(self, *, fallback: Handler | None = None) -> None:
        """Serves until cancelled.

        Args:
            fallback: handles calls to the store's address whose path does not
                start with `/v1/`; None to answer them with status 404.
        """
        never_shut_down = trio.Event()

        async def handle_store(
            method: str, path: str, body: Any, expected_instance: str
        ) -> http_client.Answer:
            if path.startswith("/v1/"):
                if self.store_busy:
                    return http_client.Answer(503, {})
                return await self.store.handle(method, path, body)
            if fallback is None:
                return http_client.Answer(404, {})
            return await fallback(method, path, body, expected_instance)

        async with trio.open_nursery() as nursery:
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

    def crash(self, number: int) -> None:
        """Crashes a runner and starts a new incarnation at the same address."""
        self.runners[number].crash()
        self.runners[number] = self._new_runner()

    def _new_runner(self) -> platform_runner.PlatformRunner:
        self._incarnations += 1
        return platform_runner.PlatformRunner(
            self.pool,
            f"worker-{self._incarnations}",
            CAPACITY,
            started_ms=int(time.time() * 1000) + self._incarnations,
            max_lease_s=MAX_LEASE_S,
        )

    def _runner_handler(self, number: int) -> Handler:
        async def handle(
            method: str, path: str, body: Any, expected_instance: str
        ) -> http_client.Answer:
            del method
            if not self.runners[number].up:
                return http_client.Answer(503, {})
            return await self.runners[number].handle(
                path, body, expected_instance
            )

        return handle

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
                    self.runners[number] = self._new_runner()
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
                    "state": "ready",
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

    async def fallback(
        method: str, path: str, body: Any, expected_instance: str
    ) -> http_client.Answer:
        del method, expected_instance
        if path.startswith(OPERATOR_PATH):
            key = path.removeprefix(OPERATOR_PATH)
            platform.store.put(key, body["value"])
            return http_client.Answer(200, {})
        if path == STARTS_PATH:
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
