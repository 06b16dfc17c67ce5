"""Tasks that slow each other down on one worker, and their placement.

The load is two images, a cache and a scan, whose tasks request one accelerator
of a worker's eight and slow each other down by more than their requests say.
"""

from __future__ import annotations

import math
import random

import msgspec
import pytest

from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import interference as interference_lib
from pimentobridge.core.scheduling import kinds
from pimentobridge.core.scheduling import placement
from pimentobridge.core.scheduling import slowdown_errors
from pimentobridge.testing import crowded_load
from pimentobridge.testing import engine_harness
from pimentobridge.testing import uneven_fleet

CACHE, SCAN = kinds.Kind("cache"), kinds.Kind("scan")
SLOWDOWNS = {("cache", "scan"): 2.0, ("scan", "cache"): 1.5}
WORK_S = 10.0
WORKERS = 8
EVEN = [1.0] * WORKERS
UNEVEN = [0.6, 1.0, 1.6, 1.0, 1.0, 1.6, 0.6, 1.0]


def _job(
    number: int, image: str, *, tasks: int = 4, priority: int = 2
) -> model.Job:
    step = model.Step(tasks, engine_harness.GPU, WORK_S, image=image)
    return engine_harness.job(
        f"{number:016x}", step, priority=priority, account="other"
    )


def _ignore_runs(fleet: uneven_fleet.UnevenFleet) -> None:
    fleet.harness.engine.interference.on_running = (  # type: ignore[method-assign]
        lambda *_, **__: None
    )


def _play(fleet: uneven_fleet.UnevenFleet, *, pairs: int = 30) -> int:
    """Submits a job of each image every 2 s, for half of what the fleet holds.

    Returns:
        The number of workers that have both images, in the last seconds.
    """
    mixed = 0
    for pair in range(pairs):
        for offset, image in enumerate(("cache", "scan")):
            fleet.submit(_job(2 * pair + offset, image), WORK_S)
        fleet.run(2.0)
        if pair >= pairs - 5:
            mixed += sum(
                {"cache", "scan"} <= set(images)
                for images in fleet.images_by_worker()
            )
    return mixed


# Guards against tasks that slow each other down and are placed together again
# and again, as packing alone prefers, and against counting an interfering
# neighbour as a slow worker.
@pytest.mark.parametrize("speeds", [EVEN, UNEVEN])
def test_images_that_slow_each_other_are_separated(
    speeds: list[float],
) -> None:
    without = uneven_fleet.UnevenFleet(speeds, slowdowns=SLOWDOWNS)
    _ignore_runs(without)
    with_part = uneven_fleet.UnevenFleet(speeds, slowdowns=SLOWDOWNS)
    assert _play(without) >= 10
    assert _play(with_part) == 0
    assert with_part.harness.logged_events.count("interference learned") >= 2
    gauges = with_part.harness.engine.interference.gauges()
    assert gauges["interfering_pairs"] == 2
    assert 1.6 <= gauges["strongest_interference"] <= 2.4
    assert gauges["units_placed_beside_interference"] > 0


# Guards against separation, and lost packing, on fleets where nothing
# interferes: rates that differ by the workers' speeds alone.
@pytest.mark.parametrize("speeds", [EVEN, UNEVEN])
def test_nothing_is_learned_where_nothing_interferes(
    speeds: list[float],
) -> None:
    fleet = uneven_fleet.UnevenFleet(speeds)
    _play(fleet)
    gauges = fleet.harness.engine.interference.gauges()
    assert gauges["interfering_pairs"] == 0
    assert gauges["units_placed_beside_interference"] == 0


# Guards against learning chance: on workers of unequal speed, with demands that
# come and go, about one pair at a time, and up to 4, counted as interfering
# while the errors of the workers' speeds and of neighbours that come together
# were left out. The mean must be below a quarter.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_little_is_learned_from_chance(seed: int) -> None:
    rng = random.Random(seed)
    speeds = [rng.choice((0.6, 1.0, 1.6)) for _ in range(20)]
    fleet = uneven_fleet.UnevenFleet(speeds)
    known = number = 0
    for _ in range(120):
        for priority, per_second in ((0, 1.0), (1, 0.3), (2, 0.25)):
            if rng.random() >= per_second / 2:
                continue
            job, work_s = uneven_fleet.drawn_job(rng, number, priority=priority)
            image = f"{priority}{rng.choice('xyz')}"
            step = msgspec.structs.replace(job.steps[0], image=image)
            fleet.submit(msgspec.structs.replace(job, steps=(step,)), work_s)
            number += 1
        fleet.run(0.5)
        gauges = fleet.harness.engine.interference.gauges()
        known += int(gauges["interfering_pairs"])
    assert known <= 0.25 * 120


