"""Serves ASGI applications with hypercorn."""

from __future__ import annotations

import functools
import socket
from typing import TYPE_CHECKING
from typing import Any

import hypercorn.config
import hypercorn.trio.worker_context
import trio

from pimentobridge.daemons import boot_clock
from pimentobridge.daemons import http_connection
from pimentobridge.daemons import http_limits
from pimentobridge.daemons import listening
from pimentobridge.daemons import logs
from pimentobridge.platform import boot_settings

if TYPE_CHECKING:
    from collections.abc import Sequence

# Metrics port on every machine; deploy/system.toml states the same.
METRICS_PORT = 9464
CLOSE_TIMEOUT_S = 0.5
KEEP_ALIVE_S = 20.0
OVERDUE_INTERVAL_S = 0.25


async def serve_metrics(
    app: Any,
    address: str,
    stopped: trio.Event,
    ledger: http_limits.Ledger | None = None,
) -> None:
    """Serves metrics; if the port can't be bound, logs that and returns."""
    try:
        await serve(app, [address], stopped, ledger)
    except* OSError as group:
        # The server's tasks may raise nested exception groups.
        reason = "; ".join(str(error) for error in _flatten(group))
        logs.event("metrics not served", address=address, why=reason)


def _flatten(group: BaseExceptionGroup[OSError]) -> list[BaseException]:
    errors: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            errors.extend(_flatten(error))
        else:
            errors.append(error)
    return errors


async def serve(
    app: Any,
    binds: Sequence[str],
    stopped: trio.Event,
    ledger: http_limits.Ledger | None = None,
) -> None:
    """Serves an application at the addresses `binds` until `stopped` is set.

    Args:
        app: ASGI application; it is sent no lifespan events.
        binds: addresses in the form that hypercorn accepts.
        stopped: ends the server when set.
        ledger: connections of the process; None for a server with limits of
            its own.
    """
    config = hypercorn.config.Config()
    config.bind = list(binds)
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    if ledger is None:
        ledger = http_limits.Ledger(
            http_limits.for_machine(
                boot_settings.DEFAULT_MEMORY_MB, boot_settings.DEFAULT_MAX_FDS
            ),
            boot_clock.BootClock(),
        )
    context = hypercorn.trio.worker_context.WorkerContext(None)

    async def serve_connection(stream: trio.SocketStream) -> None:
        connection = http_connection.Connection(
            app, config, context, ledger, stream
        )
        await connection.run()

    listeners = [
        _listener(bound) for bound in config.create_sockets().insecure_sockets
    ]
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(_refuse_overdue, ledger)
            accepting.start_soon(
                functools.partial(
                    trio.serve_listeners,
                    serve_connection,
                    listeners,
                    handler_nursery=connections,
                )
            )
            await stopped.wait()
            accepting.cancel_scope.cancel()
        await context.terminated.set()
        connections.cancel_scope.deadline = trio.current_time() + (
            CLOSE_TIMEOUT_S
        )


def _listener(bound: socket.socket) -> trio.SocketListener:
    # Accepted connections inherit the sizes; without them the kernel lets the
    # buffers of a single connection grow to several megabytes.
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        bound.setsockopt(
            socket.SOL_SOCKET, option, http_limits.SOCKET_BUFFER_BYTES
        )
    bound.listen(listening.ACCEPT_BACKLOG)
    return trio.SocketListener(trio.socket.from_stdlib_socket(bound))


async def _refuse_overdue(ledger: http_limits.Ledger) -> None:
    while True:
        await trio.sleep(OVERDUE_INTERVAL_S)
        ledger.refuse_overdue()
