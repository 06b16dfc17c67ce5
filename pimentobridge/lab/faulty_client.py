"""Client of simulated services, with network and server faults."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import trio

from pimentobridge.platform import http_client
from pimentobridge.testing import order_faults

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    Handler = Callable[
        [str, str, object, dict[str, str]],
        Awaitable[http_client.Answer | http_client.Failure],
    ]

MIN_LATENESS_S = 1.0
MAX_LATENESS_S = 8.0


class OutageMode(enum.Enum):
    """How a service in an outage treats calls.

    Attributes:
        SILENT: calls get no response until they time out.
        BUSY: calls are rejected with status 503.
        RESET: connections are reset.
        UNANSWERED: calls are carried out, but their answers are lost.
    """

    SILENT = "silent"
    BUSY = "busy"
    RESET = "reset"
    UNANSWERED = "unanswered"


@dataclasses.dataclass
class CallFaults:
    """Faults that currently affect the calls to a service.

    Attributes:
        outage: outage that affects every caller; None while there is none.
        outage_by_node: outages that affect single machines, by node name;
            they take precedence over `outage`.
        lost_answer_rate: share of the calls other than GET that are carried
            out but never answered.
        late_execution_rate: share of the calls other than GET that are carried
            out seconds later and never answered.
        delay_factor: multiplies the duration of each call.
        extra_delay_s_by_node: additional duration of each call of single
            machines, in seconds, by node name.
        order_faults_by_node: faults of the orders of single machines to their
            runners, by node name.
    """

    outage: OutageMode | None = None
    outage_by_node: dict[str, OutageMode] = dataclasses.field(
        default_factory=dict
    )
    lost_answer_rate: float = 0.0
    late_execution_rate: float = 0.0
    delay_factor: float = 1.0
    extra_delay_s_by_node: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    order_faults_by_node: dict[str, order_faults.OrderFaults] = (
        dataclasses.field(default_factory=dict)
    )

    @property
    def affect_all(self) -> bool:
        """Whether the service is down or slow, or loses answers, for all."""
        return (
            self.outage is not None
            or self.delay_factor > 1
            or self.lost_answer_rate > 0
            or self.late_execution_rate > 0
        )


class FaultyClient:
    """Calls a simulated service and injects the configured faults.

    Args:
        node: name of the calling machine.
        handler: the service; carries out a call.
        faults: current faults, shared by all clients of the service.
        delay_s: duration of a call without faults.
        rng: decides which calls are affected.
        nursery: runs the calls that are carried out late.
    """

    def __init__(
        self,
        *,
        node: str,
        handler: Handler,
        faults: CallFaults,
        delay_s: float,
        rng: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        self._node = node
        self._handler = handler
        self._faults = faults
        self._delay_s = delay_s
        self._rng = rng
        self._nursery = nursery

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: object | None = None,
        headers: dict[str, str] | None = None,
    ) -> http_client.Answer | http_client.Failure:
        """Returns the response to a call, or why there is none.

        Raises:
            TypeError: a header isn't ASCII, as in httpcore.
        """
        if not all(value.isascii() for value in (headers or {}).values()):
            raise TypeError("header values must be ASCII")
        faults = self._faults
        outage = faults.outage_by_node.get(self._node, faults.outage)
        if outage is OutageMode.BUSY:
            await trio.sleep(self._delay_s)
            return http_client.Answer(503, {})
        if outage is OutageMode.RESET:
            await trio.sleep(self._delay_s)
            return http_client.Failure.NO_ANSWER
        if outage is OutageMode.SILENT:
            await trio.sleep(timeout_s)
            return http_client.Failure.TIMED_OUT
        is_change = method != "GET"
        treatment = self._order_treatment(path)
        late_s = None
        if treatment is order_faults.Treatment.LATE:
            late_s = order_faults.random_lateness_s(self._rng)
        elif is_change and self._rng.random() < faults.late_execution_rate:
            late_s = self._rng.uniform(MIN_LATENESS_S, MAX_LATENESS_S)
        if late_s is not None:
            self._nursery.start_soon(
                self._execute_late, late_s, method, path, body, headers or {}
            )
            await trio.sleep(timeout_s)
            return http_client.Failure.TIMED_OUT
        with trio.move_on_after(timeout_s):
            extra_delay_s = faults.extra_delay_s_by_node.get(self._node, 0.0)
            await trio.sleep(
                self._delay_s * faults.delay_factor + extra_delay_s
            )
            answer = await self._handler(method, path, body, headers or {})
            is_lost = treatment is order_faults.Treatment.ANSWER_LOST
            if is_change and self._rng.random() < faults.lost_answer_rate:
                is_lost = True
            if is_lost:
                await trio.sleep_forever()
            # The answer is lost if an outage began during the call.
            outage_now = faults.outage_by_node.get(self._node, faults.outage)
            if outage_now is not None:
                await trio.sleep_forever()
            return answer
        return http_client.Failure.TIMED_OUT

    def _order_treatment(self, path: str) -> order_faults.Treatment:
        faults = self._faults.order_faults_by_node.get(self._node)
        if faults is None:
            return order_faults.Treatment.ANSWERED
        return faults.treatment(path, self._rng)

    async def _execute_late(
        self,
        late_s: float,
        method: str,
        path: str,
        body: object | None,
        headers: dict[str, str],
    ) -> None:
        await trio.sleep(late_s)
        await self._handler(method, path, body, headers)


@dataclasses.dataclass
class Server:
    """A process that has accepted a connection.

    Attributes:
        handler: carries out a call.
        is_up: returns whether the process still runs.
    """

    handler: Handler
    is_up: Callable[[], bool]


class FaultyConnection:
    """One connection to a simulated service, under the same faults.

    It ends with the process that has accepted it. A call that fails closes it.

    Args:
        accept: returns the process that accepts the connection, at the time of
            the first call; None if none runs.
        connect: returns a client of an accepting process.
        is_silent: returns whether packets are lost on the way.
    """

    def __init__(
        self,
        *,
        accept: Callable[[], Server | None],
        connect: Callable[[Handler], FaultyClient],
        is_silent: Callable[[], bool],
    ) -> None:
        self._accept = accept
        self._connect = connect
        self._is_silent = is_silent
        self._server: Server | None = None
        self._client: FaultyClient | None = None
        self._closed = False

    @property
    def reusable(self) -> bool:
        """Whether the connection is open, as far as the caller can see."""
        if self._closed or self._server is None:
            return False
        return self._server.is_up() or self._is_silent()

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: object | None = None,
        headers: dict[str, str] | None = None,
    ) -> http_client.Answer | http_client.Failure:
        """Returns the response to a call, or why there is none."""
        if self._client is None:
            opened = await self._open(timeout_s)
            if isinstance(opened, http_client.Failure):
                return opened
            self._client = opened
        answer = await self._client.call(
            method, path, timeout_s=timeout_s, body=body, headers=headers
        )
        self._closed = isinstance(answer, http_client.Failure)
        return answer

    async def _open(
        self, timeout_s: float
    ) -> FaultyClient | http_client.Failure:
        if self._is_silent():
            await trio.sleep(timeout_s)
        if self._is_silent():
            return http_client.Failure.NOT_SENT
        self._server = self._accept()
        if self._server is None:
            return http_client.Failure.REFUSED
        return self._connect(self._server.handler)

    async def close(self) -> None:
        """Closes the connection."""
        self._closed = True
