"""Variances of slowdowns that were estimated together by least squares.

The slowdowns by neighbours that often occur together can't be told apart, and
each of them has a large variance then.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from pimentobridge.core.scheduling import kinds

_Matrix = list[list[float]]


@dataclasses.dataclass(frozen=True)
class StepRows:
    """Observations of one step's tasks.

    Attributes:
        own_precision: precision with which the step's own figure is known
            without them.
        rows: neighbours and precision of each observation.
    """

    own_precision: float
    rows: Sequence[tuple[frozenset[kinds.Kind], float]]


def variances(
    steps: Iterable[StepRows], *, prior: float
) -> dict[kinds.Kind, float]:
    """Returns the variance of the slowdown by each neighbour of one kind.

    Args:
        steps: observations of steps of that kind.
        prior: variance of a slowdown before any observation.
    """
    steps = list(steps)
    found = sorted(
        {
            neighbour
            for step in steps
            for neighbours, _ in step.rows
            for neighbour in neighbours
        }
    )
    index_by_kind = {neighbour: index for index, neighbour in enumerate(found)}
    information = [
        [1 / prior if row == column else 0.0 for column in range(len(found))]
        for row in range(len(found))
    ]
    for step in steps:
        _add(information, step, index_by_kind)
    return dict(zip(found, _inverse_diagonal(information), strict=True))


def _add(
    information: _Matrix,
    step: StepRows,
    index_by_kind: dict[kinds.Kind, int],
) -> None:
    """Adds the information of one step's observations.

    The step's own figure is estimated from the same observations, and the
    information that this takes is subtracted (a Schur complement).
    """
    total = step.own_precision
    sums: dict[int, float] = {}
    for neighbours, precision in step.rows:
        total += precision
        indexes = [index_by_kind[neighbour] for neighbour in neighbours]
        for row in indexes:
            sums[row] = sums.get(row, 0.0) + precision
            for column in indexes:
                information[row][column] += precision
    if total <= 0:
        return
    for row, row_sum in sums.items():
        for column, column_sum in sums.items():
            information[row][column] -= row_sum * column_sum / total


def _inverse_diagonal(matrix: _Matrix) -> list[float]:
    """Returns the diagonal of the inverse of a positive definite matrix."""
    size = len(matrix)
    factor: _Matrix = [[0.0] * size for _ in range(size)]
    for row in range(size):
        for column in range(row + 1):
            rest = matrix[row][column] - sum(
                factor[row][k] * factor[column][k] for k in range(column)
            )
            if row == column:
                factor[row][row] = rest**0.5
            else:
                factor[row][column] = rest / factor[column][column]
    # Solves for each column of the inverse of the Cholesky factor.
    diagonal = [0.0] * size
    for column in range(size):
        solved = [0.0] * size
        for row in range(column, size):
            rest = float(row == column) - sum(
                factor[row][k] * solved[k] for k in range(column, row)
            )
            solved[row] = rest / factor[row][row]
        diagonal[column] = sum(value * value for value in solved)
    return diagonal
