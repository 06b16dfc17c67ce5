"""Requests that the operator writes to the platform's store: evacuations."""

from __future__ import annotations

import msgspec

from pimentobridge.core import decoding
from pimentobridge.core import types

# Start of the keys of evacuations; the name of a data centre follows.
EVACUATE = "op/evacuate/"
MAX_ZONE_LENGTH = 200  # characters


class _Evacuation(msgspec.Struct):
    """Wire format of a value. No field is used; unknown ones are ignored."""


_decoder = msgspec.json.Decoder(_Evacuation)


def data_centre_of(key: str) -> types.DataCentreName:
    """Returns the data centre that a key asks to evacuate.

    Raises:
        decoding.MalformedError: the name is empty, too long or unprintable.
    """
    zone = key.removeprefix(EVACUATE)
    if not 0 < len(zone) <= MAX_ZONE_LENGTH or not zone.isprintable():
        raise decoding.MalformedError(
            f"received data centre {zone!r:.40} of {len(zone)} characters;"
            f" expected 1 to {MAX_ZONE_LENGTH} printable characters",
            key.encode(errors="backslashreplace"),
        )
    return types.DataCentreName(zone)


def check_evacuation(value: bytes) -> None:
    """Checks the value of an evacuation: a JSON object, or nothing.

    Raises:
        decoding.MalformedError: it is something else.
    """
    if not value:
        return
    try:
        decoding.decode(_decoder, value)
    except decoding.MalformedError as error:
        raise decoding.MalformedError(
            f"received {value[:20]!r}; expected a JSON object or no value:"
            f" {error.reason}",
            value,
        ) from error
