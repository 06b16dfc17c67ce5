"""Settings, logs and signals of any process on the platform."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from pimentobridge.daemons import logs
from pimentobridge.platform import boot_settings

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


def run(
    serve: Callable[[boot_settings.ProcessSettings], Awaitable[int]],
) -> int:
    """Runs a process with the settings that the platform provides."""
    settings = boot_settings.load(boot_settings.path_from_environment())
    logs.set_up(settings.node)
    return trio.run(serve, settings)


async def wait_for_stop() -> None:
    """Waits for a signal to stop.

    SIGHUP asks for a reload and is only logged: settings are read only when the
    process starts.
    """
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
        async for number in received:
            if number != signal.SIGHUP:
                return
            logs.event("reload", changed="nothing")
