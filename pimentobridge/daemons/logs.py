"""Structured logs: one JSON object a line on standard output.

Lines go through absl.logging. Writing never waits: lines beyond the budget of
a second, or that standard output doesn't take, are left out and counted.
"""

from __future__ import annotations

import collections
import logging as standard_logging
import os
import time
from typing import Any

from absl import logging
import msgspec

STDOUT_FD = 1
# Lines a second; an entry at its design load logs a few hundred decisions.
LINES_PER_S = 400.0
BURST_LINES = 2000.0


# Fields that say how a decision went; each has a few values.
_OUTCOME_FIELDS = ("outcome", "cause", "state")
# Events since the start by message and outcome, also those without a line.
counts: collections.Counter[tuple[str, str]] = collections.Counter()


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one JSON object."""

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: standard_logging.LogRecord) -> str:
        """Returns the record as a line of JSON."""
        line: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "node": self._node,
            "message": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class LineWriter:
    """Writes lines to a descriptor without ever waiting for the reader."""

    def __init__(self, descriptor: int = STDOUT_FD) -> None:
        self._descriptor = descriptor
        self._rest = b""
        self._budget = BURST_LINES
        self._counted_s = time.monotonic()
        self.left_out = 0
        self.total_left_out = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Takes a line, or counts it as left out."""
        if not self._admit():
            self._leave_out()
            return
        data = text.encode()
        if self.left_out and not self._rest:
            note = msgspec.json.encode(
                {"message": "lines left out", "count": self.left_out}
            )
            data, self.left_out = note + b"\n" + data, 0
        if self._rest and not self._push():
            self._leave_out()
            return
        self._rest = data
        self._push()

    def _leave_out(self) -> None:
        self.left_out += 1
        self.total_left_out += 1

    def flush(self) -> None:
        """Writes what an earlier call couldn't."""
        self._push()

    def close(self) -> None:
        """Writes what is left; standard output stays open."""
        self._push()

    def _admit(self) -> bool:
        now_s = time.monotonic()
        self._budget = min(
            BURST_LINES,
            self._budget + (now_s - self._counted_s) * LINES_PER_S,
        )
        self._counted_s = now_s
        if self._budget < 1:
            return False
        self._budget -= 1
        return True

    def _push(self) -> bool:
        """Returns whether nothing is left to write."""
        try:
            written = os.write(self._descriptor, self._rest)
        except OSError:
            # The reader is slow or gone; logs never hold up the work.
            return not self._rest
        self._rest = self._rest[written:]
        return not self._rest


_writer: LineWriter | None = None


def left_out() -> int:
    """Returns how many lines were not written since the start."""
    return 0 if _writer is None else _writer.total_left_out


def set_up(node: str, level: str = "info") -> None:
    """Sends the process's logs to standard output."""
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(node))
    logging.use_absl_handler()
    logging.set_verbosity(level)
    global _writer  # noqa: PLW0603  standard output is the process's own
    _writer = LineWriter()
    handler.python_handler.stream = _writer


def event(message: str, /, **fields: object) -> None:
    """Logs an event with its fields, and counts it."""
    outcome = next(
        (str(fields[name]) for name in _OUTCOME_FIELDS if name in fields), ""
    )
    counts[(message, outcome)] += 1
    logging.get_absl_logger().info(message, extra={"fields": fields})
