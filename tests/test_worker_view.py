"""Which answers of a worker its agent takes as the newest."""

from __future__ import annotations

import msgspec
import pytest

from pimentobridge.core import types
from pimentobridge.core.jobs import model
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


# Guards against a report for each change of a figure, which changes twice a
# second for each serving task, over links of 5 Mbit/s.
def test_a_changed_figure_causes_no_report_of_its_own() -> None:
    view = _view_after_poll(9.0)
    for clock_s, metric in ((6.0, 90), (6.5, 240)):
        status = runner_status.RunnerStatus(
            clock_s=clock_s,
            running=(runs.MeasuredTask(RUN, "", 0, metric),),
            ended=(),
        )
        assert not view.apply(status, clock_s + 5.0, sent_s=clock_s + 4.0)
    assert [task.metric for task in view.running] == [240]


class _EarlierTask(msgspec.Struct, frozen=True, array_like=True):
    """A row of `running` as versions without figures send and read it."""

    key: runs.RunKey
    checkpoint: str
    percent: int


def _report_of(*running: runs.RunningTask) -> bytes:
    view = worker_view.WorkerView(MAX_LEASE_S)
    status = runner_status.RunnerStatus(5.0, running, ended=())
    view.apply(status, 10.0, sent_s=9.0)
    incarnation = runs.WorkerIncarnation(
        runs.IncarnationKey(types.WorkerId("w"), 1),
        "service",
        types.DataCentreName("dc"),
        types.RackName("rack"),
        (),
        model.NO_RESOURCES,
    )
    report = view.observation(
        incarnation, crashes=(), agent_state=runs.AgentState.SERVING
    )
    return msgspec.msgpack.encode(report)


# Guards against reports that grow where the worker sends no figure, and that an
# agent and a scheduler of different versions can't exchange.
def test_a_report_without_figures_is_encoded_as_before() -> None:
    encoded = _report_of(runs.RunningTask(RUN, "saved", 40))
    row = msgspec.msgpack.encode(_EarlierTask(RUN, "saved", 40))
    assert row in encoded
    received = msgspec.msgpack.decode(encoded, type=runs.Observation)
    assert received.running == (runs.MeasuredTask(RUN, "saved", 40),)
    assert received.running[0].metric is None


def test_a_figure_reaches_the_scheduler_and_not_an_earlier_version() -> None:
    encoded = _report_of(runs.MeasuredTask(RUN, "saved", 40, 250))
    received = msgspec.msgpack.decode(encoded, type=runs.Observation)
    assert received.running[0].metric == 250
    row = msgspec.msgpack.encode(received.running[0])
    earlier = msgspec.msgpack.decode(row, type=_EarlierTask)
    assert earlier == _EarlierTask(RUN, "saved", 40)
