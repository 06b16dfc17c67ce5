"""State of the scheduler's exchange of reports and orders with an agent."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from pimentobridge.daemons import logs

if TYPE_CHECKING:
    from pimentobridge.core.jobs import runs
    from pimentobridge.protocol import control

# Limits on the ended processes that are remembered for each agent, to tell
# their late reports from those of its present process, and on unproven ones.
MAX_ENDED_PROCESSES = 16
MAX_UNPROVEN_PROCESSES = 16


class AgentLink:
    """State of the exchange with one agent.

    The first process that reports is taken for the present one. A later one is
    unproven until one of its reports shows that orders that were addressed to
    it have reached it: its first reports may be late, and it may have ended
    before the present process started.

    Times are monotonic times of this process unless stated otherwise.

    Attributes:
        process: the agent's present process; empty before the first report.
        echo_s: `sent_s` of the newest report, on the agent's clock; orders
            return it.
        report_received_s: when the newest report arrived.
        resent_s: when orders were last sent again for lack of a report; 0
            before the first time.
        reconnected_s: when the connection was opened or last replaced.
        sent_instructions: the instructions in the newest orders; None if they
            had none.
    """

    def __init__(self, now_s: float) -> None:
        self.process = ""
        self.echo_s = 0.0
        self.report_received_s = now_s
        self.resent_s = 0.0
        self.reconnected_s = now_s
        self.sent_instructions: runs.Instructions | None = None
        self._ended_processes: collections.deque[str] = collections.deque(
            maxlen=MAX_ENDED_PROCESSES
        )
        # In the order of their first reports.
        self._unproven_processes: collections.deque[str] = collections.deque(
            maxlen=MAX_UNPROVEN_PROCESSES
        )

    def is_newer(self, report: control.WorkerReport) -> bool:
        """Returns whether a report is newer than all before it.

        Reports of one process are ordered by its clock. One of another process
        may be newer, unless that process was replaced before.
        """
        if report.process == self.process:
            return report.sent_s > self.echo_s
        return report.process not in self._ended_processes

    def is_unproven(self, report: control.WorkerReport, token: int) -> bool:
        """Returns whether a report may be of a process that has ended.

        Args:
            report: a report that `is_newer` allows.
            token: this scheduler's fencing token.
        """
        if self.process in ("", report.process):
            return False
        return report.token != token or not report.answered_s

    def on_unproven(self, report: control.WorkerReport, now_s: float) -> None:
        """Notes a report of an unproven process."""
        if report.process not in self._unproven_processes:
            self._unproven_processes.append(report.process)
        self.report_received_s = now_s

    def on_report(self, report: control.WorkerReport, now_s: float) -> None:
        """Notes a report that is newer than all before it."""
        if report.process != self.process:
            logs.event(
                "agent's process known",
                agent=report.agent,
                process=report.process,
                earlier=self.process,
                sent_s=round(report.sent_s, 3),
                echo_s=round(self.echo_s, 3),
            )
            self._end_processes_before(report.process)
        self.process = report.process
        self.echo_s = report.sent_s
        self.report_received_s = now_s

    def _end_processes_before(self, process: str) -> None:
        """Notes that a process has replaced all that reported before it."""
        self._ended_processes.append(self.process)
        if process in self._unproven_processes:
            while (earlier := self._unproven_processes.popleft()) != process:
                self._ended_processes.append(earlier)
