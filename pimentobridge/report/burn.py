"""Error-budget burn of each class of work and client account.

A burn rate of 1 spends the error budget exactly over the period it covers. An
alert requires a high burn rate in both a short and a long window, so that it
starts soon after a problem begins and ends soon after it: the long window shows
that the problem is significant, the short one that it still lasts.
"""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

import msgspec

from pimentobridge.report import samples

if TYPE_CHECKING:
    import pathlib

    from pimentobridge.core import configuration
    from pimentobridge.core import request

MINUTE_S = 60.0
HOUR_S = 3600.0
HISTORY_POINTS = 48


class Window(msgspec.Struct, frozen=True):
    """A pair of windows, and the burn rate that alerts if both reach it."""

    name: str
    short_s: float
    long_s: float
    threshold: float


WINDOWS = (
    Window("page", 5 * MINUTE_S, HOUR_S, 14.4),
    Window("ticket", 30 * MINUTE_S, 6 * HOUR_S, 6.0),
)


class Causes(msgspec.Struct, frozen=True):
    """Number of requests that spent error budget, by reason.

    Attributes:
        late: answered after the deadline.
        unknown: ended without a known outcome.
    """

    refused: float = 0.0
    late: float = 0.0
    unknown: float = 0.0
    failed: float = 0.0

    @property
    def total(self) -> float:
        """Number of requests that spent error budget for any reason."""
        return self.refused + self.late + self.unknown + self.failed


class WindowBurn(msgspec.Struct, frozen=True):
    """Burn rates in one pair of windows.

    Attributes:
        alert: whether both burn rates reach the threshold.
    """

    name: str
    short: float
    long: float
    threshold: float
    alert: bool


class ServiceLevel(msgspec.Struct, frozen=True):
    """Service level of one class and account.

    Attributes:
        objective: fraction of requests that should be answered in time.
        good_fraction: fraction of requests that were answered in time.
        budget_left: fraction of the error budget left over the whole period;
            negative if it is overspent.
        history: burn rate in each of `HISTORY_POINTS` equal steps of the
            period, oldest first.
    """

    work_class: str
    account: str
    objective: float
    requests: float
    good_fraction: float
    budget_left: float
    causes: Causes
    windows: list[WindowBurn]
    history: list[float]

    @property
    def alert(self) -> bool:
        """Whether any pair of windows alerts."""
        return any(window.alert for window in self.windows)


class BurnReport(msgspec.Struct, frozen=True):
    """Service levels of all classes and accounts that had requests."""

    start: datetime.datetime
    end: datetime.datetime
    instances: list[str]
    lines: list[ServiceLevel]

    @property
    def alerts(self) -> list[ServiceLevel]:
        """Service levels that alert."""
        return [line for line in self.lines if line.alert]


def read_samples(directory: pathlib.Path) -> samples.Series:
    """Returns the scraped metrics in a directory."""
    return samples.read_directory(directory)


def build_report(
    document: configuration.Document, series: samples.Series
) -> BurnReport:
    """Returns the burn report of every class and account that had requests.

    Alerting service levels come first, then those with the least budget left.
    """
    pairs = sorted(
        {
            (dict(labels)["work_class"], dict(labels)["account"])
            for labels in series.label_sets(samples.REQUESTS)
        }
    )
    classes = document.classes_by_name
    lines = [
        _service_level(series, work_class, account)
        for name, account in pairs
        if (work_class := classes.get(name)) is not None  # type: ignore[call-overload]
    ]
    return BurnReport(
        start=_to_datetime(series.first_s),
        end=_to_datetime(series.last_s),
        instances=series.instances,
        lines=sorted(lines, key=lambda line: (-line.alert, line.budget_left)),
    )


def as_text(burn_report: BurnReport) -> str:
    """Returns the report as text for a terminal."""
    text_lines = [
        f"{burn_report.start:%Y-%m-%d %H:%M} to {burn_report.end:%H:%M} UTC,"
        f" {len(burn_report.instances)} instances",
        "",
        f"{'class':16}{'account':20}{'requests':>9}{'good':>9}{'target':>8}"
        f"{'budget':>8}{'5m':>7}{'1h':>7}{'30m':>7}{'6h':>7}  spent on",
    ]
    for line in burn_report.lines:
        rates = "".join(
            f"{window.short:7.1f}{window.long:7.1f}" for window in line.windows
        )
        suffix = "  ALERT" if line.alert else ""
        text_lines.append(
            f"{line.work_class:16}{line.account:20}{line.requests:9.0f}"
            f"{line.good_fraction:9.3%}{line.objective:8.2%}"
            f"{line.budget_left:8.0%}{rates}  {_spent_on(line.causes)}{suffix}"
        )
    if not burn_report.lines:
        text_lines.append("no requests in the samples")
    return "\n".join(text_lines)


