"""Tasks that crash every worker that starts them."""

from __future__ import annotations

import pytest

from pimentobridge.lab import faults
from pimentobridge.lab import machines
from pimentobridge.lab import simulation

DEADLY = faults.Fault("tasks crash their runners", 1.0, 25.0)


# Guards against BUDGET (issue 23): nothing counted the workers that crashed
# under a task, so that it was started on one after the other without end.
@pytest.mark.parametrize("seed", range(1, 5))
def test_tasks_that_crash_workers_are_given_up(seed: int) -> None:
    assert simulation.run(seed, [DEADLY]).findings == []


# Guards against a count (issue 23) that is lost with its scheduler.
@pytest.mark.parametrize("seed", range(1, 5))
def test_crashes_stay_counted_when_the_scheduler_changes(seed: int) -> None:
    kills = [
        faults.Fault("scheduler killed", at_s, 1.0)
        for at_s in (4.0, 9.0, 14.0, 19.0, 24.0)
    ]
    assert simulation.run(seed, [DEADLY, *kills]).findings == []


# Guards against a count (issue 23) that isn't kept while the store is away.
@pytest.mark.parametrize("seed", range(1, 5))
def test_crashes_stay_counted_over_store_outages(seed: int) -> None:
    outages = [
        faults.Fault("store silent", 3.0, 5.0),
        faults.Fault("scheduler killed", 7.5, 1.0),
        faults.Fault("store busy", 12.0, 6.0),
        faults.Fault("store resets", 20.0, 4.0),
    ]
    assert simulation.run(seed, [DEADLY, *outages]).findings == []


# Guards against runs (issue 23) that wait without end for a worker that isn't
# back when its lease is over, as its agent goes on reporting them.
@pytest.mark.parametrize("seed", range(4, 7))
def test_runs_are_given_up_when_a_crashed_worker_stays_away(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(machines, "RUNNER_RESTART_S", 14.0)
    assert simulation.run(seed, [DEADLY]).findings == []


# Guards against LOST (issue 35, related to review/3): a worker that crashed
# behind a cut counted as crashed under what it had listed before the cut, also
# if that had ended meanwhile, and the job was given up after two such crashes.
@pytest.mark.parametrize("seed", [11, 12, 13, 16])
def test_a_crash_behind_a_cut_is_nobodys_fault(seed: int) -> None:
    cuts = faults.Fault("runners restart behind a cut", 9.0, 7.0, (0, 1))
    assert simulation.run(seed, [cuts]).findings == []
