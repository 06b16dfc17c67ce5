import msgspec
import pytest

from pimentobridge.core import account
from pimentobridge.core import validation
from pimentobridge.testing import deployment


@pytest.mark.parametrize("name", ["muida", "lunetta"])
def test_example_deployments_are_valid(name):
    assert validation.problems_of(deployment.load_document(name)) == []


def test_oversized_rack_is_rejected_without_expanding_it():
    """Validation must check the size before it creates the rack's workers.

    The fuzz bench hung on a rack of 10**30 workers.
    """
    document = deployment.load_document("muida")
    oversized = msgspec.structs.replace(document.fleet[0], workers=10**18)
    problems = validation.problems_of(
        msgspec.structs.replace(document, fleet=[oversized])
    )
    assert any("workers" in problem.detail for problem in problems)


def test_problem_of_unplaceable_guarantee_states_the_count_that_fits():
    document = deployment.load_document("muida")
    client = document.client_accounts[0]
    oversubscribed = msgspec.structs.replace(
        client, guarantees=[account.Guarantee(account.Shape(8), 12)]
    )
    problems = validation.problems_of(
        msgspec.structs.replace(document, client_accounts=[oversubscribed])
    )
    assert "partner-shops" in problems[0].detail
    assert "4 of these don't fit" in problems[0].detail
    assert "count of 8" in problems[0].remedy


def test_floors_with_a_sum_above_one_are_rejected():
    document = deployment.load_document("muida")
    classes = [
        msgspec.structs.replace(work_class, floor=0.5)
        for work_class in document.classes
    ]
    problems = validation.problems_of(
        msgspec.structs.replace(document, classes=classes)
    )
    assert any("floors" in problem.detail for problem in problems)
