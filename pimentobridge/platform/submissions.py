"""Decoder of jobs that callers submit in the platform's format."""

from __future__ import annotations

import msgspec
import result

from pimentobridge.core import decoding
from pimentobridge.core import errors
from pimentobridge.core import types
from pimentobridge.core.jobs import configuration
from pimentobridge.core.jobs import model


class _Step(msgspec.Struct):
    """Wire format of a step; fields that are zero are left out."""

    count: decoding.Integer = 0
    cpu: decoding.Integer = 0
    memMb: decoding.Integer = 0  # noqa: N815  wire name
    gpu: decoding.Integer = 0
    estimateMs: decoding.Number = 0.0  # noqa: N815
    after: list[decoding.Integer] = []
    gang: bool = False
    sameRack: bool = False  # noqa: N815
    requiredLabel: str = ""  # noqa: N815
    affinity: str = ""
    maxPerServer: decoding.Integer = 0  # noqa: N815
    allowDuplicates: bool = False  # noqa: N815
    longRunning: bool = False  # noqa: N815
    checkpointing: bool = False
    image: str = ""
    targetMs: decoding.Integer = 0  # noqa: N815
    fills: bool = False
    mayMiss: decoding.Integer = 0  # noqa: N815


class _Submission(msgspec.Struct):
    spec: str
    steps: list[_Step]
    times: decoding.Integer = 0
    firstRunMs: decoding.Integer = 0  # noqa: N815
    intervalMs: decoding.Integer = 0  # noqa: N815


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
        wire = decoding.decode(_decoder, body)
    except decoding.MalformedError as error:
        return _invalid(f"{error}.")
    submitted = model.Job(
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
    problem = model.problem_in(submitted)
    return _invalid(problem) if problem else result.Ok(submitted)


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
