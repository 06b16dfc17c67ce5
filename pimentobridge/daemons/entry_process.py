"""Runs an entry as a process."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

import trio

from pimentobridge.console import pages as console_pages
from pimentobridge.daemons import api
from pimentobridge.daemons import entry as entry_lib
from pimentobridge.daemons import logs
from pimentobridge.daemons import metrics
from pimentobridge.daemons import process
from pimentobridge.daemons import status_pages
from pimentobridge.daemons import trio_clock
from pimentobridge.platform import http_store
from pimentobridge.protocol import zmq_transport

if TYPE_CHECKING:
    from pimentobridge.daemons import settings as settings_lib


def run(settings: settings_lib.Settings) -> int:
    """Runs an entry until a signal stops it.

    Returns:
        0, or 4 if requests were unfinished when the shutdown timed out.
    """
    logs.set_up(settings.node, settings.log_level)
    return trio.run(_run_entry, settings)


async def _run_entry(settings: settings_lib.Settings) -> int:
    endpoint = zmq_transport.ZmqEndpoint(settings.listen)
    store = http_store.HttpStore(settings.store_url)
    clock = trio_clock.TrioClock()
    entry = entry_lib.Entry(
        identity=process.identity_of(settings),
        endpoint=endpoint,
        clock=clock,
        rng=random.Random(),
        store=store,
        trusted=settings.trusted_owners,
        entries=settings.entries,
    )
    app = api.CallerApi(
        entry=entry,
        document=lambda: entry.replica.document,
        pages=[
            status_pages.StatusPages(entry, metrics.EntryMetrics(entry)),
            api.JobPages(entry),
            console_pages.ConsolePages(entry, store),
        ],
    )
    return await process.serve(
        entry,
        functools.partial(process.serve_http, app, settings.http_listen),
        functools.partial(entry.drain, settings.drain_timeout_s),
    )
