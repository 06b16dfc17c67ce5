"""Soak of the real programs: processes on loopback, faults from outside.

Entries and agents run as processes. Their connections to the store and to the
runners, which this process serves, go through proxies that harm them; signals
stop, pause, kill and restart the processes. The promises are checked from what
callers and runners see.
"""

from __future__ import annotations

import base64
import contextlib
import pathlib
import random
import signal
import tempfile
from typing import TYPE_CHECKING

import httpcore
import msgspec
import trio

from pimentobridge.lab import callers
from pimentobridge.lab import checkers
from pimentobridge.lab import simulation
from pimentobridge.lab import world as world_lib
from pimentobridge.platform import operator_configuration
from pimentobridge.testing import loopback_proxy
from pimentobridge.testing import platform_processes
from pimentobridge.testing import platform_servers

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

ENTRIES = simulation.ENTRIES
# The drawn gangs need as many workers as a day of the lab has.
WORKERS = simulation.WORKERS
PORTS_OF_DAEMONS = 4
START_LIMIT_S = 60.0
JOB_INTERVAL_S = 0.8
FAULT_INTERVAL_S = 1.5
CANCEL_SHARE = 0.1
# Time after the traffic in which every accepted job must have ended.
FINISH_S = 90.0
RESTART_PAUSE_S = 0.5
GRACE_S = 6.0


class Verdict(msgspec.Struct, frozen=True):
    """What a soak showed."""

    seed: int
    seconds: float
    findings: list[str]
    faults: list[str]
    submitted: int
    accepted: int
    started: int


