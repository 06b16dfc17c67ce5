"""Burn report on small samples whose counts can be checked by hand."""

import pytest

from pimentobridge.core import errors
from pimentobridge.report import burn
from pimentobridge.report import page
from pimentobridge.report import samples
from pimentobridge.testing import deployment

LABELS = 'account="guides",work_class="point-check"'


def _metrics_text(answered, refused=0, in_time=None):
    in_time_count = answered if in_time is None else in_time
    name = "pimentobridge_request_duration_seconds_bucket"
    return (
        "# TYPE pimentobridge_requests_total counter\n"
        f'pimentobridge_requests_total{{{LABELS},outcome="answered"}}'
        f" {answered}\n"
        f'pimentobridge_requests_total{{{LABELS},outcome="refused"}}'
        f" {refused}\n"
        "# TYPE pimentobridge_request_duration_seconds histogram\n"
        f'{name}{{{LABELS},le="5.0"}} {in_time_count}\n'
        f'{name}{{{LABELS},le="+Inf"}} {answered}\n'
    )


def _only_service_level(series):
    report = burn.build_report(deployment.load_document("muida"), series)
    assert len(report.lines) == 1
    return report.lines[0]


def test_burn_rate_is_bad_fraction_divided_by_allowed_fraction():
    series = samples.Series()
    series.add("a", 0, _metrics_text(0))
    series.add("a", 3600, _metrics_text(980, refused=20))
    level = _only_service_level(series)
    assert level.requests == 1000
    assert level.windows[0].long == pytest.approx(2.0)
    assert level.budget_left == pytest.approx(-1.0)
    assert not level.alert


def test_late_answers_spend_the_budget():
    series = samples.Series()
    series.add("a", 0, _metrics_text(0))
    series.add("a", 3600, _metrics_text(1000, in_time=990))
    assert _only_service_level(series).causes.late == 10


def test_a_counter_counts_from_zero_after_a_reset():
    series = samples.Series()
    series.add("a", 0, _metrics_text(500))
    series.add("a", 60, _metrics_text(600))
    series.add("a", 120, _metrics_text(30))
    assert _only_service_level(series).requests == 130


def test_growth_during_missing_scrapes_is_counted_afterwards():
    series = samples.Series()
    series.add("a", 0, _metrics_text(100))
    series.add("b", 0, _metrics_text(100))
    series.add("a", 60, _metrics_text(150))
    series.add("a", 120, _metrics_text(200))
    series.add("b", 120, _metrics_text(180))
    assert _only_service_level(series).requests == 180


def test_an_alert_requires_a_high_burn_rate_in_both_windows():
    series = samples.Series()
    for minute in range(61):
        refused_count = 500 if minute == 10 else 0
        total = minute * 1000
        series.add(
            "a", minute * 60, _metrics_text(total, refused=refused_count)
        )
    assert not _only_service_level(series).alert
    burning = samples.Series()
    for minute in range(61):
        burning.add(
            "a", minute * 60, _metrics_text(minute * 100, refused=minute * 40)
        )
    assert _only_service_level(burning).alert
    assert "alert" in page.render(
        burn.build_report(deployment.load_document("muida"), burning)
    )


def test_an_unreadable_sample_raises_a_problem_with_a_remedy(tmp_path):
    directory = tmp_path / "entry-0"
    directory.mkdir()
    (directory / "10.prom").write_text("not { metrics")
    with pytest.raises(errors.ProblemError, match="UNIX_SECONDS"):
        samples.read_directory(tmp_path)
