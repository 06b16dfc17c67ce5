import random

import trio

from pimentobridge.bench import harness
from pimentobridge.core import types
from pimentobridge.testing import deployment


def test_a_worker_returns_from_quarantine():
    """A worker is released from quarantine once its time is over.

    It stayed there forever when nothing checked which quarantines had expired.
    """

    async def main():
        site = deployment.Deployment(
            size=deployment.MUIDA, rng=random.Random(1), workers=True
        )
        async with trio.open_nursery() as nursery:
            site.start(nursery)
            await trio.sleep(8)
            service = next(
                e.jobs for e in site.entries if e.jobs._scheduler is not None
            )
            scheduler = service._scheduler
            worker = types.WorkerId("agent-2")
            scheduler.quarantine.on_failure(worker, types.JobId("a"))
            assert scheduler.quarantine.on_failure(worker, types.JobId("b"))
            scheduler.on_worker_lost(worker)
            await trio.sleep(30)
            assert scheduler.vacant.used(worker) == -1
            await trio.sleep(40)
            assert scheduler.vacant.used(worker) == 0
            nursery.cancel_scope.cancel()

    harness.run_virtual(main)
