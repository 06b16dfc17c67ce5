"""`pimentobridge explain`: what the logs say of one id, in order."""

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
EXIT_NOTHING = 1
# An outage is noticed some seconds before the first request that it hits.
CONTEXT_BEFORE_S = 10.0
# Fields that every line has; the rest decided the line's event.
_COMMON_FIELDS = ("time", "level", "node", "message")
# Events that bear on every job, whatever it is.
_CONTEXT = (
    "scheduling",
    "no longer scheduling",
    "store lost",
    "store regained",
    "configuration in force",
    "worker lost",
    "worker ejected",
    "lines left out",
    "started",
    "stopped",
    "draining",
)


def add_commands(commands: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    """Adds the command."""
    explain = commands.add_parser(
        "explain",
        help="put the log lines about an id in order",
        description="Reads the logs of any number of processes and prints the"
        " lines about a job, task or worker, with what decided each.",
    )
    explain.add_argument("id", help="id of a job, a task or a worker")
    explain.add_argument(
        "logs", nargs="*", help="files; standard input if none"
    )
    explain.add_argument(
        "--context",
        action="store_true",
        help="also print what bears on every job while the id was at work",
    )
    explain.set_defaults(run=_run)


def _run(options: argparse.Namespace) -> int:
    with fileinput.input(options.logs or ("-",), encoding="utf-8") as lines:
        events = sorted(read(lines), key=lambda event: event["time"])
    about = [event for event in events if mentions(event, options.id)]
    if not about:
        print(f"no line mentions {options.id}; give the logs of all machines.")
        return EXIT_NOTHING
    chosen = about
    if options.context:
        first = about[0]["time"] - CONTEXT_BEFORE_S
        last = about[-1]["time"]
        chosen = [
            event
            for event in events
            if event in about
            or (event["message"] in _CONTEXT and first <= event["time"] <= last)
        ]
    for event in chosen:
        print(describe(event, since=about[0]["time"]))
    return EXIT_OK


def read(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the events of log lines; text before the JSON is passed over."""
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


def mentions(event: dict[str, Any], wanted: str) -> bool:
    """Returns whether an event is about an id or a part of it."""
    for name, value in event.items():
        if name in _COMMON_FIELDS:
            continue
        values = value if isinstance(value, list) else [value]
        if any(
            str(one) == wanted or str(one).startswith(f"{wanted}.")
            for one in values
        ):
            return True
    return False


def describe(event: dict[str, Any], *, since: float) -> str:
    """Returns one line for people."""
    fields = ", ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in _COMMON_FIELDS
    )
    return (
        f"{event['time'] - since:+9.3f} s  {event.get('node', '?'):20}"
        f" {event['message']}: {fields}"
    )
