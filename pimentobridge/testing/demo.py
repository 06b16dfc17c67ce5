"""Demo: runs a deployment as processes on loopback and kills two of them."""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
from typing import TYPE_CHECKING
from typing import Any

import httpcore
import msgspec
import trio

from pimentobridge.bench import harness
from pimentobridge.daemons import configuration_watch
from pimentobridge.platform import http_store
from pimentobridge.testing import backend
from pimentobridge.testing import deployment
from pimentobridge.testing import keys

if TYPE_CHECKING:
    from pimentobridge.core import request as request_lib
    from pimentobridge.core import types

HOST = "127.0.0.1"
ENTRIES = 2
REQUESTS = 240
ARRIVALS_PER_S = 24.0
START_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 20.0
MAX_ATTEMPTS = 4


class _Problem(msgspec.Struct):
    ran: str


@dataclasses.dataclass
class ClassOutcomes:
    """Outcomes of the requests of one class.

    Attributes:
        sent: requests that were sent.
        answered: requests that were answered with status 200.
        refused: requests that were rejected without having run.
        unknown: requests that failed, and that ran or may have run.
        lost: requests that got no response after all attempts.
        doubled: non-idempotent requests that were started more than once.
        wrong: answered requests whose response body was not the expected one.
        latencies_s: latency of each answered request.
    """

    sent: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    lost: int = 0
    doubled: int = 0
    wrong: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class _ManagedProcess:
    """A process of the demo, with the arguments to start it again."""

    name: str
    arguments: list[str]
    process: subprocess.Popen[bytes] | None = None


