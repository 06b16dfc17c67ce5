"""Finds unexpected errors that the system has contained and logged.

Each is a fault, also if nobody has noticed anything yet.
"""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING

from absl import logging as absl_logging
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

# Start of the message with which `containment` logs an error.
MESSAGE = "unexpected error"
MAX_LENGTH = 300


class _Handler(logging.Handler):
    """Passes on the message and the exception of each unexpected error."""

    def __init__(self, report: Callable[[str], None]) -> None:
        super().__init__(logging.ERROR)
        self._report = report

    def emit(self, record: logging.LogRecord) -> None:
        message = record.getMessage()
        if message.startswith(MESSAGE):
            error = record.exc_info[1] if record.exc_info else None
            self._report(f"{message}: {error!r}"[:MAX_LENGTH])


@contextlib.contextmanager
def reported(report: Callable[[str], None]) -> Iterator[None]:
    """Reports the unexpected errors that this process logs in the body.

    Args:
        report: called with a description of each.
    """
    handler = _Handler(report)
    logger = absl_logging.get_absl_logger()
    logger.addHandler(handler)
    try:
        yield
    finally:
        logger.removeHandler(handler)


def in_log(text: str) -> list[str]:
    """Returns the unexpected errors in the log of a process.

    Args:
        text: the process's output, one JSON object per line.
    """
    return [
        line[:MAX_LENGTH]
        for line in text.splitlines()
        if MESSAGE in line and _message_of(line) == MESSAGE
    ]


def _message_of(line: str) -> str:
    try:
        return str(msgspec.json.decode(line).get("message", ""))
    except (msgspec.DecodeError, AttributeError):
        # Only part of a line was written, or it isn't this project's.
        return ""
