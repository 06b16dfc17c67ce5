"""Demo: runs jobs on real processes on loopback and kills the scheduler."""

from __future__ import annotations

import base64
import pathlib
import signal
import tempfile
import uuid

import httpcore
import msgspec
import trio

from pimentobridge.platform import http_client
from pimentobridge.platform import operator_configuration
from pimentobridge.testing import platform_processes
from pimentobridge.testing import platform_servers

ENTRIES = 3
WORKERS = 6
STORE_IP = "127.0.1.1"
START_TIMEOUT_S = 40.0
JOB_TIMEOUT_S = 60.0
HOSTNAME = "host.example"
PREFIX = "/plans/"
KEY = "key-of-shop"
STEP = {"cpu": 1000, "memMb": 1000, "gpu": 2, "estimateMs": 3000}


class PlatformDemo:
    """Three entries and six workers with their agents, on a fake platform.

    Args:
        folder: directory to which settings and logs are written.

    Attributes:
        completed: ids of the jobs that a caller saw as completed.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        port = platform_processes.base_port()
        self._processes = platform_processes.Processes(folder, port=port)
        self._store_address = f"{STORE_IP}:{port + 4}"
        self._runner_port = port + 5
        self.completed: list[str] = []

    async def run(self) -> bool:
        """Runs the demo; returns whether all jobs completed without repeats."""
        try:
            self._start_platform()
            await self._put_configuration()
            for number in range(ENTRIES):
                self._processes.launch_entry(number, store=self._store_address)
            for number in range(WORKERS):
                self._processes.launch_agent(
                    number,
                    store=self._store_address,
                    runner=self._runner_address(number),
                )
            await self._wait_ready()
            print(f"jobs: {len(self._processes)} processes run", flush=True)
            jobs = [await self._submit(gang) for gang in (False, True, False)]
            await trio.sleep(2.0)
            self._kill_scheduler()
            jobs.append(await self._submit(True))
            for job in jobs:
                await self._wait_until_completed(job)
            return await self._check_results(jobs)
        finally:
            self._processes.stop()

    def _runner_address(self, number: int) -> str:
        return f"127.0.2.{number + 1}:{self._runner_port}"

    def _start_platform(self) -> None:
        arguments = ["--store", self._store_address]
        for number in range(WORKERS):
            control_address = self._processes.control_address(number)
            arguments += [
                "--runner",
                f"{self._runner_address(number)}={control_address}",
            ]
        self._processes.launch(
            "platform",
            ["-m", "pimentobridge.testing.platform_servers", *arguments],
        )

    async def _put_configuration(self) -> None:
        document = {
            "version": 1,
            "routes": [
                {
                    "name": "plans",
                    "hostname": HOSTNAME,
                    "prefix": PREFIX,
                    "service": platform_servers.SERVICE,
                    "priority": 1,
                    "maxAttempts": 2,
                }
            ],
            "services": [{"name": platform_servers.SERVICE}],
            "tenants": [{"name": "shop", "apiKeys": [KEY]}],
        }
        value = base64.b64encode(msgspec.json.encode(document)).decode()
        store = http_client.HttpClient(self._store_address)
        path = f"{platform_servers.OPERATOR_PATH}{operator_configuration.KEY}"
        with trio.fail_after(START_TIMEOUT_S):
            while isinstance(
                await store.call(
                    "POST", path, timeout_s=1.0, body={"value": value}
                ),
                http_client.Failure,
            ):
                await trio.sleep(0.1)

    async def _wait_ready(self) -> None:
        with trio.fail_after(START_TIMEOUT_S):
            for number in range(ENTRIES):
                while await self._call(number, "GET", "", ready=True) != 200:
                    await trio.sleep(0.1)

    async def _call(
        self,
        entry: int,
        method: str,
        job: str,
        *,
        body: object | None = None,
        ready: bool = False,
    ) -> int:
        """Returns the status of a call to an entry, or 0 without a response.

        Keeps the body of the response in `_last_body`.
        """
        path = "/v1/readiness" if ready else f"{PREFIX}{job}"
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                response = await pool.request(
                    method,
                    self._processes.url(entry, ready=ready) + path,
                    headers={
                        "Host": HOSTNAME,
                        "Authorization": f"Bearer {KEY}",
                        "Content-Type": "application/json",
                    },
                    content=msgspec.json.encode(body) if body else b"",
                    extensions={"timeout": {"connect": 1, "read": 4}},
                )
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ):
                return 0
        self._last_body = response.content
        return response.status

    async def _submit(self, gang: bool) -> str:
        """Submits a job until it is accepted; returns its id."""
        job = uuid.uuid4().hex[:16]
        spec = {
            "seconds": 3.0,
            "request": [STEP["cpu"], STEP["memMb"], STEP["gpu"]],
            "gang": 4 if gang else 0,
            "checkpointing": True,
        }
        steps: list[dict[str, object]] = [
            {**STEP, "count": 4, "checkpointing": True}
        ]
        if gang:
            steps[0]["gang"] = True
        else:
            steps.append({**STEP, "count": 2, "after": [0]})
        body = {"spec": msgspec.json.encode(spec).decode(), "steps": steps}
        with trio.fail_after(JOB_TIMEOUT_S):
            for attempt in range(1000):
                if (
                    await self._call(attempt % ENTRIES, "POST", job, body=body)
                    == 200
                ):
                    break
                await trio.sleep(0.3)
        print(f"  job {job} accepted{' (gang)' if gang else ''}", flush=True)
        return job

    def _kill_scheduler(self) -> None:
        """Kills the first entry that has logged that it is the scheduler."""
        for number in range(ENTRIES):
            name = f"entry-{number}"
            if '"message":"scheduling"' in self._processes.read_log(name):
                print(f"  killing the scheduler, {name}", flush=True)
                self._processes.signal(name, signal.SIGKILL)
                return

    async def _wait_until_completed(self, job: str) -> None:
        with trio.move_on_after(JOB_TIMEOUT_S):
            for attempt in range(10_000):
                if await self._call(attempt % ENTRIES, "GET", job) == 200:
                    state = msgspec.json.decode(self._last_body)["state"]
                    if state == "completed":
                        self.completed.append(job)
                        print(f"  job {job} completed", flush=True)
                        return
                await trio.sleep(0.2)

    async def _check_results(self, jobs: list[str]) -> bool:
        store = http_client.HttpClient(self._store_address)
        answer = await store.call(
            "GET", platform_servers.STARTS_PATH, timeout_s=2.0
        )
        if isinstance(answer, http_client.Failure):
            return False
        done_by_task = answer.body["done"]
        repeated = [task for task, count in done_by_task.items() if count > 1]
        print(
            f"  {len(done_by_task)} tasks done, {len(repeated)} done twice,"
            f" {answer.body['starts']} starts",
            flush=True,
        )
        return not repeated and sorted(self.completed) == sorted(jobs)


def run() -> int:
    """Runs the demo; returns 0 if all jobs completed without repeated tasks."""
    with tempfile.TemporaryDirectory() as folder:
        succeeded = trio.run(PlatformDemo(pathlib.Path(folder)).run)
    print("jobs hold" if succeeded else "JOBS FAILED", flush=True)
    return 0 if succeeded else 1