# Guards against blaming each of two neighbours that always come together.
def test_neighbours_that_come_together_are_uncertain() -> None:
    x, y = kinds.Kind("x"), kinds.Kind("y")
    both, none = frozenset({x, y}), frozenset[kinds.Kind]()
    together = slowdown_errors.StepRows(0.0, [(both, 100.0), (none, 100.0)])
    variances = slowdown_errors.variances([together], prior=0.25)
    # The sum is known to 0.02, and the difference as little as before.
    assert variances[x] == pytest.approx(0.13, abs=0.01)
    apart = slowdown_errors.StepRows(
        0.0, [(frozenset({x}), 100.0), (none, 100.0)]
    )
    variances = slowdown_errors.variances([together, apart], prior=0.25)
    assert variances[x] == pytest.approx(1 / (4 + 50), rel=0.1)
    assert variances[y] < 0.05


# Guards against a pair that counts without any comparison.
def test_a_slowdown_without_comparison_is_as_uncertain_as_before() -> None:
    alone = slowdown_errors.StepRows(0.0, [(frozenset({SCAN}), 100.0)])
    variances = slowdown_errors.variances([alone], prior=0.25)
    assert variances == {SCAN: pytest.approx(0.25)}


def _known(
    harness: engine_harness.EngineHarness,
    slowdown_by_pair: dict[interference_lib.Pair, float],
) -> None:
    """Has an engine know some slowdowns, as logarithms, and learn no others."""
    part = harness.engine.interference
    part.update = lambda _: None  # type: ignore[method-assign]
    part._use(slowdown_by_pair)


def _images_by_worker(
    orders: list[runs.Instructions], image_by_job: dict[str, str]
) -> dict[int, set[str]]:
    images: dict[int, set[str]] = {}
    for number, key in engine_harness.started(orders):
        image = image_by_job[key.task.split(".")[0]]
        images.setdefault(number, set()).add(image)
    return images


# Guards against a preference that looks only at what slows the new unit and
# not at what the unit slows.
@pytest.mark.parametrize("pair", [(CACHE, SCAN), (SCAN, CACHE)])
def test_either_direction_keeps_a_unit_away(
    pair: interference_lib.Pair,
) -> None:
    harness = engine_harness.EngineHarness(2)
    _known(harness, {pair: 0.7})
    cache, scan = _job(1, "cache", tasks=1), _job(2, "scan", tasks=1)
    orders = harness.submit(cache, scan)
    images = _images_by_worker(orders, {cache.id: "cache", scan.id: "scan"})
    assert sorted(map(sorted, images.values())) == [["cache"], ["scan"]]


# Guards against units that wait for a worker without interference while
# another worker has room.
def test_a_full_fleet_still_places_everything() -> None:
    harness = engine_harness.EngineHarness(2)
    _known(harness, {(CACHE, SCAN): 2.0, (SCAN, CACHE): 2.0})
    orders = harness.submit(
        _job(1, "cache", tasks=12), _job(2, "scan", tasks=4)
    )
    assert len(engine_harness.started(orders)) == 16


# Guards against interference that counts before the completion of urgent work:
# a guaranteed job preempts as before, beside an image that slows it.
def test_an_urgent_job_takes_its_guarantee_beside_interference() -> None:
    harness = engine_harness.EngineHarness(1)
    _known(harness, {(CACHE, SCAN): 2.0})
    harness.submit(_job(1, "scan", tasks=4))
    urgent = msgspec.structs.replace(
        _job(2, "cache", tasks=4, priority=0),
        account=types.AccountName("shop"),
    )
    started = engine_harness.started(harness.submit(urgent))
    assert sum(key.task.startswith(urgent.id) for _, key in started) == 4


# Guards against separation that makes work late: the fast worker has a scan,
# which it slows a little, and on the slow one it misses its completion target.
# Beside an image that slows it beyond the target, it takes the slow worker.
@pytest.mark.parametrize(
    ("pair", "worker"), [((SCAN, CACHE), 0), ((CACHE, SCAN), 1)]
)
def test_a_completion_target_comes_before_separation(
    pair: interference_lib.Pair, worker: int
) -> None:
    harness = engine_harness.EngineHarness(1)
    harness.submit(_job(1, "scan", tasks=1))
    harness.incarnations.append(harness.incarnation(1))
    harness.observe_all()
    _known(harness, {pair: math.log(4.0)})
    harness.engine.speeds.speed_of = (  # type: ignore[method-assign]
        lambda agent: 1.6 if agent == "agent-0" else 0.6
    )
    urgent = _job(2, "cache", tasks=1, priority=0)
    queue = msgspec.structs.replace(urgent.queue, stretch=1.5, objective_s=0.6)
    urgent = msgspec.structs.replace(urgent, queue=queue)
    if worker == 1:
        # In time on the slow worker, and not on the fast one beside a scan.
        queue = msgspec.structs.replace(queue, stretch=2.0)
        urgent = msgspec.structs.replace(urgent, queue=queue)
    started = engine_harness.started(harness.submit(urgent))
    assert [
        number for number, key in started if key.task.startswith(urgent.id)
    ] == [worker]


