"""Command that checks the platform's configuration document before it is sent.

Exit codes: 0 no errors; 1 errors found; 2 the check could not be made.
"""

from __future__ import annotations

import argparse
import pathlib
import re
import sys
import urllib.parse

import msgspec
import result
import trio

from pimentobridge.console import differences
from pimentobridge.core import decoding
from pimentobridge.core import errors
from pimentobridge.core.jobs import configuration_check
from pimentobridge.platform import http_store
from pimentobridge.platform import operator_configuration

EXIT_ERRORS = 1
EXIT_NOT_CHECKED = 2

_VERSION_NUMBER = re.compile("[0-9]{1,20}")


class ReportedFinding(msgspec.Struct, frozen=True):
    """A finding with its place in wire names."""

    severity: configuration_check.Severity
    place: str
    received: str
    accepted: str
    remedy: str

    def __str__(self) -> str:
        return (
            f"{self.severity.value}: {self.place}: received {self.received};"
            f" accepted: {self.accepted}. {self.remedy}"
        )


class Report(msgspec.Struct, frozen=True):
    """Outcome of a check, as it is printed.

    Attributes:
        compared_with: version in force that the document was compared with;
            None without a comparison.
        differences: one sentence for each difference from that version.
    """

    findings: list[ReportedFinding]
    differences: list[str]
    errors: int
    warnings: int
    compared_with: int | None = None


