"""Small units that leave whole workers and racks to gangs and large tasks."""

from __future__ import annotations

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import packing
from pimentobridge.testing import engine_harness


def _job(name: str, request: model.Resources, **fields: object) -> model.Job:
    step = model.Step(
        fields.pop("count", 1),  # type: ignore[arg-type]
        request,
        5.0,
        **fields,  # type: ignore[arg-type]
    )
    return engine_harness.job(name * 16, step)


def _workers_of(name: str, orders: list[runs.Instructions]) -> set[int]:
    started = engine_harness.started(orders)
    return {number for number, key in started if key.task[0] == name}


# Guards against a gang that waits behind a stream of small tasks, of which each
# rack has some, though all of them would fit in one.
def test_a_small_task_leaves_an_empty_rack_to_a_gang() -> None:
    harness = engine_harness.EngineHarness(4)
    first = _job("a", engine_harness.WORKER, affinity_rack="rack-1")
    assert _workers_of("a", harness.submit(first)) == {2}
    small = _job("b", engine_harness.GPU)
    assert _workers_of("b", harness.submit(small)) == {3}
    gang = _job("c", engine_harness.WORKER, count=2, gang=True, same_rack=True)
    assert _workers_of("c", harness.submit(gang)) == {0, 1}


# Guards against a task of eight accelerators that waits because a small gang
# took part of the last empty worker, though a used one had room for it.
def test_a_small_gang_leaves_an_empty_worker_to_a_large_task() -> None:
    harness = engine_harness.EngineHarness(2)
    harness.submit(_job("a", engine_harness.GPU, count=5))
    gang = _job("b", engine_harness.GPU, count=3, gang=True)
    assert _workers_of("b", harness.submit(gang)) == {0}
    large = _job("c", engine_harness.WORKER)
    assert _workers_of("c", harness.submit(large)) == {1}


def _option(worker: str, slots: int, cost: int = 0) -> packing.Option:
    return packing.Option(
        cost=(cost,),
        idle_rack=False,
        slots=slots,
        unused_share=0.0,
        worker=worker,
        key=runs.IncarnationKey(types.WorkerId(worker), 1),
    )


def test_a_gang_is_on_few_workers_and_the_last_has_the_least_room() -> None:
    options = [_option("a", 8), _option("b", 3), _option("c", 2)]
    chosen = packing.fill(options, 10)
    assert chosen is not None
    assert [key.worker for key in chosen] == ["a"] * 8 + ["c"] * 2
    assert packing.fill(options, 14) is None


def test_what_decides_before_the_packing_is_kept() -> None:
    options = [_option("a", 8, cost=1), _option("b", 3), _option("c", 2)]
    assert packing.best_fit(options).worker == "c"
    chosen = packing.fill(options, 6)
    assert chosen is not None
    assert [key.worker for key in chosen] == ["b"] * 3 + ["c"] * 2 + ["a"]
