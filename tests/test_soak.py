"""A short soak test of the real processes; longer ones are run manually."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.lab import soak

if TYPE_CHECKING:
    import pathlib

TRAFFIC_S = 6.0


def test_processes_violate_no_guarantee_under_faults(
    tmp_path: pathlib.Path,
) -> None:
    result = soak.run_one(3, seconds=TRAFFIC_S, folder=tmp_path)
    assert result.findings == []
    assert result.faults
    assert result.started > 0
