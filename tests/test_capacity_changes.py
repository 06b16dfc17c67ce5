"""Workers whose capacity shrinks and grows while they run."""

from __future__ import annotations

import pytest

from pimentobridge.lab import faults
from pimentobridge.lab import simulation


# Guards against LIMIT (issue 23): starts beyond a capacity that has shrunk, on
# workers that don't reject them.
@pytest.mark.parametrize("seed", range(1, 5))
def test_starts_stay_within_a_capacity_that_shrinks_and_grows(
    seed: int,
) -> None:
    shrinks = [
        faults.Fault("capacity shrinks", 3.0, 9.0, (0, 1, 2)),
        faults.Fault("capacity shrinks", 8.0, 12.0, (3, 4)),
        faults.Fault("capacity shrinks", 22.0, 6.0, (0, 4, 5)),
    ]
    result = simulation.run(seed, shrinks, guards_capacity=False)
    assert result.findings == []
