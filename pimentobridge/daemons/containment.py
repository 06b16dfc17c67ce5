"""Keeps an unexpected error in one message or task from ending a process."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING
from typing import Any

from absl import logging

from pimentobridge.core import contained_error
from pimentobridge.daemons import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator


# Limit on the logged text of an error, which may quote a message.
MAX_ERROR_LENGTH = 300


@contextlib.contextmanager
def contained(
    activity: str, **fields: object
) -> Iterator[contained_error.ContainedError]:
    """Logs an unexpected error in its body, and goes on after it.

    Cancellation isn't an error and passes.

    Args:
        activity: what the body does.
        **fields: identify the message or task in the log.

    Yields:
        Whether the body has failed.
    """
    outcome = contained_error.ContainedError()
    try:
        yield outcome
    except Exception as error:  # noqa: BLE001  whatever it is, it is logged
        outcome.occurred = True
        logs.event(
            "unexpected error",
            activity=activity,
            error=f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH],
            **fields,
        )
        logging.exception("unexpected error while %s", activity)


async def run_contained(
    activity: str, function: Callable[..., Awaitable[object]], *args: Any
) -> None:
    """Runs a task of a nursery whose failure must not end the others."""
    with contained(activity):
        await function(*args)
