"""Memory of the state tables and CPU time of scheduling decisions."""

from __future__ import annotations

import random
import subprocess
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING

from pimentobridge.bench import harness
from pimentobridge.core import backends
from pimentobridge.core import clock as clock_lib
from pimentobridge.core import execution
from pimentobridge.core import fairness
from pimentobridge.core import outlier
from pimentobridge.core import request as request_lib
from pimentobridge.core import types
from pimentobridge.protocol import messages
from pimentobridge.testing import callers
from pimentobridge.testing import deployment

if TYPE_CHECKING:
    from collections.abc import Callable

AGENT_BOUND_MB = 64.0
ITEMS = 2000
DECISIONS = 50_000
SIZES = (10, 100, 1000)
GROWTH_BOUND = 4.0

# Execution records that an agent holds at the design size: those of all the
# requests that its slots run within the retention time.
AGENT_RECORDS = 8000


class _NullOutbox:
    """Outbox that drops every message."""

    def send(self, to: types.Address, message: messages.Message) -> None:
        """Drops a message."""

    def reset(self, to: types.Address) -> None:
        """Does nothing."""


def run(seed: int) -> harness.Report:
    """Measures the cost per item and extrapolates it to the design size."""
    bytes_per_record = _bytes_per_item(_create_records, ITEMS)
    bytes_per_server = _bytes_per_item(_create_servers, ITEMS)
    base_mb = _resident_mb("agent_process")
    agent_mb = base_mb + AGENT_RECORDS * bytes_per_record / 1e6
    figures = {
        "agent_mb_at_design_size": harness.at_most(
            agent_mb, AGENT_BOUND_MB, "MB"
        ),
        "agent_imported_mb": harness.info(base_mb, "MB"),
        "entry_imported_mb": harness.info(_resident_mb("entry_process"), "MB"),
        "bytes_per_execution_record": harness.info(bytes_per_record, "bytes"),
        "bytes_per_backend_server": harness.info(bytes_per_server, "bytes"),
    }
    queue_us_by_callers = {size: _queue_operation_us(size) for size in SIZES}
    choice_us_by_servers = {
        size: _backend_choice_us(size, seed) for size in SIZES
    }
    for size in SIZES:
        figures[f"queue_us_{size}_callers"] = harness.info(
            queue_us_by_callers[size], "us"
        )
        figures[f"choice_us_{size}_servers"] = harness.info(
            choice_us_by_servers[size], "us"
        )
    figures["queue_growth_10_to_1000"] = harness.at_most(
        queue_us_by_callers[1000] / queue_us_by_callers[10],
        GROWTH_BOUND,
        "ratio",
    )
    figures["choice_growth_10_to_1000"] = harness.at_most(
        choice_us_by_servers[1000] / choice_us_by_servers[10],
        GROWTH_BOUND,
        "ratio",
    )
    return harness.Report("footprint", seed, figures)


def _resident_mb(module: str) -> float:
    """Returns the resident memory of a process that only imports a daemon."""
    code = (
        f"import pimentobridge.daemons.{module}, resource;"
        "pages = int(open('/proc/self/statm').read().split()[1]);"
        "print(pages * resource.getpagesize())"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return int(completed.stdout) / 1e6


def _bytes_per_item(create: Callable[[int], object], count: int) -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    items = create(count)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / count if items is not None else sys.maxsize


def _create_records(count: int) -> object:
    document = deployment.load_document("muida")
    executor = execution.Executor(
        incarnation=types.Incarnation(1),
        slots=1,
        clock=clock_lib.ManualClock(),
        outbox=_NullOutbox(),
        start_work=lambda record: None,
        cancel_work=lambda record: None,
    )
    executor.set_classes(document.classes_by_name)
    for number in range(count):
        request = callers.request_of(
            document, "profile-scan", f"key-{number}", caller=f"c{number % 9}"
        )
        executor.handle(
            messages.Dispatch(types.Incarnation(1), request),
            types.Address("entry"),
        )
    return executor


def _create_servers(count: int) -> backends.BackendPool:
    clock = clock_lib.ManualClock()
    pool = backends.BackendPool(
        region=types.RegionName("r"),
        detector=outlier.OutlierDetector(clock),
        rng=random.Random(1),
    )
    for number in range(count):
        pool.upsert(
            types.Address(f"tcp://10.0.{number // 250}.{number % 250}:7000"),
            _heartbeat(number),
        )
    return pool


def _heartbeat(number: int) -> messages.Heartbeat:
    return messages.Heartbeat(
        types.NodeId(f"agent-{number}"),
        types.Incarnation(1),
        types.RegionName("r"),
        types.DataCentreName("d"),
        types.NodeState.ACTIVE,
        1,
        1,
        8,
        messages.Load(8, 0),
    )


def _queue_operation_us(caller_count: int) -> float:
    """Returns the microseconds of processor time to push and pop one request.

    All of many operations count, as the clock of processor time may be coarse.
    """
    queue: fairness.FlowQueue[int] = fairness.FlowQueue(levels=2)
    for number in range(caller_count):
        queue.push(("account", f"caller-{number}"), number)
    began_s = time.process_time()
    for number in range(DECISIONS):
        key = f"caller-{number % caller_count}"
        queue.push(("account", key), number)
        queue.pop(lambda _: 1.0)
    return (time.process_time() - began_s) / DECISIONS * 1e6


def _backend_choice_us(servers: int, seed: int) -> float:
    """Returns the microseconds of processor time to choose a backend server.

    All of many choices count, as the clock of processor time may be coarse.
    """
    pool = _create_servers(servers)
    work_class = request_lib.WorkClass(
        types.ClassName("c"), types.Urgency.URGENT, 1.0
    )
    began_s = time.process_time()
    for _ in range(DECISIONS):
        backends.choose(
            backends.LateBinding(), pool, work_class, allow_remote=False
        )
    return (time.process_time() - began_s) / DECISIONS * 1e6
