"""Which reports of an agent the scheduler takes as newer."""

from __future__ import annotations

from pimentobridge.core import types
from pimentobridge.daemons import agent_link
from pimentobridge.protocol import control

AGENT = types.Address("tcp://agent:7000")


def _report(process: str, sent_s: float) -> control.WorkerReport:
    return control.WorkerReport(
        agent=AGENT, process=process, token=1, sent_s=sent_s, answered_s=0.0
    )


def _after(*reports: control.WorkerReport) -> agent_link.AgentLink:
    """Returns a link after some reports, each newer than those before."""
    link = agent_link.AgentLink(0.0)
    for report in reports:
        assert link.is_newer(report)
        link.on_report(report, 1.0)
    return link


def test_reports_of_a_process_are_ordered_by_its_clock() -> None:
    link = _after(_report("a", 5.0))
    assert not link.is_newer(_report("a", 5.0))
    assert not link.is_newer(_report("a", 4.0))
    assert link.is_newer(_report("a", 6.0))


# Guards against LOST (issue 35, review/1): the next process counts from the
# machine's boot, which a power loss has made later.
def test_the_clock_of_the_next_process_may_have_begun_anew() -> None:
    link = _after(_report("a", 14_155.0), _report("b", 3.0))
    assert link.echo_s == 3.0
    assert link.process == "b"
    assert link.is_newer(_report("b", 4.0))


def test_a_late_report_of_a_replaced_process_is_not_newer() -> None:
    link = _after(_report("a", 14_155.0), _report("b", 3.0))
    assert not link.is_newer(_report("a", 14_156.0))
