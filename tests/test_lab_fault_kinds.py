"""Simulations with one fault of each kind."""

from __future__ import annotations

import pytest

from pimentobridge.lab import faults
from pimentobridge.lab import simulation


@pytest.mark.parametrize("kind", faults.KINDS)
def test_no_guarantee_is_violated_under_each_kind_of_fault(kind: str) -> None:
    fault = faults.Fault(kind=kind, at_s=9.0, for_s=7.0, targets=(0, 1))
    assert simulation.run(11, [fault]).findings == []
