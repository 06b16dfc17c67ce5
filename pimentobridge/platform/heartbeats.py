"""Decoder of the heartbeats that workers send in the platform's format."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec

from pimentobridge.core import decoding
from pimentobridge.core import types
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import runs

ACCEPTED_STATES = ("ready", "draining")
# Visible ASCII characters, as calls to the worker carry its id in a header.
MAX_VERSION_LENGTH = 200
_WORKER_ID = re.compile(r"[!-~]{1,200}")


class _Capacity(msgspec.Struct):
    cpu: decoding.Count
    memMb: decoding.Count  # noqa: N815  wire name
    gpu: decoding.Count = 0


class _Heartbeat(msgspec.Struct):
    """Wire format of a heartbeat; field names are the platform's."""

    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str]
    sequence: decoding.Count
    born: decoding.Count
    clockMs: decoding.Milliseconds = 0.0  # noqa: N815
    remainingMs: decoding.Milliseconds | None = None  # noqa: N815
    version: msgspec.Raw = msgspec.Raw()


class Heartbeat(msgspec.Struct, frozen=True):
    """A worker's report about itself.

    Attributes:
        incarnation: the incarnation of the worker that sent the heartbeat.
        address: address on which the worker accepts calls.
        sequence: increases with each heartbeat of an incarnation.
        clock_s: the worker's own clock when it sent the heartbeat.
    """

    incarnation: runs.WorkerIncarnation
    address: str
    sequence: int
    clock_s: float


_decoder = msgspec.json.Decoder(_Heartbeat)
_version_decoder = msgspec.json.Decoder(
    Annotated[str, msgspec.Meta(max_length=MAX_VERSION_LENGTH)]
)


def decode(worker: str, body: bytes) -> Heartbeat:
    """Returns a heartbeat.

    Args:
        worker: id of the worker that sent it.
        body: body of the request.

    Raises:
        decoding.MalformedError: it is malformed, its state is unknown, or the
            id can't be one of a worker.
    """
    if not _WORKER_ID.fullmatch(worker):
        raise decoding.MalformedError(
            f"received id {worker!r:.40}; expected up to 200 visible ASCII"
            " characters",
            body,
        )
    wire = decoding.decode(_decoder, body)
    if wire.state not in ACCEPTED_STATES:
        raise decoding.MalformedError(
            f"received state {wire.state!r:.40}; expected one of"
            f" {', '.join(ACCEPTED_STATES)}",
            body,
        )
    labels = tuple(wire.labels)
    incarnation = runs.WorkerIncarnation(
        key=runs.IncarnationKey(types.WorkerId(worker), wire.born),
        service=wire.service,
        data_centre=types.DataCentreName(wire.zone),
        rack=types.RackName(_rack_of(labels)),
        labels=labels,
        capacity=model.Resources(
            wire.capacity.cpu, wire.capacity.memMb, wire.capacity.gpu
        ),
        draining=wire.state == "draining",
        leaves_in_s=(
            None if wire.remainingMs is None else wire.remainingMs / 1000
        ),
        version=_version_in(wire.version),
    )
    return Heartbeat(
        incarnation, wire.address, wire.sequence, wire.clockMs / 1000
    )


def _version_in(raw: msgspec.Raw) -> str:
    """Returns a version, or an empty text for what can't be one.

    A heartbeat without a readable version is as good as any other: it only
    takes no part in the inference of rolling updates.
    """
    try:
        return decoding.decode(_version_decoder, bytes(raw))
    except decoding.MalformedError:
        return ""


def _rack_of(labels: tuple[str, ...]) -> str:
    # The first label is the worker's kind and the last one its rack.
    return labels[-1] if labels else ""
