"""Renders the burn report as one self-contained HTML page with plots."""

from __future__ import annotations

from typing import TYPE_CHECKING

import jinja2

if TYPE_CHECKING:
    from pimentobridge.report import burn

PLOT_WIDTH = 260
PLOT_HEIGHT = 56
MAX_PLOTTED_RATE = 20.0

_environment = jinja2.Environment(
    loader=jinja2.PackageLoader("pimentobridge.report", "templates"),
    autoescape=True,
    undefined=jinja2.StrictUndefined,
    trim_blocks=True,
    lstrip_blocks=True,
)


def render(report: burn.BurnReport) -> str:
    """Returns the report as HTML."""
    return _environment.get_template("burn.html").render(
        report=report,
        plot_points=_plot_points,
        width=PLOT_WIDTH,
        height=PLOT_HEIGHT,
        plot_y=_plot_y,
    )


def _plot_y(rate: float) -> float:
    """Returns the y coordinate of a burn rate, counted from the top.

    Rates above `MAX_PLOTTED_RATE` are drawn at the top edge.
    """
    fraction = min(rate, MAX_PLOTTED_RATE) / MAX_PLOTTED_RATE
    return PLOT_HEIGHT * (1 - fraction)


def _plot_points(history: list[float]) -> str:
    """Returns the `points` attribute of a polyline through the burn rates."""
    if not history:
        return ""
    step_x = PLOT_WIDTH / max(1, len(history) - 1)
    return " ".join(
        f"{index * step_x:.1f},{_plot_y(rate):.1f}"
        for index, rate in enumerate(history)
    )
