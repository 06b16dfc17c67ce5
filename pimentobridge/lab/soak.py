"""Soak test: real processes on loopback under injected faults.

Entries and agents run as processes. This process serves a fake store and fake
runners, which they reach through proxies that disturb the connections. Signals
terminate, pause and kill the processes, which are then restarted. The system's
guarantees are checked against what callers and runners observe.
"""

from __future__ import annotations

import base64
import pathlib
import random
import tempfile

import httpcore
import msgspec
import trio

from pimentobridge.lab import callers
from pimentobridge.lab import checkers
from pimentobridge.lab import operator_documents
from pimentobridge.lab import simulation
from pimentobridge.lab import soak_faults
from pimentobridge.lab import unexpected_errors
from pimentobridge.platform import operator_configuration
from pimentobridge.testing import loopback_proxy
from pimentobridge.testing import platform_processes
from pimentobridge.testing import platform_servers

ENTRIES = simulation.ENTRIES
# The random gangs need as many workers as the simulation has.
WORKERS = simulation.WORKERS
DAEMON_PORTS = 4
START_TIMEOUT_S = 60.0
JOB_INTERVAL_S = 0.8
CANCEL_SHARE = 0.1
# Every accepted job must end within this time after the traffic.
COMPLETION_TIMEOUT_S = 90.0
RESTART_DELAY_S = 0.5


class SoakResult(msgspec.Struct, frozen=True):
    """Outcome of a soak test.

    Attributes:
        seed: seed of the traffic and the faults.
        seconds: length of the traffic.
        findings: violated guarantees, in the order of detection.
        faults: injected faults, each with its start time in seconds.
        submitted: number of jobs that callers tried to submit.
        accepted: number of jobs that were accepted.
        started: number of runs that runners started.
    """

    seed: int
    seconds: float
    findings: list[str]
    faults: list[str]
    submitted: int
    accepted: int
    started: int