class Soak:
    """One run.

    Args:
        seed: draws the traffic and the faults.
        seconds: length of the traffic.
        folder: where settings and logs are written.
    """

    def __init__(
        self, seed: int, *, seconds: float, folder: pathlib.Path
    ) -> None:
        self._seed = seed
        self._seconds = seconds
        # The faults repeat with the seed; the traffic depends on timing, too.
        self._rng = random.Random(f"traffic {seed}")
        self._fault_rng = random.Random(f"faults {seed}")
        port = platform_processes.base_port()
        self._processes = platform_processes.Processes(folder, port=port)
        self._port = port + PORTS_OF_DAEMONS
        self._last_fault_s = float("-inf")
        self._checker = checkers.Checker(
            trio.current_time, lambda: self._last_fault_s
        )
        self._stand_ins = platform_servers.StandIns(
            self._text(self._real_store),
            [
                (self._text(self._real_runner(n)), self._processes.control(n))
                for n in range(WORKERS)
            ],
            self._checker,
        )
        self._store_proxies: dict[str, loopback_proxy.LoopbackProxy] = {}
        self._runner_proxies: list[loopback_proxy.LoopbackProxy] = []
        self._faults: list[str] = []
        self._in_fault: set[str] = set()

    @property
    def _real_store(self) -> tuple[str, int]:
        return "127.0.3.1", self._port

    def _real_runner(self, number: int) -> tuple[str, int]:
        return "127.0.2.1", self._port + 1 + number

    @staticmethod
    def _text(address: tuple[str, int]) -> str:
        return f"{address[0]}:{address[1]}"

    async def run(self) -> Verdict:
        """Plays the traffic and the faults, and judges."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._stand_ins.run)
                self._launch(nursery)
                self._configure()
                nursery.start_soon(self._restart_ended)
                await self._wait_ready()
                await self._play()
                nursery.cancel_scope.cancel()
        finally:
            self._processes.stop()
        jobs = self._checker.jobs_by_id.values()
        return Verdict(
            seed=self._seed,
            seconds=self._seconds,
            findings=self._checker.finish(),
            faults=self._faults,
            submitted=len(jobs),
            accepted=sum(job.accepted for job in jobs),
            started=self._checker.started,
        )

    def _launch(self, nursery: trio.Nursery) -> None:
        for number in range(ENTRIES):
            name = f"entry-{number}"
            store = self._proxy_store(nursery, name, 10 + number)
            self._processes.launch_entry(number, store=store)
        for number in range(WORKERS):
            name = f"agent-{number}"
            store = self._proxy_store(nursery, name, 30 + number)
            target = self._real_runner(number)
            listen = ("127.0.5.1", target[1])
            proxy = loopback_proxy.LoopbackProxy(listen, target)
            nursery.start_soon(proxy.run)
            self._runner_proxies.append(proxy)
            self._processes.launch_agent(
                number, store=store, runner=self._text(listen)
            )

    def _proxy_store(self, nursery: trio.Nursery, name: str, host: int) -> str:
        listen = (f"127.0.4.{host}", self._port)
        proxy = loopback_proxy.LoopbackProxy(listen, self._real_store)
        nursery.start_soon(proxy.run)
        self._store_proxies[name] = proxy
        return self._text(listen)

    def _configure(self) -> None:
        document = world_lib.configuration_document(
            1, service=platform_servers.SERVICE
        )
        value = base64.b64encode(msgspec.json.encode(document)).decode()
        self._stand_ins.store.put(operator_configuration.KEY, value)

    async def _restart_ended(self) -> None:
        """Starts processes that have ended again, as the platform does."""
        while True:
            await trio.sleep(RESTART_PAUSE_S)
            for name in self._store_proxies:
                if self._processes.ended(name):
                    self._processes.start(name)

    async def _wait_ready(self) -> None:
        with trio.fail_after(START_LIMIT_S):
            for number in range(ENTRIES):
                url = self._processes.url(number, ready=True)
                while await _status(f"{url}/v1/readiness") != 200:
                    await trio.sleep(0.1)

    async def _play(self) -> None:
        until_s = trio.current_time() + self._seconds + FINISH_S
        async with trio.open_nursery() as traffic:
            traffic.start_soon(self._harm, trio.current_time() + self._seconds)
            number = 0
            while trio.current_time() < until_s - FINISH_S:
                await trio.sleep(self._rng.expovariate(1 / JOB_INTERVAL_S))
                job, priority = callers.draw_job(self._rng, number)
                cancels = self._rng.random() < CANCEL_SHARE
                caller = callers.Caller(
                    self._call_of(number),
                    self._checker,
                    job,
                    path=f"/queue-{priority}/{job.id}",
                    cancels_after_s=1.0 if cancels else None,
                    until_s=until_s,
                )
                traffic.start_soon(caller.run)
                number += 1

    def _call_of(self, number: int) -> callers.Call:
        """Returns a caller's calls: it keeps its connection while it works."""
        pool = httpcore.AsyncConnectionPool()
        tries = number

        async def call(
            method: str, path: str, body: bytes
        ) -> tuple[int, bytes]:
            nonlocal tries
            timeout_s = callers.CALL_TIMEOUT_S
            try:
                with trio.fail_after(timeout_s):
                    response = await pool.request(
                        method,
                        self._processes.url(tries % ENTRIES) + path,
                        headers={
                            "Host": "host.example",
                            "Authorization": "Bearer key-of-shop",
                            "Timeout-Ms": str(int(timeout_s * 1000)),
                        },
                        content=body,
                    )
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
                trio.TooSlowError,
            ):
                tries += 1
                return 0, b""
            return response.status, response.content

        return call

    # Faults.

    async def _harm(self, until_s: float) -> None:
        kinds: list[Callable[[float], Awaitable[None]]] = [
            self._kill,
            self._terminate,
            self._pause,
            self._cut_from_store,
            self._cut_all_from_store,
            self._silence_open,
            self._reset_open,
            self._slow_runner,
            self._store_busy,
            self._crash_runner,
        ]
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until_s:
                await trio.sleep(
                    self._fault_rng.expovariate(1 / FAULT_INTERVAL_S)
                )
                nursery.start_soon(
                    self._fault_rng.choice(kinds),
                    self._fault_rng.uniform(0.3, 4.0),
                )

    @contextlib.contextmanager
    def _noted(self, what: str) -> Iterator[None]:
        self._faults.append(f"{trio.current_time():.2f} {what}")
        self._last_fault_s = float("inf")
        self._in_fault.add(what)
        try:
            yield
        finally:
            self._in_fault.discard(what)
            if not self._in_fault:
                self._last_fault_s = trio.current_time()

    def _any_process(self) -> str:
        return self._fault_rng.choice(list(self._store_proxies))

    async def _kill(self, length_s: float) -> None:
        del length_s
        name = self._any_process()
        with self._noted(f"kill {name}"):
            self._processes.signal(name, signal.SIGKILL)

    async def _terminate(self, length_s: float) -> None:
        del length_s
        name = self._any_process()
        with self._noted(f"terminate {name}"):
            self._processes.signal(name, signal.SIGTERM)
            with trio.move_on_after(GRACE_S):
                while not self._processes.ended(name):
                    await trio.sleep(0.05)
            self._processes.signal(name, signal.SIGKILL)

    async def _pause(self, length_s: float) -> None:
        name = self._any_process()
        with self._noted(f"pause {name} for {length_s:.1f} s"):
            self._processes.signal(name, signal.SIGSTOP)
            await trio.sleep(length_s)
            self._processes.signal(name, signal.SIGCONT)

    async def _cut_from_store(self, length_s: float) -> None:
        name = self._any_process()
        cut = self._fault_rng.choice(list(loopback_proxy.Cut))
        with self._noted(f"cut {name} off the store, {cut.value}"):
            await self._cut(self._store_proxies[name], cut, length_s)

    async def _cut_all_from_store(self, length_s: float) -> None:
        cut = self._fault_rng.choice(list(loopback_proxy.Cut))
        with self._noted(f"cut all off the store, {cut.value}"):
            async with trio.open_nursery() as nursery:
                for proxy in self._store_proxies.values():
                    nursery.start_soon(self._cut, proxy, cut, length_s)

    async def _cut(
        self,
        proxy: loopback_proxy.LoopbackProxy,
        cut: loopback_proxy.Cut,
        length_s: float,
    ) -> None:
        proxy.cut = cut
        if cut is loopback_proxy.Cut.RESET:
            proxy.reset_open()
        await trio.sleep(length_s)
        proxy.cut = None

    def _any_proxy(self) -> loopback_proxy.LoopbackProxy:
        return self._fault_rng.choice(
            [*self._store_proxies.values(), *self._runner_proxies]
        )

    async def _silence_open(self, length_s: float) -> None:
        del length_s
        with self._noted("silence open connections"):
            self._any_proxy().silence_open()

    async def _reset_open(self, length_s: float) -> None:
        del length_s
        with self._noted("reset open connections"):
            self._any_proxy().reset_open()

    async def _slow_runner(self, length_s: float) -> None:
        number = self._fault_rng.randrange(WORKERS)
        proxy = self._runner_proxies[number]
        with self._noted(f"slow calls to runner {number}"):
            proxy.delay_s = self._fault_rng.uniform(0.05, 1.0)
            await trio.sleep(length_s)
            proxy.delay_s = 0.0

    async def _store_busy(self, length_s: float) -> None:
        with self._noted(f"store busy for {length_s:.1f} s"):
            self._stand_ins.store_busy = True
            await trio.sleep(length_s)
            self._stand_ins.store_busy = False

    async def _crash_runner(self, length_s: float) -> None:
        del length_s
        number = self._fault_rng.randrange(WORKERS)
        with self._noted(f"crash runner {number}"):
            self._stand_ins.crash(number)


