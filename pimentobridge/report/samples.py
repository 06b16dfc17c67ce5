"""Counters scraped from several instances over time.

Increases are computed correctly across counter resets and missing scrapes.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from prometheus_client import parser

from pimentobridge.core import errors

if TYPE_CHECKING:
    from collections.abc import Iterable
    import pathlib

REQUESTS = "pimentobridge_requests_total"
DURATION_BUCKETS = "pimentobridge_request_duration_seconds_bucket"

Labels = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Point:
    """Value of a counter of one instance, and the Unix time of the scrape."""

    scraped_s: float
    value: float


class Series:
    """Scraped counters by instance, metric name and labels."""

    def __init__(self) -> None:
        self._points_by_key: dict[tuple[str, str, Labels], list[Point]] = {}
        self._times_by_instance: dict[str, list[float]] = {}

    @property
    def last_s(self) -> float:
        """Time of the newest sample; 0 if there is none."""
        return max(
            (times[-1] for times in self._times_by_instance.values()),
            default=0.0,
        )

    @property
    def first_s(self) -> float:
        """Time of the oldest sample; 0 if there is none."""
        return min(
            (times[0] for times in self._times_by_instance.values()),
            default=0.0,
        )

    @property
    def instances(self) -> list[str]:
        """Instances that were scraped at least once."""
        return sorted(self._times_by_instance)

    def add(self, instance: str, scraped_s: float, text: str) -> None:
        """Adds one scrape of an instance.

        Scrapes of one instance must be added in order of time.

        Args:
            instance: name of the scraped instance.
            scraped_s: Unix time of the scrape.
            text: metrics in the Prometheus exposition format.

        Raises:
            ValueError: the text isn't in the exposition format.
        """
        self._times_by_instance.setdefault(instance, []).append(scraped_s)
        for family in parser.text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name in (REQUESTS, DURATION_BUCKETS):
                    labels = tuple(sorted(sample.labels.items()))
                    key = (instance, sample.name, labels)
                    point = Point(scraped_s, sample.value)
                    self._points_by_key.setdefault(key, []).append(point)

    def label_sets(self, name: str) -> set[Labels]:
        """Returns every set of labels with which a metric was scraped."""
        return {
            labels
            for _, series_name, labels in self._points_by_key
            if series_name == name
        }

    def increase(
        self, name: str, labels: Labels, start_s: float, end_s: float
    ) -> float:
        """Returns the increase of a counter, summed over all instances.

        If a value is lower than the previous one, the instance has restarted
        and the counter has grown from zero. A counter that first appears after
        the first scrape of its instance has grown from zero too.
        """
        total = 0.0
        for (
            instance,
            series_name,
            series_labels,
        ), points in self._points_by_key.items():
            if series_name == name and series_labels == labels:
                total += self._series_increase(instance, points, start_s, end_s)
        return total

    def _series_increase(
        self, instance: str, points: list[Point], start_s: float, end_s: float
    ) -> float:
        scraped_before = (
            self._times_by_instance[instance][0] < points[0].scraped_s
        )
        previous_value = 0.0 if scraped_before else points[0].value
        total = 0.0
        for point in points:
            growth = point.value - previous_value
            if growth < 0:
                growth = point.value
            if start_s < point.scraped_s <= end_s:
                total += growth
            previous_value = point.value
        return total


def read_directory(directory: pathlib.Path) -> Series:
    """Reads the `INSTANCE/UNIX_SECONDS.prom` files in a directory.

    Raises:
        errors.ProblemError: a file can't be read, or there are no files.
    """
    series = Series()
    for instance in sorted(
        path for path in directory.glob("*") if path.is_dir()
    ):
        for path in _by_time(instance.glob("*.prom")):
            try:
                text = path.read_text(encoding="utf-8")
                series.add(instance.name, float(path.stem), text)
            except (OSError, ValueError) as error:
                raise errors.ProblemError(
                    errors.Problem(
                        errors.ErrorKind.INVALID_REQUEST,
                        f"the scraped metrics can't be read: {error}.",
                        "Save the text of /metrics as UNIX_SECONDS.prom.",
                        str(path),
                    )
                ) from error
    if not series.instances:
        raise errors.ProblemError(
            errors.Problem(
                errors.ErrorKind.INVALID_REQUEST,
                "found no INSTANCE/UNIX_SECONDS.prom below the directory.",
                "Save the text of each entry's /metrics there first.",
                str(directory),
            )
        )
    return series


def _by_time(paths: Iterable[pathlib.Path]) -> list[pathlib.Path]:
    def unix_seconds(path: pathlib.Path) -> float:
        try:
            return float(path.stem)
        except ValueError:
            return 0.0

    return sorted(paths, key=unix_seconds)
