"""Registry of the benchmarks by name."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pimentobridge.bench import harness

NAMES = (
    "flood",
    "membership",
    "guarantees",
    "faults",
    "small-callers",
    "completion",
    "link",
    "outliers",
    "gangs",
    "reclaim",
    "placement",
    "configuration",
    "recovery",
    "footprint",
    "console",
    "fuzz",
)


def module_name(name: str) -> str:
    """Returns the full name of the module that defines a benchmark."""
    return "pimentobridge.bench." + name.replace("-", "_")


def summary_of(name: str) -> str:
    """Returns the first line of the docstring of a benchmark's module."""
    doc = importlib.import_module(module_name(name)).__doc__ or ""
    return doc.splitlines()[0]


def run(name: str, seed: int) -> harness.Report:
    """Runs a benchmark with a random seed."""
    report: harness.Report = importlib.import_module(module_name(name)).run(
        seed
    )
    return report
