"""Keys and values of the operator's requests."""

from __future__ import annotations

import pytest

from pimentobridge.core import decoding
from pimentobridge.platform import operator_requests
from pimentobridge.testing import odd_entries


@pytest.mark.parametrize("zone", ["", "z" * 201, "north\n"])
def test_an_odd_data_centre_is_malformed(zone: str) -> None:
    with pytest.raises(decoding.MalformedError, match="expected 1 to 200"):
        operator_requests.data_centre_of(operator_requests.EVACUATE + zone)


@pytest.mark.parametrize(
    "value", [b"[]", b"1", b"\xff", b"{", odd_entries.NESTED_JSON]
)
def test_an_odd_value_is_malformed(value: bytes) -> None:
    with pytest.raises(decoding.MalformedError, match="expected a JSON object"):
        operator_requests.check_evacuation(value)


@pytest.mark.parametrize("value", [b"", b"{}", b'{"by": "x", "at": [1]}'])
def test_unknown_fields_and_empty_values_are_accepted(value: bytes) -> None:
    operator_requests.check_evacuation(value)
