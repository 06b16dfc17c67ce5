"""`pimentobridge lab`: plays days of the whole system in virtual time."""

from __future__ import annotations

import concurrent.futures
import json
import logging
import pathlib
from typing import TYPE_CHECKING

from absl import logging as absl_logging
import msgspec
import trio

from pimentobridge.lab import faults
from pimentobridge.lab import simulation
from pimentobridge.lab import soak as soak_lib

if TYPE_CHECKING:
    import argparse

EXIT_OK = 0
EXIT_BROKEN = 1
DEFAULT_SEEDS = 20
DEFAULT_JOBS = 2


def add_commands(commands: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    """Adds the commands of the lab."""
    lab = commands.add_parser(
        "lab",
        help="play days in virtual time and check the promises",
        description="Runs entries, agents and stand-ins in one process and"
        " virtual time, and checks the promises from outside.",
    )
    actions = lab.add_subparsers(dest="action", required=True)
    run = actions.add_parser("run", help="play one day")
    run.add_argument("--seed", type=int, default=1)
    run.add_argument(
        "--faults",
        type=pathlib.Path,
        help="JSON list of faults, in place of those that the seed draws",
    )
    run.add_argument(
        "--trace",
        metavar="TEXT",
        help="print the log lines that contain TEXT, such as a job's id",
    )
    run.set_defaults(run=_run)
    hunt = actions.add_parser("hunt", help="play many days")
    hunt.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    hunt.add_argument("--first-seed", type=int, default=1)
    hunt.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    hunt.add_argument("--json", action="store_true")
    hunt.set_defaults(run=_hunt)
    soak = actions.add_parser(
        "soak",
        help="run real processes on loopback under faults",
        description="Runs entries and agents as processes, harms them from"
        " outside, and checks the promises. Unlike the other actions it takes"
        " real time.",
    )
    soak.add_argument("--seeds", type=int, default=1)
    soak.add_argument("--first-seed", type=int, default=1)
    soak.add_argument(
        "--seconds", type=float, default=30.0, help="length of the traffic"
    )
    soak.set_defaults(run=_soak)
    kinds = actions.add_parser("kinds", help="list the kinds of faults")
    kinds.set_defaults(run=_kinds)


class _Trace(logging.Handler):
    """Prints the events that mention a text, with virtual time."""

    def __init__(self, text: str) -> None:
        super().__init__()
        self._text = text

    def emit(self, record: logging.LogRecord) -> None:
        fields = getattr(record, "fields", {})
        line = f"{record.getMessage()} {fields}"
        if self._text in line:
            print(f"{trio.current_time():9.3f} {line}")


def _run(options: argparse.Namespace) -> int:
    if options.trace is not None:
        logger = absl_logging.get_absl_logger()
        logger.setLevel(logging.INFO)
        logger.handlers = [_Trace(options.trace)]
        logger.propagate = False
    given = None
    if options.faults is not None:
        given = msgspec.json.decode(
            options.faults.read_bytes(), type=list[faults.Fault]
        )
    verdict = simulation.run(options.seed, given)
    print(json.dumps(msgspec.to_builtins(verdict), indent=2))
    return EXIT_BROKEN if verdict.findings else EXIT_OK


def _hunt(options: argparse.Namespace) -> int:
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        verdicts = list(pool.map(simulation.run, seeds))
    broken = [verdict for verdict in verdicts if verdict.findings]
    if options.json:
        print(
            json.dumps(
                {
                    "seeds": len(verdicts),
                    "broken": len(broken),
                    "findings": msgspec.to_builtins(broken),
                }
            )
        )
    else:
        for verdict in broken:
            kinds = ", ".join(
                f"{fault.kind} at {fault.at_s} s for {fault.for_s} s"
                for fault in verdict.faults
            )
            print(f"seed {verdict.seed}: {kinds}")
            for finding in verdict.findings[:5]:
                print(f"  {finding}")
        print(f"{len(verdicts)} days, {len(broken)} with broken promises")
    return EXIT_BROKEN if broken else EXIT_OK


def _soak(options: argparse.Namespace) -> int:
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    broken = soak_lib.run(seeds, seconds=options.seconds)
    print(f"{len(seeds)} soaks, {broken} with broken promises")
    return EXIT_BROKEN if broken else EXIT_OK


def _kinds(options: argparse.Namespace) -> int:
    del options
    print("\n".join(faults.KINDS))
    return EXIT_OK
