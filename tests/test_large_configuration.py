"""Configurations of thousands of routes, followed over slow links."""

from __future__ import annotations

import pytest

from pimentobridge.lab import large_configuration

# Time after the acknowledgement of a version in which every entry that is in
# touch must follow it.
IN_FORCE_WITHIN_S = 4.0
# Four transfers at the full size of a stored value, for all versions of a
# series together.
MAX_BYTES_PER_SERIES = 4 * 1_048_576


# Guards against CONFIG (issue 23): answers that need longer than their timeout
# on a slow link were cut off and begun anew, so entries stayed at old versions.
def test_entries_follow_large_configurations_over_slow_links() -> None:
    results = large_configuration.measure(3)
    assert results[-1].routes >= 4200
    for result in results:
        assert result.slowest_s <= IN_FORCE_WITHIN_S
        assert result.most_bytes <= MAX_BYTES_PER_SERIES


# Guards against CONFIG (issue 23): once a source of the configuration was
# lost, entries read it in full from the store, and the full link silenced the
# sources that were left.
@pytest.mark.parametrize(
    "loss",
    [
        large_configuration.SourceLoss.SIGTERM,
        large_configuration.SourceLoss.KILLED,
        large_configuration.SourceLoss.MOST_KILLED,
    ],
)
def test_lost_sources_of_the_configuration_dont_fill_slow_links(
    loss: large_configuration.SourceLoss,
) -> None:
    for result in large_configuration.measure(3, loss=loss):
        assert result.slowest_s <= IN_FORCE_WITHIN_S
        assert result.most_bytes <= result.document_bytes
