"""Identifies the tasks that are expected to behave alike."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from pimentobridge.core.jobs import model


class Kind(NamedTuple):
    """Identifies tasks that behave alike.

    Attributes:
        image: image that the tasks run; empty if their step names none.
        queue: name of their queue; empty with an image.
        step: number of their step; 0 with an image.
    """

    image: str
    queue: str = ""
    step: int = 0

    def __str__(self) -> str:
        return self.image or f"{self.queue}/{self.step}"


def kind_of(job: model.Job, step: int) -> Kind:
    """Returns the kind of a step's tasks."""
    image = job.steps[step].image
    return Kind(image) if image else Kind("", job.queue.name, step)
