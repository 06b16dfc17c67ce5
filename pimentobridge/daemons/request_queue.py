"""Events of one request on their way from the connection to the application."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
from typing import Any

import trio

from pimentobridge.daemons import http

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_EVENTS = 10
# The connection stops reading at this size, which one event may exceed.
MAX_BYTES = 64 * 1024


class RequestQueue:
    """Bounded queue that never blocks after the end of either side.

    hypercorn's own queue blocks the connection and the application for ever
    when an application answers while body events fill the queue.

    Args:
        on_full: called when the connection has to wait for the application.
        on_room: called when it goes on after that.
    """

    def __init__(
        self, on_full: Callable[[], None], on_room: Callable[[], None]
    ) -> None:
        self._on_full = on_full
        self._on_room = on_room
        self._events: collections.deque[dict[str, Any]] = collections.deque()
        self._bytes = 0
        self._ended = False
        self._refused = False
        self._changed = trio.Event()

    async def put(self, event: dict[str, Any]) -> None:
        """Adds an event, after waiting for room; drops it after the end."""
        await trio.lowlevel.checkpoint()
        if event["type"] == "http.disconnect":
            self.finish()
        if self._full and not self._ended:
            self._on_full()
            while self._full and not self._ended:
                await self._changed.wait()
            self._on_room()
        if not self._ended:
            self._events.append(event)
            self._bytes += len(event.get("body", b""))
            self._notify()

    async def get(self) -> dict[str, Any]:
        """Returns the next event; the last one repeats after the end."""
        while not (self._events or self._ended):
            await self._changed.wait()
        if self._refused:
            return {"type": http.REFUSED}
        if not self._events:
            return {"type": "http.disconnect"}
        event = self._events.popleft()
        self._bytes -= len(event.get("body", b""))
        self._notify()
        return event

    def finish(self) -> None:
        """Ends the queue; the application may still read what it has."""
        self._ended = True
        self._notify()

    def refuse(self) -> None:
        """Discards all events and tells the application of the refusal."""
        self._events.clear()
        self._refused = True
        self.finish()

    @property
    def _full(self) -> bool:
        return len(self._events) >= MAX_EVENTS or self._bytes >= MAX_BYTES

    def _notify(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()
