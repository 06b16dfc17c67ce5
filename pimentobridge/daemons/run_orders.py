"""Carries out the scheduler's orders to start and to stop runs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import trio

from pimentobridge.daemons import containment
from pimentobridge.daemons import late_starts
from pimentobridge.daemons import logs
from pimentobridge.platform import http_client
from pimentobridge.platform import runner as runner_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.jobs import runs
    from pimentobridge.daemons import started_runs
    from pimentobridge.daemons import worker_view

ORDER_RETRY_PAUSE_S = 0.1
# Share of its work that a run may do from its start on.
START_PERCENT = 100
# Limits on orders under way. All calls share the connections to the worker, and
# polls, which renew its lease, must not wait behind hundreds of orders.
MAX_STARTS_AT_ONCE = http_client.MAX_CONNECTIONS // 2
MAX_STOPS_AT_ONCE = http_client.MAX_CONNECTIONS // 4
_START = "start"
# Stands for a share that isn't known, as an order wasn't answered.
UNKNOWN_PERCENT = -1


class Agent(Protocol):
    """What orders are carried out for: an agent and its present worker.

    Attributes:
        token: highest fencing token in the orders so far.
        worker: what the worker says of itself; None while it isn't known.
        view: what is known of the present incarnation of the worker.
    """

    token: int
    worker: runs.WorkerIncarnation | None
    view: worker_view.WorkerView

    def may_act(self) -> bool:
        """Whether the newest orders are still valid."""

    def is_current(self, incarnation: runs.IncarnationKey) -> bool:
        """Whether an incarnation of the worker is the present one."""

    def wants_start(
        self, incarnation: runs.IncarnationKey, key: runs.RunKey
    ) -> bool:
        """Whether valid orders ask an incarnation to start a run."""

    def lease_until_s(self) -> float:
        """Returns the end of the longest lease that the orders allow."""

    async def poll(self, wait_s: float) -> bool:
        """Gets the runs from the worker; returns whether it answered."""

    def wake_report(self) -> None:
        """Has a report sent at once."""

    def wake_poll(self) -> None:
        """Has the worker polled at once."""


class RunOrders:
    """Carries out orders, and finds out what has become of them.

    Args:
        agent: the agent that has got the orders.
        runner: client of the worker's interface.
        clock: source of time.
        started: the runs that the worker has started.
    """

    def __init__(
        self,
        agent: Agent,
        *,
        runner: runner_lib.Runner,
        clock: clock_lib.Clock,
        started: started_runs.StartedRuns,
    ) -> None:
        self._agent = agent
        self._runner = runner
        self._clock = clock
        self._started_runs = started
        self._late_starts = late_starts.LateStarts()
        self._paces_by_run: dict[runs.RunKey, runs.PaceOrder] = {}
        self._more_starts_follow = False
        self._start_slots = trio.Semaphore(MAX_STARTS_AT_ONCE)
        self._stop_slots = trio.Semaphore(MAX_STOPS_AT_ONCE)
        # Whether an order polls the worker, and whether another one is to.
        self._polling = False
        self._poll_wanted = False
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Carries out orders in the background until cancelled."""
        async with trio.open_nursery() as self._nursery:
            await trio.sleep_forever()

    def act_on(
        self,
        instructions: runs.Instructions,
        starts: tuple[runs.StartOrder, ...],
    ) -> None:
        """Carries out the newest orders for the present incarnation.

        Args:
            instructions: the orders.
            starts: all starts among them, each with its spec.
        """
        self._more_starts_follow = instructions.more_starts_follow
        ordered = {order.key for order in starts}
        ordered |= set(instructions.stops)
        self._agent.view.keep_answers_to(ordered)
        view = self._agent.view
        for order in starts:
            key = order.key
            if key not in view.refused and not view.closed_runs.is_refused(key):
                self._spawn_order(_START, key, self._start_run, order)
        for key in instructions.stops:
            if key not in view.stop_confirmed and (
                not view.closed_runs.is_stopped(key)
            ):
                self._spawn_order("stop", key, self._stop_run, key)
        self._paces_by_run = {order.key: order for order in instructions.paces}
        for key in self._paces_by_run:
            if self._pace_to_order(key) is not None:
                self._spawn_order("pace", key, self._set_pace, key)

    def _spawn_order(
        self,
        kind: str,
        key: runs.RunKey,
        handler: Callable[..., Awaitable[object]],
        argument: object,
    ) -> None:
        """Carries out an order in the background, unless that is under way."""
        order_id = (kind, key)
        in_progress = self._agent.view.orders_in_progress
        if order_id in in_progress or self._nursery is None:
            return
        in_progress.add(order_id)

        async def carry_out() -> None:
            try:
                await containment.run_contained(
                    f"carrying out a {kind}", handler, argument
                )
            finally:
                in_progress.discard(order_id)

        self._nursery.start_soon(carry_out)

    async def _start_run(self, order: runs.StartOrder) -> None:
        if self._agent.worker is None:
            return
        incarnation = self._agent.worker.key
        while self._agent.wants_start(incarnation, order.key):
            if order.key in self._started_runs.started:
                return
            if not self._agent.view.has_polled:
                await trio.sleep(ORDER_RETRY_PAUSE_S)
                continue
            async with self._start_slots:
                # The orders may have changed during the wait.
                if not self._agent.wants_start(incarnation, order.key):
                    return
                outcome = await self._send_start(incarnation, order)
            if not self._agent.is_current(incarnation):
                return
            if outcome is not runner_lib.StartResult.UNREACHABLE:
                self._agent.view.contact.on_possible_arrival()
            if outcome is runner_lib.StartResult.UNKNOWN:
                self._started_runs.on_unanswered(order.key)
            if outcome is runner_lib.StartResult.RUNNING:
                self._started_runs.on_started(order.key)
                await self._on_running()
                return
            if outcome is runner_lib.StartResult.RUN_ENDED:
                await self._on_refused(incarnation, order.key)
                return
            if outcome in runner_lib.REFUSALS:
                # An earlier start without an answer may still take effect. A
                # stop makes the worker refuse the run from then on.
                if await self._stop_permanently(incarnation, order.key):
                    await self._on_refused(incarnation, order.key)
                return
            await trio.sleep(ORDER_RETRY_PAUSE_S)

    async def _send_start(
        self, incarnation: runs.IncarnationKey, order: runs.StartOrder
    ) -> runner_lib.StartResult:
        """Sends a start once, and notes that it may be carried out late."""
        token = self._agent.token
        sent = self._late_starts.add(
            incarnation.worker, order.key, self._clock.monotonic()
        )
        with self._agent.view.contact.start_under_way():
            outcome = await self._runner.start(
                incarnation,
                order,
                token=token,
                lease_until_s=self._agent.lease_until_s(),
            )
        if outcome is not runner_lib.StartResult.UNKNOWN:
            self._late_starts.remove(sent)
        logs.event(
            "start ordered",
            task=order.key.task,
            run=order.key.run,
            worker=incarnation.worker,
            born_ms=incarnation.started_ms,
            token=token,
            outcome=outcome.value,
        )
        return outcome

    async def _on_running(self) -> None:
        """Has the worker polled, at once if further starts wait for that."""
        starts = [
            kind
            for kind, _ in self._agent.view.orders_in_progress
            if kind == _START
        ]
        if self._more_starts_follow and len(starts) == 1:
            await self._poll_for_answers()
        else:
            self._agent.wake_poll()

    async def _on_refused(
        self, incarnation: runs.IncarnationKey, key: runs.RunKey
    ) -> None:
        """Polls for the run's end, without which no refusal is reported."""
        if not self._agent.is_current(incarnation):
            return
        self._agent.view.closed_runs.on_refused(key, self._clock.monotonic())
        await self._poll_for_answers()

    async def _poll_for_answers(self) -> None:
        """Polls at once; of many orders that ask for that, one does."""
        self._poll_wanted = True
        if self._polling:
            return
        self._polling = True
        try:
            while self._poll_wanted:
                self._poll_wanted = False
                await self._agent.poll(0.0)
        finally:
            self._polling = False

    async def _stop_run(self, key: runs.RunKey) -> None:
        if self._agent.worker is None:
            return
        incarnation = self._agent.worker.key
        if not await self._stop_permanently(incarnation, key):
            return
        if not self._agent.is_current(incarnation):
            return
        self._started_runs.on_over([key])
        self._agent.view.closed_runs.on_stopped(key, self._clock.monotonic())
        await self._poll_for_answers()

    async def _stop_permanently(
        self, incarnation: runs.IncarnationKey, key: runs.RunKey
    ) -> bool:
        """Orders a stop, after which the worker never starts the run again.

        Returns:
            Whether the worker confirmed the stop.
        """
        while self._agent.is_current(incarnation) and self._agent.may_act():
            async with self._stop_slots:
                outcome = await self._stop_once(incarnation, key)
            if outcome is runner_lib.StopResult.STOPPED:
                return True
            if outcome is not runner_lib.StopResult.UNKNOWN:
                return False
            await trio.sleep(ORDER_RETRY_PAUSE_S)
        return False

    async def _stop_once(
        self, incarnation: runs.IncarnationKey, key: runs.RunKey
    ) -> runner_lib.StopResult:
        token = self._agent.token
        outcome = await self._runner.stop(incarnation, key, token=token)
        logs.event(
            "stop ordered",
            task=key.task,
            run=key.run,
            worker=incarnation.worker,
            born_ms=incarnation.started_ms,
            token=token,
            outcome=outcome.value,
        )
        return outcome

    def _pace_to_order(self, key: runs.RunKey) -> runs.PaceOrder | None:
        """Returns the newest order for a run's pace, unless it has that pace.

        The pace of a run that an agent before this one has started isn't known.
        """
        order = self._paces_by_run.get(key)
        started = key in self._started_runs.started
        percent = self._agent.view.percent_by_run.get(
            key, START_PERCENT if started else None
        )
        return order if order and order.percent != percent else None

    async def _set_pace(self, key: runs.RunKey) -> None:
        if self._agent.worker is None:
            return
        incarnation = self._agent.worker.key
        while self._agent.is_current(incarnation) and self._agent.may_act():
            order = self._pace_to_order(key)
            if order is None:
                return
            token = self._agent.token
            outcome = await self._runner.pace(incarnation, order, token=token)
            logs.event(
                "pace ordered",
                task=key.task,
                run=key.run,
                percent=order.percent,
                worker=incarnation.worker,
                token=token,
                outcome=outcome.value,
            )
            if not self._agent.is_current(incarnation):
                return
            percent_by_run = self._agent.view.percent_by_run
            if outcome in (
                runner_lib.PaceResult.SET,
                runner_lib.PaceResult.REJECTED,
            ):
                percent_by_run[key] = order.percent
            elif outcome is runner_lib.PaceResult.UNKNOWN:
                # It may have taken effect or may still do so.
                percent_by_run[key] = UNKNOWN_PERCENT
                await trio.sleep(ORDER_RETRY_PAUSE_S)
            else:
                return

    def start_refusing_late_starts(
        self, incarnation: runs.IncarnationKey
    ) -> None:
        """Has a new incarnation refuse the starts sent to the one before.

        The scheduler starts these runs elsewhere as soon as it knows of the
        incarnation, which isn't reported before.
        """
        late = self._starts_that_may_come(incarnation)
        self._agent.view.may_start_late = late
        if self._nursery is not None:
            for run in list(late):
                self._nursery.start_soon(
                    self._refuse_late_start, incarnation, run, late
                )

    def _starts_that_may_come(
        self, incarnation: runs.IncarnationKey
    ) -> set[runs.RunKey]:
        return self._late_starts.of(incarnation.worker, self._clock.monotonic())

    async def _refuse_late_start(
        self,
        incarnation: runs.IncarnationKey,
        run: runs.RunKey,
        late: set[runs.RunKey],
    ) -> None:
        """Removes a run from those that may start late once it can't."""
        while self._agent.is_current(incarnation) and run in late:
            with containment.contained("refusing a late start"):
                if await self._is_over_for_good(incarnation, run):
                    late.discard(run)
            if run in late:
                await trio.sleep(ORDER_RETRY_PAUSE_S)
        if not late:
            self._agent.wake_report()

    async def _is_over_for_good(
        self, incarnation: runs.IncarnationKey, run: runs.RunKey
    ) -> bool:
        """Stops a run; returns whether it isn't there and can't come any more.

        No valid orders are needed. A run of an earlier incarnation is never
        ordered here, so that this stop is right whoever the scheduler is.
        """
        outcome = await self._stop_once(incarnation, run)
        stopped = outcome is runner_lib.StopResult.STOPPED
        if not stopped and run in self._starts_that_may_come(incarnation):
            return False
        answered = await self._agent.poll(0.0)
        return (
            answered
            and self._agent.is_current(incarnation)
            and self._agent.view.lists_all_ends
            and not self._agent.view.is_running(run)
        )
