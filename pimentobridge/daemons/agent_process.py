"""Runs an agent as a process."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

import trio

from pimentobridge.daemons import agent as agent_lib
from pimentobridge.daemons import agent_pages
from pimentobridge.daemons import logs
from pimentobridge.daemons import metrics
from pimentobridge.daemons import process
from pimentobridge.daemons import trio_clock
from pimentobridge.platform import backend
from pimentobridge.platform import http_worker
from pimentobridge.protocol import zmq_transport

if TYPE_CHECKING:
    from pimentobridge.daemons import settings as settings_lib


def run(settings: settings_lib.Settings) -> int:
    """Runs an agent until a signal stops it.

    Returns:
        0, or 4 if requests were unfinished when the shutdown timed out.
    """
    logs.set_up(settings.node, settings.log_level)
    return trio.run(_run_agent, settings)


async def _run_agent(settings: settings_lib.Settings) -> int:
    endpoint = zmq_transport.ZmqEndpoint(settings.listen)
    worker: http_worker.HttpWorker | None = None
    async with trio.open_nursery() as nursery:
        if settings.accelerators:
            worker = http_worker.HttpWorker(
                settings.backend_url, nursery.start_soon
            )
        agent = agent_lib.Agent(
            identity=process.identity_of(settings),
            endpoint=endpoint,
            clock=trio_clock.TrioClock(),
            rng=random.Random(),
            trusted=settings.trusted_owners,
            backend=backend.HttpBackend(settings.backend_url),
            entries=settings.entries,
            slots=settings.slots,
            worker=worker,
            accelerators=settings.accelerators,
        )
        serve_http = process.wait_forever
        if settings.http_listen:
            app = agent_pages.AgentApp(metrics.AgentMetrics(agent))
            serve_http = functools.partial(
                process.serve_http, app, settings.http_listen
            )
        code = await process.serve(
            agent,
            serve_http,
            functools.partial(agent.drain, settings.drain_timeout_s),
        )
        nursery.cancel_scope.cancel()
    return code