def add_commands(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds `config` and its action `check`."""
    config = commands.add_parser(
        "config", help="work on the platform's configuration document"
    )
    actions = config.add_subparsers(dest="action", required=True)
    check = actions.add_parser(
        "check",
        help="check a document before it is sent",
        description="Checks the platform's configuration document and compares"
        " it with the version in force. Sends nothing.",
        epilog="Exit codes: 0 no errors, 1 errors found, 2 the check could not"
        " be made.",
    )
    check.add_argument("file", type=pathlib.Path, metavar="FILE")
    check.add_argument(
        "--against",
        metavar="FILE_OR_VERSION",
        help="file of the version in force, or with --store its number",
    )
    check.add_argument(
        "--store",
        type=_address,
        metavar="ADDRESS",
        help="read the version in force from the store at IP:PORT",
    )
    check.add_argument(
        "--accelerators",
        type=_count,
        metavar="N",
        help="size of the fleet, to compare the guarantees with",
    )
    check.add_argument("--format", choices=("text", "json"), default="text")
    check.set_defaults(run=_check)


def _count(text: str) -> int:
    if not text.isdecimal():
        raise argparse.ArgumentTypeError(
            f"received {text!r:.40}; expected an integer of at least 0"
        )
    return int(text)


def _address(text: str) -> str:
    try:
        parts = urllib.parse.urlsplit("//" + text.removeprefix("http://"))
        complete = bool(parts.hostname and parts.port)
    except ValueError:
        complete = False
    if not complete:
        raise argparse.ArgumentTypeError(
            f"received {text!r:.60}; expected IP:PORT"
        )
    return text


def _check(options: argparse.Namespace) -> int:
    try:
        value = _read_file(options.file)
        value_in_force = _read_in_force(options.against, options.store)
        report = _build_report(value, value_in_force, options.accelerators)
    except errors.ProblemError as error:
        # Caught here because the exit codes of other commands differ.
        print(f"pimentobridge: {error.problem}", file=sys.stderr)
        return EXIT_NOT_CHECKED
    if options.format == "json":
        print(msgspec.json.format(msgspec.json.encode(report)).decode())
    else:
        print(_as_text(report))
    return EXIT_ERRORS if report.errors else 0


def _build_report(
    value: bytes, value_in_force: bytes | None, accelerators: int | None
) -> Report:
    in_force = None
    if value_in_force is not None:
        in_force = _decode_in_force(value_in_force).version
    try:
        listing = operator_configuration.listing(value)
    except decoding.MalformedError as error:
        return _report([_refusal(error)], [], in_force)
    findings = configuration_check.findings_in(
        listing, accelerators=accelerators, version_in_force=in_force
    )
    change_lines = []
    if value_in_force is not None:
        change_lines = differences.describe_changes(
            operator_configuration.redacted(value_in_force),
            operator_configuration.redacted(value),
        )
    return _report(
        [_reported(item) for item in findings], change_lines, in_force
    )


def _report(
    findings: list[ReportedFinding],
    change_lines: list[str],
    in_force: int | None,
) -> Report:
    severities = [finding.severity for finding in findings]
    return Report(
        findings=findings,
        differences=change_lines,
        errors=severities.count(configuration_check.Severity.ERROR),
        warnings=severities.count(configuration_check.Severity.WARNING),
        compared_with=in_force,
    )


def _reported(finding: configuration_check.Finding) -> ReportedFinding:
    return ReportedFinding(
        finding.severity,
        operator_configuration.place_name(finding.place),
        finding.received,
        finding.accepted,
        finding.remedy,
    )


def _refusal(error: decoding.MalformedError) -> ReportedFinding:
    return ReportedFinding(
        configuration_check.Severity.ERROR,
        operator_configuration.place_of_refusal(error),
        f"a document that can't be decoded: {error.reason}",
        "a document that the entries can decode",
        "Correct it and check again; nothing else was checked.",
    )


def _as_text(report: Report) -> str:
    summary = f"errors: {report.errors}, warnings: {report.warnings}"
    if report.compared_with is not None:
        summary += (
            f", differences from version {report.compared_with}:"
            f" {len(report.differences)}"
        )
    lines = [
        *(str(finding) for finding in report.findings),
        *(f"difference: {line}" for line in report.differences),
        summary,
    ]
    return "\n".join(_printable(line) for line in lines)


def _printable(line: str) -> str:
    """Returns a line with control characters of the document escaped."""
    return "".join(
        char if char.isprintable() else ascii(char)[1:-1] for char in line
    )


def _read_file(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except (OSError, ValueError) as error:
        raise _not_checked(
            f"the file can't be read: {error}.",
            "Give a file that you may read.",
            str(path),
        ) from error


def _read_in_force(against: str | None, store: str | None) -> bytes | None:
    if against is None and store is None:
        return None
    if against is not None and not _VERSION_NUMBER.fullmatch(against):
        if store is not None:
            raise _not_checked(
                "received a file and a store to compare with.",
                "Give one of them; with --store, --against takes a number.",
                "--against",
            )
        return _read_file(pathlib.Path(against))
    if store is None:
        raise _not_checked(
            f"received version {against} without a store to read it from.",
            "Add --store, or write ./NAME for a file whose name is a number.",
            "--against",
        )
    value = trio.run(_read_store, store)
    version = _decode_in_force(value).version
    if against is not None and int(against) != version:
        raise _not_checked(
            f"received version {against}, but version {version} is in force;"
            " the store keeps no other.",
            f"Compare with {version}, or give a file with --against alone.",
            "--against",
        )
    return value


async def _read_store(address: str) -> bytes:
    entry_result = await http_store.HttpStore(address).get(
        operator_configuration.KEY
    )
    if isinstance(entry_result, result.Err):
        raise errors.ProblemError(
            errors.Problem(
                errors.ErrorKind.STORE_UNAVAILABLE,
                "the store gave no answer that can be used.",
                "Check the address, IP:PORT, or give a file with --against.",
                address,
            )
        )
    if entry_result.ok_value is None:
        raise _not_checked(
            f"the store has no document under {operator_configuration.KEY}.",
            "Check the address; leave out --store for the first document.",
            address,
        )
    return entry_result.ok_value.value


def _decode_in_force(value: bytes) -> configuration_check.Listing:
    try:
        return operator_configuration.listing(value)
    except decoding.MalformedError as error:
        raise _not_checked(
            f"the document to compare with can't be decoded: {error.reason}.",
            "Give a file with the version in force.",
            "--against or --store",
        ) from error


def _not_checked(detail: str, remedy: str, where: str) -> errors.ProblemError:
    return errors.ProblemError(
        errors.Problem(
            errors.ErrorKind.INVALID_CONFIGURATION, detail, remedy, where
        )
    )