def count_requests(
    series: samples.Series,
    work_class: request.WorkClass,
    account: str,
    start_s: float,
    end_s: float,
) -> tuple[float, Causes]:
    """Counts the requests in a span of time.

    Returns:
        The number of all requests, and of those that spent error budget.
    """
    counts = {
        outcome: series.increase(
            samples.REQUESTS,
            _labels(work_class.name, account, outcome=outcome),
            start_s,
            end_s,
        )
        for outcome in ("answered", "refused", "unknown", "failed")
    }
    in_time = _answered_in_time(series, work_class, account, start_s, end_s)
    late = max(0.0, counts["answered"] - in_time)
    causes = Causes(
        counts["refused"], late, counts["unknown"], counts["failed"]
    )
    return sum(counts.values()), causes


def _service_level(
    series: samples.Series, work_class: request.WorkClass, account: str
) -> ServiceLevel:
    start_s, end_s = series.first_s, series.last_s
    total, causes = count_requests(series, work_class, account, start_s, end_s)
    error_budget = total * (1 - work_class.objective)
    return ServiceLevel(
        work_class=work_class.name,
        account=account,
        objective=work_class.objective,
        requests=total,
        good_fraction=1 - causes.total / total if total else 1.0,
        budget_left=1 - causes.total / error_budget if error_budget else 1.0,
        causes=causes,
        windows=[
            _window_burn(series, work_class, account, window)
            for window in WINDOWS
        ],
        history=_history(series, work_class, account),
    )


def _window_burn(
    series: samples.Series,
    work_class: request.WorkClass,
    account: str,
    window: Window,
) -> WindowBurn:
    end_s = series.last_s
    short = _burn_rate(
        series, work_class, account, end_s - window.short_s, end_s
    )
    long = _burn_rate(series, work_class, account, end_s - window.long_s, end_s)
    return WindowBurn(
        name=window.name,
        short=short,
        long=long,
        threshold=window.threshold,
        alert=min(short, long) >= window.threshold,
    )


def _burn_rate(
    series: samples.Series,
    work_class: request.WorkClass,
    account: str,
    start_s: float,
    end_s: float,
) -> float:
    total, causes = count_requests(series, work_class, account, start_s, end_s)
    if not total:
        return 0.0
    return causes.total / total / (1 - work_class.objective)


def _history(
    series: samples.Series, work_class: request.WorkClass, account: str
) -> list[float]:
    start_s, end_s = series.first_s, series.last_s
    step_s = (end_s - start_s) / HISTORY_POINTS
    if step_s <= 0:
        return []
    return [
        _burn_rate(
            series,
            work_class,
            account,
            start_s + index * step_s,
            start_s + (index + 1) * step_s,
        )
        for index in range(HISTORY_POINTS)
    ]


def _answered_in_time(
    series: samples.Series,
    work_class: request.WorkClass,
    account: str,
    start_s: float,
    end_s: float,
) -> float:
    """Returns the number of answers in the buckets up to the deadline.

    If the deadline lies between two bucket bounds, only answers up to the
    lower bound count, so the number of late answers is never understated.
    """
    bounds = {
        float(dict(labels)["le"])
        for labels in series.label_sets(samples.DURATION_BUCKETS)
    }
    bounds_in_deadline = [
        bound for bound in bounds if bound <= work_class.deadline_s
    ]
    if not bounds_in_deadline:
        return 0.0
    bucket_bound = max(bounds_in_deadline)
    le_values = {
        dict(labels)["le"]
        for labels in series.label_sets(samples.DURATION_BUCKETS)
        if float(dict(labels)["le"]) == bucket_bound
    }
    return sum(
        series.increase(
            samples.DURATION_BUCKETS,
            _labels(work_class.name, account, le=le),
            start_s,
            end_s,
        )
        for le in le_values
    )


def _labels(work_class: str, account: str, **others: str) -> samples.Labels:
    labels = {"work_class": work_class, "account": account, **others}
    return tuple(sorted(labels.items()))


def _spent_on(causes: Causes) -> str:
    named = [
        f"{name} {value:.0f}"
        for name in ("refused", "late", "unknown", "failed")
        if (value := getattr(causes, name))
    ]
    return ", ".join(named) or "nothing"


def _to_datetime(seconds: float) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(seconds, tz=datetime.UTC)
