"""Which answers of a worker its agent takes as the newest."""

from __future__ import annotations

import pytest

from pimentobridge.core.jobs import runs
from pimentobridge.daemons import worker_view
from pimentobridge.platform import runner_status

MAX_LEASE_S = 6.0
RUN = runs.RunKey("a.0.0.0", 1)


def _status(
    clock_s: float, *running: runs.RunKey
) -> runner_status.RunnerStatus:
    return runner_status.RunnerStatus(
        clock_s=clock_s,
        running=tuple(runs.RunningTask(key, "", 0) for key in running),
        ended=(),
    )


def _view_after_poll(sent_s: float) -> worker_view.WorkerView:
    """Returns a view after the answer to a poll, which lists the run."""
    view = worker_view.WorkerView(MAX_LEASE_S)
    view.apply(_status(5.0, RUN), 10.0, sent_s=sent_s)
    return view


# Guards against TWICE (issue 38): the list read after a stop was replaced by an
# answer of the same millisecond to an earlier poll, which lacked the run.
@pytest.mark.parametrize(
    ("clock_s", "sent_s", "outdated"),
    [
        (5.0, 8.0, True),
        (5.0, 9.5, False),
        (4.999, 9.5, True),
        (5.001, 8.0, False),
    ],
)
def test_answers_of_one_millisecond_are_ordered_by_their_polls(
    clock_s: float, sent_s: float, outdated: bool
) -> None:
    view = _view_after_poll(9.0)
    assert view.is_outdated(_status(clock_s), sent_s=sent_s) is outdated
