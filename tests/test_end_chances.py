"""Chances of runs to end before their workers depart."""

from __future__ import annotations

import pytest

from pimentobridge.core.jobs import model
from pimentobridge.core.scheduling import end_chances
from pimentobridge.core.scheduling import ledger
from pimentobridge.core.scheduling import move_verdicts
from pimentobridge.testing import engine_harness


def _members(
    *reports: tuple[tuple[float, int], ...],
) -> list[ledger.RunEntry]:
    """Returns members, each with its reports: time and percentage."""
    harness = engine_harness.EngineHarness(len(reports))
    gang = model.Step(
        len(reports), engine_harness.WORKER, 10.0, gang=len(reports) > 1
    )
    harness.submit(engine_harness.job("a" * 16, gang))
    members = [
        entry
        for worker in harness.engine.workers_by_incarnation.values()
        for entry in worker.entries_by_key.values()
    ]
    for member, rows in zip(members, reports, strict=True):
        for time_s, percent in rows:
            member.observed.update(percent, time_s)
    return members


# Guards against estimates that are taken for facts: they are off by up to 90 %.
@pytest.mark.parametrize(
    ("within_s", "chance"),
    [(5.0, 0.0), (10.0, 0.5), (20.0, 0.78), (100.0, 1.0)],
)
def test_an_estimate_of_10_s_may_be_off_by_90_percent(
    within_s: float, chance: float
) -> None:
    found = end_chances.chance_of_end(_members(()), within_s, 0.0)
    assert found == pytest.approx(chance, abs=0.01)


def test_a_run_that_has_outlived_its_estimate_may_still_take_long() -> None:
    members = _members(((0.0, 0),))
    assert end_chances.chance_of_end(members, 5.0, 10.0) == pytest.approx(
        0.37, abs=0.01
    )
    assert end_chances.chance_of_end(members, 5.0, 101.0) == 0.0


# Guards against moves of runs that the reported progress shows to end soon.
@pytest.mark.parametrize(("within_s", "chance"), [(1.5, 0.0), (2.6, 1.0)])
def test_progress_tells_the_end_within_20_percent(
    within_s: float, chance: float
) -> None:
    members = _members(((0.0, 0), (8.0, 80)))
    assert end_chances.chance_of_end(members, within_s, 8.0) == chance


# Guards against the load of a rolling update: the time in which a gang waited
# for its last member counted as work, so that urgent gangs were moved although
# they would have ended 2 s before the departure.
def test_a_gang_that_waited_for_a_member_is_not_slow() -> None:
    waited = [(0.0, 0), (0.5, 0), (1.0, 0)]
    members = _members((*waited, (1.5, 12), (2.0, 25)))
    chance = end_chances.chance_of_end(members, 4.5, 2.2)
    assert chance >= move_verdicts.LIKELY


def test_a_run_that_stands_still_is_not_expected_to_go_on_at_its_rate() -> None:
    members = _members(((0.0, 0), (0.5, 10), (1.0, 20)))
    assert end_chances.chance_of_end(members, 5.0, 1.2) >= move_verdicts.LIKELY
    assert end_chances.chance_of_end(members, 5.0, 6.0) == 0.0


def test_a_gang_ends_with_its_slowest_member() -> None:
    members = _members(((0.0, 0), (8.0, 80)), ((0.0, 0), (8.0, 20)))
    assert end_chances.chance_of_end(members, 5.0, 8.0) == 0.0
