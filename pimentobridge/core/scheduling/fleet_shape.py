"""The largest fleet that was known at one time, to refuse what can't fit."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from pimentobridge.core import decoding
from pimentobridge.core.jobs import model

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentobridge.core.scheduling import fleet


class WorkerShape(msgspec.Struct, frozen=True, array_like=True):
    """What decides whether a task may fit on a worker."""

    service: str
    capacity: model.Resources
    labels: tuple[str, ...]


class ShapeCount(msgspec.Struct, frozen=True, array_like=True):
    """The largest number of workers of a shape at one time."""

    shape: WorkerShape
    workers: int


class FleetShape(msgspec.Struct, frozen=True, array_like=True):
    """Numbers of workers by shape, each the largest that was known.

    Workers that are away for a time still count: a job that fits them waits.
    """

    counts: tuple[ShapeCount, ...] = ()

    def including(self, workers: Iterable[fleet.TrackedWorker]) -> FleetShape:
        """Returns the shape that also holds these workers at one time."""
        present: collections.Counter[WorkerShape] = collections.Counter()
        for worker in workers:
            incarnation = worker.incarnation
            if incarnation is not None:
                present[
                    WorkerShape(
                        incarnation.service,
                        incarnation.capacity,
                        incarnation.labels,
                    )
                ] += 1
        largest = {count.shape: count.workers for count in self.counts}
        for shape, workers_now in present.items():
            largest[shape] = max(workers_now, largest.get(shape, 0))
        return FleetShape(
            tuple(
                ShapeCount(shape, largest[shape])
                for shape in sorted(largest, key=_sort_key)
            )
        )

    def problem_in(self, job: model.Job) -> str:
        """Returns why a job can't run even if no other job did, or no text.

        Nothing is known of a service without workers so far, so that its jobs
        have no problem.
        """
        counts = [
            count
            for count in self.counts
            if count.shape.service == job.queue.service
        ]
        if not counts:
            return ""
        for number, step in enumerate(job.steps):
            slots = sum(_slots(step, count) for count in counts)
            needed = step.count if step.gang else 1
            if slots < needed:
                return (
                    f"step {number} needs {needed} tasks of"
                    f" {_text_of(step.footprint)} at the same time; all"
                    f" {sum(count.workers for count in counts)} workers of"
                    f" {job.queue.service} together have room for {slots}."
                )
        return ""


def _sort_key(shape: WorkerShape) -> tuple[object, ...]:
    """Returns a key that orders shapes, whose capacities have no order."""
    capacity = msgspec.structs.astuple(shape.capacity)
    return shape.service, capacity, shape.labels


def _slots(step: model.Step, count: ShapeCount) -> int:
    """Returns how many tasks of a step the workers of a shape can hold."""
    shape = count.shape
    if step.required_label and step.required_label not in shape.labels:
        return 0
    each = step.footprint.copies_in(shape.capacity)
    if step.max_per_worker:
        each = min(each, step.max_per_worker)
    return each * count.workers


def _text_of(request: model.Resources) -> str:
    return (
        f"{request.cpu_millicores / 1000:g} cores, {request.memory_mib} MiB and"
        f" {request.accelerators} accelerators"
    )


_decoder = msgspec.msgpack.Decoder(FleetShape)


def encode(shape: FleetShape) -> bytes:
    """Encodes a shape for the store."""
    return msgspec.msgpack.encode(shape)


def decode(data: bytes) -> FleetShape:
    """Decodes a shape from the store.

    Raises:
        decoding.MalformedError: the data is malformed.
    """
    return decoding.decode(_decoder, data)
