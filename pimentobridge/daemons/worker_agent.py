"""Agent beside a worker: passes orders on, keeps its lease, reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import engine
from pimentobridge.daemons import logs
from pimentobridge.platform import runner as runner_lib
from pimentobridge.protocol import control

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.platform import boot_settings
    from pimentobridge.platform import heartbeats
    from pimentobridge.protocol import transport

REPORT_INTERVAL_S = 0.5
LOOK_WAIT_S = 0.5
LOOK_RETRY_PAUSE_S = 0.1
ORDER_RETRY_PAUSE_S = 0.1
# An unanswered report's age at which the agent asks every entry.
SCHEDULER_SILENCE_S = 1.2


class WorkerAgent:
    """Serves one worker on its machine.

    Args:
        settings: this process's settings.
        endpoint: transport to the scheduler.
        runner: the worker's own interface.
        clock: monotonic time must count suspended time.
        entries: addresses to ask for the scheduler at first.
    """

    def __init__(
        self,
        *,
        settings: boot_settings.ProcessSettings,
        endpoint: transport.Endpoint,
        runner: runner_lib.Runner,
        clock: clock_lib.Clock,
        entries: tuple[types.Address, ...],
    ) -> None:
        self._settings = settings
        self._endpoint = endpoint
        self._runner = runner
        self._clock = clock
        self._entries = entries
        self._nursery: trio.Nursery | None = None
        self._wake_report = trio.Event()
        self._wake_look = trio.Event()
        self._token = 0
        self._scheduler: types.Address | None = None
        self._echo_s = 0.0
        self._asked_s = 0.0
        self._instructions: runs.Instructions | None = None
        self._life: runs.WorkerIncarnation | None = None
        self._sequence = 0
        self._clear_life()

    def _clear_life(self) -> None:
        self._running: tuple[runs.RunningTask, ...] = ()
        self._ended: tuple[runs.EndedRun, ...] = ()
        self._refused: set[runs.RunKey] = set()
        self._sealed: set[runs.RunKey] = set()
        self._in_hand: set[tuple[str, runs.RunKey]] = set()
        self._started: set[runs.RunKey] = set()
        self._seen = 0
        self._clock_s = 0.0
        self._clock_read_s = 0.0
        self._looked = False
        self._left = False
        self._gone = False

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._receive)
            nursery.start_soon(self._report_forever)
            nursery.start_soon(self._look_forever)

    def gauges(self) -> dict[str, float]:
        """Returns what the metrics show of this agent."""
        life = self._life
        return {
            "worker_known": float(life is not None),
            "worker_draining": float(life is not None and life.draining),
            "may_act": float(self._may_act()),
            "orders_age_seconds": self._clock.monotonic() - self._echo_s,
            "running_tasks": len(self._running),
            "unrecorded_ends": len(self._ended),
            "log_lines_left_out_total": logs.left_out(),
        }

    # The worker's announcements.

    def on_heartbeat(self, beat: heartbeats.Heartbeat) -> None:
        """Takes the worker's own heartbeat."""
        held = self._life
        if held is not None and beat.life.key.started_ms < held.key.started_ms:
            return
        if held is None or held.key != beat.life.key:
            logs.event(
                "worker announced",
                worker=beat.life.key.worker,
                born_ms=beat.life.key.started_ms,
                earlier=held.key.worker if held else None,
            )
            self._clear_life()
            self._instructions = None
            self._sequence = 0
        elif beat.sequence <= self._sequence:
            return
        self._sequence = beat.sequence
        changed = held != beat.life
        self._life = beat.life
        if changed:
            self._wake_look.set()
            self._wake_report.set()

    def on_deregistered(self, worker: str) -> None:
        """Takes the worker's last words: it ends now."""
        if self._life is not None and self._life.key.worker == worker:
            self._left = True

    # Orders.

    async def _receive(self) -> None:
        while True:
            envelope = await self._endpoint.receive()
            message = envelope.message
            if isinstance(message, control.WorkerOrders):
                self._on_orders(message)

    def _on_orders(self, orders: control.WorkerOrders) -> None:
        if orders.token < self._token:
            return
        if orders.token > self._token:
            logs.event(
                "scheduler known",
                scheduler=orders.scheduler,
                token=orders.token,
            )
            self._token = orders.token
            self._instructions = None
            self._echo_s = 0.0
            self._wake_look.set()
            self._wake_report.set()
        if self._scheduler != orders.scheduler:
            self._scheduler = orders.scheduler
            self._wake_report.set()
        if orders.entries:
            self._entries = orders.entries
        if orders.echo_s < self._echo_s or orders.echo_s == 0.0:
            if orders.echo_s == 0.0:
                self._wake_report.set()
            return
        self._echo_s = orders.echo_s
        if not self._may_act() or orders.worker is None:
            return
        if self._life is None or orders.worker.incarnation != self._life.key:
            return
        self._instructions = orders.worker
        if orders.worker.seen > self._seen:
            self._seen = orders.worker.seen
            self._wake_look.set()
        self._act_on(orders.worker)

    def _act_on(self, instructions: runs.Instructions) -> None:
        wanted = {order.key for order in instructions.starts}
        wanted |= set(instructions.stops)
        self._refused &= wanted
        self._sealed &= wanted
        for order in instructions.starts:
            if order.key not in self._refused:
                self._spawn("start", order.key, self._start, order)
        for key in instructions.stops:
            if key not in self._sealed:
                self._spawn("stop", key, self._stop, key)

    def _spawn(
        self,
        kind: str,
        key: runs.RunKey,
        task: Callable[..., object],
        argument: object,
    ) -> None:
        """Carries out an order unless that is going on already."""
        mark = (kind, key)
        if mark in self._in_hand or self._nursery is None:
            return
        self._in_hand.add(mark)

        async def carry_out() -> None:
            in_hand = self._in_hand
            try:
                await task(argument)  # type: ignore[misc]
            finally:
                in_hand.discard(mark)

        self._nursery.start_soon(carry_out)

    def _may_act(self) -> bool:
        """Whether the newest orders are young enough to act on."""
        age_s = self._clock.monotonic() - self._echo_s
        return self._echo_s > 0 and age_s < engine.ORDER_VALIDITY_S

    def _wants_start(self, life: runs.IncarnationKey, key: runs.RunKey) -> bool:
        return (
            self._may_act()
            and self._life is not None
            and self._life.key == life
            and self._instructions is not None
            and any(order.key == key for order in self._instructions.starts)
        )

    async def _start(self, order: runs.StartOrder) -> None:
        if self._life is None:
            return
        life = self._life.key
        while self._wants_start(life, order.key):
            if order.key in self._started:
                return
            if not self._looked:
                await trio.sleep(ORDER_RETRY_PAUSE_S)
                continue
            token = self._token
            outcome = await self._runner.start(
                life.worker,
                order,
                token=token,
                lease_until_s=self._lease_until_s(),
            )
            logs.event(
                "start ordered",
                task=order.key.task,
                run=order.key.run,
                worker=life.worker,
                token=token,
                outcome=outcome.value,
            )
            if outcome is runner_lib.StartResult.RUNNING:
                self._started.add(order.key)
                self._wake_look.set()
                return
            if outcome is runner_lib.StartResult.RUN_IS_OVER:
                await self._refuse(life, order.key)
                return
            if outcome in (
                runner_lib.StartResult.NO_ROOM,
                runner_lib.StartResult.NO_CONSENT,
                runner_lib.StartResult.INVALID,
                runner_lib.StartResult.UNHEALTHY,
            ):
                # An earlier attempt without an answer may still come; after a
                # stop the worker refuses the run for good.
                if await self._seal(life, order.key):
                    await self._refuse(life, order.key)
                return
            await trio.sleep(ORDER_RETRY_PAUSE_S)

    async def _refuse(
        self, life: runs.IncarnationKey, key: runs.RunKey
    ) -> None:
        """Reports a refusal, after a look that lists the run's end if any."""
        if await self._look(0.0) and self._is_life(life):
            self._refused.add(key)
            self._wake_report.set()

    async def _stop(self, key: runs.RunKey) -> None:
        if self._life is None:
            return
        life = self._life.key
        if not await self._seal(life, key):
            return
        self._started.discard(key)
        if await self._look(0.0) and self._is_life(life):
            self._sealed.add(key)
            self._wake_report.set()

    async def _seal(self, life: runs.IncarnationKey, key: runs.RunKey) -> bool:
        """Stops a run for good; returns whether the worker said so."""
        while self._is_life(life) and self._may_act():
            token = self._token
            outcome = await self._runner.stop(life.worker, key, token=token)
            logs.event(
                "stop ordered",
                task=key.task,
                run=key.run,
                worker=life.worker,
                token=token,
                outcome=outcome.value,
            )
            if outcome is runner_lib.StopResult.SEALED:
                return True
            if outcome is not runner_lib.StopResult.UNKNOWN:
                return False
            await trio.sleep(ORDER_RETRY_PAUSE_S)
        return False

    def _is_life(self, life: runs.IncarnationKey) -> bool:
        return self._life is not None and self._life.key == life

    # The worker's lists and lease.

    def _lease_until_s(self) -> float:
        """Returns the end of the longest lease, on the worker's clock."""
        passed_s = self._clock.monotonic() - self._clock_read_s
        return self._clock_s + passed_s + self._settings.max_lease_s

    async def _look_forever(self) -> None:
        while True:
            if self._life is None:
                await self._wait_look(LOOK_WAIT_S)
                continue
            unseen = any(end.number > self._seen for end in self._ended)
            wait_s = 0.0 if unseen or not self._looked else LOOK_WAIT_S
            if not await self._look(wait_s):
                await trio.sleep(LOOK_RETRY_PAUSE_S)
            elif unseen:
                await self._wait_look(LOOK_RETRY_PAUSE_S)

    async def _wait_look(self, timeout_s: float) -> None:
        with trio.move_on_after(timeout_s):
            await self._wake_look.wait()
        self._wake_look = trio.Event()

    async def _look(self, wait_s: float) -> bool:
        """Reads the worker's lists; returns whether that went well."""
        if self._life is None:
            return False
        life = self._life.key
        renew = self._may_act() and self._looked
        looked = await self._runner.look(
            life.worker,
            token=self._token,
            seen=self._seen,
            lease_until_s=self._lease_until_s() if renew else None,
            wait_s=wait_s,
        )
        if not self._is_life(life):
            return False
        if isinstance(looked, runner_lib.LookFailure):
            logs.event("look failed", worker=life.worker, why=looked.value)
            if self._left and looked is runner_lib.LookFailure.NOT_THERE:
                self._gone = True
                self._wake_report.set()
            return False
        if looked.born_ms not in (0, life.started_ms):
            logs.event(
                "worker restarted", worker=life.worker, born_ms=looked.born_ms
            )
            return False
        if looked.clock_s < self._clock_s:
            return True
        self._take_lists(looked)
        return True

    def _take_lists(self, looked: runner_lib.Look) -> None:
        self._clock_s = looked.clock_s
        self._clock_read_s = self._clock.monotonic()
        self._looked = True
        ended = tuple(end for end in looked.ended if end.number > self._seen)
        news = ended != self._ended or (
            {row.key for row in looked.running}
            != {row.key for row in self._running}
        )
        self._running, self._ended = looked.running, ended
        self._started -= {end.key for end in ended}
        if news:
            self._wake_report.set()

    # Reports.

    async def _report_forever(self) -> None:
        while True:
            self._report()
            with trio.move_on_after(REPORT_INTERVAL_S):
                await self._wake_report.wait()
            self._wake_report = trio.Event()

    def _report(self) -> None:
        seen = None
        if self._life is not None and self._looked:
            seen = runs.Observation(
                incarnation=self._life,
                running=self._running,
                ended=self._ended,
                refused=tuple(self._refused),
                stop_confirmed=tuple(self._sealed),
                terminated=self._gone,
            )
        now_s = self._clock.monotonic()
        report = control.WorkerReport(
            agent=self._endpoint.address,
            token=self._token,
            sent_s=now_s,
            answered_s=self._echo_s,
            worker=seen,
        )
        # Orders that echo nothing new mean that the reports don't arrive.
        unheard_s = now_s - max(self._echo_s, self._asked_s)
        if self._scheduler is not None and unheard_s <= SCHEDULER_SILENCE_S:
            self._endpoint.send(self._scheduler, report)
            return
        self._asked_s = now_s
        asked = set(self._entries)
        if self._scheduler is not None:
            asked.add(self._scheduler)
        for entry in sorted(asked):
            self._endpoint.reset(entry)
            self._endpoint.send(entry, report)

    async def leave(self) -> None:
        """Renews the lease for as long as possible before this agent stops."""
        if self._life is not None and self._may_act():
            await self._look(0.0)
