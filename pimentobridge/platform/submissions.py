"""Decoder of jobs that callers submit in the platform's format."""

from __future__ import annotations

import msgspec
import result

from pimentobridge.core import errors
from pimentobridge.core import types
from pimentobridge.core.jobs import configuration
from pimentobridge.core.jobs import model

MAX_TASKS = 100_000


class _Step(msgspec.Struct):
    """Wire format of a step; fields that are zero are left out."""

    count: int = 0
    cpu: int = 0
    memMb: int = 0  # noqa: N815  wire name
    gpu: int = 0
    estimateMs: float = 0.0  # noqa: N815
    after: list[int] = []
    gang: bool = False
    sameRack: bool = False  # noqa: N815
    requiredLabel: str = ""  # noqa: N815
    affinity: str = ""
    maxPerServer: int = 0  # noqa: N815
    allowDuplicates: bool = False  # noqa: N815
    longRunning: bool = False  # noqa: N815
    checkpointing: bool = False
    image: str = ""
    targetMs: int = 0  # noqa: N815
    fills: bool = False
    mayMiss: int = 0  # noqa: N815


class _Submission(msgspec.Struct):
    spec: str
    steps: list[_Step]
    times: int = 0
    firstRunMs: int = 0  # noqa: N815
    intervalMs: int = 0  # noqa: N815


_decoder = msgspec.json.Decoder(_Submission)


def decode(
    body: bytes,
    *,
    job: types.JobId,
    queue: configuration.Queue,
    account: types.AccountName,
    now_ms: int,
) -> result.Result[model.Job, errors.Problem]:
    """Returns the job that a request body describes.

    Args:
        body: body of the caller's request.
        job: id of the new job.
        queue: queue that the job is submitted to.
        account: client account of the caller.
        now_ms: current Unix time in milliseconds.

    Returns:
        The job, or a problem that says what is invalid in the body.
    """
    try:
        wire = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _invalid(f"received a body that can't be read: {error}.")
    problem = _problem_in(wire)
    if problem:
        return _invalid(problem)
    return result.Ok(
        model.Job(
            id=job,
            queue=queue,
            account=account,
            spec=wire.spec,
            steps=tuple(_step(step) for step in wire.steps),
            submitted_ms=now_ms,
            occurrences=wire.times,
            first_due_ms=wire.firstRunMs,
            interval_ms=wire.intervalMs,
        )
    )


def _problem_in(wire: _Submission) -> str:
    """Returns what is invalid in a submission, or an empty text."""
    size = len(wire.spec.encode())
    if size > model.MAX_SPEC_BYTES:
        return (
            f"received a spec of {size} bytes; at most"
            f" {model.MAX_SPEC_BYTES} are accepted."
        )
    if not wire.steps:
        return "received no steps; at least one is needed."
    if sum(max(0, step.count) for step in wire.steps) > MAX_TASKS:
        return f"received too many tasks; at most {MAX_TASKS} are accepted."
    for number, step in enumerate(wire.steps):
        if step.count < 1:
            return f"received step {number} with no tasks; at least one."
        if min(step.cpu, step.memMb, step.gpu, step.maxPerServer) < 0:
            return f"received a negative amount in step {number}."
        if any(not 0 <= earlier < number for earlier in step.after):
            return (
                f"received step {number} after {step.after}; only earlier"
                " steps can be named."
            )
    if wire.times < 0 or wire.intervalMs < 0:
        return "received a negative number of times or interval."
    return ""


def _invalid(detail: str) -> result.Result[model.Job, errors.Problem]:
    return result.Err(
        errors.Problem(
            errors.ErrorKind.INVALID_REQUEST,
            detail,
            "Correct the job and submit it under a new id.",
        )
    )


def _step(wire: _Step) -> model.Step:
    return model.Step(
        count=wire.count,
        request=model.Resources(wire.cpu, wire.memMb, wire.gpu),
        estimate_s=max(0.0, wire.estimateMs / 1000),
        after=tuple(wire.after),
        gang=wire.gang,
        same_rack=wire.sameRack,
        required_label=wire.requiredLabel,
        affinity_rack=wire.affinity,
        max_per_worker=wire.maxPerServer,
        allow_duplicates=wire.allowDuplicates,
        long_running=wire.longRunning,
        checkpointing=wire.checkpointing,
        image=wire.image,
        target_ms=wire.targetMs,
        uses_spare_cpu=wire.fills,
        max_unavailable=wire.mayMiss,
    )
