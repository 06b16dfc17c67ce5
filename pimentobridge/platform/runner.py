"""HTTP client of a worker's runner.

The runner starts and stops runs. A poll returns its running and ended runs and
can renew the lease without which the runner ends them. All calls are for one
incarnation of the runner, and no other one carries them out.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import Any

from pimentobridge.platform import http_client
from pimentobridge.platform import runner_status
from pimentobridge.platform import verified_connections

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core.jobs import runs

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


class PaceResult(enum.Enum):
    """Outcome of an order to limit the work of a run.

    `REJECTED`: the runner has answered that it doesn't do this, as for a run
    that has ended. `UNKNOWN`: the response is missing or unexpected.
    """

    SET = "set"
    REJECTED = "rejected"
    OUTDATED_TOKEN = "outdated-token"
    WRONG_INCARNATION = "other-life"
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
# Results of orders that weren't sent for lack of a connection.
_START_RESULT_BY_FAILURE = {
    runner_status.PollFailure.OUTDATED_TOKEN: StartResult.OUTDATED_TOKEN,
    runner_status.PollFailure.WRONG_INCARNATION: StartResult.WRONG_INCARNATION,
    runner_status.PollFailure.REFUSED: StartResult.UNREACHABLE,
    runner_status.PollFailure.UNREACHABLE: StartResult.UNREACHABLE,
    runner_status.PollFailure.UNKNOWN: StartResult.UNREACHABLE,
    runner_status.PollFailure.TIMED_OUT: StartResult.UNREACHABLE,
}
_STOP_RESULT_BY_FAILURE = {
    runner_status.PollFailure.OUTDATED_TOKEN: StopResult.OUTDATED_TOKEN,
    runner_status.PollFailure.WRONG_INCARNATION: StopResult.WRONG_INCARNATION,
    runner_status.PollFailure.REFUSED: StopResult.UNKNOWN,
    runner_status.PollFailure.UNREACHABLE: StopResult.UNKNOWN,
    runner_status.PollFailure.UNKNOWN: StopResult.UNKNOWN,
    runner_status.PollFailure.TIMED_OUT: StopResult.UNKNOWN,
}
_PACE_RESULT_BY_FAILURE = {
    runner_status.PollFailure.OUTDATED_TOKEN: PaceResult.OUTDATED_TOKEN,
    runner_status.PollFailure.WRONG_INCARNATION: PaceResult.WRONG_INCARNATION,
    runner_status.PollFailure.REFUSED: PaceResult.UNKNOWN,
    runner_status.PollFailure.UNREACHABLE: PaceResult.UNKNOWN,
    runner_status.PollFailure.UNKNOWN: PaceResult.UNKNOWN,
    runner_status.PollFailure.TIMED_OUT: PaceResult.UNKNOWN,
}
_PACE_RESULT_BY_STATUS = {
    200: PaceResult.SET,
    400: PaceResult.REJECTED,
    404: PaceResult.REJECTED,
    405: PaceResult.REJECTED,
    409: PaceResult.OUTDATED_TOKEN,
    421: PaceResult.WRONG_INCARNATION,
}

_POLL_PATH = "/v1/hold"


class Runner:
    """Client of the runner of this machine's worker.

    Args:
        open_connection: returns a new connection to the runner's address.
    """

    def __init__(
        self, open_connection: Callable[[], http_client.Connection]
    ) -> None:
        self._connections = verified_connections.VerifiedConnections(
            open_connection
        )

    async def start(
        self,
        incarnation: runs.IncarnationKey,
        order: runs.StartOrder,
        *,
        token: int,
        lease_until_s: float,
    ) -> StartResult:
        """Orders a run to start.

        Args:
            incarnation: the one that the order is for.
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
        answer = await self._call(
            incarnation, "/v1/run-start", body, token=token
        )
        if isinstance(answer, runner_status.PollFailure):
            return _START_RESULT_BY_FAILURE[answer]
        if answer in (
            http_client.Failure.REFUSED,
            http_client.Failure.NOT_SENT,
        ):
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
        self, incarnation: runs.IncarnationKey, run: runs.RunKey, *, token: int
    ) -> StopResult:
        """Orders a run to stop.

        A run that hasn't started yet is refused if its start arrives later.
        """
        body = {"task": run.task, "run": run.run, "fencingToken": token}
        answer = await self._call(
            incarnation, "/v1/run-stop", body, token=token
        )
        if isinstance(answer, runner_status.PollFailure):
            return _STOP_RESULT_BY_FAILURE[answer]
        if isinstance(answer, http_client.Failure):
            return StopResult.UNKNOWN
        if answer.status == 200:
            return StopResult.STOPPED
        if answer.status == 421:
            return StopResult.WRONG_INCARNATION
        if answer.status == 409:
            return StopResult.OUTDATED_TOKEN
        return StopResult.UNKNOWN

    async def pace(
        self,
        incarnation: runs.IncarnationKey,
        order: runs.PaceOrder,
        *,
        token: int,
    ) -> PaceResult:
        """Orders a limit on the work of a run.

        Args:
            incarnation: the one that the order is for.
            order: the run and the share of its work that it may do.
            token: the scheduler's fencing token.
        """
        body = {
            "task": order.key.task,
            "run": order.key.run,
            "percent": order.percent,
            "fencingToken": token,
        }
        answer = await self._call(incarnation, "/v1/pace", body, token=token)
        if isinstance(answer, runner_status.PollFailure):
            return _PACE_RESULT_BY_FAILURE[answer]
        if isinstance(answer, http_client.Failure):
            return PaceResult.UNKNOWN
        return _PACE_RESULT_BY_STATUS.get(answer.status, PaceResult.UNKNOWN)

    async def poll(
        self,
        incarnation: runs.IncarnationKey,
        *,
        token: int,
        acknowledged_end: int,
        lease_until_s: float | None,
        wait_s: float = 0.0,
    ) -> runner_status.RunnerStatus | runner_status.PollFailure:
        """Returns the runner's status and renews its lease if one is given.

        Args:
            incarnation: the one to poll.
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
            incarnation,
            _POLL_PATH,
            body,
            token=token,
            timeout_s=wait_s + POLL_TIMEOUT_MARGIN_S,
        )
        if isinstance(answer, runner_status.PollFailure):
            return answer
        return runner_status.decode(answer, incarnation)

    async def _call(
        self,
        incarnation: runs.IncarnationKey,
        path: str,
        body: dict[str, Any],
        *,
        token: int,
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> http_client.Answer | http_client.Failure | runner_status.PollFailure:
        """Makes a call that no other incarnation can carry out.

        Returns:
            The response, or why there is none. A `PollFailure` means that the
            call wasn't sent.
        """

        async def verify(
            connection: http_client.Connection,
        ) -> runner_status.PollFailure | None:
            return await _verify(connection, incarnation, token)

        async with self._connections.use(
            incarnation, verify=verify, timeout_s=timeout_s
        ) as connection:
            if isinstance(connection, runner_status.PollFailure):
                return connection
            return await _post(
                connection, incarnation, path, body, timeout_s=timeout_s
            )


async def _verify(
    connection: http_client.Connection,
    incarnation: runs.IncarnationKey,
    token: int,
) -> runner_status.PollFailure | None:
    """Polls over a new connection; returns why it doesn't lead there, if so.

    The poll renews no lease and acknowledges no end, so that it changes nothing
    on another incarnation.
    """
    body = {"fencingToken": token, "lastSeen": 0}
    answer = await _post(
        connection, incarnation, _POLL_PATH, body, timeout_s=ORDER_TIMEOUT_S
    )
    status = runner_status.decode(answer, incarnation)
    return status if isinstance(status, runner_status.PollFailure) else None


async def _post(
    connection: http_client.Connection,
    incarnation: runs.IncarnationKey,
    path: str,
    body: dict[str, Any],
    *,
    timeout_s: float,
) -> http_client.Answer | http_client.Failure:
    return await connection.call(
        "POST",
        path,
        timeout_s=timeout_s,
        body=body,
        headers={"Expected-Instance": incarnation.worker},
    )
