"""Faults of a soak test, injected into its processes and connections."""

from __future__ import annotations

import base64
import contextlib
import functools
import signal
from typing import TYPE_CHECKING

import httpcore
import trio

from pimentobridge.core import types
from pimentobridge.core.jobs import runs
from pimentobridge.lab import runner_faults
from pimentobridge.lab import soak_incarnation_faults
from pimentobridge.testing import loopback_proxy
from pimentobridge.testing import odd_entries
from pimentobridge.testing import odd_heartbeats

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator
    import random

    from pimentobridge.testing import platform_processes
    from pimentobridge.testing import platform_servers

FAULT_INTERVAL_S = 1.5
# Share of the soaks with a series of faults of the calls to the same runners.
SERIES_SHARE = 0.6
RUNNERS_IN_SERIES = 2
# Share of the faults in a series that are of the kind drawn for it.
MAIN_FAULT_SHARE = 0.7
MAX_SERIES_FAULT_S = 8.0
TERMINATION_GRACE_S = 6.0
# Share of the tasks first started during the fault that crash their runners.
DEADLY_SHARE = 0.2
ODD_HEARTBEAT_TIMEOUT_S = 1.0


class SoakFaults:
    """Injects random faults, and knows which are active.

    Args:
        rng: chooses the faults and their times.
        processes: the processes of the system.
        platform: the platform around them.

    Attributes:
        rng: chooses the faults and their times.
        platform: the platform around the processes.
        store_proxies_by_process: the proxy between each process and the store.
        runner_proxies: the proxy between each agent and its runner, by number.
        injected: the faults so far, each with its start time in seconds.
        last_active_s: time at which a fault was last active, in seconds;
            infinity while one is.
        ended: processes that a fault has ended and that aren't restarted yet.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        processes: platform_processes.Processes,
        platform: platform_servers.FakePlatform,
    ) -> None:
        self.rng = rng
        self._processes = processes
        self.platform = platform
        self.store_proxies_by_process: dict[
            str, loopback_proxy.LoopbackProxy
        ] = {}
        self.runner_proxies: list[loopback_proxy.LoopbackProxy] = []
        self.injected: list[str] = []
        self.last_active_s = float("-inf")
        self.ended: set[str] = set()
        self._active: set[str] = set()

    def random_worker(self) -> int:
        """Returns the number of a random worker."""
        return self.rng.randrange(len(self.runner_proxies))

    async def inject(self, until_s: float) -> None:
        """Injects faults at random times, which may overlap.

        Args:
            until_s: time at which the last one may begin, in seconds.
        """
        injectors: list[Callable[[float], Awaitable[None]]] = [
            self._kill,
            self._terminate,
            self._pause,
            self._disconnect_from_store,
            self._disconnect_all_from_store,
            self._silence_connections,
            self._reset_connections,
            self._slow_runner_calls,
            self._refuse_starts,
            self._disturb_orders,
            self._refuse_starts_and_disturb_orders,
            self._refuse_starts_around_cuts,
            self._make_store_busy,
            self._crash_runner,
            self._restart_runner_under_its_id,
            self._restart_runner_behind_cut,
            self._make_tasks_deadly,
            self._shrink_capacity,
            self._leave_odd_entries,
            self._send_odd_heartbeats,
            *self._incarnation_injectors(),
        ]
        async with trio.open_nursery() as nursery:
            if self.rng.random() < SERIES_SHARE:
                nursery.start_soon(self._inject_series, until_s)
            while trio.current_time() < until_s:
                await trio.sleep(self.rng.expovariate(1 / FAULT_INTERVAL_S))
                nursery.start_soon(
                    self.rng.choice(injectors),
                    self.rng.uniform(0.3, 4.0),
                )

    def _incarnation_injectors(self) -> list[Callable[..., Awaitable[None]]]:
        return [
            functools.partial(inject, self)
            for inject in soak_incarnation_faults.INJECTORS
        ]

    async def _inject_series(self, until_s: float) -> None:
        """Disturbs the same two runners, again and again.

        One fault of the calls to them, drawn for the series, comes most often.
        """
        injectors: list[Callable[..., Awaitable[None]]] = [
            self._refuse_starts,
            self._disturb_orders,
            self._refuse_starts_and_disturb_orders,
            self._refuse_starts_around_cuts,
        ]
        main = self.rng.choice(injectors)
        injectors += self._incarnation_injectors()
        numbers = self.rng.sample(
            range(len(self.runner_proxies)), RUNNERS_IN_SERIES
        )
        while trio.current_time() < until_s:
            async with trio.open_nursery() as nursery:
                for number in numbers:
                    is_main = self.rng.random() < MAIN_FAULT_SHARE
                    nursery.start_soon(
                        main if is_main else self.rng.choice(injectors),
                        self.rng.uniform(2.0, MAX_SERIES_FAULT_S),
                        number,
                    )

    @contextlib.contextmanager
    def recorded_fault(self, description: str) -> Iterator[None]:
        """Records a fault, which is active until the context is left."""
        self.injected.append(f"{trio.current_time():.2f} {description}")
        self.last_active_s = float("inf")
        self._active.add(description)
        try:
            yield
        finally:
            self._active.discard(description)
            if not self._active:
                self.last_active_s = trio.current_time()

    def random_entry(self) -> str:
        """Returns the name of a random entry process."""
        return self.rng.choice(
            [
                name
                for name in self.store_proxies_by_process
                if name.startswith("entry-")
            ]
        )

    def _random_process(self) -> str:
        return self.rng.choice(list(self.store_proxies_by_process))

    async def _kill(self, duration_s: float) -> None:
        del duration_s
        name = self._random_process()
        with self.recorded_fault(f"kill {name}"):
            self.end_process(name, signal.SIGKILL)

    async def _terminate(self, duration_s: float) -> None:
        del duration_s
        name = self._random_process()
        with self.recorded_fault(f"terminate {name}"):
            self.end_process(name, signal.SIGTERM)
            with trio.move_on_after(TERMINATION_GRACE_S):
                while not self._processes.has_exited(name):
                    await trio.sleep(0.05)
            if not self._processes.has_exited(name):
                self.end_process(name, signal.SIGKILL)

    def end_process(self, name: str, number: signal.Signals) -> None:
        """Ends a process, unless it has exited."""
        if not self._processes.has_exited(name):
            self.ended.add(name)
            self._processes.signal(name, number)

    async def _pause(self, duration_s: float) -> None:
        name = self._random_process()
        with self.recorded_fault(f"pause {name} for {duration_s:.1f} s"):
            await self.pause_process(name, duration_s)

    async def pause_process(self, name: str, duration_s: float) -> None:
        """Pauses a process."""
        self._processes.signal(name, signal.SIGSTOP)
        await trio.sleep(duration_s)
        self._processes.signal(name, signal.SIGCONT)

    async def _disconnect_from_store(self, duration_s: float) -> None:
        name = self._random_process()
        link_fault = self.rng.choice(list(loopback_proxy.LinkFault))
        with self.recorded_fault(
            f"disconnect {name} from the store, {link_fault.value}"
        ):
            await self._apply_link_fault(
                self.store_proxies_by_process[name], link_fault, duration_s
            )

    async def _disconnect_all_from_store(self, duration_s: float) -> None:
        link_fault = self.rng.choice(list(loopback_proxy.LinkFault))
        with self.recorded_fault(
            f"disconnect all from the store, {link_fault.value}"
        ):
            async with trio.open_nursery() as nursery:
                for proxy in self.store_proxies_by_process.values():
                    nursery.start_soon(
                        self._apply_link_fault, proxy, link_fault, duration_s
                    )

    async def _apply_link_fault(
        self,
        proxy: loopback_proxy.LoopbackProxy,
        link_fault: loopback_proxy.LinkFault,
        duration_s: float,
    ) -> None:
        proxy.link_fault = link_fault
        if link_fault is loopback_proxy.LinkFault.RESET:
            proxy.reset_open_connections()
        await trio.sleep(duration_s)
        proxy.link_fault = None

    def _random_proxy(self) -> loopback_proxy.LoopbackProxy:
        return self.rng.choice(
            [*self.store_proxies_by_process.values(), *self.runner_proxies]
        )

    async def _silence_connections(self, duration_s: float) -> None:
        del duration_s
        with self.recorded_fault("silence open connections"):
            self._random_proxy().silence_open_connections()

    async def _reset_connections(self, duration_s: float) -> None:
        del duration_s
        with self.recorded_fault("reset open connections"):
            self._random_proxy().reset_open_connections()

    async def _slow_runner_calls(self, duration_s: float) -> None:
        number = self.random_worker()
        proxy = self.runner_proxies[number]
        with self.recorded_fault(f"slow down calls to runner {number}"):
            proxy.delay_s = self.rng.uniform(0.05, 1.0)
            await trio.sleep(duration_s)
            proxy.delay_s = 0.0

    async def _refuse_starts(
        self, duration_s: float, number: int | None = None
    ) -> None:
        number = self.random_worker() if number is None else number
        await self._apply_refusals(number, duration_s)

    async def _apply_refusals(self, number: int, duration_s: float) -> None:
        runner = self.platform.runners[number]
        with self.recorded_fault(
            f"runner {number} unhealthy for {duration_s:.1f} s"
        ):
            runner.refused_share = runner_faults.random_refused_share(self.rng)
            await trio.sleep(duration_s)
            runner.refused_share = 0.0

    async def _disturb_orders(
        self, duration_s: float, number: int | None = None
    ) -> None:
        number = self.random_worker() if number is None else number
        await self._apply_order_faults(number, duration_s)

    async def _apply_order_faults(self, number: int, duration_s: float) -> None:
        """Loses the answers to orders, or carries the orders out late."""
        draw = self.rng.choice(
            [runner_faults.lost_answers, runner_faults.late_orders]
        )
        order_faults = draw(self.rng)
        with self.recorded_fault(
            f"runner {number}: {order_faults} for {duration_s:.1f} s"
        ):
            by_runner = self.platform.order_faults_by_runner
            by_runner[number] = order_faults
            await trio.sleep(duration_s)
            by_runner.pop(number, None)

    async def _refuse_starts_and_disturb_orders(
        self, duration_s: float, number: int | None = None
    ) -> None:
        number = self.random_worker() if number is None else number
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._apply_refusals, number, duration_s)
            nursery.start_soon(self._apply_order_faults, number, duration_s)

    async def _refuse_starts_around_cuts(
        self, duration_s: float, number: int | None = None
    ) -> None:
        """Loses all answers of an unhealthy runner, again and again."""
        number = self.random_worker() if number is None else number
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lose_all_answers, number)
            await self._apply_refusals(number, duration_s)
            nursery.cancel_scope.cancel()

    async def _lose_all_answers(self, number: int) -> None:
        proxy = self.runner_proxies[number]
        while True:
            await trio.sleep(
                self.rng.uniform(
                    runner_faults.MIN_CUT_S, runner_faults.MAX_PAUSE_S
                )
            )
            proxy.link_fault = loopback_proxy.LinkFault.ANSWERS
            try:
                await trio.sleep(
                    self.rng.uniform(
                        runner_faults.MIN_CUT_S, runner_faults.MAX_CUT_S
                    )
                )
            finally:
                proxy.link_fault = None

    async def _make_store_busy(self, duration_s: float) -> None:
        with self.recorded_fault(f"store busy for {duration_s:.1f} s"):
            self.platform.store_busy = True
            await trio.sleep(duration_s)
            self.platform.store_busy = False

    async def _crash_runner(self, duration_s: float) -> None:
        del duration_s
        number = self.random_worker()
        with self.recorded_fault(f"crash runner {number}"):
            self.platform.crash(number)

    async def _restart_runner_under_its_id(self, duration_s: float) -> None:
        del duration_s
        number = self.random_worker()
        with self.recorded_fault(f"restart runner {number} under its id"):
            self.platform.crash(number, keeps_id=True)
            self.runner_proxies[number].reset_open_connections()

    async def _restart_runner_behind_cut(self, duration_s: float) -> None:
        number = self.random_worker()
        with self.recorded_fault(
            f"restart runner {number} under its id behind a cut of"
            f" {duration_s:.1f} s"
        ):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.cut_off_runner, number, duration_s)
                await trio.sleep(duration_s / 2)
                self.platform.crash(number, keeps_id=True)

    async def cut_off_runner(self, number: int, duration_s: float) -> None:
        """Cuts a runner off from its agent."""
        self.platform.cut_off.add(number)
        await self._apply_link_fault(
            self.runner_proxies[number],
            loopback_proxy.LinkFault.ALL,
            duration_s,
        )
        self.platform.cut_off.discard(number)

    async def _make_tasks_deadly(self, duration_s: float) -> None:
        with self.recorded_fault(f"deadly tasks for {duration_s:.1f} s"):
            self.platform.pool.deadly_share = DEADLY_SHARE
            await trio.sleep(duration_s)
            self.platform.pool.deadly_share = 0.0

    async def _shrink_capacity(self, duration_s: float) -> None:
        number = self.random_worker()
        runner = self.platform.runners[number]
        with self.recorded_fault(f"halve the capacity of runner {number}"):
            before = runner.halve_capacity()
            await trio.sleep(duration_s)
            runner.resize(before)

    async def _leave_odd_entries(self, duration_s: float) -> None:
        """Another writer leaves entries in the store that can't be read."""
        del duration_s
        with self.recorded_fault("leave odd entries"):
            for key, value in odd_entries.values_by_key().items():
                encoded = base64.b64encode(value).decode()
                self.platform.store.put(key, encoded)

    async def _send_odd_heartbeats(self, duration_s: float) -> None:
        """Another writer sends heartbeats to an agent."""
        del duration_s
        number = self.random_worker()
        runner = self.platform.runners[number]
        key = runs.IncarnationKey(
            types.WorkerId(runner.worker), runner.started_ms
        )
        url = f"http://{self._processes.control_address(number)}"
        with self.recorded_fault(f"send odd heartbeats to agent {number}"):
            async with httpcore.AsyncConnectionPool() as pool:
                for odd in odd_heartbeats.for_worker(key):
                    with trio.move_on_after(ODD_HEARTBEAT_TIMEOUT_S):
                        await self._post(pool, url + odd.path, odd.body)

    async def _post(
        self, pool: httpcore.AsyncConnectionPool, url: str, body: bytes
    ) -> None:
        """Posts a body to a process that may be down."""
        with contextlib.suppress(
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            await pool.request("POST", url, content=body)
