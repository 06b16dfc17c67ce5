"""Tests the start of a process on the platform."""

from __future__ import annotations

import os
import signal
import socket
import sys
import types
from typing import TYPE_CHECKING

from pimentobridge.daemons import launch
from pimentobridge.daemons import listening
from pimentobridge.daemons import platform_signals
from pimentobridge.platform import boot_settings

if TYPE_CHECKING:
    import pathlib

    import pytest


def free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


def connect(address: str) -> None:
    host, _, port = address.rpartition(":")
    socket.create_connection((host, int(port)), timeout=1.0).close()


# Guards against callers that are refused, and out of tries, while an entry
# imports its modules: one of the causes in issue 20.
def test_a_process_accepts_connections_before_its_modules_are_loaded(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    front = free_address()
    conf = tmp_path / "boot.conf"
    conf.write_text(
        f"node=n\nip=127.0.0.1\nzone=z\nregion=r\ninternalPorts=1,2\n"
        f"platform.address=127.0.0.1:1\nlistenAddrs.front={front}\n"
    )
    role_module = types.ModuleType("role_module")

    def run_role(
        settings: boot_settings.ProcessSettings, listeners: listening.Listeners
    ) -> int:
        connect(settings.front)
        return len(listeners.bind_of(settings.front).removeprefix("fd://"))

    role_module.main = run_role  # type: ignore[attr-defined]
    monkeypatch.setitem(sys.modules, "role_module", role_module)
    monkeypatch.setitem(launch.MODULE_BY_ROLE, "entry", "role_module")
    monkeypatch.setenv(boot_settings.PATH_VARIABLE, str(conf))
    monkeypatch.setattr(sys, "argv", ["launch", "entry"])
    try:
        assert launch.main() > 0
    finally:
        platform_signals.unblock()


def test_a_socket_that_cannot_be_opened_is_left_to_the_server() -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        listeners = listening.Listeners([address, ""])
        assert listeners.bind_of(address) == address


def test_a_signal_during_the_start_is_handled_after_it() -> None:
    received: list[int] = []
    earlier = signal.signal(
        signal.SIGTERM, lambda number, _: received.append(number)
    )
    try:
        platform_signals.block()
        os.kill(os.getpid(), signal.SIGTERM)
        assert received == []
        platform_signals.unblock()
        assert received == [signal.SIGTERM]
    finally:
        signal.signal(signal.SIGTERM, earlier)
