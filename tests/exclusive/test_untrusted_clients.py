"""Load of untrusted clients against an entry and an agent as processes.

Each test guards against a process that ends, hangs or exceeds the memory or the
file descriptors of its machine because of what clients send or don't read.
Nothing here depends on the speed of the machine: the time limits only end a
test that hangs.
"""

from __future__ import annotations

import base64
import contextlib
import os
import pathlib
import signal
from typing import TYPE_CHECKING
import uuid

import httpcore
import msgspec
import trio

from pimentobridge.platform import operator_configuration
from pimentobridge.testing import platform_processes
from pimentobridge.testing import platform_servers
from pimentobridge.testing import untrusted_clients

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    Load = Callable[[untrusted_clients.Crowd], Awaitable[None]]

# The machine that the settings of the processes describe. An idle entry has
# about 40 MB; bounds must leave it under the whole.
MEMORY_MB = 100
MAX_FDS = 600
SETTINGS = {
    "limits.memoryMb": str(MEMORY_MB),
    "limits.maxFds": str(MAX_FDS),
}
STORE_IP = "127.0.1.1"
HOSTNAME = "host.example"
PREFIX = "/plans/"
MAX_BODY_BYTES = 262_144
# Legal bodies whose total alone is more than the machine's memory.
BODY_BYTES = 262_000
LARGE_BODIES = 400
# Endless in that the client never sends the empty line after them.
TRAILER_LINES = 12
ENDLESS_LINES = 5_000
ENDLESS_TRAILERS = 50
PIPELINED_CONNECTIONS = 20
PIPELINED_REQUESTS = 20_000
IDLE_CONNECTIONS = 900
# Records that need more memory than the machine has, as an entry holds each of
# them several times.
LARGE_RECORDS = 150
CLOSED_CONNECTIONS = 1500
# Their lines are shorter than the 16 KiB that hypercorn allows for a head.
FIELDS = 1_800
METRICS_PORT = 9464
HANG_LIMIT_S = 60.0
CALL_TIMEOUT_S = 10.0
STEP = {"cpu": 1000, "memMb": 1000, "gpu": 0, "estimateMs": 1000, "count": 1}


class Deployment:
    """An entry and an agent beside the stand-in store."""

    def __init__(self, folder: pathlib.Path) -> None:
        port = platform_processes.base_port()
        self._processes = platform_processes.Processes(folder, port=port)
        self._store = f"{STORE_IP}:{port + 4}"
        self._runner = f"127.0.2.1:{port + 5}"
        self.front = self._processes.url(0).removeprefix("http://")
        self.control = self._processes.control_address(0)
        self.metrics = f"{self._processes.entry_ip(0)}:{METRICS_PORT}"
        self.entry = "entry-0"
        self.agent = "agent-0"

    async def start(self) -> None:
        self._processes.launch(
            "platform",
            [
                "-m",
                "pimentobridge.testing.platform_servers",
                "--store",
                self._store,
                "--runner",
                f"{self._runner}={self.control}",
            ],
        )
        path = f"{platform_servers.OPERATOR_PATH}{operator_configuration.KEY}"
        document = base64.b64encode(msgspec.json.encode(_document())).decode()
        await self._until(
            200, "POST", f"{self._store}{path}", {"value": document}
        )
        self._processes.launch_entry(0, store=self._store, settings=SETTINGS)
        self._processes.launch_agent(
            0, store=self._store, runner=self._runner, settings=SETTINGS
        )
        await self.check_served(self.entry)
        await self.check_served(self.agent)

    def stop(self) -> None:
        self._processes.stop()

    async def check_served(self, name: str) -> None:
        """Checks that an ordinary request is answered with 200."""
        if name == self.entry:
            url = f"{self.front}{_job_path()}"
            await self._until(200, "POST", url, {"spec": "", "steps": [STEP]})
        else:
            url = f"{self.control}/v1/instances/other-worker/heartbeat"
            await self._until(200, "POST", url, _heartbeat())

    def check_within_limits(self, name: str) -> None:
        """Checks that a process lives and uses no more than it may."""
        assert not self._processes.has_exited(name)
        process = pathlib.Path("/proc") / str(self._processes.pid(name))
        status = (process / "status").read_text(encoding="utf-8")
        # Peak of the resident memory since the start of the process.
        line = next(
            line for line in status.splitlines() if line.startswith("VmHWM")
        )
        peak_kb = int(line.split()[1])
        descriptors = len(os.listdir(process / "fd"))
        print(f"{name}: peak {peak_kb} kB, {descriptors} descriptors")
        assert peak_kb <= MEMORY_MB * 1024
        assert descriptors <= MAX_FDS

    async def check_stops(self, name: str) -> None:
        """Checks that a process ends when it is told to."""
        self._processes.signal(name, signal.SIGTERM)
        with trio.fail_after(HANG_LIMIT_S):
            while not self._processes.has_exited(name):
                await trio.sleep(0.05)

    async def _until(
        self, status: int, method: str, url: str, body: object
    ) -> None:
        with trio.fail_after(HANG_LIMIT_S):
            while await _call(method, f"http://{url}", body) != status:
                await trio.sleep(0.1)


