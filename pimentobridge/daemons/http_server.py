"""Serves ASGI applications with hypercorn."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import hypercorn.config
import hypercorn.trio

from pimentobridge.daemons import listening
from pimentobridge.daemons import logs

if TYPE_CHECKING:
    from collections.abc import Sequence

    import trio

# Metrics port on every machine; deploy/system.toml states the same.
METRICS_PORT = 9464
CLOSE_TIMEOUT_S = 0.5
KEEP_ALIVE_S = 20.0


async def serve_metrics(app: Any, address: str, stopped: trio.Event) -> None:
    """Serves metrics; if the port can't be bound, logs that and returns."""
    try:
        await serve(app, [address], stopped)
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


async def serve(app: Any, binds: Sequence[str], stopped: trio.Event) -> None:
    """Serves an application at the addresses `binds` until `stopped` is set."""
    config = hypercorn.config.Config()
    config.bind = list(binds)
    config.backlog = listening.ACCEPT_BACKLOG
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = CLOSE_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_S
    await hypercorn.trio.serve(app, config, shutdown_trigger=stopped.wait)
