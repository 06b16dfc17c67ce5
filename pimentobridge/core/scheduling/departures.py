"""Which workers are departing, and which are expected to depart soon.

A worker that drains is departing. During a rolling update the workers that
still have the older version are expected to depart next. Where a worker got a
short termination notice, others nearby may get one as well.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING
from typing import NamedTuple

from pimentobridge.core.scheduling import fleet
from pimentobridge.core.scheduling import guarantees
from pimentobridge.core.scheduling import replacements

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import placement

# A rolling update is under way for this time after a worker of the older
# version has begun to drain.
UPDATE_WINDOW_S = 10.0
# A notice below this is short. A worker that is removed with one is gone about
# 2 s after it reports that it drains; a planned drain takes 4 s or more.
SHORT_NOTICE_S = 3.0
# Racks and data centres are avoided for this time after a short notice there.
AVOIDED_AFTER_NOTICE_S = 30.0
# Work without checkpoints is long from this expected run time on. Below it, a
# loss costs less than work that waits or runs far from its data.
LONG_WORK_S = 5.0
# Number of past departures from which the time beyond a notice is learned.
OVERRUNS_KEPT = 10

# Costs of a placement. A worker that is expected to depart costs more than any
# place where others have got a short notice.
EXPECTED_DEPARTURE_COST = 4.0
NOTICE_IN_RACK_COST = 2.0
NOTICE_IN_DATA_CENTRE_COST = 1.0


class VersionKey(NamedTuple):
    """A version of the workers of a service."""

    service: str
    version: str


class RackKey(NamedTuple):
    """A rack of a data centre."""

    data_centre: types.DataCentreName
    rack: types.RackName


@dataclasses.dataclass
class Drain:
    """A worker's drain.

    Attributes:
        began_s: monotonic time at which it was first reported.
        notice_s: minimum time until the departure, as first reported; None if
            the worker hasn't said.
        latest: what the worker last reported.
        leaves_at_s: monotonic time of the departure by that report.
        served_until_s: monotonic time of the last report at which the worker
            was reachable.
        seen_before: the worker was known before it began to drain, so that
            `began_s` is the beginning.
    """

    began_s: float
    notice_s: float | None
    latest: runs.WorkerIncarnation
    leaves_at_s: float | None
    served_until_s: float
    seen_before: bool

    @property
    def is_short(self) -> bool:
        """Whether the drain began with a short termination notice."""
        return (
            self.seen_before
            and self.notice_s is not None
            and self.notice_s < SHORT_NOTICE_S
        )


class Departures:
    """Tracks departing workers; a preference for workers that stay.

    All of this is learned from the reports to this scheduler.

    Args:
        workers_by_incarnation: the tracked workers.
        clock: source of time.
        log: writes a log line, given an event text and fields.
    """

    def __init__(
        self,
        workers_by_incarnation: Mapping[
            runs.IncarnationKey, fleet.TrackedWorker
        ],
        *,
        clock: clock_lib.Clock,
        log: Callable[..., None],
    ) -> None:
        self._workers_by_incarnation = workers_by_incarnation
        self._clock = clock
        self._log = log
        # When this scheduler learned of each worker.
        self._joined_s_by_key: dict[runs.IncarnationKey, float] = {}
        self._replacements = replacements.Replacements(clock.monotonic())
        self._drains_by_key: dict[runs.IncarnationKey, Drain] = {}
        self._latest_drain_by_version: dict[VersionKey, Drain] = {}
        # The older versions in rolling updates, with the time until which one
        # is inferred.
        self._updated_until_s: dict[VersionKey, float] = {}
        self._notice_s_by_rack: dict[RackKey, float] = {}
        self._notice_s_by_data_centre: dict[types.DataCentreName, float] = {}
        self._overruns_s: collections.deque[float] = collections.deque(
            maxlen=OVERRUNS_KEPT
        )

    # Events.

    def on_report(self, worker: fleet.TrackedWorker) -> None:
        """Processes what a worker has just reported of itself."""
        incarnation = worker.incarnation
        if incarnation is None:
            return
        is_new = worker.key not in self._joined_s_by_key
        if is_new:
            self._add_worker(worker.key, incarnation)
        if not incarnation.draining:
            self._drains_by_key.pop(worker.key, None)
        elif worker.key in self._drains_by_key:
            self._update_drain(self._drains_by_key[worker.key], worker)
        else:
            self._add_drain(worker.key, incarnation, seen_before=not is_new)
            is_new = True
        if is_new:
            self._infer_updates()

    def on_removed(self, worker: fleet.TrackedWorker) -> None:
        """Notes that an incarnation is over.

        Args:
            worker: the worker, which isn't tracked any more.
        """
        self._joined_s_by_key.pop(worker.key, None)
        drain = self._drains_by_key.pop(worker.key, None)
        if drain is None or not drain.seen_before or drain.is_short:
            return
        silent_s = self._clock.monotonic() - worker.last_report_s
        if silent_s > fleet.MAX_REPORT_AGE_S:
            # When it ended isn't known.
            return
        served_s = drain.served_until_s - drain.began_s
        if served_s < SHORT_NOTICE_S:
            self._note_short_notice(drain.latest, served_s)
        elif drain.notice_s is not None:
            self._overruns_s.append(max(0.0, served_s - drain.notice_s))

    # Departing workers.

    def leaves_in_s(self, worker: fleet.TrackedWorker) -> float | None:
        """Returns the minimum time until a draining worker departs.

        0 once that time is over; None if the worker hasn't said.
        """
        drain = self._drains_by_key.get(worker.key)
        if drain is None or drain.leaves_at_s is None:
            return None
        return max(0.0, drain.leaves_at_s - self._clock.monotonic())

    def overruns_s(self, worker: fleet.TrackedWorker) -> Sequence[float]:
        """Returns for how long workers have served beyond their notices.

        0 without any past departure, and for a worker with a short notice.
        """
        drain = self._drains_by_key.get(worker.key)
        if drain is None or drain.is_short or not self._overruns_s:
            return (0.0,)
        return self._overruns_s

    # Workers that are expected to depart.

    def is_expected(self, worker: fleet.TrackedWorker) -> bool:
        """Returns whether a worker that doesn't drain is expected to depart.

        That is so while others of its version and service are being replaced by
        workers of a newer version, or those of its service that have been there
        as long.
        """
        incarnation = worker.incarnation
        if incarnation is None or incarnation.draining:
            return False
        now_s = self._clock.monotonic()
        until_s = self._updated_until_s.get(_version_of(incarnation))
        if until_s is not None and now_s < until_s:
            return True
        replaced_before_s = self._replacements.replaced_before_s(
            incarnation.service, now_s
        )
        return replaced_before_s is not None and (
            self._joined_s_by_key.get(worker.key, now_s) < replaced_before_s
        )

    def is_avoided(
        self, worker: fleet.TrackedWorker, demand: placement.Demand
    ) -> bool:
        """Returns whether a unit is expected to be interrupted on a worker.

        Urgent work that is expected to end within the notice isn't, nor are
        single tasks that save checkpoints: they resume elsewhere.
        """
        if demand.step.checkpointing and not demand.step.gang:
            return False
        if not self.is_expected(worker) or worker.incarnation is None:
            return False
        notice_s = self._replacements.notice_s(worker.incarnation.service)
        return not (
            demand.priority == guarantees.URGENT_PRIORITY
            and notice_s is not None
            and demand.expected_s <= notice_s
        )

    def cost(
        self, worker: fleet.TrackedWorker, demand: placement.Demand
    ) -> float:
        """Returns the cost of a placement, see `preferences`."""
        cost = 0.0
        if self.is_avoided(worker, demand):
            cost += EXPECTED_DEPARTURE_COST
        if self._notice_s_by_data_centre and _is_long(demand):
            cost += self._notice_cost(worker)
        return cost

    def gauges(self) -> dict[str, float]:
        """Returns the gauges by metric name."""
        return {
            "workers_draining": len(self._drains_by_key),
            "workers_expected_to_depart": sum(
                self.is_expected(worker)
                for worker in self._workers_by_incarnation.values()
            ),
        }

    def _add_worker(
        self, key: runs.IncarnationKey, incarnation: runs.WorkerIncarnation
    ) -> None:
        now_s = self._clock.monotonic()
        self._joined_s_by_key[key] = now_s
        if not incarnation.draining:
            self._replacements.on_join(incarnation.service, now_s)

    def _add_drain(
        self,
        key: runs.IncarnationKey,
        incarnation: runs.WorkerIncarnation,
        *,
        seen_before: bool,
    ) -> None:
        drain = Drain(
            began_s=self._clock.monotonic(),
            notice_s=incarnation.leaves_in_s,
            latest=incarnation,
            leaves_at_s=self._leaves_at_s(incarnation),
            served_until_s=self._clock.monotonic(),
            seen_before=seen_before,
        )
        self._drains_by_key[key] = drain
        if incarnation.version:
            version = _version_of(incarnation)
            self._latest_drain_by_version[version] = drain
        if drain.is_short:
            self._note_short_notice(incarnation, drain.notice_s)
        else:
            self._note_drain(incarnation)

    def _note_drain(self, incarnation: runs.WorkerIncarnation) -> None:
        now_s, service = self._clock.monotonic(), incarnation.service
        before_s = self._replacements.replaced_before_s(service, now_s)
        self._replacements.on_drain(service, incarnation.leaves_in_s, now_s)
        after_s = self._replacements.replaced_before_s(service, now_s)
        if before_s is None and after_s is not None:
            self._log(
                "replacement of workers inferred",
                service=service,
                joined_before_s=round(now_s - after_s, 2),
                workers=sum(
                    self.is_expected(worker)
                    for worker in self._workers_by_incarnation.values()
                ),
            )

    def _update_drain(self, drain: Drain, worker: fleet.TrackedWorker) -> None:
        if worker.reachable:
            drain.served_until_s = self._clock.monotonic()
        # A report that repeats the one before is as old as that, and says
        # nothing of the time that is left now.
        if worker.incarnation is not None and (
            worker.incarnation != drain.latest
        ):
            drain.latest = worker.incarnation
            drain.leaves_at_s = self._leaves_at_s(worker.incarnation)

    def _leaves_at_s(self, incarnation: runs.WorkerIncarnation) -> float | None:
        if incarnation.leaves_in_s is None:
            return None
        return self._clock.monotonic() + incarnation.leaves_in_s

    def _infer_updates(self) -> None:
        """Infers the rolling updates from the versions and the drains."""
        now_s = self._clock.monotonic()
        newest = self._newest_versions()
        earlier = self._updated_until_s
        self._latest_drain_by_version = {
            version: drain
            for version, drain in self._latest_drain_by_version.items()
            if drain.began_s + UPDATE_WINDOW_S > now_s
        }
        self._updated_until_s = {
            version: drain.began_s + UPDATE_WINDOW_S
            for version, drain in self._latest_drain_by_version.items()
            if newest.get(version.service, version) != version
        }
        for version in sorted(self._updated_until_s.keys() - earlier.keys()):
            self._log(
                "rolling update inferred",
                service=version.service,
                version=version.version,
                newer=newest[version.service].version,
                workers=sum(
                    self.is_expected(worker)
                    for worker in self._workers_by_incarnation.values()
                ),
            )

    def _newest_versions(self) -> dict[str, VersionKey]:
        """Returns the version of the latest start of a worker, by service.

        The text of a version doesn't tell which one is newer.
        """
        incarnations = sorted(
            (
                worker.incarnation
                for worker in self._workers_by_incarnation.values()
                if worker.incarnation is not None and worker.incarnation.version
            ),
            key=lambda incarnation: incarnation.key.started_ms,
        )
        return {
            incarnation.service: _version_of(incarnation)
            for incarnation in incarnations
        }

    def _note_short_notice(
        self, incarnation: runs.WorkerIncarnation, notice_s: float | None
    ) -> None:
        now_s = self._clock.monotonic()
        centre = incarnation.data_centre
        self._notice_s_by_rack[RackKey(centre, incarnation.rack)] = now_s
        self._notice_s_by_data_centre[centre] = now_s
        self._log(
            "short termination notice",
            worker=incarnation.key.worker,
            data_centre=centre,
            rack=incarnation.rack,
            notice_s=notice_s,
        )

    def _notice_cost(self, worker: fleet.TrackedWorker) -> float:
        incarnation = worker.incarnation
        if incarnation is None:
            return 0.0
        centre = incarnation.data_centre
        since_s = self._clock.monotonic() - AVOIDED_AFTER_NOTICE_S
        rack_s = self._notice_s_by_rack.get(RackKey(centre, incarnation.rack))
        if rack_s is not None and rack_s > since_s:
            return NOTICE_IN_RACK_COST
        centre_s = self._notice_s_by_data_centre.get(centre)
        if centre_s is not None and centre_s > since_s:
            return NOTICE_IN_DATA_CENTRE_COST
        return 0.0


def _version_of(incarnation: runs.WorkerIncarnation) -> VersionKey:
    return VersionKey(incarnation.service, incarnation.version)


def _is_long(demand: placement.Demand) -> bool:
    """Returns whether the work is long and saves no checkpoints."""
    return not demand.step.checkpointing and (
        demand.step.long_running or demand.expected_s >= LONG_WORK_S
    )