async def _status(url: str) -> int:
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            with trio.fail_after(1.0):
                return (await pool.request("GET", url)).status
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            trio.TooSlowError,
        ):
            return 0


def run_one(seed: int, *, seconds: float, folder: pathlib.Path) -> Verdict:
    """Plays one soak; settings and logs stay in `folder`."""

    async def main() -> Verdict:
        return await Soak(seed, seconds=seconds, folder=folder).run()

    return trio.run(main)


def run(seeds: range, *, seconds: float) -> int:
    """Plays soaks one after another; returns how many broke a promise.

    The logs of a run that broke one are kept, and the report names them.
    """
    broken = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        verdict = run_one(seed, seconds=seconds, folder=folder)
        print(
            f"seed {seed}: {len(verdict.faults)} faults,"
            f" {verdict.accepted} of {verdict.submitted} jobs accepted,"
            f" {verdict.started} starts, {len(verdict.findings)} findings",
            flush=True,
        )
        for finding in verdict.findings:
            print(f"  {finding}")
        if verdict.findings:
            broken += 1
            (folder / "verdict.json").write_bytes(msgspec.json.encode(verdict))
            print(f"  logs: {folder}", flush=True)
        else:
            for path in folder.iterdir():
                path.unlink()
            folder.rmdir()
    return broken
