"""What an agent knows of a worker that it can't reach."""

from __future__ import annotations

from pimentobridge.daemons import worker_contact

MAX_LEASE_S = 6.0
# The lease, 2 % of clock error and 0.5 s, in pauses of 0.1 s.
POLLS_TO_END = 67


def _fail(contact: worker_contact.WorkerContact, polls: int) -> list[bool]:
    """Returns what `on_retry_pause` says after each of some failed polls."""
    ends = []
    for _ in range(polls):
        contact.on_unreachable()
        ends.append(contact.on_retry_pause())
    return ends


def test_a_worker_ends_once_its_lease_must_be_over() -> None:
    contact = worker_contact.WorkerContact(MAX_LEASE_S)
    assert not any(_fail(contact, POLLS_TO_END - 1))
    assert not contact.ended
    assert _fail(contact, 2) == [True, False]
    assert contact.ended


def test_a_call_that_may_have_arrived_starts_the_count_again() -> None:
    contact = worker_contact.WorkerContact(MAX_LEASE_S)
    _fail(contact, POLLS_TO_END - 1)
    contact.on_possible_arrival()
    assert not any(_fail(contact, POLLS_TO_END - 1))


def test_a_deregistered_worker_ends_when_it_refuses_connections() -> None:
    contact = worker_contact.WorkerContact(MAX_LEASE_S)
    contact.deregistered = True
    assert contact.on_unreachable()
    assert contact.ended


def test_an_answer_shows_that_the_worker_lives() -> None:
    contact = worker_contact.WorkerContact(MAX_LEASE_S)
    _fail(contact, POLLS_TO_END + 1)
    assert contact.on_answer()
    assert contact.reachable
    assert not contact.ended


def test_a_worker_is_silent_from_a_timeout_to_its_next_answer() -> None:
    contact = worker_contact.WorkerContact(MAX_LEASE_S)
    contact.on_timeout()
    contact.on_unreachable()
    assert contact.silent
    contact.on_answer()
    assert not contact.silent
