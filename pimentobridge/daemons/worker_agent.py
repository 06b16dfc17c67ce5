"""Agent beside a worker: carries out orders, renews its lease and reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import engine
from pimentobridge.daemons import containment
from pimentobridge.daemons import document_source
from pimentobridge.daemons import logs
from pimentobridge.daemons import report_route
from pimentobridge.daemons import run_orders
from pimentobridge.daemons import started_runs
from pimentobridge.daemons import worker_announcements
from pimentobridge.daemons import worker_contact
from pimentobridge.daemons import worker_view
from pimentobridge.platform import operator_configuration
from pimentobridge.platform import runner as runner_lib
from pimentobridge.platform import runner_status
from pimentobridge.protocol import control
from pimentobridge.protocol import documents

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.platform import boot_settings
    from pimentobridge.platform import heartbeats
    from pimentobridge.platform import kv_store
    from pimentobridge.protocol import transport

REPORT_INTERVAL_S = 0.5
POLL_WAIT_S = 0.5
FINISH_CHECK_INTERVAL_S = 0.05


class WorkerAgent:
    """Serves one worker on its machine.

    Args:
        settings: this process's settings.
        endpoint: transport to the scheduler.
        runner: client of the worker's interface for starts, stops and polls.
        store: the platform's store, where the agent reads the configuration
            for entries with slow links.
        clock: source of time; its monotonic time must include time in which
            the machine was suspended.
        entries: addresses of entries, which forward reports to the scheduler;
            orders replace them.
        nonce: unique to this process.

    Attributes:
        token: highest fencing token in the orders so far.
        worker: what the worker says of itself; None while it isn't known.
        view: what is known of the present incarnation of the worker.
    """

    def __init__(
        self,
        *,
        settings: boot_settings.ProcessSettings,
        endpoint: transport.Endpoint,
        runner: runner_lib.Runner,
        store: kv_store.KvStore,
        clock: clock_lib.Clock,
        entries: tuple[types.Address, ...],
        nonce: str,
    ) -> None:
        self._settings = settings
        self._process = nonce
        self._endpoint = endpoint
        self._runner = runner
        self._clock = clock
        self._reports = report_route.ReportRoute(
            endpoint=endpoint, entries=entries
        )
        self._configuration_source = document_source.DocumentSource(
            key=operator_configuration.KEY,
            store=store,
            endpoint=endpoint,
            clock=clock,
        )
        self._report_needed = trio.Event()
        self._poll_needed = trio.Event()
        self.token = 0
        # Sending time of the newest report that orders answered; 0 for none.
        self._answered_s = 0.0
        # Runs that the newest orders ask to start.
        self._starts: frozenset[runs.RunKey] = frozenset()
        # When a worker was last found to have ended; 0 if never. Orders that
        # answer an earlier report may name runs that have moved since.
        self._end_found_s = 0.0
        self.worker: runs.WorkerIncarnation | None = None
        self._announcements = worker_announcements.WorkerAnnouncements(
            runner=runner,
            token=lambda: self.token,
            on_confirmed=self._on_confirmed,
        )
        self._started_runs = started_runs.StartedRuns()
        self._orders = run_orders.RunOrders(
            self, runner=runner, clock=clock, started=self._started_runs
        )
        # Sequence number of the worker's newest heartbeat.
        self._sequence = 0
        self._state = runs.AgentState.SERVING
        self.view = self._new_view()

    def _new_view(self) -> worker_view.WorkerView:
        return worker_view.WorkerView(self._settings.max_lease_s)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._orders.run)
            nursery.start_soon(self._receive_messages)
            nursery.start_soon(self._configuration_source.run)
            nursery.start_soon(self._report_forever)
            nursery.start_soon(self._poll_forever)
            nursery.start_soon(self._announcements.run)

    def gauges(self) -> dict[str, float]:
        """Returns this agent's gauges by metric name."""
        worker = self.worker
        return {
            "worker_known": float(worker is not None),
            "worker_draining": float(worker is not None and worker.draining),
            "may_act": float(self.may_act()),
            "orders_age_seconds": self._clock.monotonic() - self._answered_s,
            "running_tasks": len(self.view.running),
            "supplies_configuration": float(self.supplies_configuration),
            "unrecorded_ends": len(self.view.ended),
            "log_lines_left_out_total": logs.dropped_lines(),
        }

    @property
    def supplies_configuration(self) -> bool:
        """Whether entries get the configuration from this agent."""
        return self._configuration_source.server.in_use

    def announce_shutdown(self) -> None:
        """Tells the scheduler and the entries that this agent is stopping.

        The worker gets no new tasks from then on, and entries get the
        configuration from another source.
        """
        self._state = runs.AgentState.STOPPING
        self.wake_report()
        self._configuration_source.server.announce_shutdown()

    async def finish_runs(self, timeout_s: float) -> None:
        """Waits for the runs that are about to end, and for their records.

        Nobody reads the end of a run that the worker executes while it has no
        agent, and this machine may be removed for good. Returns at once if no
        run is expected to end within the timeout.

        Args:
            timeout_s: longest wait, in seconds.
        """
        until_s = self._clock.monotonic() + timeout_s
        while self.may_act() and self._clock.monotonic() < until_s:
            about_to_end = self.view.expected_ends.any_by(
                until_s, self._clock.monotonic()
            )
            if not about_to_end and not self.view.has_unacknowledged_ends:
                return
            await trio.sleep(FINISH_CHECK_INTERVAL_S)

    # Heartbeats of the worker, and its deregistration.

    def on_heartbeat(self, heartbeat: heartbeats.Heartbeat) -> None:
        """Processes a heartbeat, which may be late or another writer's.

        One that names another incarnation than the present one changes nothing
        until the runner has confirmed that it is that incarnation.
        """
        current = self.worker
        key = heartbeat.incarnation.key
        if current is not None and key == current.key:
            self._update_worker(current, heartbeat)
        else:
            self._announcements.add(heartbeat)

    def _update_worker(
        self, current: runs.WorkerIncarnation, heartbeat: heartbeats.Heartbeat
    ) -> None:
        if heartbeat.sequence <= self._sequence:
            return
        if heartbeat.incarnation.service != current.service:
            logs.event(
                "heartbeat of another writer",
                worker=current.key.worker,
                service=heartbeat.incarnation.service,
                expected=current.service,
            )
            return
        self._sequence = heartbeat.sequence
        if heartbeat.incarnation != current:
            self.worker = heartbeat.incarnation
            self.wake_poll()
            self.wake_report()

    def _on_confirmed(self, heartbeat: heartbeats.Heartbeat) -> None:
        """Takes an incarnation that the runner has confirmed for its own.

        The runner is asked about one incarnation after the other, so that the
        latest that it has confirmed is the present one. The time of day at
        which it started may be earlier than that of the one before.
        """
        current = self.worker
        key = heartbeat.incarnation.key
        logs.event(
            "worker announced",
            worker=key.worker,
            born_ms=key.started_ms,
            earlier=current.key.worker if current else None,
        )
        self._note_end_of_incarnation()
        self.view = self._new_view()
        self._starts = frozenset()
        self._sequence = heartbeat.sequence
        self.worker = heartbeat.incarnation
        self._orders.start_refusing_late_starts(key)
        self.wake_poll()
        self.wake_report()

    def _note_end_of_incarnation(self) -> None:
        if self.worker is not None:
            self._started_runs.on_ended(
                self.worker.key,
                (task.key for task in self.view.running),
                crashed=not self.worker.draining
                and not self.view.contact.deregistered
                and not self.view.contact.silent,
            )

    def on_deregistered(self, worker: str) -> None:
        """Notes that the worker has announced that it is shutting down.

        A deregistration names no incarnation and may be late or another
        writer's. It counts only if the worker has said before that it drains.
        """
        current = self.worker
        if current is None or current.key.worker != worker:
            return
        self.view.contact.deregistered = current.draining
        logs.event(
            "worker deregistered",
            worker=worker,
            born_ms=current.key.started_ms,
            outcome="noted" if current.draining else "not draining",
        )

    # Orders of the scheduler.

    async def _receive_messages(self) -> None:
        while True:
            envelope = await self._endpoint.receive()
            with containment.contained(
                "handling a message",
                type=type(envelope.message).__name__,
                sender=envelope.sender,
            ):
                self._handle(envelope)

    def _handle(self, envelope: transport.Envelope) -> None:
        message = envelope.message
        if isinstance(message, control.WorkerOrders):
            self._on_orders(message)
        elif isinstance(message, documents.DocumentQuery):
            self._configuration_source.server.on_query(envelope.sender, message)

    def _on_orders(self, orders: control.WorkerOrders) -> None:
        if orders.token < self.token:
            return
        if orders.token > self.token:
            logs.event(
                "scheduler known",
                scheduler=orders.scheduler,
                token=orders.token,
            )
            self.token = orders.token
            self._starts = frozenset()
            self._answered_s = 0.0
            self.wake_poll()
            self.wake_report()
        if self._reports.scheduler != orders.scheduler:
            self._reports.scheduler = orders.scheduler
            self.wake_report()
        if orders.entries:
            self._reports.entries = orders.entries
        if orders.echo_s and orders.process != self._process:
            # They answer a report of the agent that ran here before.
            return
        if orders.echo_s < self._answered_s or orders.echo_s == 0.0:
            if orders.echo_s == 0.0:
                self.wake_report()
            return
        self._answered_s = orders.echo_s
        instructions = orders.worker
        if instructions is None or not self.may_act():
            return
        if (
            not self.is_current(instructions.incarnation)
            or orders.echo_s <= self._end_found_s
        ):
            return
        starts = instructions.all_starts
        self._starts = frozenset(start.key for start in starts)
        if instructions.acknowledged_end > self.view.acknowledged_end:
            self.view.acknowledged_end = instructions.acknowledged_end
            self.wake_poll()
        self._orders.act_on(instructions, starts)

    def may_act(self) -> bool:
        """Whether the newest orders are still valid.

        Their age counts from the report that they answer.
        """
        if self._state is runs.AgentState.STOPPED:
            return False
        age_s = self._clock.monotonic() - self._answered_s
        return self._answered_s > 0 and age_s < engine.ORDER_VALIDITY_S

    def lease_until_s(self) -> float:
        """Returns the end of the longest lease that the orders allow.

        The process may have been paused since it found them valid.
        """
        valid_until_s = self._answered_s + engine.ORDER_VALIDITY_S
        return self.view.lease_until_s(
            min(self._clock.monotonic(), valid_until_s)
        )

    def wants_start(
        self, incarnation: runs.IncarnationKey, key: runs.RunKey
    ) -> bool:
        """Whether valid orders ask an incarnation to start a run."""
        return (
            self.may_act()
            and self.is_current(incarnation)
            and not self.view.contact.presumed_ended
            and key in self._starts
        )

    def is_current(self, incarnation: runs.IncarnationKey) -> bool:
        """Whether an incarnation of the worker is the present one."""
        return self.worker is not None and self.worker.key == incarnation

    def wake_report(self) -> None:
        """Has a report sent at once."""
        self._report_needed.set()

    def wake_poll(self) -> None:
        """Has the worker polled at once."""
        self._poll_needed.set()

    # Polls of the worker, and its lease.

    async def _poll_forever(self) -> None:
        while True:
            with containment.contained("polling the worker") as error:
                await self._poll_and_wait()
            if error.occurred:
                await trio.sleep(worker_contact.POLL_RETRY_PAUSE_S)

    async def _poll_and_wait(self) -> None:
        """Polls the worker, if it is known, and waits until the next poll."""
        if self.worker is None:
            await self._wait_for_poll(POLL_WAIT_S)
            return
        unacknowledged = self.view.has_unacknowledged_ends
        wait_s = (
            0.0 if unacknowledged or not self.view.has_polled else POLL_WAIT_S
        )
        if not await self.poll(wait_s):
            await trio.sleep(worker_contact.POLL_RETRY_PAUSE_S)
            self._detect_end()
        elif unacknowledged:
            await self._wait_for_poll(worker_contact.POLL_RETRY_PAUSE_S)

    async def _wait_for_poll(self, timeout_s: float) -> None:
        with trio.move_on_after(timeout_s):
            await self._poll_needed.wait()
        self._poll_needed = trio.Event()

    async def poll(self, wait_s: float) -> bool:
        """Gets the runs from the worker, and renews its lease if allowed.

        Args:
            wait_s: how long the worker may wait for a change.

        Returns:
            Whether the current incarnation of the worker answered.
        """
        if self.worker is None:
            return False
        incarnation = self.worker.key
        renew = self.may_act() and self.view.has_polled
        sent_s = self._clock.monotonic()
        response = await self._runner.poll(
            incarnation,
            token=self.token,
            acknowledged_end=self.view.acknowledged_end,
            lease_until_s=self.lease_until_s() if renew else None,
            wait_s=wait_s,
        )
        if not self.is_current(incarnation):
            return False
        refused = response is runner_status.PollFailure.REFUSED
        unreachable = response is runner_status.PollFailure.UNREACHABLE
        if not refused and not unreachable:
            self.view.contact.on_possible_arrival()
        if response is runner_status.PollFailure.TIMED_OUT:
            self.view.contact.on_timeout()
        if isinstance(response, runner_status.PollFailure):
            logs.event(
                "look failed",
                worker=incarnation.worker,
                born_ms=incarnation.started_ms,
                why=response.value,
            )
            if (refused or unreachable) and (
                self.view.contact.on_unreachable(refused=refused)
            ):
                self.wake_report()
            return False
        if self.view.is_outdated(response, sent_s=sent_s):
            return True
        self._apply_status(response, sent_s)
        return True

    def _detect_end(self) -> None:
        """Reports the worker as ended once its lease must be over."""
        if self.worker is None or not self.view.contact.on_retry_pause():
            return
        logs.event(
            "worker gone",
            worker=self.worker.key.worker,
            unreachable_polls=self.view.contact.unreachable_polls,
        )
        self._starts = frozenset()
        self._end_found_s = self._clock.monotonic()
        self._note_end_of_incarnation()
        self.wake_report()

    def _apply_status(
        self, status: runner_status.RunnerStatus, sent_s: float
    ) -> None:
        self._started_runs.on_over(end.key for end in status.ended)
        self._started_runs.on_over(self.view.runs_missing_in(status))
        if self.view.apply(status, self._clock.monotonic(), sent_s=sent_s):
            self.wake_report()

    # Reports to the scheduler.

    async def _report_forever(self) -> None:
        while True:
            self._report()
            with trio.move_on_after(REPORT_INTERVAL_S):
                await self._report_needed.wait()
            self._report_needed = trio.Event()

    def _report(self) -> None:
        observation = None
        if (
            self.worker is not None
            and self.view.has_polled
            and not self.view.may_start_late
        ):
            observation = self.view.observation(
                self.worker,
                crashes=self._started_runs.crashes,
                agent_state=self._state,
            )
        now_s = self._clock.monotonic()
        report = control.WorkerReport(
            agent=self._endpoint.address,
            process=self._process,
            token=self.token,
            sent_s=now_s,
            answered_s=self._answered_s,
            worker=observation,
        )
        self._reports.send(report)

    async def leave(self) -> None:
        """Renews the lease to its maximum for the last time, and says so."""
        if self.worker is not None and self.may_act():
            await self.poll(0.0)
        self._state = runs.AgentState.STOPPED
        self._report()
