"""A short soak of the real programs; longer ones are run by hand."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.lab import soak

if TYPE_CHECKING:
    import pathlib

TRAFFIC_S = 6.0


def test_processes_keep_the_promises_under_faults(
    tmp_path: pathlib.Path,
) -> None:
    verdict = soak.run_one(3, seconds=TRAFFIC_S, folder=tmp_path)
    assert verdict.findings == []
    assert verdict.faults
    assert verdict.started > 0
