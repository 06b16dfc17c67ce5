"""`pimentobridge lab`: simulates the whole system and checks its invariants."""

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
from pimentobridge.lab import large_configuration
from pimentobridge.lab import simulation
from pimentobridge.lab import soak as soak_lib

if TYPE_CHECKING:
    import argparse

EXIT_OK = 0
EXIT_VIOLATIONS = 1
DEFAULT_SEEDS = 20
DEFAULT_PROCESSES = 2


def add_commands(commands: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    """Adds `lab` and its actions."""
    lab = commands.add_parser(
        "lab",
        help="simulate the system in virtual time and check its invariants",
        description="Runs entries, agents and simulated platform services in"
        " one process and virtual time, and checks the invariants from what"
        " callers and runners observe.",
    )
    actions = lab.add_subparsers(dest="action", required=True)
    run = actions.add_parser("run", help="run one simulation")
    run.add_argument("--seed", type=int, default=1)
    run.add_argument(
        "--faults",
        type=pathlib.Path,
        help="file with a JSON list of faults to inject; default: faults"
        " generated from the seed",
    )
    run.add_argument(
        "--trace",
        metavar="TEXT",
        help="print the log events that contain TEXT, such as a job's id",
    )
    run.set_defaults(run=_run)
    hunt = actions.add_parser("hunt", help="run many simulations in parallel")
    hunt.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    hunt.add_argument("--first-seed", type=int, default=1)
    hunt.add_argument("--jobs", type=int, default=DEFAULT_PROCESSES)
    hunt.add_argument("--json", action="store_true")
    hunt.set_defaults(run=_hunt)
    soak = actions.add_parser(
        "soak",
        help="run real processes on loopback under faults",
        description="Runs entries and agents as processes, injects faults from"
        " outside, and checks the invariants. Unlike the other actions it runs"
        " in real time.",
    )
    soak.add_argument("--seeds", type=int, default=1)
    soak.add_argument("--first-seed", type=int, default=1)
    soak.add_argument(
        "--seconds", type=float, default=30.0, help="duration of the traffic"
    )
    soak.set_defaults(run=_soak)
    configuration = actions.add_parser(
        "configuration",
        help="measure how entries on slow links follow large configurations",
    )
    configuration.add_argument("--series", type=int, default=3)
    configuration.add_argument("--seed", type=int, default=1)
    configuration.add_argument(
        "--sources",
        choices=[loss.value for loss in large_configuration.SourceLoss],
        default=large_configuration.SourceLoss.NONE.value,
        help="how the agents that pass the configuration on leave meanwhile",
    )
    configuration.set_defaults(run=_configuration)
    kinds = actions.add_parser("kinds", help="list the kinds of faults")
    kinds.set_defaults(run=_kinds)


class _TraceHandler(logging.Handler):
    """Prints the log events that contain a text, with their virtual time."""

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
        logger.handlers = [_TraceHandler(options.trace)]
        logger.propagate = False
    scripted_faults = None
    if options.faults is not None:
        scripted_faults = msgspec.json.decode(
            options.faults.read_bytes(), type=list[faults.Fault]
        )
    outcome = simulation.run(options.seed, scripted_faults)
    print(json.dumps(msgspec.to_builtins(outcome), indent=2))
    return EXIT_VIOLATIONS if outcome.findings else EXIT_OK


def _hunt(options: argparse.Namespace) -> int:
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        outcomes = list(pool.map(simulation.run, seeds))
    failing_runs = [outcome for outcome in outcomes if outcome.findings]
    if options.json:
        print(
            json.dumps(
                {
                    "seeds": len(outcomes),
                    "broken": len(failing_runs),
                    "findings": msgspec.to_builtins(failing_runs),
                }
            )
        )
    else:
        for outcome in failing_runs:
            kinds = ", ".join(
                f"{fault.kind} at {fault.at_s} s for {fault.for_s} s"
                for fault in outcome.faults
            )
            print(f"seed {outcome.seed}: {kinds}")
            for finding in outcome.findings[:5]:
                print(f"  {finding}")
        print(
            f"{len(outcomes)} runs, {len(failing_runs)} with violated"
            " invariants"
        )
    return EXIT_VIOLATIONS if failing_runs else EXIT_OK


def _soak(options: argparse.Namespace) -> int:
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    failing_soaks = soak_lib.run(seeds, seconds=options.seconds)
    print(f"{len(seeds)} soaks, {failing_soaks} with violated invariants")
    return EXIT_VIOLATIONS if failing_soaks else EXIT_OK


def _configuration(options: argparse.Namespace) -> int:
    results = large_configuration.measure(
        options.series,
        seed=options.seed,
        loss=large_configuration.SourceLoss(options.sources),
    )
    for result in results:
        print(
            f"{result.routes} routes, {result.document_bytes} bytes:"
            f" in force everywhere within {result.slowest_s:.2f} s,"
            f" {result.most_bytes} bytes received at most"
        )
    return EXIT_OK


def _kinds(options: argparse.Namespace) -> int:
    del options
    print("\n".join(faults.KINDS))
    return EXIT_OK
