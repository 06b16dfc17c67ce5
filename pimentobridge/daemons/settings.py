"""Settings of one process: its identity, addresses and peers."""

from __future__ import annotations

import enum
import ipaddress
import re
from typing import TYPE_CHECKING

import msgspec
import result

from pimentobridge.core import configuration
from pimentobridge.core import documents
from pimentobridge.core import errors
from pimentobridge.core import types

if TYPE_CHECKING:
    from collections.abc import Iterator
    import pathlib


class Role(enum.Enum):
    """Role of a process."""

    ENTRY = "entry"
    AGENT = "agent"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an entry or an agent.

    Attributes:
        node: unique name of the node; a restarted process keeps it.
        group: nodes that monitor each other, such as a rack; at most about 16.
        listen: address for messages of other nodes, `tcp://IP:PORT`.
        entries: addresses of all entries.
        trusted_owners: keys that both owners sign the configuration with.
        store_url: base URL of the platform's store.
        http_listen: `IP:PORT` for callers and operators; entries only.
        backend_url: base URL of the backend server; agents only.
        slots: requests the backend server runs concurrently; agents only.
        accelerators: accelerators of the worker; agents only.
        drain_timeout_s: longest time a shutdown waits for work, in seconds.
        log_level: `debug`, `info`, `warning` or `error`.
    """

    node: types.NodeId
    role: Role
    region: types.RegionName
    data_centre: types.DataCentreName
    group: str
    listen: types.Address
    entries: list[types.Address]
    trusted_owners: list[configuration.Owner]
    store_url: str
    http_listen: str = ""
    backend_url: str = ""
    slots: int = 8
    accelerators: int = 0
    drain_timeout_s: float = 30.0
    log_level: str = "info"


def load(path: pathlib.Path) -> result.Result[Settings, errors.Problem]:
    """Reads and validates a settings file."""
    read = documents.read(path, Settings, errors.ErrorKind.INVALID_SETTINGS)
    if isinstance(read, result.Err):
        return read
    problem = first_problem(read.ok_value)
    if problem is None:
        return read
    line = documents.line_of_key(
        path.read_text(encoding="utf-8"), problem.where
    )
    where = f"{path}:{line}" if line else str(path)
    return result.Err(msgspec.structs.replace(problem, where=where))


def first_problem(settings: Settings) -> errors.Problem | None:
    """Returns the problem with the first invalid field, or None.

    The problem's `where` is the name of the field.
    """
    for field, detail, remedy in _problems(settings):
        return errors.Problem(
            errors.ErrorKind.INVALID_SETTINGS, detail, remedy, field
        )
    return None


def _problems(settings: Settings) -> Iterator[tuple[str, str, str]]:
    """Yields the name of each invalid field, the problem and the remedy."""
    for field, address in [
        ("listen", settings.listen),
        *(("entries", entry) for entry in settings.entries),
    ]:
        if not _is_address(address):
            yield (
                field,
                f"received {address!r}; expected tcp://IP:PORT.",
                "Use an IP address, not a host name.",
            )
    if settings.role is Role.ENTRY and not _is_ip_port(settings.http_listen):
        yield (
            "http_listen",
            f"received {settings.http_listen!r}; expected IP:PORT.",
            "Set it to the address that accepts callers' requests.",
        )
    if (
        settings.role is Role.AGENT
        and settings.slots
        and not (settings.backend_url.startswith(("http://", "https://")))
    ):
        yield (
            "backend_url",
            f"received {settings.backend_url!r}; expected http://IP:PORT.",
            "Set it to the backend server's base URL, or set slots to 0.",
        )
    if not settings.store_url.startswith(("http://", "https://")):
        yield (
            "store_url",
            f"received {settings.store_url!r}; expected http://IP:PORT.",
            "Set it to the base URL of the platform's store.",
        )
    if not 0 <= settings.slots <= 64:
        yield (
            "slots",
            f"received {settings.slots}; expected 0 to 64.",
            "Choose a number in this range; an agent opens at most 64"
            " connections to its backend server.",
        )
    if not 0 <= settings.accelerators <= 64:
        yield (
            "accelerators",
            f"received {settings.accelerators}; expected 0 to 64.",
            "Set it to the number of accelerators of the worker.",
        )
    if len({owner.name for owner in settings.trusted_owners}) < 2:
        yield (
            "trusted_owners",
            "received fewer than two owners; expected two or more.",
            "List the public keys of both co-owners.",
        )
    if settings.log_level not in ("debug", "info", "warning", "error"):
        yield (
            "log_level",
            f"received {settings.log_level!r}; expected debug, info, warning"
            " or error.",
            "Choose one of these levels.",
        )


def _is_address(text: str) -> bool:
    return text.startswith("tcp://") and _is_ip_port(text[len("tcp://") :])


def _is_ip_port(text: str) -> bool:
    match = re.fullmatch(r"(.+):(\d{1,5})", text)
    if match is None or not 0 < int(match.group(2)) < 65536:
        return False
    try:
        ipaddress.ip_address(match.group(1).strip("[]"))
    except ValueError:
        return False
    return True


def with_log_level(settings: Settings, level: str) -> Settings:
    """Returns the settings with another log level."""
    return msgspec.structs.replace(settings, log_level=level)
