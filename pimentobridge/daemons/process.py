"""Signals, HTTP server and shutdown of a daemon process."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING
from typing import Any

from absl import logging
import trio

from pimentobridge.core import types
from pimentobridge.daemons import http_server
from pimentobridge.daemons import logs
from pimentobridge.daemons import node
from pimentobridge.daemons import settings as settings_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


EXIT_OK = 0
EXIT_UNFINISHED = 4


async def serve(
    daemon: node.Node,
    serve_http: Callable[[trio.Event], Awaitable[None]],
    drain: Callable[[], Awaitable[int]],
) -> int:
    """Runs a daemon until a signal, then drains it.

    Args:
        daemon: the daemon.
        serve_http: serves its HTTP endpoints until the event is set.
        drain: waits for work in progress; returns how much is unfinished.

    Returns:
        The exit code of the process.
    """
    unfinished = 0
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(daemon.run)
        nursery.start_soon(serve_http, stopped)
        logs.event("started", peer=daemon.address)
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                break
        logs.event("draining", peer=daemon.address)
        unfinished = await drain()
        stopped.set()
        daemon.membership.announce_departure()
        await trio.sleep(0.3)
        nursery.cancel_scope.cancel()
    if unfinished:
        logging.error(
            "the shutdown timed out with %d requests unfinished; raise"
            " drain_timeout_s or look at the backend server",
            unfinished,
        )
    return EXIT_UNFINISHED if unfinished else EXIT_OK


async def serve_http(app: Any, listen: str, stopped: trio.Event) -> None:
    """Serves an ASGI application until `stopped` is set."""
    await http_server.serve(app, [listen], stopped)


async def wait_forever(stopped: trio.Event) -> None:
    """Replaces the HTTP server in a daemon without one."""
    await stopped.wait()


def identity_of(settings: settings_lib.Settings) -> node.Identity:
    """Returns a process's identity, with a new incarnation number."""
    return node.Identity(
        node=settings.node,
        region=settings.region,
        data_centre=settings.data_centre,
        incarnation=types.Incarnation(time.time_ns() // 1_000_000),
        group=settings.group,
    )
