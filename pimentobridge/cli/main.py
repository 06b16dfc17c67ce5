"""The `pimentobridge` command.

Exit codes: 0 success; 1 a bound or an invariant is violated, or a command found
something to report, such as a difference or an alert; 2 invalid arguments or
files; 3 a conflict with the configuration in force; 4 a shutdown left requests
unfinished; 5 the store or an entry doesn't answer. `config check` exits with 2
also if the store doesn't answer.
"""

from __future__ import annotations

import argparse
import importlib
import pathlib
import sys

from pimentobridge.cli import bench
from pimentobridge.cli import changes
from pimentobridge.cli import config
from pimentobridge.cli import explain
from pimentobridge.cli import lab
from pimentobridge.cli import operate
from pimentobridge.core import errors
from pimentobridge.daemons import settings

EXIT_USAGE = 2


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="pimentobridge",
        description="Scheduler for multi-accelerator jobs under client account"
        " guarantees.",
        epilog="Exit codes: 0 success, 1 a bound or an invariant is violated"
        " or there is something to report, 2 invalid arguments or files, 3"
        " conflict, 4 requests unfinished at shutdown, 5 no answer.",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for role in ("entry", "agent"):
        command = commands.add_parser(
            role,
            help=f"run an {role}",
            description=f"Runs an {role} until SIGTERM, then drains it.",
        )
        command.add_argument(
            "--settings",
            required=True,
            type=pathlib.Path,
            help="settings file, JSON with comments",
        )
        command.add_argument(
            "--log-level",
            choices=("debug", "info", "warning", "error"),
            help="override log_level of the settings",
        )
        command.set_defaults(run=_run_daemon)
    changes.add_commands(commands)
    config.add_commands(commands)
    operate.add_commands(commands)
    bench.add_commands(commands)
    explain.add_commands(commands)
    lab.add_commands(commands)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line and returns its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        code: int = options.run(options)
    except errors.ProblemError as error:
        print(f"pimentobridge: {error.problem}", file=sys.stderr)
        return exit_code_of(error.problem)
    except BrokenPipeError:
        return 0
    return code


def run() -> None:
    """Entry point of the console script."""
    sys.exit(main())


def exit_code_of(problem: errors.Problem) -> int:
    """Returns the exit code for a problem."""
    if problem.kind is errors.ErrorKind.CONFLICT:
        return 3
    if problem.kind is errors.ErrorKind.STORE_UNAVAILABLE:
        return 5
    return EXIT_USAGE


def _run_daemon(options: argparse.Namespace) -> int:
    load_result = settings.load(options.settings)
    if load_result.is_err():
        raise errors.ProblemError(load_result.unwrap_err())
    process_settings = load_result.unwrap()
    if process_settings.role.value != options.command:
        raise errors.ProblemError(
            errors.Problem(
                errors.ErrorKind.INVALID_SETTINGS,
                f"the settings are for an {process_settings.role.value}; the"
                f" command is {options.command}.",
                "Give the settings file of this process.",
                str(options.settings),
            )
        )
    if options.log_level:
        process_settings = settings.with_log_level(
            process_settings, options.log_level
        )
    # Only the module of this role is imported, because libraries that only an
    # entry uses would exceed an agent's memory budget.
    module = importlib.import_module(
        f"pimentobridge.daemons.{options.command}_process"
    )
    code: int = module.run(process_settings)
    return code


if __name__ == "__main__":
    run()
