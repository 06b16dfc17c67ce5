"""How likely a run is to end within a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.scheduling import ledger

if TYPE_CHECKING:
    from collections.abc import Collection

    from pimentobridge.core.jobs import observed_progress

# Callers' estimates are off by up to this share of the run time.
ESTIMATE_ERROR = 0.9
# Error of a remaining time that is derived from the reported progress: one
# percent of rounding in the five from which a rate is known. The time at which
# the work began is uncertain by the interval of reports.
RATE_ERROR = 0.2
REPORT_INTERVAL_S = 0.5
COMPLETE_PERCENT = 100


def chance_of_end(
    members: Collection[ledger.RunEntry], within_s: float, now_s: float
) -> float:
    """Returns how likely it is that a unit's run ends within a time.

    A gang ends with its slowest member. Members whose progress isn't known, as
    after a change of scheduler, count as those with known progress.

    Args:
        members: the members of the run, at least one.
        within_s: the time, in seconds from now.
        now_s: current monotonic time.
    """
    known = [
        member for member in members if member.observed.percent is not None
    ]
    return min(
        _chance_of_end(member, within_s, now_s) for member in known or members
    )


def _chance_of_end(
    entry: ledger.RunEntry, within_s: float, now_s: float
) -> float:
    observed = entry.observed
    if entry.step.long_running or within_s <= 0:
        return 0.0
    if observed.percent == COMPLETE_PERCENT:
        return 1.0
    by_rate_s = observed.remaining_s(now_s)
    if by_rate_s is not None:
        return _chance_below(by_rate_s, within_s, _rate_error(observed))
    estimate_s = (
        entry.expected_s or entry.step.estimate_s or ledger.DEFAULT_ESTIMATE_S
    )
    left_s = estimate_s * (100 - observed.first_percent) / 100
    worked_s = 0.0 if observed.started_s is None else now_s - observed.started_s
    # It hasn't ended by now, which rules out the shorter of the possible times.
    ended_by_now = _chance_below(left_s, worked_s, ESTIMATE_ERROR)
    if ended_by_now >= 1.0:
        return 0.0
    ended_then = _chance_below(left_s, worked_s + within_s, ESTIMATE_ERROR)
    return (ended_then - ended_by_now) / (1.0 - ended_by_now)


def _rate_error(observed: observed_progress.ObservedProgress) -> float:
    """Returns the error of a remaining time that follows from the progress."""
    if observed.moving_s <= REPORT_INTERVAL_S:
        return ESTIMATE_ERROR
    error = max(RATE_ERROR, REPORT_INTERVAL_S / observed.moving_s)
    return min(ESTIMATE_ERROR, error)


def _chance_below(estimate_s: float, limit_s: float, error: float) -> float:
    """Returns how likely it is that a time is below a limit.

    The estimate is the true time multiplied by a factor, uniformly distributed
    from 1 - `error` to 1 + `error`.
    """
    if limit_s <= 0:
        return 0.0
    chance = (1 + error - estimate_s / limit_s) / (2 * error)
    return min(1.0, max(0.0, chance))
