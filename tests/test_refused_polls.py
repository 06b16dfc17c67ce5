"""Refused connections of a deregistered worker, counted by several polls."""

from __future__ import annotations

from pimentobridge.daemons import worker_contact

MAX_LEASE_S = 6.0


# TWICE (issue 38): the polls that follow accepted stops also count as refusals,
# but take no pause of 0.1 s. The worker is found to have ended within the 0.9 s
# that the stops may take.
def test_refusals_at_one_time_do_not_end_a_worker() -> None:
    contact = worker_contact.WorkerContact(MAX_LEASE_S)
    contact.deregistered = True
    for _ in range(10):
        contact.on_unreachable(refused=True)
    contact.on_unreachable(refused=True)
    assert not contact.on_retry_pause()
