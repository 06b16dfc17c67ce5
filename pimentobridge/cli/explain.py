"""`pimentobridge explain`: prints the log events about one id in time order."""

from __future__ import annotations

import fileinput
from typing import TYPE_CHECKING
from typing import Any

import msgspec

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable
    from collections.abc import Iterator

EXIT_OK = 0
EXIT_NO_MATCH = 1
# An outage is logged some seconds before the first event of a job that it
# affects.
CONTEXT_BEFORE_S = 10.0
# Fields that every event has; the other fields explain the event.
_COMMON_FIELDS = ("time", "level", "node", "message")
# Events that may affect any job; printed with --context.
_CONTEXT_EVENTS = (
    "scheduling",
    "no longer scheduling",
    "lease not renewed",
    "progress not recorded",
    "progress written slowly",
    "link busy",
    "store lost",
    "store regained",
    "configuration in force",
    "document changed",
    "document source chosen",
    "worker lost",
    "worker gone",
    "worker crashed under task",
    "worker ejected",
    "lines left out",
    "started",
    "stopped",
    "draining",
)


def add_commands(commands: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    """Adds `explain`."""
    explain = commands.add_parser(
        "explain",
        help="print the log events about an id in time order",
        description="Reads the logs of any number of processes and prints the"
        " events about a job, task or worker, with the fields that explain"
        " each.",
    )
    explain.add_argument("id", help="id of a job, a task or a worker")
    explain.add_argument(
        "logs", nargs="*", help="log files; default: standard input"
    )
    explain.add_argument(
        "--context",
        action="store_true",
        help="also print events that may affect any job, such as a store"
        " outage, from the same period",
    )
    explain.set_defaults(run=_run)


def _run(options: argparse.Namespace) -> int:
    with fileinput.input(options.logs or ("-",), encoding="utf-8") as lines:
        events = sorted(read_events(lines), key=lambda event: event["time"])
    matching = [event for event in events if mentions(event, options.id)]
    if not matching:
        print(f"no event mentions {options.id}; give the logs of all machines.")
        return EXIT_NO_MATCH
    selected = matching
    if options.context:
        window_start_s = matching[0]["time"] - CONTEXT_BEFORE_S
        window_end_s = matching[-1]["time"]
        selected = [
            event
            for event in events
            if event in matching
            or (
                event["message"] in _CONTEXT_EVENTS
                and window_start_s <= event["time"] <= window_end_s
            )
        ]
    for event in selected:
        print(format_event(event, origin_s=matching[0]["time"]))
    return EXIT_OK


def read_events(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the events in log lines; ignores text before the JSON of a line.

    Lines without an event are skipped.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = msgspec.json.decode(line[start:].encode())
        except msgspec.DecodeError:
            continue
        if isinstance(event, dict) and "message" in event and "time" in event:
            yield event


def mentions(event: dict[str, Any], searched_id: str) -> bool:
    """Returns whether a field of an event holds an id or a part of it.

    The id of a part starts with the whole's id and a dot: task `ab.0.0.1` is
    part of job `ab`.
    """
    for name, value in event.items():
        if name in _COMMON_FIELDS:
            continue
        values = value if isinstance(value, list) else [value]
        if any(
            str(item) == searched_id or str(item).startswith(f"{searched_id}.")
            for item in values
        ):
            return True
    return False


def format_event(event: dict[str, Any], *, origin_s: float) -> str:
    """Formats an event as one line, with its time relative to `origin_s`."""
    fields = ", ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in _COMMON_FIELDS
    )
    return (
        f"{event['time'] - origin_s:+9.3f} s  {event.get('node', '?'):20}"
        f" {event['message']}: {fields}"
    )
