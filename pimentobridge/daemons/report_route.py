"""Chooses whom an agent sends its reports to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pimentobridge.core import types
    from pimentobridge.protocol import control
    from pimentobridge.protocol import transport

# An agent whose reports haven't been answered for this long sends them to every
# entry.
SCHEDULER_SILENCE_S = 1.2


class ReportRoute:
    """Sends reports to the scheduler, or to every entry while it is silent.

    Args:
        endpoint: transport to the entries.
        entries: addresses of entries, which forward reports to the scheduler.

    Attributes:
        scheduler: address of the scheduler; None if unknown.
        entries: addresses of the entries.
    """

    def __init__(
        self,
        *,
        endpoint: transport.Outbox,
        entries: tuple[types.Address, ...],
    ) -> None:
        self._endpoint = endpoint
        self.scheduler: types.Address | None = None
        self.entries = entries
        # When a report was last sent to every entry.
        self._broadcast_s = 0.0

    def send(self, report: control.WorkerReport) -> None:
        """Sends a report."""
        # While orders answer no new report, reports don't reach the scheduler.
        unanswered_s = report.sent_s - max(report.answered_s, self._broadcast_s)
        if self.scheduler is not None and unanswered_s <= SCHEDULER_SILENCE_S:
            self._endpoint.send(self.scheduler, report)
            return
        self._broadcast_s = report.sent_s
        recipients = set(self.entries)
        if self.scheduler is not None:
            recipients.add(self.scheduler)
        for entry in sorted(recipients):
            self._endpoint.reset(entry)
            self._endpoint.send(entry, report)
