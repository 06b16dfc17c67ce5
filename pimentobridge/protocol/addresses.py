"""Checks of the addresses that processes send messages to."""

from __future__ import annotations

import ipaddress
import re

_TCP_ADDRESS = re.compile(
    r"tcp://(?:\[(?P<ipv6>[0-9a-fA-F:.]{2,45})\]|(?P<host>[A-Za-z0-9.-]{1,253}))"
    r":(?P<port>[0-9]{1,5})"
)
MAX_PORT = 65_535


def is_valid(address: str) -> bool:
    """Returns whether a connection to an address can be opened.

    Args:
        address: expected in the form `tcp://HOST:PORT`, with an IPv6 address
            in square brackets.
    """
    match = _TCP_ADDRESS.fullmatch(address)
    if match is None or not 1 <= int(match["port"]) <= MAX_PORT:
        return False
    if match["ipv6"] is None:
        return True
    try:
        ipaddress.IPv6Address(match["ipv6"])
    except ValueError:
        return False
    return True
