"""Runs an agent on the platform as a process."""

from __future__ import annotations

from typing import TYPE_CHECKING
import uuid

import trio

from pimentobridge.core import types
from pimentobridge.daemons import boot_clock
from pimentobridge.daemons import http_limits
from pimentobridge.daemons import http_server
from pimentobridge.daemons import job_metrics
from pimentobridge.daemons import keys
from pimentobridge.daemons import logs
from pimentobridge.daemons import platform_process
from pimentobridge.daemons import worker_agent
from pimentobridge.daemons import worker_api
from pimentobridge.platform import http_client
from pimentobridge.platform import kv_store
from pimentobridge.platform import runner as runner_lib
from pimentobridge.protocol import zmq_transport

if TYPE_CHECKING:
    from pimentobridge.daemons import listening
    from pimentobridge.platform import boot_settings

ANNOUNCE_RETRY_DELAY_S = 0.5


def main(
    settings: boot_settings.ProcessSettings, listeners: listening.Listeners
) -> int:
    """Runs an agent until a signal stops it."""
    return platform_process.run(_run, settings, listeners)


async def _run(
    settings: boot_settings.ProcessSettings, listeners: listening.Listeners
) -> int:
    port = settings.internal_ports[0]
    address = types.Address(f"tcp://{settings.ip}:{port}")
    store = kv_store.KvStore(http_client.HttpClient(settings.store))
    clock = boot_clock.BootClock()
    ledger = http_limits.Ledger(
        http_limits.for_machine(settings.memory_mb, settings.max_fds), clock
    )
    agent = worker_agent.WorkerAgent(
        settings=settings,
        endpoint=zmq_transport.ZmqEndpoint(address),
        runner=runner_lib.Runner(
            lambda: http_client.HttpConnection(settings.worker)
        ),
        store=store,
        clock=clock,
        entries=tuple(
            types.Address(f"tcp://{seed.rpartition(':')[0]}:{port}")
            for seed in settings.seeds
        ),
        nonce=uuid.uuid4().hex,
    )
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(agent.run)
        nursery.start_soon(_announce, store, address, settings.region)
        nursery.start_soon(
            http_server.serve,
            worker_api.WorkerApi(agent),
            [listeners.bind_of(settings.control)],
            stopped,
            ledger,
        )
        nursery.start_soon(
            http_server.serve_metrics,
            job_metrics.Metrics(lambda: agent.gauges() | ledger.gauges()),
            f"{settings.ip}:{http_server.METRICS_PORT}",
            stopped,
            ledger,
        )
        logs.event("started", role="agent", settings=str(settings))
        await platform_process.wait_for_stop()
        agent.announce_shutdown()
        logs.event("stopping", grace_s=settings.grace_s)
        await agent.finish_runs(
            settings.grace_s - platform_process.KILL_MARGIN_S
        )
        with trio.move_on_after(http_server.CLOSE_TIMEOUT_S):
            await agent.leave()
            await _withdraw(store, address)
        logs.event("stopped")
        nursery.cancel_scope.cancel()
    return 0


async def _announce(
    store: kv_store.KvStore, address: types.Address, region: types.RegionName
) -> None:
    """Writes this agent's address to the store, where the entries read it.

    Retries until the store has the address.
    """
    while True:
        written = await store.transact(
            expected={keys.agent(address): kv_store.ABSENT},
            puts=[kv_store.Put(keys.agent(address), keys.agent_value(region))],
        )
        if written.is_ok():
            return
        await trio.sleep(ANNOUNCE_RETRY_DELAY_S)


async def _withdraw(store: kv_store.KvStore, address: types.Address) -> None:
    """Deletes this agent's address, so that entries don't ask it in vain."""
    await store.transact(expected={}, puts=[], deletes=[keys.agent(address)])
