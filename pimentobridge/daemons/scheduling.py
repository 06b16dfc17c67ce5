"""The scheduler, run by the entry that holds the leader's key."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import engine as engine_lib
from pimentobridge.core.scheduling import occurrences
from pimentobridge.core.scheduling import orders
from pimentobridge.core.scheduling import planner as planner_lib
from pimentobridge.core.scheduling import shares
from pimentobridge.core.scheduling import stalls
from pimentobridge.daemons import advice as advice_lib
from pimentobridge.daemons import agent_link
from pimentobridge.daemons import containment
from pimentobridge.daemons import fleet_record
from pimentobridge.daemons import job_items
from pimentobridge.daemons import keys
from pimentobridge.daemons import logs
from pimentobridge.daemons import recorder as recorder_lib
from pimentobridge.daemons import retention
from pimentobridge.protocol import control

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.core.jobs import configuration
    from pimentobridge.core.jobs import model
    from pimentobridge.daemons import leadership as leadership_lib
    from pimentobridge.daemons import stored_jobs as stored_jobs_lib
    from pimentobridge.platform import advice as advice_service
    from pimentobridge.platform import boot_settings
    from pimentobridge.platform import kv_store
    from pimentobridge.protocol import transport

STEP_INTERVAL_S = 0.1
# Orders are sent again to an agent that hasn't reported for this long. After a
# few attempts without a report the connection is replaced.
RESEND_INTERVAL_S = 0.3
RECONNECT_AFTER_S = 1.2
# A term that is given up because of an error lasts at least this long.
MIN_TERM_S = 10.0
# Time after an unexpected error until a background activity runs again.
ERROR_PAUSE_S = 1.0


class Scheduler:
    """Schedules for one term, from acquiring the leader's key to losing it.

    Args:
        endpoint: transport that sends the orders.
        address: this entry's address, to which agents report.
        clock: source of time.
        store: the platform's store.
        leadership: shows whether this entry still holds the leader's key.
        settings: this process's settings.
        entries: returns the addresses of all entries.
        items_by_key: the store's items at the start of the term.
        policy_service: decides which workers may run a step; None if the
            settings name none.
        stored_jobs: knows the tombstones in the store.
    """

    def __init__(
        self,
        *,
        endpoint: transport.Outbox,
        address: types.Address,
        clock: clock_lib.Clock,
        store: kv_store.KvStore,
        leadership: leadership_lib.Leadership,
        settings: boot_settings.ProcessSettings,
        entries: Callable[[], tuple[types.Address, ...]],
        items_by_key: Mapping[str, kv_store.Item],
        policy_service: advice_service.AdviceService | None,
        stored_jobs: stored_jobs_lib.StoredJobs,
    ) -> None:
        if leadership.token is None:
            raise RuntimeError(
                "this entry doesn't hold the leader's key; acquire it before"
                " creating a scheduler."
            )
        self.token = leadership.token
        self._endpoint = endpoint
        self._address = address
        self._clock = clock
        self._leadership = leadership
        self._settings = settings
        self._entries = entries
        self._started_s = clock.monotonic()
        self._wake = trio.Event()
        self._links_by_agent: dict[types.Address, agent_link.AgentLink] = {}
        self.engine = engine_lib.Engine(
            clock=clock, max_lease_s=settings.max_lease_s, log=logs.event
        )
        self._planner = planner_lib.Planner(
            self.engine,
            clock=clock,
            log=logs.event,
            contain=containment.contained,
            remote_factor=settings.remote_factor,
        )
        self._stalls = stalls.StallDetector(
            self.engine, clock=clock, log=logs.event
        )
        self.recorder = recorder_lib.Recorder(
            store=store,
            engine=self.engine,
            token=self.token,
            max_value_bytes=settings.max_value_bytes,
            on_recorded=self._send_changed_orders,
            on_key_lost=lambda: leadership.step_down(
                "this entry no longer holds the key"
            ),
        )
        self._adviser = advice_lib.Adviser(
            engine=self.engine,
            service=policy_service,
            clock=clock,
            on_answer=lambda: self._wake.set(),
        )
        self._retention = retention.Retention(
            store=store,
            engine=self.engine,
            stored_jobs=stored_jobs,
            token=self.token,
            status_s=settings.status_s,
            clock=clock,
        )

        self._fleet_record = fleet_record.FleetRecord(
            store=store,
            engine=self.engine,
            token=self.token,
            items_by_key=items_by_key,
            clock=clock,
        )

    async def run(self) -> None:
        """Runs scheduling steps until cancelled.

        An unexpected error in one activity ends no other. Returns some time
        after one that may have left the state incomplete, so that a new term
        reads it again.
        """
        async with trio.open_nursery() as nursery:
            for activity, function in (
                ("recording progress", self.recorder.run),
                ("deleting expired jobs", self._retention.run),
                ("asking for advice", self._adviser.run),
                ("recording the fleet", self._fleet_record.run),
            ):
                nursery.start_soon(self._run_again, activity, function)
            while True:
                started_s = trio.current_time()
                wait_s = STEP_INTERVAL_S
                if self._must_give_up:
                    logs.event(
                        "scheduling given up",
                        token=self.token,
                        why="its state may be incomplete after an error",
                    )
                    nursery.cancel_scope.cancel()
                    return
                if self._leadership.is_leader:
                    self._run_step()
                    wait_s = min(wait_s, self.engine.passes.time_to_due_s)
                # At least half of the time is left for messages and calls.
                await trio.sleep(trio.current_time() - started_s)
                with trio.move_on_after(wait_s):
                    await self._wake.wait()
                self._wake = trio.Event()

    async def _run_again(
        self, activity: str, function: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs a background activity, and again after an unexpected error."""
        while True:
            with containment.contained(activity, token=self.token) as error:
                await function()
            if not error.occurred:
                return
            await trio.sleep(ERROR_PAUSE_S)

    @property
    def _must_give_up(self) -> bool:
        """Whether to begin a new term, which reads all state again.

        An error that each term meets again must not end every term at once:
        leases, for example, expire only in a term that lasts longer.
        """
        age_s = self._clock.monotonic() - self._started_s
        return self.engine.incomplete and age_s >= MIN_TERM_S

    def put_job(
        self,
        job: model.Job,
        progress: progress_lib.Progress | None = None,
        *,
        revision: int = 0,
    ) -> None:
        """Adds a submission read from the store, and its progress if any.

        Args:
            job: the submission.
            progress: its recorded progress; None if there is no record.
            revision: store revision of the record; 0 if there is none.
        """
        self.engine.put_job(job, progress, revision=revision)
        self._wake.set()

    def set_configuration(
        self, document: configuration.JobConfiguration
    ) -> None:
        """Applies a newer configuration."""
        self._warn_of_missing_advice_service(document)
        self.engine.configuration = document
        self.engine.needs_pass = True
        self._wake.set()

    def set_evacuations(
        self, revision_by_data_centre: Mapping[types.DataCentreName, int]
    ) -> None:
        """Applies the operator's evacuations, and sends the orders they need.

        Args:
            revision_by_data_centre: the evacuated data centres, with the
                store's revision of each request.
        """
        self.engine.set_evacuations(revision_by_data_centre)
        self._wake.set()

    def _warn_of_missing_advice_service(
        self, document: configuration.JobConfiguration
    ) -> None:
        if self._settings.advice:
            return
        for queue in document.queues_by_name.values():
            if queue.advice is not None:
                logs.event(
                    "queue can't start",
                    queue=queue.name,
                    version=document.version,
                    why="it has an advice policy; the setting advice is empty",
                )

    def add_agent(self, agent: types.Address) -> None:
        """Starts sending orders to an agent, unless it has started already."""
        if agent not in self._links_by_agent:
            self._links_by_agent[agent] = agent_link.AgentLink(
                self._clock.monotonic()
            )
            self._wake.set()

    def add_agent_of(self, key: str) -> None:
        """Starts sending orders to the agent that announced a key."""
        agent = keys.address_of(key)
        if agent is not None:
            self.add_agent(agent)

    def on_report(self, report: control.WorkerReport) -> None:
        """Processes an agent's report and answers with orders.

        Reports older than the newest one are ignored. An agent that obeys a
        higher fencing token has a newer scheduler and gets no answer. Nothing
        that an unproven process says of its worker is believed.
        """
        self.add_agent(report.agent)
        link = self._links_by_agent[report.agent]
        if not link.is_newer(report):
            return
        if report.token > self.token:
            logs.event(
                "agent obeys a newer scheduler",
                agent=report.agent,
                token=report.token,
            )
            return
        if link.is_unproven(report, self.token):
            self._answer_unproven(report, link)
            return
        link.on_report(report, self._clock.monotonic())
        self._reconnect_if_unanswered(report, link)
        if report.worker is not None and report.token == self.token:
            self.engine.observe(report.agent, report.worker)
        else:
            self.engine.on_answered(report.agent)
        self._send_orders(report.agent, link)
        if self.engine.needs_pass or self.engine.dirty_by_id:
            self._wake.set()

    def _answer_unproven(
        self, report: control.WorkerReport, link: agent_link.AgentLink
    ) -> None:
        """Sends orders that only the process that sent the report accepts."""
        if not self._leadership.is_leader:
            return
        link.on_unproven(report, self._clock.monotonic())
        self._reconnect_if_unanswered(report, link)
        self.engine.on_answered(report.agent)
        self._send(
            report.agent,
            process=report.process,
            echo_s=report.sent_s,
            instructions=None,
        )

    def _reconnect_if_unanswered(
        self, report: control.WorkerReport, link: agent_link.AgentLink
    ) -> None:
        """Replaces the connection if the orders don't reach the agent.

        The agent's report shows that: the newest of its reports that got an
        answer was sent much earlier than this one.
        """
        now_s = self._clock.monotonic()
        if (
            report.sent_s - report.answered_s > RECONNECT_AFTER_S
            and now_s - link.reconnected_s > RECONNECT_AFTER_S
        ):
            link.reconnected_s = now_s
            self._endpoint.reset(report.agent)
            logs.event("connection replaced", agent=report.agent)

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the schedule, by metric name."""
        engine = self.engine
        states = collections.Counter(
            tracked.state for tracked in engine.jobs_by_id.values()
        )
        registered = [
            worker
            for worker in engine.workers_by_incarnation.values()
            if worker.incarnation is not None
        ]
        now_s = self._clock.monotonic()
        return {
            **{
                f"jobs_{state.value}": states[state]
                for state in progress_lib.JobState
            },
            "workers": len(registered),
            "workers_taking_tasks": sum(
                worker.takes_tasks(now_s) for worker in registered
            ),
            "runs": sum(len(worker.entries_by_key) for worker in registered),
            "unrecorded_jobs": len(engine.dirty_by_id),
            **engine.departures.gauges(),
            **engine.migration.gauges(),
            **engine.lost_work.gauges(),
            **engine.speeds.gauges(),
            **engine.interference.gauges(),
            **engine.throttling.gauges(),
            **engine.durations.gauges(),
            **self._planner.gauges(),
            **engine.backfill.gauges(),
            **shares.Shares(engine.workers_by_incarnation.values()).gauges(),
            **engine.evacuations.gauges(),
        }

    def pending_by_queue(self) -> dict[str, int]:
        """Returns the number of jobs in each queue that haven't started."""
        counts: dict[str, int] = {}
        for tracked in self.engine.jobs_by_id.values():
            if tracked.state is progress_lib.JobState.QUEUED:
                name = tracked.job.queue.name
                counts[name] = counts.get(name, 0) + 1
        return counts

    def _run_step(self) -> None:
        for activity, function in (
            ("finding lost workers", self.engine.declare_lost),
            ("opening occurrences", self._open_occurrences),
            ("finding workers", self.engine.detect_placeable_changes),
            ("recording checkpoints", self.engine.record_checkpoints),
            ("finding stalled runs", self._stalls.run),
            ("finding evacuations", self.engine.log_unmatched_evacuations),
            ("placing units", self._place_units),
            ("recording changes", self._wake_recorder),
            ("sending changed orders", self._send_changed_orders),
            ("sending orders again", self._resend_to_silent_agents),
        ):
            with containment.contained(activity, token=self.token) as error:
                function()
            self.engine.incomplete |= error.occurred

    def _open_occurrences(self) -> None:
        occurrences.open_due(
            self.engine,
            early_s=self._settings.early_s,
            clock=self._clock,
            max_record_bytes=self._settings.max_value_bytes,
        )

    def _place_units(self) -> None:
        """Runs a scheduling pass if one is due."""
        self.engine.request_due_pass()
        if self.engine.needs_pass:
            self._planner.run()

    def _wake_recorder(self) -> None:
        if self.engine.dirty_by_id:
            self.recorder.wake()

    def _send_changed_orders(self) -> None:
        for agent, link in self._links_by_agent.items():
            instructions = self._instructions_for(agent)
            if (
                instructions is not None
                and instructions != link.sent_instructions
            ):
                self._send_orders(agent, link)

    def _resend_to_silent_agents(self) -> None:
        now_s = self._clock.monotonic()
        for agent, link in self._links_by_agent.items():
            if link.resent_s and (
                now_s - max(link.report_received_s, link.resent_s)
                < RESEND_INTERVAL_S
            ):
                continue
            silence_s = now_s - max(link.report_received_s, link.reconnected_s)
            if silence_s > RECONNECT_AFTER_S:
                link.reconnected_s = now_s
                self._endpoint.reset(agent)
            link.resent_s = now_s
            self._send_orders(agent, link)

    def _instructions_for(
        self, agent: types.Address
    ) -> runs.Instructions | None:
        incarnation = self.engine.incarnation_by_agent.get(agent)
        worker = (
            self.engine.workers_by_incarnation.get(incarnation)
            if incarnation
            else None
        )
        if worker is None:
            return None
        return orders.instructions_for(worker, self.engine.jobs_by_id)

    def _send_orders(
        self, agent: types.Address, link: agent_link.AgentLink
    ) -> None:
        if not self._leadership.is_leader:
            return
        link.sent_instructions = self._instructions_for(agent)
        self._send(
            agent,
            process=link.process,
            echo_s=link.echo_s,
            instructions=link.sent_instructions,
        )

    def _send(
        self,
        agent: types.Address,
        *,
        process: str,
        echo_s: float,
        instructions: runs.Instructions | None,
    ) -> None:
        self._endpoint.send(
            agent,
            control.WorkerOrders(
                scheduler=self._address,
                token=self.token,
                process=process,
                echo_s=echo_s,
                worker=instructions,
                entries=self._entries(),
            ),
        )


def load_snapshot(
    scheduler: Scheduler, items: dict[str, kv_store.Item]
) -> None:
    """Adds the agents and jobs in a snapshot of the store to a scheduler.

    Args:
        scheduler: a new scheduler.
        items: the store's items by key.
    """
    for key, item in items.items():
        if item.value is None:
            continue
        if key.startswith(keys.AGENTS):
            scheduler.add_agent_of(key)
        elif key.startswith(keys.JOBS):
            with containment.contained("loading a job", key=key):
                load_job(scheduler, item, items)


def load_job(
    scheduler: Scheduler,
    item: kv_store.Item,
    items_by_key: Mapping[str, kv_store.Item],
) -> None:
    """Adds the job in an item to a scheduler, unless a record is unreadable.

    A job whose progress can't be read may have run, so it isn't started.

    Args:
        scheduler: the scheduler.
        item: the item of a submission.
        items_by_key: the store's items, among them the job's progress.
    """
    job = job_items.read_job(item)
    if job is None:
        return
    recorded = job_items.read_progress(items_by_key, job)
    if recorded is None:
        return
    progress, revision = recorded
    scheduler.put_job(job, progress, revision=revision)
