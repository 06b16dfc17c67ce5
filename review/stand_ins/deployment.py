"""A small deployment on loopback addresses, and the record of a case."""

from __future__ import annotations

import asyncio
import collections
import json
import os
import pathlib
import random
import secrets
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING
from typing import Any

from stand_ins import runner as runner_lib
from stand_ins import store as store_lib
from stand_ins import web

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import signal

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
SERVICE = "plans"
HOST = "shop.example"
CAPACITY = {"cpu": 128_000, "memMb": 524_288, "gpu": 8}
READY_TIMEOUT_S = 20.0
# Limit on the starts and ends of runs that the record lists one by one.
MAX_RUN_LINES = 1200
# Traffic starts this long after the machines do on the small sites.
LEAD_S = 12.0


class CannotRunError(Exception):
    """Raised when the case can't be judged."""


def trouble() -> bool:
    """Whether the case plays its disruption; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name: str, priority: int, **fields: Any) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "type": "non_idempotent",
        "timeoutMs": 3000,
        "sloMs": 1500,
        "priority": priority,
        "service": SERVICE,
        "maxAttempts": 4,
        "stretchFactor": 3.0,
        "allowAnonymous": False,
    } | fields


def tenant(name: str, guaranteed: int) -> dict[str, Any]:
    """Returns a tenant; its key is derived from its name."""
    return {
        "name": name,
        "apiKeys": [f"key-of-{name}"],
        "priority": 1,
        "guaranteed": {"gpu": guaranteed},
    }


class Deployment:
    """Processes of the system, and stand-ins of everything around them.

    Args:
        folder: folder of the case, which gets `record.txt`.
        entries: number of edge machines.
        kinds: kind of each runner; each has a `side` machine.
    """

    def __init__(
        self, folder: pathlib.Path, *, entries: int, kinds: list[str]
    ) -> None:
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, tuple[str, str]] = {}
        self.events: list[runner_lib.Event] = []
        self._run_lines = 0
        self._unwritten: collections.Counter[str] = collections.Counter()
        net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self._ports = dict(
            zip(
                ("front", "ready", "control", "internal", "app", "store"),
                _free_ports(6, f"{net}.1"),
                strict=True,
            )
        )
        store_address = f"{net}.1:{self._ports['store']}"
        self.store = store_lib.Store(store_address, self.note)
        self._entry_ips = [f"{net}.{10 + n}" for n in range(entries)]
        self._agent_ips = [f"{net}.{30 + n}" for n in range(len(kinds))]
        self.runners = [
            runner_lib.Runner(
                name=f"i-0a{number:015x}",
                address=f"{ip}:{self._ports['app']}",
                control=f"{ip}:{self._ports['control']}",
                service=SERVICE,
                labels=[kind, f"r1-{number // 3}"],
                capacity=CAPACITY,
                note=self.note,
                note_run=self.note_run,
                note_end=self.events.append,
            )
            for number, (ip, kind) in enumerate(
                zip(self._agent_ips, kinds, strict=True)
            )
        ]
        self._store_address = store_address

    def note_run(self, event: runner_lib.Event) -> None:
        """Notes a start or an end of a run; of many, only their number."""
        self.events.append(event)
        self._run_lines += 1
        if self._run_lines > MAX_RUN_LINES:
            self._unwritten[event.what] += 1
            return
        self.note(
            f"{event.runner}: task {event.task} run {event.run}: {event.what}"
        )

    def note(self, text: str) -> None:
        """Writes a line into the record, with the time."""
        now_s = time.monotonic() - self._began_s
        if self._unwritten:
            counts = ", ".join(
                f"{count} x {what}" for what, count in self._unwritten.items()
            )
            self._unwritten.clear()
            self._record.write(f"{now_s:8.3f} (runs since: {counts})\n")
        self._record.write(f"{now_s:8.3f} {text}\n")
        self._record.flush()

    async def start(
        self, routes: list[dict[str, Any]], tenants: list[dict[str, Any]]
    ) -> None:
        """Starts everything, and waits until entries and runners are known.

        Raises:
            CannotRunError: an entry doesn't become ready.
        """
        await self.store.start()
        self.store.put("op/config", _configuration(routes, tenants))
        for number, ip in enumerate(self._entry_ips):
            self._launch("entry", f"edge-{number}", ip)
        for number, ip in enumerate(self._agent_ips):
            self._launch("agent", f"side-{number}", ip)
        for one in self.runners:
            await one.start()
        began_s = time.monotonic()
        for ip in self._entry_ips:
            while (
                await web.call(
                    f"{ip}:{self._ports['ready']}",
                    "GET",
                    "/v1/readiness",
                    timeout_s=1.0,
                )
            ).status != 200:
                if time.monotonic() - began_s > READY_TIMEOUT_S:
                    raise CannotRunError("an entry isn't ready")
                await asyncio.sleep(0.2)
        await asyncio.sleep(max(0.0, began_s + LEAD_S - time.monotonic()))
        self.note("everything is ready")

    def followers(self) -> list[int]:
        """Returns the numbers of the entries that don't lead at present."""
        holder = self.store.value("pimentobridge/leader")
        return [
            number
            for number, ip in enumerate(self._entry_ips)
            if f"//{ip}:".encode() not in holder
        ]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of this deployment."""
        self._processes[name].send_signal(number)
        self.note(f"{name}: {number.name} sent")

    def restart(self, name: str) -> None:
        """Starts a process that has ended, as the platform does."""
        self._processes[name].wait()
        role, ip = self._commands[name]
        self._launch(role, name, ip)
        self.note(f"{name}: started again")

    async def request(
        self,
        method: str,
        path: str,
        *,
        tenant: str,
        entry: int = 0,
        body: object | None = None,
    ) -> web.Answer:
        """Makes a client's request; one with status 0 got no answer."""
        answer = await web.call(
            f"{self._entry_ips[entry]}:{self._ports['front']}",
            method,
            path,
            body=body,
            headers={
                "Host": HOST,
                "Authorization": f"Bearer key-of-{tenant}",
                "Timeout-Ms": "3000",
            },
        )
        size = len(json.dumps(body)) if body is not None else 0
        self.note(
            f"client of {tenant} at edge-{entry}: {method} {path}"
            + (f" ({size} bytes)" if size else "")
            + f" -> {answer.status or 'no answer'} {json.dumps(answer.body)}"
        )
        return answer

    async def submit(
        self,
        queue: str,
        steps: list[dict[str, Any]],
        spec: dict[str, Any],
        *,
        tenant: str,
        **fields: Any,
    ) -> str:
        """Submits a job, again until it is accepted; returns its path.

        Raises:
            CannotRunError: it isn't accepted.
        """
        path = f"/{queue}/{secrets.token_hex(8)}"
        body = {"spec": json.dumps(spec), "steps": steps} | fields
        for attempt in range(5):
            answer = await self.request(
                "POST",
                path,
                tenant=tenant,
                entry=attempt % len(self._entry_ips),
                body=body,
            )
            if answer.status == 200:
                return path
            await asyncio.sleep(0.5)
        raise CannotRunError("a job wasn't accepted")

    async def state(self, path: str, *, tenant: str, entry: int = 0) -> str:
        """Returns a job's state as a client sees it; empty if unknown."""
        answer = await self.request("GET", path, tenant=tenant, entry=entry)
        return str(answer.body.get("state", ""))

    def events_of(self, path: str) -> list[runner_lib.Event]:
        """Returns what the runners have seen of a job's tasks."""
        job = path.rpartition("/")[2]
        return [event for event in self.events if event.task.startswith(job)]

    def running(self, path: str) -> list[str]:
        """Returns the tasks of a job that run now."""
        job = path.rpartition("/")[2]
        return [
            task
            for one in self.runners
            for task in one.runs
            if task.startswith(job)
        ]

    async def wait_for(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Waits until a condition holds; returns whether it came to that."""
        until_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until_s:
                return False
            await asyncio.sleep(0.05)
        return True

    async def stop(self) -> None:
        """Ends all processes that were started, and waits for them."""
        for process in self._processes.values():
            process.kill()
        for name, process in self._processes.items():
            process.wait()
            log = self._folder / f"{name}.log"
            for line in log.read_text(errors="replace").splitlines():
                if "unexpected error" in line or "Traceback" in line:
                    self.note(f"{name} logged: {line[:300]}")
        self._record.flush()

    def keep_logs(self, folder: pathlib.Path) -> None:
        """Copies the processes' logs, to look into a case by hand."""
        for log in self._folder.glob("*.log"):
            (folder / log.name).write_bytes(log.read_bytes())

    def remove_folder(self) -> None:
        """Removes the settings and logs of the processes."""
        shutil.rmtree(self._folder, ignore_errors=True)

    def _launch(self, role: str, node: str, ip: str) -> None:
        settings = self._folder / f"{node}.conf"
        settings.write_text(self._settings(role, node, ip), encoding="utf-8")
        log = (self._folder / f"{node}.log").open("ab")
        self._processes[node] = subprocess.Popen(
            ["python3", "-m", "pimentobridge.daemons.launch", role],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "PIMENTOBRIDGE_SETTINGS": str(settings),
            },
        )
        log.close()
        self._commands[node] = role, ip

    def _settings(self, role: str, node: str, ip: str) -> str:
        internal = self._ports["internal"]
        control = self._ports["control"]
        fields = {
            "node": node,
            "ip": ip,
            "zone": "north-a",
            "region": "north",
            "listenAddrs.control": f"{ip}:{control}",
            "internalPorts": f"{internal},{internal}",
            "seeds": ",".join(f"{one}:{control}" for one in self._entry_ips),
            "heartbeatMs": "1500",
            "limits.linkMbps": "1000.0",
            "bounds.graceS": "6",
            "bounds.maxHoldMs": "6000",
            "bounds.early_ms": "250",
            "bounds.status_s": "120",
            "commandMode": "call",
            "platform.address": self._store_address,
            "platform.form": "kv",
            "platform.valueBytes": str(store_lib.MAX_VALUE_BYTES),
            "platform.minTtlMs": "1000",
        }
        if role == "entry":
            fields["listenAddrs.front"] = f"{ip}:{self._ports['front']}"
            fields["listenAddrs.ready"] = f"{ip}:{self._ports['ready']}"
        else:
            fields["app"] = f"{ip}:{self._ports['app']}"
            fields["service"] = SERVICE
        return "".join(f"{key}={value}\n" for key, value in fields.items())


