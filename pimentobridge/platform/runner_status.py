"""What a poll of a worker's runner returns, and why it may return nothing."""

from __future__ import annotations

import enum
from typing import Any

import msgspec

from pimentobridge.core import decoding
from pimentobridge.core.jobs import runs
from pimentobridge.platform import http_client

# The figure of a run is rough, and rounded up to this many digits. Rounded
# down, a latency just over its target would count as within it.
METRIC_DIGITS = 3
# Limit on the ends in one response; the runner lists the others once these are
# acknowledged.
MAX_ENDS_LISTED = 500


class RunnerStatus(msgspec.Struct, frozen=True):
    """A runner's response to a poll.

    Attributes:
        clock_s: the runner's own clock when it responded.
        running: runs that haven't ended.
        ended: runs that have ended and whose end isn't acknowledged yet, in
            the order of their ends; the first ones if there are many.
    """

    clock_s: float
    running: tuple[runs.RunningTask, ...]
    ended: tuple[runs.EndedRun, ...]

    @property
    def lists_all_ends(self) -> bool:
        """Whether no end is left out, so that other runs haven't ended."""
        return len(self.ended) < MAX_ENDS_LISTED


class PollFailure(enum.Enum):
    """Why a poll returned no status.

    `REFUSED`: nothing accepts connections at the runner's address.
    `UNREACHABLE`: the call can't have reached the runner for another reason.
    `UNKNOWN`: the response is missing or unexpected; the runner may have
    renewed the lease.
    `TIMED_OUT`: the same, and nothing was heard of the runner.
    `WRONG_INCARNATION`: another incarnation of the worker responded.
    """

    OUTDATED_TOKEN = "outdated-token"
    WRONG_INCARNATION = "other-life"
    REFUSED = "refused"
    UNREACHABLE = "not-there"
    UNKNOWN = "unknown"
    TIMED_OUT = "timed-out"


def decode(
    answer: http_client.Answer | http_client.Failure,
    incarnation: runs.IncarnationKey,
) -> RunnerStatus | PollFailure:
    """Returns the status in a response, or why there is none.

    Args:
        answer: the response to a poll.
        incarnation: the one that was polled.
    """
    if answer is http_client.Failure.REFUSED:
        return PollFailure.REFUSED
    if answer is http_client.Failure.NOT_SENT:
        return PollFailure.UNREACHABLE
    if answer is http_client.Failure.TIMED_OUT:
        return PollFailure.TIMED_OUT
    if isinstance(answer, http_client.Failure):
        return PollFailure.UNKNOWN
    if answer.status == 421:
        return PollFailure.WRONG_INCARNATION
    if answer.status == 409:
        return PollFailure.OUTDATED_TOKEN
    if answer.status != 200:
        return PollFailure.UNKNOWN
    try:
        if decoding.integer(answer.body["born"]) != incarnation.started_ms:
            return PollFailure.WRONG_INCARNATION
        return _status_of(answer.body)
    except (IndexError, KeyError, TypeError, ValueError):
        return PollFailure.UNKNOWN


def _status_of(body: dict[str, Any]) -> RunnerStatus:
    return RunnerStatus(
        clock_s=decoding.number(body["clockMs"]) / 1000,
        running=tuple(_running_task_in(row) for row in body["running"]),
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


def _running_task_in(row: list[Any]) -> runs.RunningTask:
    key = runs.RunKey(str(row[0]), decoding.integer(row[1]))
    checkpoint, percent = str(row[2]), decoding.integer(row[3])
    metric = _metric_in(row)
    if metric is None:
        return runs.RunningTask(key, checkpoint, percent)
    return runs.MeasuredTask(key, checkpoint, percent, metric)


def _metric_in(row: list[Any]) -> int | None:
    """Returns the figure in a row of `running`, rounded; None if unknown."""
    if len(row) < 5:
        return None
    try:
        value = decoding.integer(row[4])
    except ValueError:
        return None
    if value < 0:
        return None
    unit: int = 10 ** max(0, len(str(value)) - METRIC_DIGITS)
    return -(-value // unit) * unit
