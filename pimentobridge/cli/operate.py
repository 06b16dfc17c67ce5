"""Commands for operators on call: status, drain and reports."""

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

STATUS_TIMEOUT_S = 5.0


def add_commands(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds `status`, `drain` and `report`."""
    status = commands.add_parser(
        "status",
        help="show fleet, queues, guarantees and configuration",
        description="Shows the state of the system as one entry sees it.",
    )
    status.add_argument(
        "--entry", required=True, help="base URL of the entry, http://IP:PORT"
    )
    status.add_argument("--json", action="store_true")
    status.set_defaults(run=_status)
    drain = commands.add_parser(
        "drain",
        help="make a process finish its work and exit",
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
                    "timeout": {
                        "connect": STATUS_TIMEOUT_S,
                        "read": STATUS_TIMEOUT_S,
                    }
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


def _print_status(status_fields: dict[str, object]) -> None:
    scalars = {
        name: value
        for name, value in status_fields.items()
        if not isinstance(value, list)
    }
    for name, value in scalars.items():
        print(f"{name.replace('_', ' '):24} {value}")
    for name, rows in status_fields.items():
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
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        print("  " + "  ".join(cells).rstrip())


def _drain(options: argparse.Namespace) -> int:
    try:
        os.kill(options.pid, signal.SIGTERM)
    except (ProcessLookupError, PermissionError) as error:
        raise errors.ProblemError(
            errors.Problem(
                errors.ErrorKind.INVALID_REQUEST,
                f"process {options.pid} can't be signalled: {error}.",
                "Give the id of a daemon on this machine that you may signal.",
                "--pid",
            )
        ) from error
    print(f"process {options.pid} is draining; it exits when its work is done")
    return 0


def _report(options: argparse.Namespace) -> int:
    # Reports need libraries that exceed the daemons' memory budget.
    burn = importlib.import_module("pimentobridge.report.burn")
    page = importlib.import_module("pimentobridge.report.page")
    document = changes.load_document(options.configuration)
    burn_report = burn.build_report(
        document, burn.read_samples(options.samples)
    )
    if options.format == "json":
        text = msgspec.json.format(msgspec.json.encode(burn_report)).decode()
    elif options.format == "html":
        text = page.render(burn_report)
    else:
        text = burn.as_text(burn_report)
    if options.output:
        options.output.write_text(text, encoding="utf-8")
    else:
        print(text)
    return 1 if burn_report.alerts else 0
