"""Commands that measure and demonstrate."""

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


# The part of the demo that runs jobs on the platform's stand-ins.
JOBS = "jobs"


def add_commands(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds `bench` and `demo`."""
    bench = commands.add_parser(
        "bench",
        help="run a benchmark with regression bounds",
        description="Runs a benchmark on a seed; exits 1 when a bound fails.",
    )
    bench.add_argument("name", nargs="?", choices=registry.NAMES)
    bench.add_argument("--seed", type=int, default=1)
    bench.add_argument("--json", action="store_true", help="print one object")
    bench.add_argument("--list", action="store_true", help="list the names")
    bench.add_argument(
        "--capacity",
        type=pathlib.Path,
        metavar="FILE",
        help="measure and write the tables of docs/CAPACITY.md",
    )
    bench.set_defaults(run=_bench)
    demo = commands.add_parser(
        "demo",
        help="run the users' deployments as processes on loopback",
        description="Runs jobs on stand-ins of the platform and kills the"
        " scheduler; then runs each deployment at its size of today, kills an"
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
        _print(report)
    return 0 if report.holds else 1


def _print(report: harness.Report) -> None:
    print(f"{report.name}, seed {report.seed}")
    for name, figure in report.figures.items():
        bound = (
            f"{figure.sense.value} {figure.bound}" if figure.sense.value else ""
        )
        verdict = "" if figure.holds else "  FAILS"
        print(
            f"  {name:34} {figure.value:>14g} {figure.unit:8} {bound}{verdict}"
        )
    for name, values in report.baselines.items():
        for key, value in values.items():
            print(f"  baseline {name}: {key} {value:g}")


def _demo(options: argparse.Namespace) -> int:
    # The launcher starts processes, so it is no part of the product's imports.
    demo = importlib.import_module("pimentobridge.testing.demo")
    jobs = importlib.import_module("pimentobridge.testing.platform_demo")
    known = ("muida", "lunetta", JOBS)
    unknown = [name for name in options.deployment if name not in known]
    if unknown:
        print(
            f"pimentobridge: received {unknown[0]!r}; expected muida,"
            f" lunetta or {JOBS}.",
            file=sys.stderr,
        )
        return 2
    names = [name for name in options.deployment if name != JOBS]
    codes: list[int] = []
    if JOBS in options.deployment or not names:
        codes.append(jobs.run())
    if names or not options.deployment:
        codes.append(demo.run(names))
    return max(codes)
