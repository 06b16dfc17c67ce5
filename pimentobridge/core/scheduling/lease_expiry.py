"""When the leases of workers that don't report must have expired."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import runs

if TYPE_CHECKING:
    from pimentobridge.core.scheduling import fleet


class LeaseExpiry:
    """Derives the end of a worker's lease from the reports of its agent.

    Args:
        orders_valid_s: time for which an agent acts on orders, and may renew
            the lease, from the report that they answer, in seconds.
        lease_s: time from a renewal until the lease must have expired, in
            seconds.
    """

    def __init__(self, *, orders_valid_s: float, lease_s: float) -> None:
        self._orders_valid_s = orders_valid_s
        self._lease_s = lease_s

    def expired_by_s(self, worker: fleet.TrackedWorker) -> float:
        """Returns the monotonic time by which the lease must have expired."""
        return max(
            self._unrenewed_until_s(worker),
            worker.last_answer_s + self._orders_valid_s + self._lease_s,
        )

    def on_answered(self, worker: fleet.TrackedWorker, now_s: float) -> None:
        """Notes that orders answer an agent of which nothing else is learnt.

        It may renew the lease by them, unless that has expired by now.
        """
        if now_s <= self._unrenewed_until_s(worker):
            worker.last_answer_s = now_s

    def _unrenewed_until_s(self, worker: fleet.TrackedWorker) -> float:
        """Returns when the lease expires if no other agent renews it."""
        if worker.agent_state is runs.AgentState.STOPPED:
            return worker.last_report_s + self._lease_s
        return worker.last_report_s + self._orders_valid_s + self._lease_s
