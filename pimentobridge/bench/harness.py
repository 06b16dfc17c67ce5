"""Shared by all benchmarks: bounded figures, virtual time and statistics."""

from __future__ import annotations

import enum
import importlib
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import TypeVar

import msgspec
import trio
import trio.testing

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class Sense(enum.Enum):
    """How a value is compared with its bound."""

    AT_MOST = "<="
    AT_LEAST = ">="
    NONE = ""


class Figure(msgspec.Struct, frozen=True):
    """One measured value.

    Attributes:
        bound: limit that the requirements set, or None if they set none.
        sense: how the value is compared with the bound.
        holds: whether the value satisfies the bound; True without a bound.
    """

    value: float
    unit: str
    bound: float | None = None
    sense: Sense = Sense.NONE
    holds: bool = True


class Report(msgspec.Struct, frozen=True):
    """Result of one run of a benchmark.

    Attributes:
        baselines: values of the baselines that the benchmark compares with,
            by baseline and by key.
    """

    name: str
    seed: int
    figures: dict[str, Figure]
    baselines: dict[str, dict[str, float]] = {}

    @property
    def holds(self) -> bool:
        """Whether every bound holds."""
        return all(figure.holds for figure in self.figures.values())


class Benchmark(Protocol):
    """Entry point of a benchmark, which its module docstring describes."""

    def __call__(self, seed: int) -> Report:
        """Runs the benchmark with a random seed."""


def at_most(value: float, bound: float, unit: str) -> Figure:
    """Returns a figure that must not exceed its bound."""
    return Figure(
        round(value, 6), unit, bound, Sense.AT_MOST, value <= bound + 1e-9
    )


def at_least(value: float, bound: float, unit: str) -> Figure:
    """Returns a figure that must not fall below its bound."""
    return Figure(
        round(value, 6), unit, bound, Sense.AT_LEAST, value >= bound - 1e-9
    )


def info(value: float, unit: str) -> Figure:
    """Returns a figure without a bound."""
    return Figure(round(value, 6), unit)


def percentile(values: list[float], fraction: float) -> float:
    """Returns the value below which `fraction` (0 to 1) of the values lie."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(fraction * len(ordered)))
    return ordered[index]


def jain_index(values: list[float]) -> float:
    """Returns Jain's fairness index, which is 1 when all values are equal."""
    if not values or not any(values):
        return 1.0
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares)


def run_virtual(main: Callable[..., Any], *args: Any, seed: int = 1) -> Any:
    """Runs a trio function in virtual time and returns its result.

    Trio runs the tasks that are ready in random order; the seed makes that
    order repeatable.
    """
    trio_run: Any = importlib.import_module("trio._core._run")
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, *args, clock=clock)
