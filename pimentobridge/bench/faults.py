"""Seeded faults, alone and in pairs, while requests run on a deployment.

Entries and agents run the production code. Executions are counted at the fake
backends. Callers behave like real clients: when an entry terminates, they send
the request again, with the same key, through another entry.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING

import msgspec
import trio

from pimentobridge.bench import harness
from pimentobridge.core import request as request_lib
from pimentobridge.core import types
from pimentobridge.testing import backend
from pimentobridge.testing import deployment

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pimentobridge.daemons import entry as entry_lib

FAULTS = 500
ARRIVALS_PER_S = 25.0
FAULT_INTERVAL_S = 0.5
DRAIN_TIMEOUT_S = 45.0
GRACE_S = 4.0


@dataclasses.dataclass
class Tally:
    """Outcomes that the callers observed.

    Attributes:
        lost: requests without an outcome `GRACE_S` after their deadline,
            although the entry ran.
        truncated: answers of the wrong length.
        mismatched: answers with the content of another request's answer.
        retried: attempts repeated because an entry ended or timed out.
        abandoned: requests given up by the client before the outcome.
        not_run_keys: keys whose outcome says that the request did not run.
        at_most_once_keys: keys that may be executed at most once.
    """

    sent: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    failed: int = 0
    lost: int = 0
    truncated: int = 0
    mismatched: int = 0
    retried: int = 0
    abandoned: int = 0
    not_run_keys: list[str] = dataclasses.field(default_factory=list)
    at_most_once_keys: list[str] = dataclasses.field(default_factory=list)
    latencies_s: list[float] = dataclasses.field(default_factory=list)


class Callers:
    """Callers that send random requests to one deployment."""

    def __init__(self, site: deployment.Deployment, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._count = 0
        self._stopped = False
        self.tally = Tally()

    def stop(self) -> None:
        """Stops sending new requests; pending ones continue."""
        self._stopped = True

    async def run(self, nursery: trio.Nursery) -> None:
        """Sends requests of every class until `stop` is called."""
        while not self._stopped:
            await trio.sleep(self._rng.expovariate(ARRIVALS_PER_S))
            nursery.start_soon(self._send_one)

    def _request(self) -> request_lib.Request:
        self._count += 1
        document = self._site.document
        work_class = self._rng.choice(document.classes)
        client = self._rng.choice(document.client_accounts)
        run_s = work_class.expected_run_s * self._rng.lognormvariate(0, 0.6)
        order = backend.WorkOrder(run_s, self._answer_bytes())
        key = f"{client.name}/key-{self._count}"
        return request_lib.Request(
            id=types.RequestId(key),
            key=key,
            account=client.name,
            caller=types.CallerId(f"caller-{self._rng.randrange(6)}"),
            work_class=work_class.name,
            idempotent=work_class.idempotent,
            remaining_s=min(work_class.deadline_s, 20.0),
            payload=backend.payload(order, self._rng.choice([0, 2000])),
        )

    def _answer_bytes(self) -> int:
        sizes = [200, 5_000, 70_000, 1_200_000]
        return self._rng.choices(sizes, [60, 30, 9, 1])[0]

    async def _send_one(self) -> None:
        request = self._request()
        self.tally.sent += 1
        began_s = trio.current_time()
        client_timeout_s = self._rng.expovariate(1 / 60)
        with trio.move_on_after(client_timeout_s) as client_timeout:
            await self._send_until_outcome(request, began_s)
        if client_timeout.cancelled_caught:
            self.tally.abandoned += 1

    async def _send_until_outcome(
        self, request: request_lib.Request, began_s: float
    ) -> None:
        """Sends the request to one entry after another until one answers."""
        keyed = not request.idempotent
        if keyed:
            self.tally.at_most_once_keys.append(request.key)
        attempts = 0
        while True:
            entry = await self._active_entry()
            attempts += 1
            request_to_send = request
            if request.idempotent:
                # Each entry executes idempotent requests independently, so
                # every attempt has its own id.
                request_to_send = _with_id_suffix(
                    request, f"{entry.address}/{attempts}"
                )
            outcome = await self._submit(entry, request_to_send, keyed)
            if outcome is not None:
                self._record(request, outcome, began_s, attempts)
                return
            self.tally.retried += 1

    async def _active_entry(self) -> entry_lib.Entry:
        while True:
            entries = [
                entry
                for entry in self._site.entries
                if entry.state is types.NodeState.ACTIVE
            ]
            if entries:
                return self._rng.choice(entries)
            await trio.sleep(0.2)

    async def _submit(
        self,
        entry: entry_lib.Entry,
        request: request_lib.Request,
        keyed: bool,
    ) -> request_lib.Outcome | None:
        """Returns the outcome, or None if the entry ended or timed out."""
        outcomes: list[request_lib.Outcome] = []
        timeout_s = request.remaining_s + GRACE_S
        with trio.move_on_after(timeout_s) as timeout:
            async with trio.open_nursery() as nursery:

                async def watch_entry() -> None:
                    await self._site.ended(entry).wait()
                    nursery.cancel_scope.cancel()

                nursery.start_soon(watch_entry)
                outcomes.append(await entry.submit(request, keyed=keyed))
                nursery.cancel_scope.cancel()
        if timeout.cancelled_caught and not self._site.is_paused(entry):
            self.tally.lost += 1
        return outcomes[0] if outcomes else None

    def _record(
        self,
        request: request_lib.Request,
        outcome: request_lib.Outcome,
        began_s: float,
        attempts: int,
    ) -> None:
        tally = self.tally
        tally.latencies_s.append(trio.current_time() - began_s)
        if outcome.ran is types.Ran.NO:
            tally.refused += 1
            if attempts == 1 or not request.idempotent:
                tally.not_run_keys.append(request.key)
        elif outcome.ran is types.Ran.UNKNOWN:
            tally.unknown += 1
        elif outcome.status != 200:
            tally.failed += 1
        else:
            tally.answered += 1
            size = backend.order_of(request.payload).answer_bytes
            expected = backend.answer_for(request.key, size)
            if len(outcome.body) != len(expected):
                tally.truncated += 1
            elif outcome.body != expected:
                tally.mismatched += 1


def _with_id_suffix(
    request: request_lib.Request, suffix: str
) -> request_lib.Request:
    return msgspec.structs.replace(
        request, id=types.RequestId(f"{request.id}#{suffix}")
    )


class FaultInjector:
    """Injects random faults of every kind into one deployment."""

    def __init__(self, site: deployment.Deployment, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self.counts: collections.Counter[str] = collections.Counter()
        self._inject_by_name: dict[str, Callable[[], Awaitable[None]]] = {
            "agent-kill": self._kill_agent,
            "entry-kill": self._kill_entry,
            "agent-drain": self._drain_agent,
            "entry-drain": self._drain_entry,
            "silent-connection": self._silence_connection,
            "one-way-loss": self._lose_one_way,
            "pause": self._pause_process,
            "store-down": self._stop_store,
            "store-lost-answers": self._lose_store_answers,
            "packet-loss": self._lose_packets,
            "delay": self._delay_messages,
            "reorder": self._reorder_messages,
            "region-split": self._split_regions,
            "backend-fails": self._fail_backend,
            "backend-slow": self._slow_backend,
        }

    async def run(self, nursery: trio.Nursery, faults: int) -> None:
        """Injects single faults and pairs until there were `faults` faults."""
        fault_names = sorted(self._inject_by_name)
        while sum(self.counts.values()) < faults:
            await trio.sleep(self._rng.expovariate(1 / FAULT_INTERVAL_S))
            two_faults = self._rng.random() < 0.4
            for name in self._rng.sample(fault_names, 2 if two_faults else 1):
                self.counts[name] += 1
                nursery.start_soon(self._inject_by_name[name])

    def _duration_s(self) -> float:
        return self._rng.uniform(0.3, 4.0)

    async def _kill_agent(self) -> None:
        address = self._rng.choice(list(self._site.agent_places))
        if self._site.is_running(address):
            self._site.kill(address)
            await trio.sleep(self._duration_s())
            self._site.start_agent(address)

    async def _kill_entry(self) -> None:
        address = self._rng.choice(list(self._site.entry_places))
        if self._site.is_running(address):
            self._site.kill(address)
            await trio.sleep(self._duration_s())
            self._site.start_entry(address)

    async def _drain_agent(self) -> None:
        agent = self._rng.choice(self._site.agents or [None])
        if agent is not None and agent.state is types.NodeState.ACTIVE:
            await agent.drain(timeout_s=30.0)
            if self._site.is_current(agent):
                self._site.kill(agent.address)
                self._site.start_agent(agent.address)

    async def _drain_entry(self) -> None:
        entry = self._rng.choice(self._site.entries or [None])
        if entry is not None and entry.state is types.NodeState.ACTIVE:
            await entry.drain(timeout_s=30.0)
            await trio.sleep(0.5)
            if self._site.is_current(entry):
                self._site.kill(entry.address)
                self._site.start_entry(entry.address)

    async def _silence_connection(self) -> None:
        pair = self._random_connection()
        for _ in range(2):
            self._site.network.silence(*pair)
            pair = (pair[1], pair[0])
            if self._rng.random() < 0.5:
                return

    async def _lose_one_way(self) -> None:
        pair = self._random_connection()
        self._site.network.faults.one_way_loss.add(pair)
        await trio.sleep(self._duration_s())
        self._site.network.faults.one_way_loss.discard(pair)

    def _random_connection(self) -> tuple[types.Address, types.Address]:
        entry = self._rng.choice(list(self._site.entry_places))
        agent = self._rng.choice(list(self._site.agent_places))
        return (entry, agent) if self._rng.random() < 0.5 else (agent, entry)

    async def _pause_process(self) -> None:
        addresses = [*self._site.agent_places, *self._site.entry_places]
        await self._site.pause(self._rng.choice(addresses), self._duration_s())

    async def _stop_store(self) -> None:
        self._site.store.set_down(True)
        await trio.sleep(self._rng.uniform(1.0, 20.0))
        self._site.store.set_down(False)

    async def _lose_store_answers(self) -> None:
        self._site.store.faults.lost_answers = 0.5
        await trio.sleep(self._duration_s())
        self._site.store.faults.lost_answers = 0.0

    async def _lose_packets(self) -> None:
        self._site.network.faults.loss = self._rng.uniform(0.02, 0.3)
        await trio.sleep(self._duration_s())
        self._site.network.faults.loss = 0.0

    async def _delay_messages(self) -> None:
        self._site.network.faults.delay_factor = self._rng.uniform(2, 30)
        await trio.sleep(self._duration_s())
        self._site.network.faults.delay_factor = 1.0

    async def _reorder_messages(self) -> None:
        self._site.network.faults.reorder = 0.5
        await trio.sleep(self._duration_s())
        self._site.network.faults.reorder = 0.0

    async def _split_regions(self) -> None:
        self._site.network.faults.regions_partitioned = True
        await trio.sleep(self._duration_s())
        self._site.network.faults.regions_partitioned = False

    async def _fail_backend(self) -> None:
        fake = self._rng.choice(list(self._site.backends_by_address.values()))
        fake.failing = True
        await trio.sleep(self._duration_s())
        fake.failing = False

    async def _slow_backend(self) -> None:
        fake = self._rng.choice(list(self._site.backends_by_address.values()))
        fake.slow_factor = 20.0
        await trio.sleep(self._duration_s())
        fake.slow_factor = 1.0


async def _scenario(
    size: deployment.Size, seed: int, faults: int
) -> tuple[Tally, collections.Counter[str], int, int]:
    rng = random.Random(seed)
    site = deployment.Deployment(size=size, rng=rng, entries=3)
    injector = FaultInjector(site, random.Random(rng.random()))
    callers = Callers(site, random.Random(rng.random()))
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(1.0)
        async with trio.open_nursery() as load_nursery:
            async with trio.open_nursery() as fault_nursery:
                load_nursery.start_soon(callers.run, load_nursery)
                await injector.run(fault_nursery, faults)
            load_nursery.cancel_scope.deadline = (
                trio.current_time() + DRAIN_TIMEOUT_S
            )
            callers.stop()
        nursery.cancel_scope.cancel()
    started = site.ledger.started_by_key
    executed_twice = sum(
        started[key] > 1 for key in callers.tally.at_most_once_keys
    )
    false_not_run = sum(started[key] > 0 for key in callers.tally.not_run_keys)
    return callers.tally, injector.counts, executed_twice, false_not_run


def run(seed: int, faults: int = FAULTS) -> harness.Report:
    """Injects the faults into both deployments and counts violations."""
    totals: collections.Counter[str] = collections.Counter()
    for number, size in enumerate((deployment.MUIDA, deployment.LUNETTA)):
        tally, counts, executed_twice, false_not_run = harness.run_virtual(
            _scenario, size, seed * 31 + number, faults // 2, seed=seed
        )
        totals.update(
            lost=tally.lost,
            doubled=executed_twice,
            cut=tally.truncated,
            crossed=tally.mismatched,
            false_not_run=false_not_run,
            sent=tally.sent,
            answered=tally.answered,
            refused=tally.refused,
            unknown=tally.unknown,
            failed=tally.failed,
            repeated=tally.retried,
            abandoned=tally.abandoned,
            faults=sum(counts.values()),
        )
    violation_names = ("lost", "doubled", "cut", "crossed", "false_not_run")
    figures = {
        name: harness.at_most(totals[name], 0, "count")
        for name in violation_names
    }
    figures["faults"] = harness.at_least(totals["faults"], FAULTS, "count")
    for name in (
        "sent",
        "answered",
        "refused",
        "unknown",
        "failed",
        "repeated",
        "abandoned",
    ):
        figures[name] = harness.info(totals[name], "count")
    return harness.Report(name="faults", seed=seed, figures=figures)
