"""Interface of the message transport between daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import msgspec

from pimentobridge.core import types

if TYPE_CHECKING:
    from pimentobridge.protocol import messages


class Envelope(msgspec.Struct, frozen=True):
    """A decoded message and the address to answer to."""

    sender: types.Address
    message: Any


class Outbox(Protocol):
    """Sends the messages of a component."""

    def send(self, to: types.Address, message: messages.Message) -> None:
        """Sends without waiting; the message may be lost."""

    def reset(self, to: types.Address) -> None:
        """Drops the connection to `to`; the next send opens a new one."""


class Endpoint(Outbox, Protocol):
    """A process's endpoint of the transport."""

    @property
    def address(self) -> types.Address:
        """Address that peers send to."""

    async def receive(self) -> Envelope:
        """Waits for the next message and returns it."""
