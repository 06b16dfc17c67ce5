"""The cost of a scheduling pass while urgent gangs wait on a crowded fleet."""

from __future__ import annotations

import pytest

from pimentobridge.core.scheduling import ledger
from pimentobridge.testing import crowded_load
from pimentobridge.testing import engine_harness

ACCELERATORS_PER_WORKER = 8
# What is asked, as a multiple of what there is.
OVERLOAD = 2.0
# A pass that looked at every run for each waiting unit would cost four times as
# much on a fleet of twice the size.
MAX_GROWTH_FOR_TWICE_THE_FLEET = 3.0


def _looks_at_runs(
    workers: int, accounts: int, monkeypatch: pytest.MonkeyPatch
) -> int:
    """Returns how often a pass looks at a run though nothing has changed."""
    harness = engine_harness.EngineHarness(workers)
    accelerators = int(workers * ACCELERATORS_PER_WORKER * OVERLOAD)
    jobs = crowded_load.jobs(
        seed=1, accelerators=accelerators, accounts=accounts
    )
    harness.submit(*jobs)
    looks = 0
    is_latest = ledger.RunEntry.is_latest.fget
    assert is_latest is not None

    def counted(entry: ledger.RunEntry) -> bool:
        nonlocal looks
        looks += 1
        return bool(is_latest(entry))

    with monkeypatch.context() as patch:
        patch.setattr(ledger.RunEntry, "is_latest", property(counted))
        harness.plan()
    assert looks
    return looks


# Guards against slow decisions: on 160 workers a pass took a third of an urgent
# caller's slack, as each waiting unit walked through all runs.
@pytest.mark.parametrize("accounts", [1, 10])
def test_a_pass_looks_at_runs_once_and_not_for_each_waiting_unit(
    accounts: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    small = _looks_at_runs(80, accounts, monkeypatch)
    large = _looks_at_runs(160, accounts, monkeypatch)
    assert large <= MAX_GROWTH_FOR_TWICE_THE_FLEET * small