class Demo:
    """Runs one deployment on loopback.

    Args:
        size: name of the deployment and number of its backend servers.
        folder: directory to which settings and logs are written.

    Attributes:
        outcomes_by_class: outcomes of the requests, by name of their class.
        gang_states: successive states in which the gang was observed.
    """

    def __init__(self, size: deployment.Size, folder: pathlib.Path) -> None:
        self._size = size
        self._folder = folder
        self._document = deployment.load_document(size.name)
        self._rng = random.Random(size.name)
        self._processes_by_name: dict[str, _ManagedProcess] = {}
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)
        self._entry_urls: list[str] = []
        self._backend_urls: list[str] = []
        self._keys_by_class: dict[str, list[str]] = collections.defaultdict(
            list
        )
        self.outcomes_by_class: dict[str, ClassOutcomes] = (
            collections.defaultdict(ClassOutcomes)
        )
        self.gang_states: list[str] = []

    async def run(self) -> bool:
        """Runs the demo and returns whether the invariants hold."""
        try:
            await self._start()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_gang)
                nursery.start_soon(self._inject_faults)
                await self._send_requests(nursery)
            await self._count_repeated_starts()
        finally:
            self._stop()
        self._print_table()
        return self._invariants_hold()

    async def _start(self) -> None:
        ports = _free_ports(2 + 3 * self._size.runners + 2 * ENTRIES)
        store_url = f"http://{HOST}:{ports.pop()}"
        listen = store_url.removeprefix("http://")
        module = "pimentobridge.testing.platform_servers"
        self._launch("store", ["-m", module, "--store", listen])
        await self._wait_for_status(f"{store_url}/v1/kv-key?key=none", (404,))
        store = http_store.HttpStore(store_url)
        await store.compare_and_swap(
            configuration_watch.KEY,
            configuration_watch.encode(keys.signed(self._document)),
            expected_revision=0,
        )
        entry_ports = [(ports.pop(), ports.pop()) for _ in range(ENTRIES)]
        entries = [f"tcp://{HOST}:{port}" for port, _ in entry_ports]
        places = [
            (region.name, name)
            for region in self._document.regions
            for name in region.data_centres
        ]
        for index, (port, http_port) in enumerate(entry_ports):
            self._entry_urls.append(f"http://{HOST}:{http_port}")
            self._launch_daemon(
                f"entry-{index}",
                places[-index],
                "entries",
                entries,
                store_url,
                listen=f"tcp://{HOST}:{port}",
                http_listen=f"{HOST}:{http_port}",
            )
        for index in range(self._size.runners):
            backend_url = f"http://{HOST}:{ports.pop()}"
            self._backend_urls.append(backend_url)
            self._launch(f"backend-{index}", _backend_arguments(backend_url))
            place = places[index % len(places)]
            self._launch_daemon(
                f"agent-{index}",
                place,
                f"{place[1]}-rack-{index // 9}",
                entries,
                store_url,
                listen=f"tcp://{HOST}:{ports.pop()}",
                backend_url=backend_url,
                accelerators=8,
            )
        for url in self._entry_urls:
            await self._wait_for_status(f"{url}/healthz", (200,))
        await self._wait_for_servers()
        _print_line(
            f"{self._size.name}: {len(self._processes_by_name)} processes run"
        )

    def _launch_daemon(
        self,
        name: str,
        place: tuple[str, str],
        group: str,
        entries: list[str],
        store_url: str,
        **fields: Any,
    ) -> None:
        role = name.split("-")[0]
        settings = {
            "node": f"{self._size.name}-{name}",
            "role": role,
            "region": place[0],
            "data_centre": place[1],
            "group": group,
            "entries": entries,
            "store_url": store_url,
            "trusted_owners": msgspec.to_builtins(self._document.owners),
            "log_level": "warning",
            **fields,
        }
        path = self._folder / f"{name}.jsonc"
        text = msgspec.json.format(msgspec.json.encode(settings)).decode()
        path.write_text(f"// Settings of {name}.\n{text}\n")
        self._launch(
            name,
            ["-m", "pimentobridge.cli.main", role, "--settings", str(path)],
        )

    def _launch(self, name: str, arguments: list[str]) -> None:
        managed = self._processes_by_name.setdefault(
            name, _ManagedProcess(name, arguments)
        )
        log = (self._folder / f"{name}.log").open("ab")
        managed.process = subprocess.Popen(
            [sys.executable, *managed.arguments], stdout=log, stderr=log
        )

    async def _wait_for_status(
        self, url: str, statuses: tuple[int, ...]
    ) -> None:
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                try:
                    response = await self._pool.request("GET", url)
                    if response.status in statuses:
                        return
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    pass
                await trio.sleep(0.1)

    async def _wait_for_servers(self) -> None:
        with trio.fail_after(START_TIMEOUT_S):
            for url in self._entry_urls:
                while True:
                    response = await self._pool.request(
                        "GET", f"{url}/v1/status"
                    )
                    status = msgspec.json.decode(response.content)
                    if len(status["servers"]) >= self._size.runners:
                        break
                    await trio.sleep(0.2)

    async def _send_requests(self, nursery: trio.Nursery) -> None:
        for number in range(REQUESTS):
            await trio.sleep(self._rng.expovariate(ARRIVALS_PER_S))
            nursery.start_soon(self._send_one, number)
            if number % 60 == 59:
                done = sum(
                    row.answered + row.refused + row.unknown
                    for row in self.outcomes_by_class.values()
                )
                _print_line(
                    f"  {number + 1} requests sent, {done} have an outcome"
                )

    async def _send_one(self, number: int) -> None:
        work_class = self._rng.choice(self._document.classes)
        account = self._rng.choice(self._document.client_accounts)
        key = f"demo-{number}"
        answer_bytes = self._rng.choice([500, 20_000, 300_000])
        run_s = min(work_class.expected_run_s, 2.0)
        order = backend.WorkOrder(run_s, answer_bytes)
        row = self.outcomes_by_class[work_class.name]
        row.sent += 1
        self._keys_by_class[work_class.name].append(f"{account.name}/{key}")
        start_s = trio.current_time()
        for attempt in range(MAX_ATTEMPTS):
            url = self._entry_urls[(number + attempt) % ENTRIES]
            response = await self._call(
                url, work_class, account.name, key, backend.payload(order)
            )
            if response is not None:
                break
            await trio.sleep(0.3)
        else:
            row.lost += 1
            return
        expected = backend.answer_for(f"{account.name}/{key}", answer_bytes)
        self._record(row, response, expected, trio.current_time() - start_s)

    async def _call(
        self,
        url: str,
        work_class: request_lib.WorkClass,
        account: types.AccountName,
        key: str,
        payload: bytes,
    ) -> httpcore.Response | None:
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                return await self._pool.request(
                    "POST",
                    f"{url}/v1/work/{work_class.name}",
                    headers={
                        "Client-Account": account,
                        "Caller": f"caller-{self._rng.randrange(5)}",
                        "Idempotency-Key": key,
                        "Request-Timeout": str(min(work_class.deadline_s, 15)),
                    },
                    content=payload,
                )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            trio.TooSlowError,
        ):
            return None

    def _record(
        self,
        row: ClassOutcomes,
        response: httpcore.Response,
        expected: bytes,
        elapsed_s: float,
    ) -> None:
        if response.status == 200:
            row.answered += 1
            row.latencies_s.append(elapsed_s)
            row.wrong += response.content != expected
            return
        problem = msgspec.json.decode(response.content, type=_Problem)
        if problem.ran == "no":
            row.refused += 1
        else:
            row.unknown += 1

    async def _run_gang(self) -> None:
        """Submits a gang of two workers and polls it until it runs."""
        account = self._document.client_accounts[0]
        spec = {
            "id": "demo-gang",
            "account": account.name,
            "team": account.teams[0].name,
            "shape": {
                "accelerators": 4,
                "workers": 2,
                "scope": "data_centre",
            },
        }
        body = msgspec.json.encode(spec)
        with trio.move_on_after(25):
            while True:
                response = await self._job_call("POST", "", body)
                if response is not None and response.status == 200:
                    break
                await trio.sleep(0.5)
            while "running" not in self.gang_states:
                response = await self._job_call("GET", "/demo-gang", b"")
                if response is not None and response.status == 200:
                    state = msgspec.json.decode(response.content)["state"]
                    if state not in self.gang_states[-1:]:
                        self.gang_states.append(state)
                await trio.sleep(0.2)

    async def _job_call(
        self, method: str, path: str, body: bytes
    ) -> httpcore.Response | None:
        url = self._rng.choice(self._entry_urls)
        try:
            return await self._pool.request(
                method, f"{url}/v1/jobs{path}", content=body
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return None

    async def _inject_faults(self) -> None:
        length_s = REQUESTS / ARRIVALS_PER_S
        await trio.sleep(length_s * 0.35)
        await self._kill_and_restart("agent-3")
        await trio.sleep(length_s * 0.15)
        await self._kill_and_restart("entry-1")

    async def _kill_and_restart(self, name: str) -> None:
        managed = self._processes_by_name[name]
        if managed.process is not None:
            _print_line(f"  killing {name}")
            managed.process.send_signal(signal.SIGKILL)
            managed.process.wait()
        await trio.sleep(1.0)
        self._launch(name, managed.arguments)

    async def _count_repeated_starts(self) -> None:
        started: collections.Counter[str] = collections.Counter()
        for url in self._backend_urls:
            response = await self._pool.request("GET", f"{url}/effects")
            for line in msgspec.json.decode(response.content):
                started[line["key"]] += line["started"]
        for work_class in self._document.classes:
            if not work_class.idempotent:
                self.outcomes_by_class[work_class.name].doubled = sum(
                    started[key] > 1
                    for key in self._keys_by_class[work_class.name]
                )

    def _stop(self) -> None:
        running = [
            managed.process
            for managed in self._processes_by_name.values()
            if managed.process
        ]
        for process in running:
            process.terminate()
        for process in running:
            try:
                process.wait(timeout=5)
            except subprocess.TimeoutExpired:
                process.kill()

    def _print_table(self) -> None:
        header = (
            "class",
            "sent",
            "answered",
            "refused",
            "unknown",
            "lost",
            "doubled",
            "wrong",
            "p50 s",
            "p99 s",
        )
        _print_line(f"{self._size.name}:")
        _print_line("  " + "".join(f"{name:>14}" for name in header))
        for name, row in sorted(self.outcomes_by_class.items()):
            cells = (
                name,
                row.sent,
                row.answered,
                row.refused,
                row.unknown,
                row.lost,
                row.doubled,
                row.wrong,
                f"{harness.percentile(row.latencies_s, 0.5):.3f}",
                f"{harness.percentile(row.latencies_s, 0.99):.3f}",
            )
            _print_line("  " + "".join(f"{cell!s:>14}" for cell in cells))
        _print_line(
            f"  gang of 2 x 4 accelerators: {' > '.join(self.gang_states)}"
        )

    def _invariants_hold(self) -> bool:
        rows = self.outcomes_by_class.values()
        violations = sum(row.lost + row.doubled + row.wrong for row in rows)
        all_accounted = all(
            row.sent == row.answered + row.refused + row.unknown + row.lost
            for row in rows
        )
        answered = sum(row.answered for row in rows)
        started = "running" in self.gang_states
        return not violations and all_accounted and answered > 0 and started


def _backend_arguments(url: str) -> list[str]:
    listen = url.removeprefix("http://")
    return ["-m", "pimentobridge.testing.servers", listen]


def _free_ports(count: int) -> list[int]:
    sockets = []
    for _ in range(count):
        reserved = socket.socket()
        reserved.bind((HOST, 0))
        sockets.append(reserved)
    ports = [reserved.getsockname()[1] for reserved in sockets]
    for reserved in sockets:
        reserved.close()
    return ports


def _print_line(line: str) -> None:
    print(line, flush=True)


def run(names: list[str]) -> int:
    """Runs the demo of each deployment; returns 0 if the invariants hold."""
    sizes = {size.name: size for size in (deployment.MUIDA, deployment.LUNETTA)}
    all_hold = True
    for name in names or sorted(sizes):
        with tempfile.TemporaryDirectory() as folder:
            demo = Demo(sizes[name], pathlib.Path(folder))
            all_hold = trio.run(demo.run) and all_hold
    _print_line("invariants hold" if all_hold else "INVARIANTS VIOLATED")
    return 0 if all_hold else 1
