"""A small deployment as processes on loopback, for the cases with a script."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

import link
import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "plans"
HOST = "jobs.example"
PREFIX = "/grind/"
QUEUE = "grind"
KEY = "key-of-shop"
CALL_TIMEOUT_S = 3.0
START_TIMEOUT_S = 40.0
STATE_INTERVAL_S = 0.5
MAX_ATTEMPTS = 3
# Accelerators of a worker.
GPUS = 8
PORTS = ("front", "ready", "control", "app", "store", "link", "internal")
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """\
node={node}
role={role}
machineClass={machine_class}
serves={serves}
ip={ip}
zone=sapa
region=north
zones.sapa=north
{listen}
internalPorts={internal},{internal}
seeds={seeds}
bootstrap=true
countsAsLoss=false
limits.cores=1
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=local
entry=virtual_ip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,tenants,platform
faultTolerance.machines=2
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=4000
bounds.ackTimeoutMs=5000
bounds.catchUpS=4
bounds.drainMs=3000
bounds.graceS=6
bounds.configApplyMs=3000
bounds.recoveryS=12
bounds.maxHoldMs=6000
bounds.stopTimeoutMs=400
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.checkpointIntervalS=2
bounds.leaseMs=3000
commandMode=call
advice=
platform.address={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.minTtlMs=1000
{app}
"""


class CaseNotRunError(Exception):
    """The case couldn't be played."""


class Deployment:
    """Entries, agents, runners and the store, as processes of their own.

    Args:
        entries: number of entries.
        workers: number of workers, each with an agent.
        small_workers: how many of them, the last ones, have half the capacity.
        links: whether proxies stand between the agents and their runners.
    """

    def __init__(
        self,
        *,
        entries: int,
        workers: int,
        small_workers: int = 0,
        links: bool = False,
    ) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._events = self.folder / "events.jsonl"
        self._events.touch()
        self._net = f"127.{random.randrange(2, 250)}.{random.randrange(250)}"
        self._ports = dict(
            zip(PORTS, _free_ports(self._net, len(PORTS)), strict=True)
        )
        self._popen_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._entries = entries
        self.workers = workers
        self._large_workers = workers - small_workers
        self._has_links = links
        self._links_by_worker: dict[int, list[link.Link]] = {}
        self.started_s = time.monotonic()

    # Addresses.

    def _address(self, machine: int, port: str) -> str:
        return f"{self._net}.{machine}:{self._ports[port]}"

    def _entry(self, number: int, port: str) -> str:
        return self._address(10 + number, port)

    def _agent(self, number: int, port: str) -> str:
        return self._address(30 + number, port)

    def _runner(self, number: int) -> str:
        return self._address(130 + number, "app")

    def control_of(self, number: int) -> str:
        """Returns where the runner of a worker sends its heartbeats."""
        if self._has_links:
            return self._address(30 + number, "link")
        return self._agent(number, "control")

    # Processes.

    async def start(self) -> None:
        """Starts everything, and waits until all workers are in use."""
        self._launch_store()
        await self._until("the store", self._store_answers)
        await self.put_configuration(1)
        for number in range(self._entries):
            self._launch_daemon("entry", number)
        for number in range(self.workers):
            self._start_links(number)
            self._launch_daemon("agent", number)
            self.start_runner(number, f"i-{number:08x}")
        await self._until("the entries", self._entries_are_ready)
        await self._until("the workers", self._workers_are_used)
        self.record("ready", entries=self._entries, workers=self.workers)

    def _launch(
        self, name: str, arguments: list[str], **variables: str
    ) -> None:
        kept = ("PATH", "HOME", "LANG")
        environment = {
            key: os.environ[key] for key in kept if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{name}.log").open("ab") as log:
            self._popen_by_name[name] = subprocess.Popen(
                arguments,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=environment | variables,
            )

    def _launch_store(self) -> None:
        self._launch(
            "store",
            ["python3", "-m", "pimentobridge.testing.platform_servers"]
            + ["--store", self._address(1, "store")],
        )

    def _launch_daemon(self, role: str, number: int) -> None:
        document = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        is_entry = role == "entry"
        address = self._entry if is_entry else self._agent
        served = ("front", "ready", "control") if is_entry else ("control",)
        seeds = [
            self._entry(entry, "control")
            for entry in range(min(3, self._entries))
        ]
        app = self._runner(number)
        if self._has_links:
            app = self._address(130 + number, "link")
        name = f"{role}-{number}"
        path = self.folder / f"{name}.conf"
        path.write_text(
            SETTINGS.format(
                node=name,
                role=role,
                machine_class="edge" if is_entry else "side",
                serves="edge,control" if is_entry else "side",
                ip=address(number, "control").partition(":")[0],
                listen="\n".join(
                    f"listenAddrs.{port}={address(number, port)}"
                    for port in served
                ),
                internal=self._ports["internal"],
                seeds=",".join(seeds),
                store=self._address(1, "store"),
                app="" if is_entry else f"app={app}",
            )
        )
        command = document["roles"][role]["run"].split()
        self._launch(name, command, PIMENTOBRIDGE_SETTINGS=str(path))

    def _start_links(self, number: int) -> None:
        if not self._has_links:
            return
        self._links_by_worker[number] = [
            link.Link(
                self._address(130 + number, "link"), self._runner(number)
            ),
            link.Link(
                self._address(30 + number, "link"),
                self._agent(number, "control"),
            ),
        ]
        for started in self._links_by_worker[number]:
            started.start()

    def start_runner(self, number: int, worker: str) -> None:
        """Starts a life of a worker's runner, under an id."""
        gpu = GPUS if number < self._large_workers else GPUS // 2
        self._launch(
            f"runner-{number}",
            [sys.executable, str(pathlib.Path(__file__).with_name("runner.py"))]
            + ["--id", worker, "--listen", self._runner(number)]
            + ["--control", self.control_of(number), "--service", SERVICE]
            + ["--zone", "sapa", "--rack", f"r1-{number // 3}"]
            + ["--record", str(self._events), "--gpu", str(gpu)],
        )

    def crash_runner(self, number: int) -> None:
        """Kills a worker's runner."""
        popen = self._popen_by_name[f"runner-{number}"]
        popen.kill()
        popen.wait()
        self.record("crash", runner=f"i-{number:08x}", number=number)

    def remove_machine(self, number: int) -> None:
        """Ends a worker's runner and its agent, for good."""
        for role in ("runner", "agent"):
            popen = self._popen_by_name[f"{role}-{number}"]
            popen.kill()
            popen.wait()
        self.record("machine removed", worker=number)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process by its name."""
        self.record("signal", process=name, signal=number.name)
        self._popen_by_name[name].send_signal(number)

    def restart(self, role: str, number: int) -> None:
        """Starts an entry or agent again after its process has ended."""
        self._popen_by_name[f"{role}-{number}"].wait()
        self._launch_daemon(role, number)
        self.record("restart", process=f"{role}-{number}")

    def exit_status(self, name: str) -> int | None:
        """Returns how a process has ended; None while it runs."""
        return self._popen_by_name[name].poll()

    async def cut(self, number: int) -> None:
        """Cuts a worker's runner off from its agent."""
        for cut in self._links_by_worker[number]:
            await cut.cut()
        self.record("cut", worker=number)

    def heal(self, number: int) -> None:
        """Ends the cut of a worker's runner."""
        for cut in self._links_by_worker[number]:
            cut.heal()
        self.record("healed", worker=number)

    def stop(self) -> None:
        """Ends all processes that were started."""
        for popen in self._popen_by_name.values():
            if popen.poll() is None:
                popen.kill()
        for popen in self._popen_by_name.values():
            popen.wait()

    # The operator, and callers.

    async def put_configuration(self, version: int) -> None:
        """Writes a version of the configuration, as the operator does."""
        document = {
            "version": version,
            "routes": [
                {
                    "name": QUEUE,
                    "hostname": HOST,
                    "prefix": PREFIX,
                    "type": "non_idempotent",
                    "timeoutMs": 3000,
                    "sloMs": 1500,
                    "priority": 1,
                    "service": SERVICE,
                    "maxAttempts": MAX_ATTEMPTS,
                    "stretchFactor": 3.0,
                    "allowAnonymous": False,
                }
            ],
            "services": [{"name": SERVICE, "enforcesCapacity": True}],
            "tenants": [
                {"name": "shop", "apiKeys": [KEY], "guaranteed": {"gpu": 0}}
            ],
            "limits": {"maxBodyBytes": 262144},
        }
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self._call_store("/operator/op/config", {"value": value})

    async def _call_store(self, path: str, body: object | None) -> Any:
        return await wire.call(self._address(1, "store"), "POST", path, body)

    async def call(
        self,
        method: str,
        path: str,
        body: object | None = None,
        *,
        entry: int = 0,
    ) -> tuple[int, Any]:
        """Makes a caller's call; status 0 stands for no whole answer."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Timeout-Ms": str(int(CALL_TIMEOUT_S * 1000)),
        }
        answer: tuple[int, Any] = (0, {})
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            answer = await asyncio.wait_for(
                wire.call(
                    self._entry(entry, "front"), method, path, body, headers
                ),
                CALL_TIMEOUT_S,
            )
        self.record(
            "call",
            method=method,
            path=path,
            sent=body,
            status=answer[0],
            answer=answer[1],
        )
        return answer

    async def submit(self, job: str, **step: Any) -> None:
        """Hands a job of one step in until it is accepted.

        Args:
            job: id of the job.
            **step: fields of the step; `task` says how the stand-in of the
                runner carries out a task of it.
        """
        task: dict[str, object] = step.pop("task")
        body = {
            "spec": json.dumps(task | {"gpu": step["gpu"]}),
            "steps": [{"cpu": 1000, "memMb": 1000, "count": 1} | step],
        }
        for attempt in range(5):
            status, _ = await self.call(
                "POST", PREFIX + job, body, entry=attempt % self._entries
            )
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise CaseNotRunError(f"job {job} was not accepted")

    async def state_of(self, job: str) -> str:
        """Returns a job's state; the status if the answer holds none."""
        status, body = await self.call("GET", PREFIX + job)
        return str(body.get("state", status))

    async def wait_for_end(self, job: str, timeout_s: float) -> str:
        """Returns a job's state once it has ended, or after the timeout."""
        until_s = time.monotonic() + timeout_s
        state = await self.state_of(job)
        while time.monotonic() < until_s and state in ("queued", "running"):
            await asyncio.sleep(STATE_INTERVAL_S)
            state = await self.state_of(job)
        return state

    # The record.

    def record(self, event: str, **fields: Any) -> None:
        """Adds an event of this process to the record."""
        line = {"at_s": time.monotonic(), "event": event} | fields
        with self._events.open("a", encoding="utf-8") as record:
            record.write(json.dumps(line) + "\n")

    def events(self) -> list[dict[str, Any]]:
        """Returns all events so far, in the order of time."""
        lines = self._events.read_text(encoding="utf-8").splitlines()
        events = [json.loads(line) for line in lines]
        return sorted(events, key=lambda event: float(event["at_s"]))

    async def wait_for(
        self, event: str, timeout_s: float, **fields: Any
    ) -> dict[str, Any]:
        """Returns the first event with these fields.

        Raises:
            CaseNotRunError: there was none in time.
        """
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            for found in self.events():
                if found["event"] == event and fields.items() <= found.items():
                    return found
            await asyncio.sleep(0.02)
        raise CaseNotRunError(f"no event {event!r} with {fields}")

    def write_record(self, path: pathlib.Path, verdict: str) -> None:
        """Writes the events and the verdict to a file."""
        lines = []
        for event in self.events():
            at_s = event.pop("at_s") - self.started_s
            lines.append(f"{at_s:8.3f} {json.dumps(event)}")
        path.write_text("\n".join([*lines, verdict]) + "\n", encoding="utf-8")

    # Conditions that the start waits for.

    async def _until(self, what: str, holds: Any) -> None:
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError, EOFError):
                if await holds():
                    return
            await asyncio.sleep(0.2)
        raise CaseNotRunError(f"{what} didn't start in {START_TIMEOUT_S} s")

    async def _store_answers(self) -> bool:
        answer = await self._call_store("/v1/kv-lease", {"ttlMs": 1000})
        return int(answer[0]) == 200

    async def _entries_are_ready(self) -> bool:
        for number in range(self._entries):
            status, _ = await wire.call(
                self._entry(number, "ready"), "GET", "/v1/readiness"
            )
            if status != 200:
                return False
        return True

    async def _workers_are_used(self) -> bool:
        logs = [
            (self.folder / f"entry-{number}.log").read_text(encoding="utf-8")
            for number in range(self._entries)
        ]
        known = sum(log.count('"worker known"') for log in logs)
        return known >= self.workers


def _free_ports(net: str, count: int) -> list[int]:
    """Returns ports that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((f"{net}.1", 0))
    ports = [int(opened.getsockname()[1]) for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


def new_job_id() -> str:
    """Returns a new id of a job."""
    return f"{random.getrandbits(64):016x}"


def has_trouble() -> bool:
    """Whether to play the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(deployment: Deployment, play: Any, folder: pathlib.Path) -> int:
    """Plays a case and returns the exit status of its script.

    Args:
        deployment: the deployment, not started yet.
        play: plays the case; returns what was broken, or an empty text.
        folder: where to write `record.txt`.
    """

    async def start_and_play() -> str:
        await deployment.start()
        broken: str = await play(deployment)
        return broken

    # The processes must be ended also if the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    status, verdict = NOT_RUN, "the case couldn't run"
    try:
        broken = asyncio.run(asyncio.wait_for(start_and_play(), 110.0))
        status = BROKEN if broken else HELD
        verdict = f"BROKEN: {broken}" if broken else "HELD"
    except Exception as error:  # noqa: BLE001  no error may pass for a result
        verdict = f"NOT RUN: {type(error).__name__}: {error}"
    finally:
        deployment.stop()
        deployment.write_record(folder / "record.txt", verdict)
        if os.environ.get("KEEP_LOGS"):
            print(deployment.folder)
        else:
            shutil.rmtree(deployment.folder, ignore_errors=True)
    print(verdict)
    return status
