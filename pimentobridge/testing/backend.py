"""Fake backend server that counts how often each request was executed."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from typing import TYPE_CHECKING

import msgspec
import trio

from pimentobridge.platform import backend

if TYPE_CHECKING:
    import random

    from pimentobridge.core import request as request_lib

PAYLOAD_HEADER_BYTES = 64


class WorkOrder(msgspec.Struct, frozen=True, array_like=True):
    """Work that a payload requests from the fake backend server.

    Attributes:
        run_s: duration of the work, in seconds.
        answer_bytes: size of the response body.
    """

    run_s: float
    answer_bytes: int


def payload(order: WorkOrder, size: int = 0) -> bytes:
    """Returns a payload of at least `size` bytes that encodes `order`."""
    header = msgspec.msgpack.encode(order).ljust(PAYLOAD_HEADER_BYTES, b"\0")
    return header.ljust(size, b"\0")


def order_of(data: bytes) -> WorkOrder:
    """Decodes the work order in a payload."""
    return msgspec.msgpack.decode(
        data[:PAYLOAD_HEADER_BYTES].rstrip(b"\0"), type=WorkOrder
    )


def answer_for(key: str, size: int) -> bytes:
    """Returns the expected response body; unique for each key.

    A response that reaches the wrong request is therefore detected.
    """
    block = hashlib.sha256(key.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


@dataclasses.dataclass
class Ledger:
    """Counts of started and finished work on all backend servers.

    Attributes:
        started_by_key: how often the work of a request was started, by
            idempotency key.
        finished_by_key: how often the work of a request was finished, by
            idempotency key.
    """

    started_by_key: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    finished_by_key: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class FakeBackend:
    """A backend server that sleeps for the duration given in the payload.

    Attributes:
        failing: whether every new request is answered with status 500.
        slow_factor: multiplies the duration of all work.
        running: number of requests that are running.
        peak_running: largest number of requests that ran at the same time.
    """

    def __init__(self, *, ledger: Ledger, rng: random.Random) -> None:
        self._ledger = ledger
        self._rng = rng
        self._completed_keys: set[str] = set()
        self.failing = False
        self.slow_factor = 1.0
        self.running = 0
        self.peak_running = 0

    async def perform(self, request: request_lib.Request) -> backend.Reply:
        """Executes a request and returns its complete response."""
        order = order_of(request.payload)
        if request.key in self._completed_keys:
            return self._reply(request.key, order)
        if self.failing:
            await trio.sleep(0.02)
            return backend.Reply(500, b"failed")
        self._ledger.started_by_key[request.key] += 1
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            await trio.sleep(order.run_s * self.slow_factor)
        finally:
            self.running -= 1
        self._ledger.finished_by_key[request.key] += 1
        self._completed_keys.add(request.key)
        return self._reply(request.key, order)

    def _reply(self, key: str, order: WorkOrder) -> backend.Reply:
        return backend.Reply(200, answer_for(key, order.answer_bytes))
