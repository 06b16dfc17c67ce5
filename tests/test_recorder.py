"""Records of the jobs' progress over a store whose answers take long."""

from __future__ import annotations

import trio
import trio.testing

from pimentobridge.core import types
from pimentobridge.core.jobs import configuration
from pimentobridge.core.jobs import model
from pimentobridge.core.scheduling import engine as engine_lib
from pimentobridge.daemons import keys
from pimentobridge.daemons import recorder as recorder_lib
from pimentobridge.daemons import trio_clock
from pimentobridge.platform import kv_store
from pimentobridge.testing import platform_store
from pimentobridge.testing import slow_client

ANSWER_S = 0.7
# One answer, and the time for which changes are gathered.
RECORDED_WITHIN_S = ANSWER_S + recorder_lib.PATIENCE_S + 0.05


def _job(number: int) -> model.Job:
    return model.Job(
        id=types.JobId(f"{number:016x}"),
        queue=configuration.Queue(
            name="queue",
            hostname="host",
            prefix="/",
            service="plans",
            priority=0,
            max_attempts=2,
            stretch=2.0,
            objective_s=1.0,
            timeout_s=3.0,
        ),
        account=types.AccountName("shop"),
        spec="spec",
        steps=(model.Step(1, model.Resources(1000, 1000, 1), 5.0),),
        submitted_ms=0,
    )


async def _times_until_recorded(count: int, interval_s: float) -> list[float]:
    store = platform_store.PlatformStore(trio.current_time)
    client = slow_client.SlowClient(store)
    client.answer_s = ANSWER_S
    engine = engine_lib.Engine(
        clock=trio_clock.TrioClock(trio_clock.FIXED_ORIGIN),
        max_lease_s=6.0,
        log=lambda *_, **__: None,
    )
    recorder = recorder_lib.Recorder(
        store=kv_store.KvStore(client),
        engine=engine,
        token=store.put(keys.LEADER, ""),
        on_recorded=lambda: None,
        on_key_lost=lambda: None,
    )
    times_s = []

    async def change(number: int) -> None:
        job = _job(number)
        engine.put_job(job)
        tracked = engine.jobs_by_id[job.id]
        engine.mark_changed(tracked)
        recorder.wake()
        changed_s = trio.current_time()
        while tracked.recorded_change < tracked.changes:
            await trio.sleep(0.01)
        times_s.append(trio.current_time() - changed_s)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(recorder.run)
        async with trio.open_nursery() as changes:
            for number in range(count):
                changes.start_soon(change, number)
                await trio.sleep(interval_s)
        nursery.cancel_scope.cancel()
    return times_s


# Guards against SHORT (issue 23): tasks were started seconds late, as the
# record of their placement waited for earlier writes to a slow store.
def test_a_change_waits_for_one_answer_of_a_slow_store() -> None:
    times_s = trio.run(
        _times_until_recorded,
        6,
        0.25,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
    assert max(times_s) <= RECORDED_WITHIN_S
