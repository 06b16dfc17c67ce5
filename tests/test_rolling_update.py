"""The load of a rolling update: 41 of 76 workers are replaced in 13 s."""

from __future__ import annotations

from pimentobridge.testing import rolling_update


# Guards against moved runs that never start again, and against a second run of
# a task while the first is being stopped: 146 tasks were moved 283 times. The
# simulation raises an error for two runs of a task at a time.
def test_all_jobs_end_though_half_of_the_workers_are_replaced() -> None:
    simulation = rolling_update.RollingUpdate(seed=1, workers=76, load=0.4)
    simulation.run(warm_up_s=10.0, drained=41, rest_s=90.0)
    assert simulation.open_jobs(older_than_s=70.0) == []
    assert "rolling update inferred" in simulation.harness.logged_events
    assert simulation.lost()["lost_core_seconds_stopped_drain"] > 0
    assert simulation.lost()["lost_core_seconds_stopped_other"] == 0
