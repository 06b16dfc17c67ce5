"""Whether an unexpected error has been contained."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import Protocol


@dataclasses.dataclass
class ContainedError:
    """Outcome of a context that logs and suppresses unexpected errors.

    Attributes:
        occurred: whether an error has ended the body.
    """

    occurred: bool = False


class Contain(Protocol):
    """Returns a context that logs and suppresses unexpected errors."""

    def __call__(
        self, activity: str, **fields: object
    ) -> contextlib.AbstractContextManager[ContainedError]:
        """Returns the context.

        Args:
            activity: what its body does.
            **fields: identify what it does it to in the log.
        """


def not_contained(
    activity: str, **fields: object
) -> contextlib.AbstractContextManager[ContainedError]:
    """Returns a context from which errors pass."""
    del activity, fields
    return contextlib.nullcontext(ContainedError())
