"""HTTP client of a worker's runner.

The runner starts and stops runs. A poll returns its running and ended runs and
can renew the lease without which the runner ends them.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from pimentobridge.core import decoding
from pimentobridge.core.jobs import runs
from pimentobridge.platform import http_client

if TYPE_CHECKING:
    from pimentobridge.core import types

ORDER_TIMEOUT_S = 0.35
# Added to the wait that a poll asks of the runner to get the call's timeout.
POLL_TIMEOUT_MARGIN_S = 0.45


class StartResult(enum.Enum):
    """Outcome of an order to start a run.

    `UNREACHABLE`: the order can't have reached the runner. `UNKNOWN`: the
    response is missing or unexpected, so that the run may have started or may
    still start.
    """

    RUNNING = "running"
    OUTDATED_TOKEN = "outdated-token"
    RUN_ENDED = "run-is-over"
    LEASE_TOO_SHORT = "lease-too-short"
    INSUFFICIENT_CAPACITY = "no-room"
    TICKET_REJECTED = "no-consent"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    WRONG_INCARNATION = "other-life"
    UNREACHABLE = "not-there"
    UNKNOWN = "unknown"


# The worker won't carry out this order, and the scheduler has to decide anew.
REFUSALS = frozenset(
    {
        StartResult.INSUFFICIENT_CAPACITY,
        StartResult.TICKET_REJECTED,
        StartResult.INVALID,
        StartResult.UNHEALTHY,
    }
)


class StopResult(enum.Enum):
    """Outcome of an order to stop a run.

    `STOPPED`: the runner has accepted the stop and will refuse any later order
    to start this run. `UNKNOWN`: the response is missing or unexpected.
    """

    STOPPED = "sealed"
    OUTDATED_TOKEN = "outdated-token"
    WRONG_INCARNATION = "other-life"
    UNKNOWN = "unknown"


class RunnerStatus(msgspec.Struct, frozen=True):
    """A runner's response to a poll.

    Attributes:
        clock_s: the runner's own clock when it responded.
        born_ms: start time of the worker incarnation that responded, in Unix
            milliseconds; 0 if the response doesn't contain it.
        running: runs that haven't ended.
        ended: runs that have ended and whose end isn't acknowledged yet.
    """

    clock_s: float
    born_ms: int
    running: tuple[runs.RunningTask, ...]
    ended: tuple[runs.EndedRun, ...]


class PollFailure(enum.Enum):
    """Why a poll returned no status.

    `UNREACHABLE`: the call can't have reached the runner. `UNKNOWN`: the
    response is missing or unexpected; the runner may have renewed the lease.
    """

    OUTDATED_TOKEN = "outdated-token"
    WRONG_INCARNATION = "other-life"
    UNREACHABLE = "not-there"
    UNKNOWN = "unknown"


# Values of `reason` in a 409 response to a start. `late` means that the lease
# end in the order, `deadlineMs`, is too early.
_START_RESULT_BY_REASON = {
    "fence": StartResult.OUTDATED_TOKEN,
    "old": StartResult.RUN_ENDED,
    "late": StartResult.LEASE_TOO_SHORT,
    "room": StartResult.INSUFFICIENT_CAPACITY,
    "ticket": StartResult.TICKET_REJECTED,
}


class Runner:
    """Client of the runner of this machine's worker.

    Args:
        client: HTTP client of the runner's address.
    """

    def __init__(self, client: http_client.Client) -> None:
        self._client = client

    async def start(
        self,
        worker: types.WorkerId,
        order: runs.StartOrder,
        *,
        token: int,
        lease_until_s: float,
    ) -> StartResult:
        """Orders a run to start.

        Args:
            worker: the instance that the order is for; any other refuses it.
            order: what to start.
            token: the scheduler's fencing token.
            lease_until_s: end of the worker's lease, on the runner's clock.
        """
        body: dict[str, Any] = {
            "task": order.key.task,
            "run": order.key.run,
            "spec": order.spec,
            "deadlineMs": int(lease_until_s * 1000),
            "fencingToken": token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        answer = await self._call(worker, "/v1/run-start", body)
        if answer is http_client.Failure.NOT_SENT:
            return StartResult.UNREACHABLE
        if isinstance(answer, http_client.Failure):
            return StartResult.UNKNOWN
        if answer.status == 200:
            return StartResult.RUNNING
        if answer.status == 409:
            reason = str(answer.body.get("reason", ""))
            return _START_RESULT_BY_REASON.get(reason, StartResult.INVALID)
        if answer.status == 421:
            return StartResult.WRONG_INCARNATION
        if answer.status in (429, 503):
            return StartResult.UNHEALTHY
        if answer.status == 400:
            return StartResult.INVALID
        return StartResult.UNKNOWN

    async def stop(
        self, worker: types.WorkerId, run: runs.RunKey, *, token: int
    ) -> StopResult:
        """Orders a run to stop.

        A run that hasn't started yet is refused if its start arrives later.
        """
        body = {"task": run.task, "run": run.run, "fencingToken": token}
        answer = await self._call(worker, "/v1/run-stop", body)
        if isinstance(answer, http_client.Failure):
            return StopResult.UNKNOWN
        if answer.status == 200:
            return StopResult.STOPPED
        if answer.status == 421:
            return StopResult.WRONG_INCARNATION
        if answer.status == 409:
            return StopResult.OUTDATED_TOKEN
        return StopResult.UNKNOWN

    async def poll(
        self,
        worker: types.WorkerId,
        *,
        token: int,
        acknowledged_end: int,
        lease_until_s: float | None,
        wait_s: float = 0.0,
    ) -> RunnerStatus | PollFailure:
        """Returns the runner's status and renews its lease if one is given.

        Args:
            worker: the instance to poll; any other refuses the call.
            token: the scheduler's fencing token.
            acknowledged_end: number of the last end that is recorded; the
                runner may forget the ends up to it.
            lease_until_s: new end of the lease, on the runner's clock; None to
                leave the lease as it is.
            wait_s: time for which the runner may delay its response until a
                run ends.
        """
        body: dict[str, Any] = {
            "fencingToken": token,
            "lastSeen": acknowledged_end,
        }
        if lease_until_s is not None:
            body["deadlineMs"] = int(lease_until_s * 1000)
        if wait_s:
            body["waitMs"] = int(wait_s * 1000)
        answer = await self._call(
            worker, "/v1/hold", body, timeout_s=wait_s + POLL_TIMEOUT_MARGIN_S
        )
        if answer is http_client.Failure.NOT_SENT:
            return PollFailure.UNREACHABLE
        if isinstance(answer, http_client.Failure):
            return PollFailure.UNKNOWN
        if answer.status == 421:
            return PollFailure.WRONG_INCARNATION
        if answer.status == 409:
            return PollFailure.OUTDATED_TOKEN
        if answer.status != 200:
            return PollFailure.UNKNOWN
        return _decoded_status(answer.body)

    async def _call(
        self,
        worker: types.WorkerId,
        path: str,
        body: dict[str, Any],
        *,
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> http_client.Answer | http_client.Failure:
        return await self._client.call(
            "POST",
            path,
            timeout_s=timeout_s,
            body=body,
            headers={"Expected-Instance": worker},
        )


def _decoded_status(body: dict[str, Any]) -> RunnerStatus | PollFailure:
    try:
        return RunnerStatus(
            clock_s=decoding.number(body["clockMs"]) / 1000,
            born_ms=decoding.integer(body.get("born", 0)),
            running=tuple(
                runs.RunningTask(
                    runs.RunKey(str(row[0]), decoding.integer(row[1])),
                    str(row[2]),
                    decoding.integer(row[3]),
                )
                for row in body["running"]
            ),
            ended=tuple(
                runs.EndedRun(
                    decoding.integer(row[0]),
                    runs.RunKey(str(row[1]), decoding.integer(row[2])),
                    runs.EndCause(row[3]),
                    str(row[4]),
                )
                for row in body["finished"]
            ),
        )
    except (IndexError, KeyError, TypeError, ValueError):
        return PollFailure.UNKNOWN
