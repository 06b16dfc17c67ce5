"""Commands for the operator on call: status, drain and reports."""

from __future__ import annotations

import pathlib
import signal
import sys
from typing import TYPE_CHECKING

import httpcore
import msgspec

from pimentobridge.cli import changes
from pimentobridge.core import errors

if TYPE_CHECKING:
    import argparse
import importlib
import os

CALL_LIMIT_S = 5.0


def add_commands(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds `status`, `drain` and `report`."""
    status = commands.add_parser(
        "status",
        help="show fleet, queues, guarantees and configuration",
        description="Shows what an entry knows.",
    )
    status.add_argument("--entry", required=True, help="http://IP:PORT")
    status.add_argument("--json", action="store_true")
    status.set_defaults(run=_status)
    drain = commands.add_parser(
        "drain",
        help="tell a process to finish what it holds and end",
        description="Sends SIGTERM to a daemon on this machine.",
    )
    drain.add_argument("--pid", required=True, type=int)
    drain.set_defaults(run=_drain)
    report = commands.add_parser(
        "report",
        help="report on service levels",
        description="Reports how fast the error budgets burn.",
    )
    report.add_argument("kind", choices=("burn",))
    report.add_argument(
        "--samples",
        required=True,
        type=pathlib.Path,
        help="directory of scraped metrics, INSTANCE/UNIX_SECONDS.prom",
    )
    report.add_argument("--configuration", required=True, type=pathlib.Path)
    report.add_argument(
        "--format", choices=("text", "json", "html"), default="text"
    )
    report.add_argument("--output", type=pathlib.Path)
    report.set_defaults(run=_report)


def _status(options: argparse.Namespace) -> int:
    url = options.entry.rstrip("/") + "/v1/status"
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                "GET",
                url,
                extensions={
                    "timeout": {"connect": CALL_LIMIT_S, "read": CALL_LIMIT_S}
                },
            )
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.UnsupportedProtocol,
    ) as error:
        print(
            f"pimentobridge: {url} doesn't answer: {error}. Check the address,"
            " or ask another entry.",
            file=sys.stderr,
        )
        return 5
    if options.json:
        print(response.content.decode())
    else:
        _print_status(msgspec.json.decode(response.content))
    return 0


def _print_status(found: dict[str, object]) -> None:
    plain = {k: v for k, v in found.items() if not isinstance(v, list)}
    for name, value in plain.items():
        print(f"{name.replace('_', ' '):24} {value}")
    for name, rows in found.items():
        if isinstance(rows, list) and rows:
            print(f"\n{name}")
            _print_table(rows)


def _print_table(rows: list[dict[str, object]]) -> None:
    names = list(rows[0])
    widths = [
        max(len(name), *(len(str(row[name])) for row in rows)) for name in names
    ]
    lines = [names, *([str(row[name]) for name in names] for row in rows)]
    for line in lines:
        cells = (c.ljust(w) for c, w in zip(line, widths, strict=True))
        print("  " + "  ".join(cells).rstrip())


def _drain(options: argparse.Namespace) -> int:
    try:
        os.kill(options.pid, signal.SIGTERM)
    except (ProcessLookupError, PermissionError) as error:
        raise errors.ProblemError(
            errors.Problem(
                errors.ErrorKind.INVALID_REQUEST,
                f"process {options.pid} can't be told: {error}.",
                "Name a daemon of this machine that you may signal.",
                "--pid",
            )
        ) from error
    print(f"process {options.pid} drains; it ends when it holds nothing")
    return 0


def _report(options: argparse.Namespace) -> int:
    # Reports need libraries that the daemons have no room for.
    burn = importlib.import_module("pimentobridge.report.burn")
    page = importlib.import_module("pimentobridge.report.page")
    document = changes.load_document(options.configuration)
    found = burn.build_report(document, burn.read_samples(options.samples))
    if options.format == "json":
        text = msgspec.json.format(msgspec.json.encode(found)).decode()
    elif options.format == "html":
        text = page.render(found)
    else:
        text = burn.as_text(found)
    if options.output:
        options.output.write_text(text, encoding="utf-8")
    else:
        print(text)
    return 1 if found.alerts else 0
