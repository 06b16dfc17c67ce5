"""What an agent knows of a worker that it can't reach."""

from __future__ import annotations

import pytest

from pimentobridge.daemons import worker_contact

MAX_LEASE_S = 6.0
# The lease, 2 % of clock error and 0.5 s, in pauses of 0.1 s.
POLLS_TO_END = 67
# Just over 1 s, in pauses of 0.1 s.
REFUSALS_TO_END = 11


def _fail(
    contact: worker_contact.WorkerContact, polls: int, *, refused: bool = False
) -> list[bool]:
    """Returns what `on_retry_pause` says after each of some failed polls."""
    ends = []
    for _ in range(polls):
        contact.on_unreachable(refused=refused)
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
    assert not any(_fail(contact, REFUSALS_TO_END - 1, refused=True))
    assert not contact.ended
    assert _fail(contact, 2, refused=True) == [True, False]
    assert contact.ended


# Guards against TWICE (issue 38): a worker that gets no answer to its
# announcement goes on for a time.
def test_a_deregistered_worker_that_cannot_be_reached_has_not_ended() -> None:
    contact = worker_contact.WorkerContact(MAX_LEASE_S)
    contact.deregistered = True
    assert not any(_fail(contact, POLLS_TO_END - 1))
    assert _fail(contact, 2) == [True, False]


@pytest.mark.parametrize("answers", [True, False])
def test_refusals_count_only_in_a_row(answers: bool) -> None:
    contact = worker_contact.WorkerContact(MAX_LEASE_S)
    contact.deregistered = True
    _fail(contact, REFUSALS_TO_END - 1, refused=True)
    if answers:
        contact.on_possible_arrival()
        contact.on_answer()
    else:
        contact.on_unreachable(refused=False)
    assert not any(_fail(contact, REFUSALS_TO_END - 1, refused=True))


# Guards against TWICE (issue 38): a start that arrived after all, when its
# worker had been reported as ended.
def test_a_worker_has_not_ended_while_a_start_may_arrive() -> None:
    contact = worker_contact.WorkerContact(MAX_LEASE_S)
    with contact.start_under_way():
        assert not any(_fail(contact, POLLS_TO_END + 1))
        assert contact.presumed_ended
    assert _fail(contact, 1) == [True]


def test_refusals_alone_do_not_end_a_worker() -> None:
    contact = worker_contact.WorkerContact(MAX_LEASE_S)
    assert not any(_fail(contact, POLLS_TO_END - 1, refused=True))


def test_an_answer_shows_that_the_worker_lives() -> None:
    contact = worker_contact.WorkerContact(MAX_LEASE_S)
    _fail(contact, POLLS_TO_END + 1)
    assert contact.on_answer()
    assert contact.reachable
    assert not contact.ended


def test_a_worker_is_silent_from_a_timeout_to_its_next_answer() -> None:
    contact = worker_contact.WorkerContact(MAX_LEASE_S)
    contact.on_timeout()
    contact.on_unreachable(refused=False)
    assert contact.silent
    contact.on_answer()
    assert not contact.silent
