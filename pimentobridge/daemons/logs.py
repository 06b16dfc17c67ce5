"""Structured logs: one JSON object per line on standard output.

Lines go through absl.logging. Writing never blocks: lines beyond the rate
limit, or that standard output can't accept, are dropped and counted.
"""

from __future__ import annotations

import collections
import logging as standard_logging
import os
import time
from typing import Any

from absl import flags
from absl import logging
import msgspec

STDOUT_FD = 1
# Lines per second; an entry at its design load logs a few hundred decisions.
LINES_PER_S = 400.0
BURST_LINES = 2000.0
# Times are logged up to this one, as infinity has no form in JSON.
MAX_LOGGED_S = 1e6


# Fields that may hold the outcome under which an event is counted; each has few
# values.
_OUTCOME_FIELDS = ("outcome", "cause", "state")
# Events since the start by message and outcome, including those whose line was
# dropped.
event_counts: collections.Counter[tuple[str, str]] = collections.Counter()


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one JSON object."""

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: standard_logging.LogRecord) -> str:
        """Returns the record as a JSON object on one line."""
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
    """Writes lines to a file descriptor without ever blocking.

    A token bucket limits the rate.

    Attributes:
        dropped: lines dropped since the last notice of dropped lines.
        total_dropped: lines dropped since the start.
    """

    def __init__(self, descriptor: int = STDOUT_FD) -> None:
        self._descriptor = descriptor
        self._unwritten = b""
        self._tokens = BURST_LINES
        self._refilled_s = time.monotonic()
        self.dropped = 0
        self.total_dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Writes a line, or drops and counts it."""
        if not self._take_token():
            self._count_dropped()
            return
        data = text.encode()
        if self.dropped and not self._unwritten:
            notice = msgspec.json.encode(
                {"message": "lines left out", "count": self.dropped}
            )
            data, self.dropped = notice + b"\n" + data, 0
        if self._unwritten and not self._write_pending():
            self._count_dropped()
            return
        self._unwritten = data
        self._write_pending()

    def _count_dropped(self) -> None:
        self.dropped += 1
        self.total_dropped += 1

    def flush(self) -> None:
        """Tries to write the bytes that an earlier call couldn't."""
        self._write_pending()

    def close(self) -> None:
        """Tries to write the remaining bytes; the descriptor stays open."""
        self._write_pending()

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        self._tokens = min(
            BURST_LINES,
            self._tokens + (now_s - self._refilled_s) * LINES_PER_S,
        )
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write_pending(self) -> bool:
        """Writes pending bytes; returns whether none are left."""
        try:
            written = os.write(self._descriptor, self._unwritten)
        except OSError:
            # The reader is slow or has closed its end; logging must not hold up
            # the process.
            return not self._unwritten
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


_writer: LineWriter | None = None


def dropped_lines() -> int:
    """Returns the number of lines dropped since the start."""
    return 0 if _writer is None else _writer.total_dropped


def set_up(node: str, level: str = "info") -> None:
    """Directs the process's logs to standard output."""
    # Until its flags count as parsed, absl writes to standard error and waits
    # for its reader. This program has a command line of its own.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(node))
    logging.use_absl_handler()
    logging.set_verbosity(level)
    global _writer  # noqa: PLW0603  one writer per process
    _writer = LineWriter()
    handler.python_handler.stream = _writer


def event(message: str, /, **fields: object) -> None:
    """Logs an event with its fields, and counts it."""
    outcome = next(
        (str(fields[name]) for name in _OUTCOME_FIELDS if name in fields), ""
    )
    event_counts[(message, outcome)] += 1
    logging.get_absl_logger().info(message, extra={"fields": fields})
