"""Starts entries and agents as processes on loopback addresses."""

from __future__ import annotations

import dataclasses
import os
import subprocess
import sys
from typing import TYPE_CHECKING

from pimentobridge.platform import boot_settings

if TYPE_CHECKING:
    from collections.abc import Mapping
    import pathlib
    import signal

FIRST_PORT = 20_000
PORT_SPAN = 20_000
PORTS_PER_RUN = 20
FIRST_ENTRY_HOST = 10
FIRST_AGENT_HOST = 30


def base_port() -> int:
    """Returns the first of `PORTS_PER_RUN` ports derived from the process id.

    Concurrent runs use other ports, unless their process ids differ by a
    multiple of `PORT_SPAN / PORTS_PER_RUN`.
    """
    return FIRST_PORT + os.getpid() * PORTS_PER_RUN % PORT_SPAN


@dataclasses.dataclass
class _Process:
    """A process, with the arguments and variables to start it again."""

    arguments: list[str]
    variables: dict[str, str]
    popen: subprocess.Popen[bytes] | None = None


class Processes:
    """Starts, signals and stops processes by name; affects no others.

    Args:
        folder: directory to which settings and logs are written.
        port: first of the ports on which the daemons listen.
    """

    def __init__(self, folder: pathlib.Path, *, port: int) -> None:
        self.folder = folder
        self._processes_by_name: dict[str, _Process] = {}
        names = ("front", "ready", "control", "internal")
        self._ports = {name: port + offset for offset, name in enumerate(names)}

    def __len__(self) -> int:
        return len(self._processes_by_name)

    def launch(self, name: str, arguments: list[str], **variables: str) -> None:
        """Starts a Python process under a name."""
        self._processes_by_name[name] = _Process(arguments, variables)
        self.start(name)

    def start(self, name: str) -> None:
        """Starts a process, or restarts it with the same arguments."""
        process = self._processes_by_name[name]
        with (self.folder / f"{name}.log").open("ab") as log:
            process.popen = subprocess.Popen(
                [sys.executable, *process.arguments],
                stdout=log,
                stderr=log,
                env=os.environ | process.variables,
            )

    def launch_entry(
        self,
        number: int,
        *,
        store: str,
        settings: Mapping[str, str] | None = None,
    ) -> str:
        """Starts an entry that uses the given store; returns its name.

        Args:
            number: determines the entry's name and IP address.
            store: address of the store.
            settings: further lines of its settings file.
        """
        ip = self.entry_ip(number)
        fields = {
            "platform.address": store,
            "listenAddrs.front": f"{ip}:{self._ports['front']}",
            "listenAddrs.ready": f"{ip}:{self._ports['ready']}",
            **(settings or {}),
        }
        return self._launch_daemon("entry", f"entry-{number}", ip, fields)

    def launch_agent(
        self,
        number: int,
        *,
        store: str,
        runner: str,
        settings: Mapping[str, str] | None = None,
    ) -> str:
        """Starts an agent for the given runner; returns its name.

        Args:
            number: determines the agent's name and IP address.
            store: address of the store.
            runner: address of the runner.
            settings: further lines of its settings file.
        """
        ip = self.agent_ip(number)
        fields = {
            "platform.address": store,
            "app": runner,
            **(settings or {}),
        }
        return self._launch_daemon("agent", f"agent-{number}", ip, fields)

    def entry_ip(self, number: int) -> str:
        """Returns the IP address on which an entry listens."""
        return f"127.0.1.{FIRST_ENTRY_HOST + number}"

    def agent_ip(self, number: int) -> str:
        """Returns the IP address on which an agent listens."""
        return f"127.0.1.{FIRST_AGENT_HOST + number}"

    def url(self, entry: int, *, ready: bool = False) -> str:
        """Returns the URL of an entry, for callers or for readiness checks."""
        port = self._ports["ready" if ready else "front"]
        return f"http://{self.entry_ip(entry)}:{port}"

    def control_address(self, agent: int) -> str:
        """Returns the address at which an agent receives heartbeats."""
        return f"{self.agent_ip(agent)}:{self._ports['control']}"

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process, unless it has exited."""
        popen = self._processes_by_name[name].popen
        if popen is not None and popen.poll() is None:
            popen.send_signal(number)

    def pid(self, name: str) -> int:
        """Returns the id of a process, whether or not it has exited."""
        popen = self._processes_by_name[name].popen
        assert popen is not None
        return popen.pid

    def has_exited(self, name: str) -> bool:
        """Returns whether a process has exited."""
        popen = self._processes_by_name[name].popen
        return popen is None or popen.poll() is not None

    def read_log(self, name: str) -> str:
        """Returns the output of a process so far."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    def stop(self) -> None:
        """Kills every process and waits until all have exited."""
        for process in self._processes_by_name.values():
            if process.popen is not None:
                process.popen.kill()
        for process in self._processes_by_name.values():
            if process.popen is not None:
                process.popen.wait()

    def _launch_daemon(
        self, role: str, node: str, ip: str, fields: dict[str, str]
    ) -> str:
        internal = self._ports["internal"]
        lines = {
            "node": node,
            "ip": ip,
            "zone": "north-a",
            "region": "north",
            "internalPorts": f"{internal},{internal}",
            "listenAddrs.control": f"{ip}:{self._ports['control']}",
        } | fields
        path = self.folder / f"{node}.conf"
        path.write_text(
            "".join(f"{key}={value}\n" for key, value in lines.items()),
            encoding="utf-8",
        )
        self.launch(
            node,
            ["-m", "pimentobridge.daemons.launch", role],
            **{boot_settings.PATH_VARIABLE: str(path)},
        )
        return node
