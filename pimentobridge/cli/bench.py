"""Commands that run benchmarks and demos."""

from __future__ import annotations

import importlib
import pathlib
import sys
from typing import TYPE_CHECKING

import msgspec

from pimentobridge.bench import registry
from pimentobridge.report import capacity

if TYPE_CHECKING:
    import argparse

    from pimentobridge.bench import harness


# Name of the demo that runs jobs on simulated platform services.
JOBS_DEMO = "jobs"


def add_commands(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds `bench` and `demo`."""
    bench = commands.add_parser(
        "bench",
        help="run a benchmark with regression bounds",
        description="Runs a benchmark with a seed; exits with 1 if a figure is"
        " out of bounds.",
    )
    bench.add_argument("name", nargs="?", choices=registry.NAMES)
    bench.add_argument("--seed", type=int, default=1)
    bench.add_argument(
        "--json", action="store_true", help="print the report as JSON"
    )
    bench.add_argument(
        "--list", action="store_true", help="list the benchmarks"
    )
    bench.add_argument(
        "--capacity",
        type=pathlib.Path,
        metavar="FILE",
        help="run the benchmarks behind docs/CAPACITY.md and write their"
        " tables into FILE",
    )
    bench.set_defaults(run=_bench)
    demo = commands.add_parser(
        "demo",
        help="run the users' deployments as processes on loopback",
        description="Runs jobs on simulated platform services and kills the"
        " scheduler; then runs each deployment at its current size, kills an"
        " agent and an entry, and checks the invariants.",
    )
    demo.add_argument("deployment", nargs="*", metavar="jobs|muida|lunetta")
    demo.set_defaults(run=_demo)


def _bench(options: argparse.Namespace) -> int:
    if options.capacity:
        capacity.write_tables(options.capacity, options.seed)
        return 0
    if options.list or options.name is None:
        for name in registry.NAMES:
            print(f"{name:16} {registry.summary_of(name)}")
        return 0
    report = registry.run(options.name, options.seed)
    if options.json:
        print(msgspec.json.encode(report).decode())
    else:
        _print_report(report)
    return 0 if report.holds else 1


def _print_report(report: harness.Report) -> None:
    print(f"{report.name}, seed {report.seed}")
    for name, figure in report.figures.items():
        bound = (
            f"{figure.sense.value} {figure.bound}" if figure.sense.value else ""
        )
        suffix = "" if figure.holds else "  FAILS"
        print(
            f"  {name:34} {figure.value:>14g} {figure.unit:8} {bound}{suffix}"
        )
    for name, values in report.baselines.items():
        for key, value in values.items():
            print(f"  baseline {name}: {key} {value:g}")


def _demo(options: argparse.Namespace) -> int:
    # The demos start processes and are no part of the product, so they are
    # imported only when a demo runs.
    demo = importlib.import_module("pimentobridge.testing.demo")
    jobs = importlib.import_module("pimentobridge.testing.platform_demo")
    allowed = ("muida", "lunetta", JOBS_DEMO)
    unknown = [name for name in options.deployment if name not in allowed]
    if unknown:
        print(
            f"pimentobridge: received {unknown[0]!r}; expected muida,"
            f" lunetta or {JOBS_DEMO}.",
            file=sys.stderr,
        )
        return 2
    deployments = [name for name in options.deployment if name != JOBS_DEMO]
    exit_codes: list[int] = []
    if JOBS_DEMO in options.deployment or not deployments:
        exit_codes.append(jobs.run())
    if deployments or not options.deployment:
        exit_codes.append(demo.run(deployments))
    return max(exit_codes)
