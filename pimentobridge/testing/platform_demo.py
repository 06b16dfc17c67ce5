"""Runs jobs as real processes on loopback, and kills the scheduler."""

from __future__ import annotations

import base64
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import uuid

import httpcore
import msgspec
import trio

from pimentobridge.platform import boot_settings
from pimentobridge.platform import http_client
from pimentobridge.platform import operator_configuration
from pimentobridge.testing import platform_servers

ENTRIES = 3
WORKERS = 6
STORE = "127.0.1.1"
START_LIMIT_S = 40.0
JOB_LIMIT_S = 60.0
HOSTNAME = "host.example"
PREFIX = "/plans/"
KEY = "key-of-shop"
STEP = {"cpu": 1000, "memMb": 1000, "gpu": 2, "estimateMs": 3000}


class PlatformDemo:
    """Three entries and six workers with their agents.

    Args:
        folder: where settings and logs are written.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        port = 20_000 + os.getpid() % 20_000
        self._ports = {
            name: port + offset
            for offset, name in enumerate(
                ("front", "ready", "control", "runner", "store", "internal")
            )
        }
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.completed: list[str] = []

    async def run(self) -> bool:
        """Runs the demo and returns whether all jobs ended well."""
        try:
            self._start_stand_ins()
            await self._configure()
            for number in range(ENTRIES):
                self._start_daemon("job_entry", f"entry-{number}", 10 + number)
            for number in range(WORKERS):
                self._start_daemon(
                    "worker_agent", f"agent-{number}", 30 + number
                )
            await self._wait_ready()
            print(f"jobs: {len(self._processes)} processes run", flush=True)
            jobs = [await self._submit(gang) for gang in (False, True, False)]
            await trio.sleep(2.0)
            self._kill_scheduler()
            jobs.append(await self._submit(True))
            for job in jobs:
                await self._follow(job)
            return await self._judge(jobs)
        finally:
            self._stop()

    def _start_stand_ins(self) -> None:
        arguments = ["--store", f"{STORE}:{self._ports['store']}"]
        for number in range(WORKERS):
            runner = f"127.0.2.{number + 1}:{self._ports['runner']}"
            control = f"127.0.1.{30 + number}:{self._ports['control']}"
            arguments += ["--runner", f"{runner}={control}"]
        self._launch(
            "stand-ins",
            ["-m", "pimentobridge.testing.platform_servers", *arguments],
        )

    def _launch(
        self, name: str, arguments: list[str], **variables: str
    ) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                env=os.environ | variables,
            )

    def _start_daemon(self, role: str, node: str, host: int) -> None:
        ports, ip = self._ports, f"127.0.1.{host}"
        lines = {
            "node": node,
            "ip": ip,
            "zone": "north-a",
            "region": "north",
            "internalPorts": f"{ports['internal']},{ports['internal']}",
            "platform.address": f"{STORE}:{ports['store']}",
            "listenAddrs.control": f"{ip}:{ports['control']}",
        }
        if role == "job_entry":
            lines["listenAddrs.front"] = f"{ip}:{ports['front']}"
            lines["listenAddrs.ready"] = f"{ip}:{ports['ready']}"
        else:
            lines["app"] = f"127.0.2.{host - 29}:{ports['runner']}"
        path = self._folder / f"{node}.conf"
        path.write_text(
            "".join(f"{key}={value}\n" for key, value in lines.items()),
            encoding="utf-8",
        )
        self._launch(
            node,
            ["-m", f"pimentobridge.daemons.{role}_process"],
            **{boot_settings.PATH_VARIABLE: str(path)},
        )

    async def _configure(self) -> None:
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
        store = http_client.HttpClient(f"{STORE}:{self._ports['store']}")
        path = f"{platform_servers.OPERATOR_PATH}{operator_configuration.KEY}"
        with trio.fail_after(START_LIMIT_S):
            while isinstance(
                await store.call(
                    "POST", path, timeout_s=1.0, body={"value": value}
                ),
                http_client.Failure,
            ):
                await trio.sleep(0.1)

    async def _wait_ready(self) -> None:
        with trio.fail_after(START_LIMIT_S):
            for number in range(ENTRIES):
                while await self._call(number, "GET", "", ready=True) != 200:
                    await trio.sleep(0.1)

    async def _call(
        self,
        entry: int,
        method: str,
        rest: str,
        *,
        body: object | None = None,
        ready: bool = False,
    ) -> int:
        """Calls an entry; keeps the body of the answer."""
        port = self._ports["ready" if ready else "front"]
        path = "/v1/readiness" if ready else f"{PREFIX}{rest}"
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                response = await pool.request(
                    method,
                    f"http://127.0.1.{10 + entry}:{port}{path}",
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
        self._answer = response.content
        return response.status

    async def _submit(self, gang: bool) -> str:
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
        with trio.fail_after(JOB_LIMIT_S):
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
        """Kills the entry that logged last that it schedules."""
        for number in range(ENTRIES):
            name = f"entry-{number}"
            log = (self._folder / f"{name}.log").read_text(encoding="utf-8")
            if '"message":"scheduling"' in log:
                print(f"  killing the scheduler, {name}", flush=True)
                process = self._processes[name]
                process.send_signal(signal.SIGKILL)
                process.wait()
                return

    async def _follow(self, job: str) -> None:
        with trio.move_on_after(JOB_LIMIT_S):
            for attempt in range(10_000):
                if await self._call(attempt % ENTRIES, "GET", job) == 200:
                    state = msgspec.json.decode(self._answer)["state"]
                    if state == "completed":
                        self.completed.append(job)
                        print(f"  job {job} completed", flush=True)
                        return
                await trio.sleep(0.2)

    async def _judge(self, jobs: list[str]) -> bool:
        store = http_client.HttpClient(f"{STORE}:{self._ports['store']}")
        answer = await store.call(
            "GET", platform_servers.STARTS_PATH, timeout_s=2.0
        )
        if isinstance(answer, http_client.Failure):
            return False
        done = answer.body["done"]
        doubled = [task for task, count in done.items() if count > 1]
        print(
            f"  {len(done)} tasks done, {len(doubled)} done twice,"
            f" {answer.body['starts']} starts",
            flush=True,
        )
        return not doubled and sorted(self.completed) == sorted(jobs)

    def _stop(self) -> None:
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()


def run() -> int:
    """Runs the demo; 0 if every job ended well, once."""
    with tempfile.TemporaryDirectory() as folder:
        holds = trio.run(PlatformDemo(pathlib.Path(folder)).run)
    print("jobs hold" if holds else "JOBS FAILED", flush=True)
    return 0 if holds else 1