# Guards against a change for fleets on which nothing has been learned.
def test_nothing_changes_where_nothing_is_learned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def placed() -> list[tuple[int, runs.RunKey]]:
        harness = engine_harness.EngineHarness(40)
        jobs = [_job(number, f"image-{number % 3}") for number in range(20)]
        return engine_harness.started(
            harness.submit(*crowded_load.jobs(seed=1, accelerators=100), *jobs)
        )

    with_preference = placed()
    candidates = placement.Candidates

    def without_interference(
        workers: object, preferences: tuple[object, ...], owners: object
    ) -> placement.Candidates:
        departures, _, pace = preferences
        return candidates(workers, (departures, pace), owners)  # type: ignore[arg-type]

    monkeypatch.setattr(placement, "Candidates", without_interference)
    assert placed() == with_preference


class _Serving:
    """A fleet with a serving step and one task of a scan beside one of it.

    Args:
        beside_ms: tail latency of the task that is beside the scan; None if
            the worker reports none.
        alone_ms: the same of the others.
    """

    def __init__(self, beside_ms: int | None, alone_ms: int | None) -> None:
        self.harness = engine_harness.EngineHarness(3)
        self._metrics = [beside_ms, alone_ms, alone_ms]
        serving = model.Step(
            3,
            engine_harness.GPU,
            image="cache",
            long_running=True,
            target_ms=100,
            max_per_worker=1,
        )
        self._orders = self.harness.submit(
            engine_harness.job("a" * 16, serving, priority=1),
            _job(2, "scan", tasks=1),
        )

    def run(self, reports: int) -> None:
        """Lets each worker report twice a second."""
        started = engine_harness.started(self._orders)
        scan = next(n for n, key in started if key.task[0] != "a")
        for _ in range(reports):
            self.harness.clock.advance(0.5)
            for number in range(3):
                index = 0 if number == scan else 1
                self.harness.observe(
                    number,
                    running=tuple(
                        runs.MeasuredTask(
                            key,
                            "",
                            0,
                            self._metrics[index]
                            if key.task.startswith("a")
                            else 900,
                        )
                        for place, key in started
                        if place == number
                    ),
                )
            self.harness.plan()
            self.harness.record()

    def known(self) -> dict[interference_lib.Pair, float]:
        """Returns the known slowdowns, as logarithms."""
        return self.harness.engine.interference._known


# Guards against serving tasks over their target beside a neighbour: their
# progress says nothing, only their latency does.
def test_latency_over_the_target_shows_interference() -> None:
    fleet = _Serving(beside_ms=250, alone_ms=60)
    fleet.run(reports=2)
    assert not fleet.known()
    fleet.run(reports=30)
    assert set(fleet.known()) == {(CACHE, SCAN)}


# Guards against blaming a neighbour for what the tasks do without it, or for a
# latency within the target, or for nothing: workers that report no figure.
@pytest.mark.parametrize(
    ("beside_ms", "alone_ms"), [(250, 250), (95, 40), (None, None)]
)
def test_latency_that_is_no_worse_beside_a_neighbour_shows_none(
    beside_ms: int | None, alone_ms: int | None
) -> None:
    fleet = _Serving(beside_ms, alone_ms)
    fleet.run(reports=30)
    assert not fleet.known()


# Guards against pairs that are kept apart for ever: what was learned fades with
# a half-life of 60 s.
def test_what_was_learned_fades() -> None:
    fleet = _Serving(beside_ms=250, alone_ms=60)
    fleet.run(reports=30)
    part = fleet.harness.engine.interference
    before = dict(fleet.known())
    now_s = fleet.harness.clock.monotonic()
    for second in range(600):
        part.update(now_s + second)
    assert before
    assert not fleet.known()
    assert fleet.harness.logged_events.count("interference forgotten") == 1


# Guards against all steps without an image counting as one kind.
def test_steps_without_an_image_take_part_by_queue_and_step() -> None:
    job = engine_harness.job("a" * 16, model.Step(1, engine_harness.GPU))
    assert kinds.kind_of(job, 0) == kinds.Kind("", "queue-1", 0)
    assert kinds.kind_of(_job(1, "cache"), 0) == CACHE
