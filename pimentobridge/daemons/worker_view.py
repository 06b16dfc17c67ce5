"""What an agent knows of the present incarnation of its worker."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import engine
from pimentobridge.daemons import closed_runs
from pimentobridge.daemons import expected_ends
from pimentobridge.daemons import worker_contact

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from pimentobridge.platform import runner_status


class WorkerView:
    """Lists of runs that the worker or its answers to orders have shown.

    Args:
        max_lease_s: longest lease that the worker may hold, in seconds.

    Attributes:
        running: runs that it listed last as running.
        ended: ends that it listed last and the scheduler hasn't acknowledged.
        lists_all_ends: whether it listed all ends last. Otherwise, a run that
            isn't listed may have ended.
        refused: runs that it will never start.
        may_start_late: runs of the incarnation before that it may start or be
            stopping; nothing is reported of it before there are none.
        stop_confirmed: runs that it has stopped and will never start.
        closed_runs: runs that it has refused or stopped, until a later list
            shows whether they have ended.
        orders_in_progress: kind and run of the orders being carried out.
        acknowledged_end: number up to which the scheduler has acknowledged the
            ends of runs.
        has_polled: whether it has answered a poll.
        percent_by_run: share of their work that runs may do, as the worker has
            answered to orders.
        expected_ends: when its runs are expected to end.
        contact: whether it can be reached.
    """

    def __init__(self, max_lease_s: float) -> None:
        self._max_lease_s = max_lease_s
        self.running: tuple[runs.RunningTask, ...] = ()
        self.ended: tuple[runs.EndedRun, ...] = ()
        self.lists_all_ends = True
        self.refused: set[runs.RunKey] = set()
        self.may_start_late: set[runs.RunKey] = set()
        self.stop_confirmed: set[runs.RunKey] = set()
        self.closed_runs = closed_runs.ClosedRuns()
        self.orders_in_progress: set[tuple[str, runs.RunKey]] = set()
        self.percent_by_run: dict[runs.RunKey, int] = {}
        self.acknowledged_end = 0
        self.has_polled = False
        self.expected_ends = expected_ends.ExpectedEnds()
        self.contact = worker_contact.WorkerContact(max_lease_s)
        # The worker's clock in its newest answer to a poll, and the agent's
        # when the answer arrived.
        self._clock_s = 0.0
        self._clock_read_s = 0.0
        # When the poll with the newest answer was sent.
        self._sent_s = 0.0

    def lease_until_s(self, now_s: float) -> float:
        """Returns the end of the longest lease, on the worker's clock.

        A call may be carried out late, and the worker shortens a lease only to
        its maximum from then on. So the end must not be later than the maximum
        from now on, also if its clock is slow.
        """
        passed_s = (now_s - self._clock_read_s) * (1 - engine.CLOCK_RATE_ERROR)
        return self._clock_s + passed_s + self._max_lease_s

    @property
    def has_unacknowledged_ends(self) -> bool:
        """Whether there is an end that the scheduler hasn't acknowledged."""
        return not self.lists_all_ends or any(
            end.number > self.acknowledged_end for end in self.ended
        )

    def keep_answers_to(self, ordered: AbstractSet[runs.RunKey]) -> None:
        """Forgets refusals and stops of runs that no order names any more."""
        self.refused &= ordered
        self.stop_confirmed &= ordered
        self.closed_runs.keep(ordered)

    def is_running(self, run: runs.RunKey) -> bool:
        """Whether the newest list shows a run."""
        return any(task.key == run for task in self.running)

    def runs_missing_in(
        self, status: runner_status.RunnerStatus
    ) -> set[runs.RunKey]:
        """Returns the runs that have ended since the newest list.

        A later list may leave their ends out, but shows all that is running.
        """
        return {task.key for task in self.running} - {
            task.key for task in status.running
        }

    def is_outdated(
        self, status: runner_status.RunnerStatus, *, sent_s: float
    ) -> bool:
        """Whether a newer answer has arrived before this one.

        Of two answers at the same time on the worker's clock, the one to the
        later poll counts as newer. It shows all that was done before that poll.

        Args:
            status: the answer.
            sent_s: monotonic time at which the poll was sent, in seconds.
        """
        return (status.clock_s, sent_s) < (self._clock_s, self._sent_s)

    def apply(
        self,
        status: runner_status.RunnerStatus,
        now_s: float,
        *,
        sent_s: float,
    ) -> bool:
        """Takes the newest answer to a poll.

        Args:
            status: the answer.
            now_s: current monotonic time, in seconds.
            sent_s: monotonic time at which the poll was sent, in seconds.

        Returns:
            Whether it shows anything that the scheduler should know at once.
        """
        self._clock_s, self._clock_read_s = status.clock_s, now_s
        self._sent_s = sent_s
        self.has_polled = True
        regained = self.contact.on_answer()
        ended = tuple(
            end for end in status.ended if end.number > self.acknowledged_end
        )
        changed = ended != self.ended or (
            {task.key for task in status.running}
            != {task.key for task in self.running}
        )
        self.running, self.ended = status.running, ended
        self.lists_all_ends = status.lists_all_ends
        listed = {task.key for task in status.running}
        changed |= self._report_closed_runs(listed, sent_s)
        self.percent_by_run = {
            key: percent
            for key, percent in self.percent_by_run.items()
            if key in listed
        }
        self.expected_ends.on_running(status.running, now_s)
        return regained or changed

    def _report_closed_runs(
        self, listed: AbstractSet[runs.RunKey], sent_s: float
    ) -> bool:
        """Reports refused and stopped runs of which all is known by now.

        Args:
            listed: the runs that the newest list shows as running.
            sent_s: monotonic time at which it was asked for, in seconds.

        Returns:
            Whether there are any.
        """
        if not self.lists_all_ends:
            return False
        refused, stopped = self.closed_runs.take_before(sent_s, listed)
        self.refused |= refused
        self.stop_confirmed |= stopped
        return bool(refused or stopped)

    def observation(
        self,
        incarnation: runs.WorkerIncarnation,
        *,
        crashes: tuple[runs.Crash, ...],
        agent_state: runs.AgentState,
    ) -> runs.Observation:
        """Returns the report on the worker.

        Args:
            incarnation: what it says of itself.
            crashes: incarnations on the machine that ended without notice.
            agent_state: what the agent says of itself.
        """
        return runs.Observation(
            incarnation=incarnation,
            # Runs without a figure are encoded without one.
            running=cast("tuple[runs.MeasuredTask, ...]", self.running),
            ended=self.ended,
            refused=tuple(self.refused),
            stop_confirmed=tuple(self.stop_confirmed),
            terminated=self.contact.ended,
            crashes=crashes,
            reachable=self.contact.reachable,
            agent_state=agent_state,
        )
