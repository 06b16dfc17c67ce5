"""What running any process on the platform needs: settings, logs, signals."""

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
    """Runs a process with the settings that the platform gave it."""
    settings = boot_settings.load(boot_settings.path_from_environment())
    logs.set_up(settings.node)
    return trio.run(serve, settings)


async def wait_for_stop() -> None:
    """Returns once the process is told to stop.

    A reload changes nothing: every setting holds for a life of the process.
    """
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
        async for number in received:
            if number != signal.SIGHUP:
                return
            logs.event("reload", changed="nothing")
