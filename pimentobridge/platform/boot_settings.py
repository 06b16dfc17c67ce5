"""Reader of the settings file that the platform provides for a process.

The file consists of lines of the form `a.b=value`; the elements of a list are
separated by commas. Fields that this system doesn't use are ignored.
"""

from __future__ import annotations

import os
import pathlib

import msgspec

from pimentobridge.core import errors
from pimentobridge.core import types
from pimentobridge.core.jobs import record_size

PATH_VARIABLE = "PIMENTOBRIDGE_SETTINGS"
# Memory and file descriptors of a machine whose settings don't state them.
DEFAULT_MEMORY_MB = 1024.0
DEFAULT_MAX_FDS = 4096
DEFAULT_PATH = "/etc/pimentobridge/boot.conf"


class ProcessSettings(msgspec.Struct, frozen=True):
    """Location, addresses and time limits of a process.

    Attributes:
        node: name of the machine.
        front: address to serve callers on, `IP:PORT`; empty on a machine that
            serves none.
        ready: address to serve the readiness check on.
        control: address to receive the worker's heartbeats on.
        internal_ports: first and last port for messages between the system's
            own processes.
        seeds: control addresses of machines that may be entries.
        store: address of the platform's store.
        worker: address of this machine's worker; empty on an entry.
        advice: address of the placement policy service; empty for none.
        max_lease_s: longest lease that a worker can hold, in seconds.
        grace_s: seconds between the platform's request to stop this process
            and the kill.
        early_s: seconds by which an occurrence of a scheduled job may start
            before it is due.
        status_s: seconds for which the state of an ended job is kept.
        remote_factor: how many times as long a task takes away from the rack
            that its step names.
        link_mbps: bandwidth of the machine's own link, in Mbit/s.
        memory_mb: memory of the machine, in MiB.
        max_fds: limit on the process's file descriptors.
        max_value_bytes: limit of the platform's store on a value.
    """

    node: types.NodeId
    ip: str
    data_centre: types.DataCentreName
    region: types.RegionName
    internal_ports: tuple[int, int]
    store: str
    front: str = ""
    ready: str = ""
    control: str = ""
    seeds: tuple[str, ...] = ()
    worker: str = ""
    advice: str = ""
    max_lease_s: float = 6.0
    grace_s: float = 6.0
    early_s: float = 0.25
    status_s: float = 120.0
    remote_factor: float = 3.0
    link_mbps: float = 1000.0
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS
    max_value_bytes: int = record_size.DEFAULT_MAX_BYTES


def path_from_environment() -> pathlib.Path:
    """Returns the settings file's path from the environment or the default."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load(path: pathlib.Path) -> ProcessSettings:
    """Reads and checks a settings file.

    Raises:
        errors.ProblemError: the file can't be read, or a field is missing or
            malformed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.ProblemError(
            errors.Problem(
                errors.ErrorKind.INVALID_SETTINGS,
                f"the settings file can't be read: {error}.",
                f"Set {PATH_VARIABLE} to the platform's settings file.",
                str(path),
            )
        ) from error
    return parse(text, where=str(path))


def parse(text: str, *, where: str = "") -> ProcessSettings:
    """Returns the settings in the text of a settings file.

    Args:
        text: content of the file.
        where: name of the file for error messages.

    Raises:
        errors.ProblemError: a field is missing or malformed.
    """
    values: dict[str, str] = {}
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator:
            values[key.strip()] = value.strip()
    try:
        return _settings_from(values)
    except (KeyError, ValueError, OverflowError) as error:
        raise errors.ProblemError(
            errors.Problem(
                errors.ErrorKind.INVALID_SETTINGS,
                f"received settings in which a field is missing or malformed:"
                f" {error}.",
                "Compare the file with the platform's list of settings.",
                where,
            )
        ) from error


def _settings_from(values: dict[str, str]) -> ProcessSettings:
    def number(key: str, default: float, unit: float = 1.0) -> float:
        return float(values[key]) * unit if values.get(key) else default

    def list_of(key: str) -> tuple[str, ...]:
        return tuple(part for part in values.get(key, "").split(",") if part)

    first, last = (int(port) for port in list_of("internalPorts"))
    millisecond = 0.001
    return ProcessSettings(
        node=types.NodeId(values["node"]),
        ip=values["ip"],
        data_centre=types.DataCentreName(values["zone"]),
        region=types.RegionName(values["region"]),
        internal_ports=(first, last),
        store=values["platform.address"],
        front=values.get("listenAddrs.front", ""),
        ready=values.get("listenAddrs.ready", ""),
        control=values.get("listenAddrs.control", ""),
        seeds=list_of("seeds"),
        worker=values.get("app", ""),
        advice=values.get("advice", ""),
        max_lease_s=number("bounds.maxHoldMs", 6.0, millisecond),
        grace_s=number("bounds.graceS", 6.0),
        early_s=number("bounds.early_ms", 0.25, millisecond),
        status_s=number("bounds.status_s", 120.0),
        remote_factor=number("bounds.remoteFactor", 3.0),
        link_mbps=number("limits.linkMbps", 1000.0),
        memory_mb=number("limits.memoryMb", DEFAULT_MEMORY_MB),
        max_fds=int(number("limits.maxFds", DEFAULT_MAX_FDS)),
        max_value_bytes=int(
            number("platform.valueBytes", record_size.DEFAULT_MAX_BYTES)
        ),
    )