async def _call(method: str, url: str, body: object) -> int:
    """Returns the status of a response, or 0 if there is none."""
    return await _call_raw(method, url, msgspec.json.encode(body))


async def _call_raw(method: str, url: str, content: bytes) -> int:
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            response = await pool.request(
                method,
                url,
                headers={"Host": HOSTNAME},
                content=content,
                extensions={
                    "timeout": {
                        "connect": CALL_TIMEOUT_S,
                        "read": CALL_TIMEOUT_S,
                        "write": CALL_TIMEOUT_S,
                    }
                },
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return 0
    return response.status


def _document() -> dict[str, object]:
    return {
        "version": 1,
        "routes": [
            {
                "name": "plans",
                "hostname": HOSTNAME,
                "prefix": PREFIX,
                "service": platform_servers.SERVICE,
                "allowAnonymous": True,
            }
        ],
        "services": [{"name": platform_servers.SERVICE}],
        "limits": {"maxBodyBytes": MAX_BODY_BYTES},
    }


def _heartbeat() -> dict[str, object]:
    return {
        "service": platform_servers.SERVICE,
        "address": "127.0.2.2:1",
        "zone": "north-a",
        "state": "ready",
        "capacity": {"cpu": 1000, "memMb": 1000},
        "labels": ["a", "rack-0"],
        "sequence": 1,
        "born": 1,
        "clockMs": 1.0,
    }


def _job_path() -> str:
    return f"{PREFIX}{uuid.uuid4().hex[:16]}"


def _job_head(fields: dict[str, str]) -> bytes:
    return untrusted_clients.head("POST", _job_path(), HOSTNAME, fields)


def _heartbeat_head(fields: dict[str, str]) -> bytes:
    path = "/v1/instances/other-worker/heartbeat"
    return untrusted_clients.head("POST", path, HOSTNAME, fields)


def _large_job(size: int) -> bytes:
    """Returns a job that is accepted, as a body of the given size."""
    return msgspec.json.encode({"spec": "", "steps": [STEP]}).ljust(size)


def _large_record(size: int) -> bytes:
    """Returns a job whose record in the store has about the given size."""
    step = STEP | {"image": "i" * (size - 1000)}
    return msgspec.json.encode({"spec": "", "steps": [step]})


def _length(size: int) -> dict[str, str]:
    return {"Content-Length": str(size)}


CHUNKED = {"Transfer-Encoding": "chunked"}


@contextlib.asynccontextmanager
async def _deployed(folder: pathlib.Path) -> AsyncIterator[Deployment]:
    deployment = Deployment(folder)
    try:
        with trio.fail_after(HANG_LIMIT_S):
            await deployment.start()
        yield deployment
    finally:
        deployment.stop()


async def _bear(
    deployment: Deployment,
    load: Load,
    name: str,
    address: str,
) -> None:
    """Puts a process under a load and checks it during the load and after."""
    async with trio.open_nursery() as nursery:
        crowd = untrusted_clients.Crowd(address, nursery)
        with trio.fail_after(HANG_LIMIT_S):
            await load(crowd)
        deployment.check_within_limits(name)
        await deployment.check_served(name)
        deployment.check_within_limits(name)
        nursery.cancel_scope.cancel()
    await deployment.check_served(name)
    deployment.check_within_limits(name)


def _run(
    folder: pathlib.Path,
    load: Load,
    *,
    agent: bool = False,
    metrics: bool = False,
) -> None:
    async def scenario() -> None:
        async with _deployed(folder) as deployment:
            name, address = deployment.entry, deployment.front
            if agent:
                name, address = deployment.agent, deployment.control
            if metrics:
                address = deployment.metrics
            await _bear(deployment, load, name, address)

    trio.run(scenario)


def test_entry_under_trailers_that_hold_large_bodies(
    tmp_path: pathlib.Path,
) -> None:
    body = _large_job(BODY_BYTES)

    async def load(crowd: untrusted_clients.Crowd) -> None:
        await crowd.send(
            untrusted_clients.unfinished_trailers(
                _job_head(CHUNKED), body, TRAILER_LINES
            )
            for _ in range(LARGE_BODIES)
        )

    _run(tmp_path, load)


def test_entry_under_endless_trailers(tmp_path: pathlib.Path) -> None:
    async def load(crowd: untrusted_clients.Crowd) -> None:
        await crowd.send(
            untrusted_clients.unfinished_trailers(
                _job_head(CHUNKED), b"{}", ENDLESS_LINES
            )
            for _ in range(ENDLESS_TRAILERS)
        )

    _run(tmp_path, load)


def test_entry_under_large_whole_bodies(tmp_path: pathlib.Path) -> None:
    # Unlike jobs, bodies that can't be decoded aren't kept by the store, whose
    # contents every entry holds.
    body = b"{" * BODY_BYTES

    async def load(crowd: untrusted_clients.Crowd) -> None:
        await crowd.send(
            untrusted_clients.whole_body(_job_head(_length(len(body))), body)
            for _ in range(LARGE_BODIES)
        )

    _run(tmp_path, load)


def test_entry_under_large_whole_jobs(tmp_path: pathlib.Path) -> None:
    body = _large_job(BODY_BYTES)

    async def load(crowd: untrusted_clients.Crowd) -> None:
        await crowd.send(
            untrusted_clients.whole_body(_job_head(_length(len(body))), body)
            for _ in range(LARGE_BODIES)
        )

    _run(tmp_path, load)


def test_entry_under_large_records_that_it_accepts(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against accepted jobs that every entry holds in memory."""
    body = _large_record(BODY_BYTES)

    async def scenario() -> None:
        async with _deployed(tmp_path) as deployment:
            statuses = set()
            with trio.fail_after(HANG_LIMIT_S):
                for _ in range(LARGE_RECORDS):
                    url = f"http://{deployment.front}{_job_path()}"
                    statuses.add(await _call_raw("POST", url, body))
            # Refusals are allowed, an end of the process isn't.
            assert statuses <= {200, 503}
            deployment.check_within_limits(deployment.entry)
            await deployment.check_served(deployment.entry)
            deployment.check_within_limits(deployment.entry)

    trio.run(scenario)


def test_entry_releases_connections_that_clients_have_closed(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario() -> None:
        async with _deployed(tmp_path) as deployment:
            url = f"http://{deployment.front}{PREFIX}"
            with trio.fail_after(HANG_LIMIT_S):
                for _ in range(CLOSED_CONNECTIONS):
                    assert await _call_raw("GET", url, b"") == 200
            deployment.check_within_limits(deployment.entry)
            await deployment.check_served(deployment.entry)

    trio.run(scenario)


def test_entry_under_unfinished_bodies_with_many_fields(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against fields that need far more memory than they have bytes."""
    fields = _length(BODY_BYTES) | {f"a{n}": "" for n in range(FIELDS)}

    async def load(crowd: untrusted_clients.Crowd) -> None:
        await crowd.send([_job_head(fields)] for _ in range(LARGE_BODIES))

    _run(tmp_path, load)


def test_entry_under_unfinished_bodies(tmp_path: pathlib.Path) -> None:
    body = _large_job(BODY_BYTES)

    async def load(crowd: untrusted_clients.Crowd) -> None:
        await crowd.send(
            untrusted_clients.unfinished_body(
                _job_head(_length(len(body))), body
            )
            for _ in range(LARGE_BODIES)
        )

    _run(tmp_path, load)


def test_entry_under_bodies_longer_than_the_limit(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against connections that are never released.

    The refusal of a body is sent while its client goes on sending.
    """
    body = b"{" * 4 * MAX_BODY_BYTES

    async def load(crowd: untrusted_clients.Crowd) -> None:
        await crowd.send(
            untrusted_clients.whole_body(_job_head(_length(len(body))), body)
            for _ in range(LARGE_BODIES)
        )

    _run(tmp_path, load)


def test_agent_under_unfinished_bodies(tmp_path: pathlib.Path) -> None:
    body = b"{" * BODY_BYTES

    async def load(crowd: untrusted_clients.Crowd) -> None:
        await crowd.send(
            untrusted_clients.unfinished_body(
                _heartbeat_head(_length(len(body))), body
            )
            for _ in range(LARGE_BODIES)
        )

    _run(tmp_path, load, agent=True)


def test_entry_stops_under_pipelined_requests_with_unread_responses(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a process that waits for clients to read."""
    request = untrusted_clients.head("GET", PREFIX + "x" * 8_000, HOSTNAME)

    async def scenario() -> None:
        async with (
            _deployed(tmp_path) as deployment,
            trio.open_nursery() as nursery,
        ):
            crowd = untrusted_clients.Crowd(deployment.front, nursery)
            await crowd.send(
                _pipelined(request) for _ in range(PIPELINED_CONNECTIONS)
            )
            deployment.check_within_limits(deployment.entry)
            await deployment.check_served(deployment.entry)
            deployment.check_within_limits(deployment.entry)
            await deployment.check_stops(deployment.entry)
            nursery.cancel_scope.cancel()

    trio.run(scenario)


def test_metrics_port_under_pipelined_requests_with_unread_responses(
    tmp_path: pathlib.Path,
) -> None:
    request = untrusted_clients.head("GET", "/metrics", HOSTNAME)

    async def load(crowd: untrusted_clients.Crowd) -> None:
        await crowd.send(
            _pipelined(request) for _ in range(PIPELINED_CONNECTIONS)
        )

    _run(tmp_path, load, metrics=True)


def test_entry_under_more_connections_than_descriptors(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against connections that leave no descriptor for others."""
    request = untrusted_clients.head("GET", PREFIX, HOSTNAME)[:-2]

    async def load(crowd: untrusted_clients.Crowd) -> None:
        await crowd.send([request] for _ in range(IDLE_CONNECTIONS))

    _run(tmp_path, load)


def test_entry_under_upgrades_to_other_protocols(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a process that a malformed upgrade ends."""
    upgrades = [
        untrusted_clients.head(
            "GET",
            PREFIX,
            HOSTNAME,
            {
                "Connection": "Upgrade, HTTP2-Settings",
                "Upgrade": "h2c",
                "HTTP2-Settings": "!",
            },
        ),
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 1000,
        untrusted_clients.head(
            "GET",
            PREFIX,
            HOSTNAME,
            {
                "Connection": "Upgrade",
                "Upgrade": "websocket",
                "Sec-WebSocket-Version": "13",
                "Sec-WebSocket-Key": "!",
            },
        )
        + b"\xff" * 1000,
    ]

    async def load(crowd: untrusted_clients.Crowd) -> None:
        for upgrade in upgrades:
            await crowd.send([[upgrade]])

    _run(tmp_path, load)


def _pipelined(request: bytes) -> Iterator[bytes]:
    requests_per_part = 100
    for _ in range(PIPELINED_REQUESTS // requests_per_part):
        yield request * requests_per_part
