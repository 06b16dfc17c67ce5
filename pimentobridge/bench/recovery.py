"""Entry, agent, data centre and store failures in pairs and triples."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

import trio

from pimentobridge.bench import harness
from pimentobridge.core import types
from pimentobridge.testing import callers
from pimentobridge.testing import deployment

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pimentobridge.core import account
    from pimentobridge.daemons import entry as entry_lib

RECOVERED = 0.95
RECOVERY_BOUND_S = 10.0
ARRIVALS_PER_S = 30.0
BEFORE_S = 8.0
AFTER_S = 16.0
WINDOW_S = 2.0
CASES = 6


async def _entry(site: deployment.Deployment, rng: random.Random) -> None:
    address = rng.choice(list(site.entry_places))
    site.kill(address)
    await trio.sleep(2.0)
    site.start_entry(address)


async def _agent(site: deployment.Deployment, rng: random.Random) -> None:
    address = rng.choice(list(site.agent_places))
    site.kill(address)
    await trio.sleep(2.0)
    site.start_agent(address)


async def _data_centre(site: deployment.Deployment, rng: random.Random) -> None:
    name = rng.choice(
        sorted({p.data_centre for p in site.agent_places.values()})
    )
    hit = [a for a, p in site.agent_places.items() if p.data_centre == name]
    for address in hit:
        site.kill(address)
    await trio.sleep(3.0)
    for address in hit:
        site.start_agent(address)


async def _store(site: deployment.Deployment, rng: random.Random) -> None:
    site.store.set_down(True)
    await trio.sleep(4.0)
    site.store.set_down(False)


async def _split(site: deployment.Deployment, rng: random.Random) -> None:
    site.network.faults.regions_partitioned = True
    await trio.sleep(4.0)
    site.network.faults.regions_partitioned = False


FAULTS_BY_NAME: dict[
    str,
    Callable[[deployment.Deployment, random.Random], Awaitable[None]],
] = {
    "entry": _entry,
    "agent": _agent,
    "data-centre": _data_centre,
    "store": _store,
    "split": _split,
}


class Clients:
    """Callers whose goodput is recorded by the time they sent."""

    def __init__(self, site: deployment.Deployment, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self.tally = callers.Tally()
        self.sent_by_second: collections.Counter[int] = collections.Counter()
        self.good_by_second: collections.Counter[int] = collections.Counter()

    async def run(self, seconds: float) -> None:
        """Sends urgent and normal requests for a while."""
        end_s = trio.current_time() + seconds
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                await trio.sleep(self._rng.expovariate(ARRIVALS_PER_S))
                number += 1
                nursery.start_soon(self._one, number)

    async def _one(self, number: int) -> None:
        document = self._site.document
        client = self._rng.choice(document.client_accounts)
        names = [c.name for c in document.classes][:2]
        request = callers.request_of(
            document,
            self._rng.choice(names),
            f"key-{number}",
            account=client.name,
        )
        second = int(trio.current_time())
        self.sent_by_second[second] += 1
        own = callers.Tally()
        await callers.send_with_retries(
            self._site, lambda: self._entry_for(client), request, own
        )
        self.tally.merge(own)
        self.good_by_second[second] += own.answered

    def _entry_for(
        self, client: account.ClientAccount
    ) -> entry_lib.Entry | None:
        """Returns an entry that lives, as the balancer would."""
        home = self._site.entries_in(client.home_region)
        entries = [
            entry
            for entry in home or self._site.entries
            if entry.state is types.NodeState.ACTIVE
        ]
        return self._rng.choice(entries) if entries else None


async def _case(
    size: deployment.Size, seed: int, names: list[str]
) -> tuple[Clients, deployment.Deployment, float]:
    rng = random.Random(seed)
    site = deployment.Deployment(size=size, rng=rng, entries=4)
    clients = Clients(site, random.Random(rng.random()))
    ended_s = 0.0
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(4.0)
        async with trio.open_nursery() as load:
            load.start_soon(clients.run, BEFORE_S + AFTER_S + 6.0)
            await trio.sleep(BEFORE_S)
            async with trio.open_nursery() as chaos:
                for name in names:
                    chaos.start_soon(FAULTS_BY_NAME[name], site, rng)
            ended_s = trio.current_time()
        nursery.cancel_scope.cancel()
    return clients, site, ended_s


def recovered_after_s(clients: Clients, ended_s: float) -> float:
    """Returns seconds from the last fault until goodput is back for good."""
    last = ended_s + AFTER_S - WINDOW_S
    worst_s = 0.0
    second = int(ended_s)
    while second <= last:
        sent = (
            clients.sent_by_second[second] + clients.sent_by_second[second + 1]
        )
        good = (
            clients.good_by_second[second] + clients.good_by_second[second + 1]
        )
        if sent and good / sent < RECOVERED:
            worst_s = second + WINDOW_S - ended_s
        second += 1
    return max(0.0, worst_s)


def run(seed: int) -> harness.Report:
    """Runs seeded pairs and triples of failures on both deployments."""
    rng = random.Random(seed)
    totals: collections.Counter[str] = collections.Counter()
    slowest_s = 0.0
    for number in range(CASES):
        size = (deployment.MUIDA, deployment.LUNETTA)[number % 2]
        names = rng.sample(sorted(FAULTS_BY_NAME), 2 + number % 2)
        clients, site, ended_s = harness.run_virtual(
            _case, size, seed * 401 + number, names, seed=seed
        )
        tally = clients.tally
        totals["sent"] += tally.sent
        totals["answered"] += tally.answered
        totals["unknown"] += tally.unknown
        totals["wrong"] += tally.wrong
        totals["lost"] += tally.lost
        totals["doubled"] += tally.doubled(site)
        totals["false_not_run"] += tally.false_not_run(site)
        slowest_s = max(slowest_s, recovered_after_s(clients, ended_s))
    figures = {
        name: harness.at_most(totals[name], 0, "count")
        for name in ("lost", "wrong", "doubled", "false_not_run")
    }
    figures["recovered_after_s"] = harness.at_most(
        slowest_s, RECOVERY_BOUND_S, "s"
    )
    for name in ("sent", "answered", "unknown"):
        figures[name] = harness.info(totals[name], "count")
    return harness.Report("recovery", seed, figures)
