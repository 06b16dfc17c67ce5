"""Sockets that accept connections before the process can serve them."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

ACCEPT_BACKLOG = 512


class Listeners:
    """Listening sockets by address.

    Args:
        addresses: addresses `IP:PORT` to listen on; empty ones are left out.
    """

    def __init__(self, addresses: Iterable[str] = ()) -> None:
        self._descriptor_by_address: dict[str, int] = {}
        for address in addresses:
            if address:
                self._open(address)

    def bind_of(self, address: str) -> str:
        """Returns what hypercorn binds to for an address.

        That is the address's open socket, which can be used once, or else the
        address itself.
        """
        descriptor = self._descriptor_by_address.pop(address, None)
        return address if descriptor is None else f"fd://{descriptor}"

    def _open(self, address: str) -> None:
        """Opens a socket; hypercorn reports an address that can't be bound."""
        host, _, port = address.rpartition(":")
        try:
            opened = socket.create_server(
                (host, int(port)), backlog=ACCEPT_BACKLOG
            )
        except (OSError, ValueError):
            return
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._descriptor_by_address[address] = opened.detach()
