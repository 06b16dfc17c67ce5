"""Calls to the stand-ins, with the faults of links and of the receivers."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import trio

from pimentobridge.platform import http_client

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    Handler = Callable[
        [str, str, object, dict[str, str]],
        Awaitable[http_client.Answer | http_client.Failure],
    ]

LATE_MIN_S = 1.0
LATE_MAX_S = 8.0


class OutageMode(enum.Enum):
    """How a receiver that is away treats calls."""

    SILENT = "silent"
    BUSY = "busy"
    RESET = "reset"


@dataclasses.dataclass
class CallFaults:
    """What goes wrong with calls at the moment.

    Attributes:
        outage: outage that affects every caller; None while there is none.
        outage_by_node: outages that affect single machines, by node name;
            they take precedence over `outage`.
        lost_answer_rate: share of the changing calls that are carried out but
            never answered.
        late_execution_rate: share of the changing calls that are carried out
            seconds later and never answered.
        delay_factor: how many times longer an answer takes.
    """

    outage: OutageMode | None = None
    outage_by_node: dict[str, OutageMode] = dataclasses.field(
        default_factory=dict
    )
    lost_answer_rate: float = 0.0
    late_execution_rate: float = 0.0
    delay_factor: float = 1.0


class LabClient:
    """A client of a stand-in; it hangs, fails or delays as the faults say.

    Args:
        node: machine that calls.
        handler: carries a call out.
        faults: shared by all callers of the receiver.
        delay_s: time of a call on a calm day.
        rng: draws the faults.
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
        """Makes a call and returns the response, or why there is none."""
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
            return http_client.Failure.NO_ANSWER
        changes = method != "GET"
        if changes and self._rng.random() < faults.late_execution_rate:
            self._nursery.start_soon(
                self._carry_out_late, method, path, body, headers or {}
            )
            await trio.sleep(timeout_s)
            return http_client.Failure.NO_ANSWER
        with trio.move_on_after(timeout_s):
            await trio.sleep(self._delay_s * faults.delay_factor)
            answer = await self._handler(method, path, body, headers or {})
            if changes and self._rng.random() < faults.lost_answer_rate:
                await trio.sleep_forever()
            still = faults.outage_by_node.get(self._node, faults.outage)
            if still is not None:
                await trio.sleep_forever()
            return answer
        return http_client.Failure.NO_ANSWER

    async def _carry_out_late(
        self,
        method: str,
        path: str,
        body: object | None,
        headers: dict[str, str],
    ) -> None:
        await trio.sleep(self._rng.uniform(LATE_MIN_S, LATE_MAX_S))
        await self._handler(method, path, body, headers)
