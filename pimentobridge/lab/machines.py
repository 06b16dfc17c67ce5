"""Machines of a simulated deployment, each with its processes.

Entries and agents are the real classes; runners are simulated.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import trio

from pimentobridge.core import types
from pimentobridge.core.jobs import runs
from pimentobridge.daemons import job_api
from pimentobridge.daemons import job_entry
from pimentobridge.daemons import keys
from pimentobridge.daemons import platform_process
from pimentobridge.daemons import trio_clock
from pimentobridge.daemons import worker_agent
from pimentobridge.daemons import worker_api
from pimentobridge.lab import faulty_client
from pimentobridge.platform import advice
from pimentobridge.platform import http_client
from pimentobridge.platform import kv_store
from pimentobridge.platform import runner as runner_lib
from pimentobridge.testing import asgi
from pimentobridge.testing import network as network_lib
from pimentobridge.testing import odd_heartbeats
from pimentobridge.testing import platform_runner

if TYPE_CHECKING:
    from pimentobridge.lab import world as world_lib

SERVICE = "plans"
MAX_LEASE_S = 6.0
HEARTBEAT_INTERVAL_S = 1.5
RESTART_DELAY_S = 0.6
# How far a time of day is set back.
CLOCK_STEP_MS = 60_000
# Time for which the machines of the workers are up at the start.
UPTIME_S = 10_000.0
# Time after which a runner that a task has crashed is back.
RUNNER_RESTART_S = 2.0
ENTRY_DRAIN_S = 2.5
RUNNER_DRAIN_S = 4.0


WORKERS_PER_RACK = 3
# Racks belong to these in turn.
DATA_CENTRES = ("north-a", "north-b")


def data_centre_of(worker: int) -> str:
    """Returns the data centre of a worker by the worker's number."""
    return DATA_CENTRES[worker // WORKERS_PER_RACK % len(DATA_CENTRES)]


def server_of(
    runner: platform_runner.PlatformRunner,
) -> faulty_client.Server | None:
    """Returns the process of a runner's incarnation; None if it has ended."""
    if not runner.up:
        return None

    async def handle(
        method: str, path: str, body: object, headers: dict[str, str]
    ) -> http_client.Answer | http_client.Failure:
        del method
        assert isinstance(body, dict)
        if not runner.up:
            return http_client.Failure.NO_ANSWER
        # A JSON round trip yields the same types as a request over HTTP.
        decoded = json.loads(json.dumps(body))
        expected_worker = headers.get("Expected-Instance", "")
        answer = await runner.handle(path, decoded, expected_worker)
        return answer if runner.up else http_client.Failure.NO_ANSWER

    return faulty_client.Server(handle, lambda: runner.up)


class EntryHost:
    """A simulated machine that runs an entry process.

    Attributes:
        entry: the running entry; None while the process is down.
        api: HTTP application of the running entry.
    """

    def __init__(self, world: world_lib.World, number: int) -> None:
        self._world = world
        self.node = f"entry-{number}"
        self.address = types.Address(f"tcp://{self.node}:7000")
        self.entry: job_entry.JobEntry | None = None
        self.api: job_api.CallerApi | None = None
        self._scope: trio.CancelScope | None = None
        self._incarnation = 0

    async def run(self) -> None:
        """Runs the process, and restarts it whenever it ends."""
        while True:
            with (
                self._world.checker.detect_crash(self.node),
                trio.CancelScope() as self._scope,
            ):
                await self._run_process()
            self.entry = self.api = None
            self._world.network.remove(self.address)
            await trio.sleep(RESTART_DELAY_S)

    async def _run_process(self) -> None:
        world = self._world
        self._incarnation += 1
        clock = trio_clock.TrioClock(world.origin)
        entry = job_entry.JobEntry(
            settings=world.settings(self.node),
            endpoint=world.network.endpoint(
                self.address, network_lib.Place("north", self.node)
            ),
            store=kv_store.KvStore(world.store_client(self.node)),
            clock=clock,
            nonce=f"{self.node}-{self._incarnation}",
            policy_service=advice.AdviceService(world.advice_client(self.node)),
        )
        self.entry = entry
        self.api = job_api.CallerApi(entry, clock=clock)
        await entry.run()

    def kill(self) -> None:
        """Kills the process; it is restarted after `RESTART_DELAY_S`."""
        if self._scope is not None:
            self._scope.cancel()

    async def terminate(self) -> None:
        """Drains the entry, lets it resign leadership and ends the process."""
        if self.entry is not None:
            self.entry.draining = True
            await self.entry.leadership.resign()
            await trio.sleep(ENTRY_DRAIN_S)
            if self.entry is not None:
                await self.entry.leadership.withdraw()
        self.kill()


class WorkerHost:
    """A simulated machine that runs an agent and a runner.

    Attributes:
        data_centre: where the machine is.
    """

    def __init__(self, world: world_lib.World, number: int) -> None:
        self._world = world
        self._number = number
        # How far the time of day of the machine is off.
        self._clock_offset_ms = 0
        self.node = f"worker-{number}"
        self._rack = f"rack-{number // WORKERS_PER_RACK}"
        self.data_centre = data_centre_of(number)
        self.address = types.Address(f"tcp://{self.node}:7000")
        self._refused_share = 0.0
        self.runner = self._new_runner()
        self.agent: worker_agent.WorkerAgent | None = None
        self._scope: trio.CancelScope | None = None
        self._removed = False
        self._booted_s = -UPTIME_S
        self._incarnation = 0
        # Each drain replaces the runner's software by the next version.
        self._version = 1
        self._departs_s = 0.0

    def _new_runner(
        self, worker: str | None = None
    ) -> platform_runner.PlatformRunner:
        """Returns a new incarnation, under the given id or under a new one."""
        world = self._world
        world.runner_incarnations += 1
        runner = platform_runner.PlatformRunner(
            world.pool,
            worker or f"i-{self._number}-{world.runner_incarnations}",
            world.capacity_of(self._number),
            started_ms=world.next_start_ms() + self._clock_offset_ms,
            max_lease_s=MAX_LEASE_S,
            guards_capacity=world.runners_guard_capacity,
            data_centre=self.data_centre,
        )
        runner.refused_share = self._refused_share
        return runner

    def refuse_starts(self, share: float) -> None:
        """Makes the runner and its successors refuse a share of the starts."""
        self._refused_share = self.runner.refused_share = share

    async def restart_crashed_runners(self) -> None:
        """Replaces a runner that has crashed by itself, until cancelled."""
        while True:
            await trio.sleep(RESTART_DELAY_S)
            crashed = self.runner
            if self._removed:
                return
            if not crashed.up and not crashed.draining:
                await trio.sleep(RUNNER_RESTART_S)
                if self.runner is crashed:
                    self.runner = self._new_runner()

    async def run(self) -> None:
        """Runs the agent, and restarts it until the machine is removed."""
        while not self._removed:
            with (
                self._world.checker.detect_crash(self.node),
                trio.CancelScope() as self._scope,
            ):
                await self._run_agent()
            self.agent = None
            self._world.network.remove(self.address)
            await trio.sleep(RESTART_DELAY_S)

    async def _run_agent(self) -> None:
        world = self._world
        self._incarnation += 1
        store = kv_store.KvStore(world.store_client(self.node))
        settings = world.settings(self.node)
        agent = worker_agent.WorkerAgent(
            settings=settings,
            endpoint=world.network.endpoint(
                self.address, network_lib.Place("north", self.node)
            ),
            runner=runner_lib.Runner(lambda: world.runner_connection(self)),
            store=store,
            clock=trio_clock.TrioClock(world.origin, booted_s=self._booted_s),
            entries=tuple(host.address for host in world.entries),
            nonce=f"{self.node}-{self._incarnation}",
        )
        self.agent = agent
        value = keys.agent_value(settings.region)
        await store.transact(
            expected={}, puts=[kv_store.Put(keys.agent(self.address), value)]
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(agent.run)
            nursery.start_soon(self._send_heartbeats)

    @property
    def _is_cut_off(self) -> bool:
        return self.node in self._world.runner_faults.outage_by_node

    async def _send_heartbeats(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            runner = self.runner
            if not runner.up or self._is_cut_off:
                await trio.sleep(RESTART_DELAY_S)
                continue
            body = json.dumps(
                {
                    "service": SERVICE,
                    "address": self.node,
                    "zone": self.data_centre,
                    "version": f"v{self._version}",
                    "state": "draining" if runner.draining else "ready",
                    "remainingMs": (
                        max(0.0, self._departs_s - trio.current_time()) * 1000
                        if runner.draining
                        else None
                    ),
                    "capacity": {
                        "cpu": runner.capacity.cpu_millicores,
                        "memMb": runner.capacity.memory_mib,
                        "gpu": runner.capacity.accelerators,
                    },
                    "labels": ["a", self._rack],
                    "sequence": sequence,
                    "born": runner.started_ms,
                    "clockMs": runner.clock_s * 1000,
                }
            )
            await self.deliver_heartbeat(
                f"{odd_heartbeats.INSTANCES_PATH}{runner.worker}/heartbeat",
                body.encode(),
            )
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    async def deliver_heartbeat(self, path: str, body: bytes) -> int:
        """Sends a heartbeat of any writer to the agent.

        Returns:
            The status of the answer; 0 if there is none.
        """
        if self.agent is None:
            return 0
        api = worker_api.WorkerApi(self.agent)
        answer = await asgi.call(api, "POST", path, body)
        return 0 if answer is None else answer[0]

    async def deliver_odd_heartbeats(self, kind: str | None = None) -> None:
        """Another writer sends odd heartbeats, of one kind or all of them."""
        key = runs.IncarnationKey(
            types.WorkerId(self.runner.worker), self.runner.started_ms
        )
        for odd in odd_heartbeats.for_worker(key):
            if kind in (None, odd.kind):
                await self.deliver_heartbeat(odd.path, odd.body)

    def kill(self) -> None:
        """Kills the agent; it is restarted after `RESTART_DELAY_S`."""
        if self._scope is not None:
            self._scope.cancel()

    async def terminate(self) -> None:
        """Stops the agent as its process does; it is restarted afterwards."""
        if self.agent is not None:
            self.agent.announce_shutdown()
            grace_s = self._world.settings(self.node).grace_s
            await self.agent.finish_runs(
                grace_s - platform_process.KILL_MARGIN_S
            )
        if self.agent is not None:
            await self.agent.leave()
        self.kill()

    async def terminate_for_good(self) -> None:
        """Stops the agent for good; the runner goes on under its lease."""
        self._removed = True
        await self.terminate()

    def remove(self) -> None:
        """Removes the machine for good, with its agent and its runner."""
        self._removed = True
        self.runner.crash()
        self.kill()

    async def drain_runner(
        self, drain_s: float = RUNNER_DRAIN_S, linger_s: float = 0.0
    ) -> None:
        """Drains the runner, deregisters it and replaces it by a new one.

        Args:
            drain_s: time until it deregisters, in seconds.
            linger_s: how much longer it goes on, for lack of an
                acknowledgement, in seconds.
        """
        drained = self.runner
        drained.draining = True
        self._departs_s = trio.current_time() + drain_s
        await trio.sleep(drain_s)
        if self.agent is not None:
            self.agent.on_deregistered(drained.worker)
        await trio.sleep(linger_s)
        if drained.up:
            drained.crash()
        await trio.sleep(RESTART_DELAY_S)
        if self.runner is drained:
            self._version += 1
            self.runner = self._new_runner()

    def power_off(self) -> None:
        """Ends the agent and the runner; both start on a booted machine."""
        self._booted_s = trio.current_time()
        self.kill()
        self.crash_runner()

    def set_clock_back(self) -> None:
        """Sets the time of day back, so that the next start seems earlier."""
        self._clock_offset_ms -= CLOCK_STEP_MS

    def crash_runner(self, *, keeps_id: bool = False) -> None:
        """Crashes the runner and replaces it by a new incarnation.

        Args:
            keeps_id: whether the new incarnation has the id of the old one.
        """
        crashed = self.runner
        crashed.crash()
        self.runner = self._new_runner(crashed.worker if keeps_id else None)

    async def cut_off_runner(self, for_s: float) -> None:
        """Cuts the runner off from its agent, silently and both ways."""
        outages = self._world.runner_faults.outage_by_node
        outages[self.node] = faulty_client.OutageMode.SILENT
        await trio.sleep(for_s)
        outages.pop(self.node, None)

    async def restart_runner_behind_cut(self, for_s: float) -> None:
        """Restarts the runner under its id while it is cut off."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.cut_off_runner, for_s)
            await trio.sleep(for_s / 2)
            self.runner.crash()
            self.runner = self._new_runner(self.runner.worker)
