"""The platform's settings file of a process.

Lines of the form `a.b=value`; lists are joined by commas. Fields that this
system doesn't use are ignored.
"""

from __future__ import annotations

import os
import pathlib

import msgspec

from pimentobridge.core import errors
from pimentobridge.core import types

PATH_VARIABLE = "PIMENTOBRIDGE_SETTINGS"
DEFAULT_PATH = "/etc/pimentobridge/boot.conf"


class ProcessSettings(msgspec.Struct, frozen=True):
    """What a process is told of its place and of the promises' figures.

    Attributes:
        node: name of the machine.
        front: address for callers, `IP:PORT`; empty where there is none.
        ready: address of the readiness check.
        control: address for the worker's heartbeats.
        internal_ports: first and last port for the system's own messages.
        seeds: control addresses of machines that may be entries.
        store: address of the platform's store.
        worker: address of this machine's worker; empty on an entry.
        advice: address of the policy on who may run a step; empty for none.
        max_lease_s: longest lease of what runs on a worker.
        grace_s: time between the request to stop and the kill.
        early_s: how much sooner than due an occurrence may start.
        status_s: time for which an ended job's state is kept.
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


def path_from_environment() -> pathlib.Path:
    """Returns where the platform put the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load(path: pathlib.Path) -> ProcessSettings:
    """Reads and checks a settings file.

    Raises:
        errors.ProblemError: the file can't be read or lacks a field.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.ProblemError(
            errors.Problem(
                errors.ErrorKind.INVALID_SETTINGS,
                f"the settings can't be read: {error}.",
                f"Set {PATH_VARIABLE} to the platform's settings file.",
                str(path),
            )
        ) from error
    return parse(text, where=str(path))


def parse(text: str, *, where: str = "") -> ProcessSettings:
    """Returns the settings that the lines of a file spell.

    Raises:
        errors.ProblemError: a field is missing or of the wrong form.
    """
    values: dict[str, str] = {}
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator:
            values[key.strip()] = value.strip()
    try:
        return _settings_from(values)
    except (KeyError, ValueError) as error:
        raise errors.ProblemError(
            errors.Problem(
                errors.ErrorKind.INVALID_SETTINGS,
                f"received settings whose field {error} is missing or not of"
                " the expected form.",
                "Compare the file with the platform's page on settings.",
                where,
            )
        ) from error


def _settings_from(values: dict[str, str]) -> ProcessSettings:
    def number(key: str, otherwise: float, unit: float = 1.0) -> float:
        return float(values[key]) * unit if values.get(key) else otherwise

    def listed(key: str) -> tuple[str, ...]:
        return tuple(part for part in values.get(key, "").split(",") if part)

    first, last = (int(port) for port in listed("internalPorts"))
    milli = 0.001
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
        seeds=listed("seeds"),
        worker=values.get("app", ""),
        advice=values.get("advice", ""),
        max_lease_s=number("bounds.maxHoldMs", 6.0, milli),
        grace_s=number("bounds.graceS", 6.0),
        early_s=number("bounds.early_ms", 0.25, milli),
        status_s=number("bounds.status_s", 120.0),
    )
