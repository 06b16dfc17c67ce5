"""Logs and signals of any process on the platform."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from pimentobridge.daemons import logs
from pimentobridge.daemons import platform_signals

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pimentobridge.daemons import listening
    from pimentobridge.platform import boot_settings

# Part of the grace period that is left for closing before the platform kills
# the process.
KILL_MARGIN_S = 1.5


def run(
    serve: Callable[
        [boot_settings.ProcessSettings, listening.Listeners], Awaitable[int]
    ],
    settings: boot_settings.ProcessSettings,
    listeners: listening.Listeners,
) -> int:
    """Runs a process.

    Args:
        serve: runs the process until a signal stops it; returns its exit code.
        settings: the process's settings.
        listeners: sockets that are open already.
    """
    logs.set_up(settings.node)
    return trio.run(serve, settings, listeners)


async def wait_for_stop() -> None:
    """Waits for a signal to stop.

    SIGHUP asks for a reload and is only logged: settings are read only when the
    process starts.
    """
    with trio.open_signal_receiver(*platform_signals.HANDLED) as received:
        platform_signals.unblock()
        async for number in received:
            if number != signal.SIGHUP:
                return
            logs.event("reload", changed="nothing")