class Soak:
    """One soak test.

    Args:
        seed: seed of the traffic and the faults.
        seconds: length of the traffic.
        folder: directory to which settings and logs are written.
    """

    def __init__(
        self, seed: int, *, seconds: float, folder: pathlib.Path
    ) -> None:
        self._seed = seed
        self._seconds = seconds
        # A seed reproduces the faults; the traffic also depends on timing.
        self._rng = random.Random(f"traffic {seed}")
        port = platform_processes.base_port()
        self._processes = platform_processes.Processes(folder, port=port)
        self._port = port + DAEMON_PORTS
        self._checker = checkers.Checker(
            trio.current_time, lambda: self._faults.last_active_s
        )
        self._platform = platform_servers.FakePlatform(
            self._format_address(self._store_address),
            [
                (
                    self._format_address(self._runner_address(n)),
                    self._processes.control_address(n),
                )
                for n in range(WORKERS)
            ],
            self._checker,
            small_workers=seed % (WORKERS // 2),
            stop_s=simulation.random_stop_s(seed),
            rng=random.Random(f"orders {seed}"),
        )
        self._faults = soak_faults.SoakFaults(
            random.Random(f"faults {seed}"),
            processes=self._processes,
            platform=self._platform,
        )
        # Exits that no fault has caused.
        self._exits: list[str] = []

    @property
    def _store_address(self) -> tuple[str, int]:
        return "127.0.3.1", self._port

    def _runner_address(self, number: int) -> tuple[str, int]:
        return "127.0.2.1", self._port + 1 + number

    @staticmethod
    def _format_address(address: tuple[str, int]) -> str:
        return f"{address[0]}:{address[1]}"

    async def run(self) -> SoakResult:
        """Runs the traffic under faults and returns the outcome."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._platform.run)
                self._launch_processes(nursery)
                self._put_configuration()
                nursery.start_soon(self._restart_exited)
                await self._wait_ready()
                await self._run_traffic()
                nursery.cancel_scope.cancel()
        finally:
            self._processes.stop()
        jobs = self._checker.jobs_by_id.values()
        return SoakResult(
            seed=self._seed,
            seconds=self._seconds,
            findings=self._checker.finish() + self._exits + self._errors(),
            faults=self._faults.injected,
            submitted=len(jobs),
            accepted=sum(job.accepted for job in jobs),
            started=self._checker.started,
        )

    def _errors(self) -> list[str]:
        """Returns the unexpected errors in the logs of all processes."""
        return [
            f"FAULT in {name}: {error}"
            for name in self._faults.store_proxies_by_process
            for error in unexpected_errors.in_log(
                self._processes.read_log(name)
            )
        ]

    def _launch_processes(self, nursery: trio.Nursery) -> None:
        for number in range(ENTRIES):
            name = f"entry-{number}"
            store = self._proxy_store(nursery, name, 10 + number)
            self._processes.launch_entry(number, store=store)
        for number in range(WORKERS):
            name = f"agent-{number}"
            store = self._proxy_store(nursery, name, 30 + number)
            target = self._runner_address(number)
            listen = ("127.0.5.1", target[1])
            proxy = loopback_proxy.LoopbackProxy(listen, target)
            nursery.start_soon(proxy.run)
            self._faults.runner_proxies.append(proxy)
            self._processes.launch_agent(
                number, store=store, runner=self._format_address(listen)
            )

    def _proxy_store(
        self, nursery: trio.Nursery, name: str, last_octet: int
    ) -> str:
        listen = (f"127.0.4.{last_octet}", self._port)
        proxy = loopback_proxy.LoopbackProxy(listen, self._store_address)
        nursery.start_soon(proxy.run)
        self._faults.store_proxies_by_process[name] = proxy
        return self._format_address(listen)

    def _put_configuration(self) -> None:
        document = operator_documents.configuration_document(
            1, service=platform_servers.SERVICE
        )
        value = base64.b64encode(msgspec.json.encode(document)).decode()
        self._platform.store.put(operator_configuration.KEY, value)

    async def _restart_exited(self) -> None:
        """Restarts processes that have exited, as the platform does."""
        while True:
            await trio.sleep(RESTART_DELAY_S)
            for name in self._faults.store_proxies_by_process:
                if self._processes.has_exited(name):
                    if name not in self._faults.ended:
                        self._exits.append(f"{name} ended by itself")
                    self._faults.ended.discard(name)
                    self._processes.start(name)

    async def _wait_ready(self) -> None:
        with trio.fail_after(START_TIMEOUT_S):
            for number in range(ENTRIES):
                url = self._processes.url(number, ready=True)
                while await _status(f"{url}/v1/readiness") != 200:
                    await trio.sleep(0.1)

    async def _run_traffic(self) -> None:
        until_s = trio.current_time() + self._seconds + COMPLETION_TIMEOUT_S
        async with trio.open_nursery() as traffic:
            traffic.start_soon(
                self._faults.inject, trio.current_time() + self._seconds
            )
            number = 0
            while trio.current_time() < until_s - COMPLETION_TIMEOUT_S:
                await trio.sleep(self._rng.expovariate(1 / JOB_INTERVAL_S))
                job, priority = callers.random_job(self._rng, number)
                cancels = self._rng.random() < CANCEL_SHARE
                caller = callers.Caller(
                    self._make_call(number),
                    self._checker,
                    job,
                    path=f"/queue-{priority}/{job.id}",
                    cancels_after_s=1.0 if cancels else None,
                    until_s=until_s,
                )
                traffic.start_soon(caller.run)
                number += 1

    def _make_call(self, number: int) -> callers.Call:
        """Returns a function that sends one caller's requests.

        The caller stays with its entry and connection until a request fails;
        then it moves on to the next entry.
        """
        pool = httpcore.AsyncConnectionPool()
        entry_number = number

        async def call(
            method: str, path: str, body: bytes
        ) -> tuple[int, bytes]:
            nonlocal entry_number
            timeout_s = callers.CALL_TIMEOUT_S
            try:
                with trio.fail_after(timeout_s):
                    response = await pool.request(
                        method,
                        self._processes.url(entry_number % ENTRIES) + path,
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
                entry_number += 1
                return 0, b""
            return response.status, response.content

        return call


async def _status(url: str) -> int:
    """Returns the status of a GET request, or 0 if there was no response."""
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


def run_one(seed: int, *, seconds: float, folder: pathlib.Path) -> SoakResult:
    """Runs one soak test; leaves settings and logs in `folder`."""

    async def main() -> SoakResult:
        return await Soak(seed, seconds=seconds, folder=folder).run()

    return trio.run(main)


def run(seeds: range, *, seconds: float) -> int:
    """Runs soak tests one by one; returns how many violated a guarantee.

    The logs of a run with findings are kept, and the printed report names their
    directory; the logs of the other runs are deleted.
    """
    failed_soaks = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = run_one(seed, seconds=seconds, folder=folder)
        print(
            f"seed {seed}: {len(result.faults)} faults,"
            f" {result.accepted} of {result.submitted} jobs accepted,"
            f" {result.started} starts, {len(result.findings)} findings",
            flush=True,
        )
        for finding in result.findings:
            print(f"  {finding}")
        if result.findings:
            failed_soaks += 1
            (folder / "verdict.json").write_bytes(msgspec.json.encode(result))
            print(f"  logs: {folder}", flush=True)
        else:
            for path in folder.iterdir():
                path.unlink()
            folder.rmdir()
    return failed_soaks