def _configuration(
    routes: list[dict[str, Any]], tenants: list[dict[str, Any]]
) -> bytes:
    return json.dumps(
        {
            "version": 7,
            "routes": routes,
            "services": [
                {
                    "name": SERVICE,
                    "healthPath": "/health",
                    "maxConnections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "enforcesCapacity": True,
                    "standby": False,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262_144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15_000,
            },
            "tenants": tenants,
        }
    ).encode()


def _free_ports(count: int, ip: str) -> list[int]:
    """Returns ports that are free on one loopback address of the run."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((ip, 0))
    ports = [int(one.getsockname()[1]) for one in sockets]
    for one in sockets:
        one.close()
    return ports


def main(
    file: str,
    *,
    entries: int,
    kinds: list[str],
    play: Callable[[Deployment], Awaitable[bool]],
) -> None:
    """Plays a case and exits with its outcome.

    Args:
        file: path of the case's module.
        entries: number of edge machines.
        kinds: kind of each runner.
        play: plays the case; returns whether the rule held.
    """
    folder = pathlib.Path(file).resolve().parent
    sys.exit(asyncio.run(_run(folder, entries, kinds, play)))


async def _run(
    folder: pathlib.Path,
    entries: int,
    kinds: list[str],
    play: Callable[[Deployment], Awaitable[bool]],
) -> int:
    deployment = Deployment(folder, entries=entries, kinds=kinds)
    deployment.note(f"disruption: {'played' if trouble() else 'left out'}")
    try:
        held = await play(deployment)
        outcome = HELD if held else BROKEN
    except (CannotRunError, OSError) as error:
        deployment.note(f"the case couldn't run: {error}")
        outcome = NOT_RUN
    finally:
        await deployment.stop()
        if logs := os.environ.get("KEEP_LOGS"):
            deployment.keep_logs(pathlib.Path(logs))
        deployment.remove_folder()
    words = {HELD: "the rule held", BROKEN: "the rule was broken"}
    deployment.note(words.get(outcome, "no judgement"))
    print(f"{folder.name}: {words.get(outcome, 'no judgement')}")
    return outcome
