"""Runs an entry on the platform as a process."""

from __future__ import annotations

from typing import TYPE_CHECKING
import uuid

import trio

from pimentobridge.core import types
from pimentobridge.daemons import boot_clock
from pimentobridge.daemons import http_limits
from pimentobridge.daemons import http_server
from pimentobridge.daemons import job_api
from pimentobridge.daemons import job_entry
from pimentobridge.daemons import link_use
from pimentobridge.daemons import logs
from pimentobridge.daemons import platform_process
from pimentobridge.platform import advice
from pimentobridge.platform import http_client
from pimentobridge.platform import kv_store
from pimentobridge.protocol import zmq_transport

if TYPE_CHECKING:
    from pimentobridge.daemons import listening
    from pimentobridge.platform import boot_settings

# The balancer stops sending new connections after two failed health checks, a
# second apart.
BALANCER_DRAIN_S = 2.5


def main(
    settings: boot_settings.ProcessSettings, listeners: listening.Listeners
) -> int:
    """Runs an entry until a signal stops it."""
    return platform_process.run(_run, settings, listeners)


async def _run(
    settings: boot_settings.ProcessSettings, listeners: listening.Listeners
) -> int:
    clock = boot_clock.BootClock()
    endpoint = zmq_transport.ZmqEndpoint(
        types.Address(f"tcp://{settings.ip}:{settings.internal_ports[0]}")
    )
    store_client = http_client.HttpClient(settings.store)
    entry = job_entry.JobEntry(
        settings=settings,
        endpoint=endpoint,
        store=kv_store.KvStore(store_client),
        clock=clock,
        nonce=uuid.uuid4().hex,
        policy_service=(
            advice.AdviceService(http_client.HttpClient(settings.advice))
            if settings.advice
            else None
        ),
    )
    link = link_use.LinkUse(
        link_mbps=settings.link_mbps,
        counters={
            "store": lambda: link_use.Traffic(
                store_client.sent_bytes, store_client.received_bytes
            ),
            "processes": lambda: link_use.Traffic(
                endpoint.sent_bytes, endpoint.received_bytes
            ),
        },
    )
    ledger = http_limits.Ledger(
        http_limits.for_machine(settings.memory_mb, settings.max_fds), clock
    )
    app = job_api.CallerApi(entry, clock=clock, ledger=ledger)
    binds = [settings.front, settings.ready]
    if settings.control:
        binds.append(settings.control)
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(entry.run)
        nursery.start_soon(link.run)
        nursery.start_soon(
            http_server.serve,
            app,
            [listeners.bind_of(address) for address in binds],
            stopped,
            ledger,
        )
        nursery.start_soon(
            http_server.serve_metrics,
            app.metrics,
            f"{settings.ip}:{http_server.METRICS_PORT}",
            stopped,
            ledger,
        )
        logs.event("started", role="entry", settings=str(settings))
        await platform_process.wait_for_stop()
        logs.event("draining")
        entry.draining = True
        drain_s = min(
            BALANCER_DRAIN_S, settings.grace_s - platform_process.KILL_MARGIN_S
        )
        with trio.move_on_after(drain_s):
            await entry.leadership.resign()
            await trio.sleep_forever()
        with trio.move_on_after(http_server.CLOSE_TIMEOUT_S):
            await entry.leadership.withdraw()
        stopped.set()
        await trio.sleep(http_server.CLOSE_TIMEOUT_S)
        nursery.cancel_scope.cancel()
    logs.event("stopped")
    return 0
