"""Recovery from pairs and triples of simultaneous component failures."""

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

RECOVERED_GOODPUT = 0.95
RECOVERY_BOUND_S = 10.0
ARRIVALS_PER_S = 30.0
BEFORE_FAULTS_S = 8.0
AFTER_FAULTS_S = 16.0
WINDOW_S = 2.0
CASES = 6


async def _fail_entry(site: deployment.Deployment, rng: random.Random) -> None:
    address = rng.choice(list(site.entry_places))
    site.kill(address)
    await trio.sleep(2.0)
    site.start_entry(address)


async def _fail_agent(site: deployment.Deployment, rng: random.Random) -> None:
    address = rng.choice(list(site.agent_places))
    site.kill(address)
    await trio.sleep(2.0)
    site.start_agent(address)


async def _fail_data_centre(
    site: deployment.Deployment, rng: random.Random
) -> None:
    name = rng.choice(
        sorted({p.data_centre for p in site.agent_places.values()})
    )
    addresses = [
        a for a, p in site.agent_places.items() if p.data_centre == name
    ]
    for address in addresses:
        site.kill(address)
    await trio.sleep(3.0)
    for address in addresses:
        site.start_agent(address)


async def _fail_store(site: deployment.Deployment, rng: random.Random) -> None:
    site.store.set_down(True)
    await trio.sleep(4.0)
    site.store.set_down(False)


async def _split_regions(
    site: deployment.Deployment, rng: random.Random
) -> None:
    site.network.faults.regions_partitioned = True
    await trio.sleep(4.0)
    site.network.faults.regions_partitioned = False


FAULTS_BY_NAME: dict[
    str,
    Callable[[deployment.Deployment, random.Random], Awaitable[None]],
] = {
    "entry": _fail_entry,
    "agent": _fail_agent,
    "data-centre": _fail_data_centre,
    "store": _fail_store,
    "split": _split_regions,
}


class CallerLoad:
    """Sends requests; counts them and their answers by second of sending."""

    def __init__(self, site: deployment.Deployment, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self.tally = callers.Tally()
        self.sent_by_second: collections.Counter[int] = collections.Counter()
        self.answered_by_second: collections.Counter[int] = (
            collections.Counter()
        )

    async def run(self, seconds: float) -> None:
        """Sends requests of the first two classes for some seconds."""
        end_s = trio.current_time() + seconds
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                await trio.sleep(self._rng.expovariate(ARRIVALS_PER_S))
                number += 1
                nursery.start_soon(self._send_one, number)

    async def _send_one(self, number: int) -> None:
        document = self._site.document
        client = self._rng.choice(document.client_accounts)
        class_names = [c.name for c in document.classes][:2]
        request = callers.request_of(
            document,
            self._rng.choice(class_names),
            f"key-{number}",
            account=client.name,
        )
        second = int(trio.current_time())
        self.sent_by_second[second] += 1
        request_tally = callers.Tally()
        await callers.send_with_retries(
            self._site,
            lambda: self._choose_entry(client),
            request,
            request_tally,
        )
        self.tally.merge(request_tally)
        self.answered_by_second[second] += request_tally.answered

    def _choose_entry(
        self, client: account.ClientAccount
    ) -> entry_lib.Entry | None:
        """Returns a random active entry, as a load balancer would.

        Prefers entries in the account's home region.
        """
        home = self._site.entries_in(client.home_region)
        entries = [
            entry
            for entry in home or self._site.entries
            if entry.state is types.NodeState.ACTIVE
        ]
        return self._rng.choice(entries) if entries else None


async def _run_case(
    size: deployment.Size, seed: int, fault_names: list[str]
) -> tuple[CallerLoad, deployment.Deployment, float]:
    rng = random.Random(seed)
    site = deployment.Deployment(size=size, rng=rng, entries=4)
    caller_load = CallerLoad(site, random.Random(rng.random()))
    faults_ended_s = 0.0
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(4.0)
        async with trio.open_nursery() as load_nursery:
            load_nursery.start_soon(
                caller_load.run, BEFORE_FAULTS_S + AFTER_FAULTS_S + 6.0
            )
            await trio.sleep(BEFORE_FAULTS_S)
            async with trio.open_nursery() as fault_nursery:
                for name in fault_names:
                    fault_nursery.start_soon(FAULTS_BY_NAME[name], site, rng)
            faults_ended_s = trio.current_time()
        nursery.cancel_scope.cancel()
    return caller_load, site, faults_ended_s


def recovered_after_s(caller_load: CallerLoad, faults_ended_s: float) -> float:
    """Returns seconds from the last fault's end until goodput stays recovered.

    Goodput is recovered in a window of `WINDOW_S` if `RECOVERED_GOODPUT` of
    the requests sent in it are answered.
    """
    last_s = faults_ended_s + AFTER_FAULTS_S - WINDOW_S
    recovery_s = 0.0
    second = int(faults_ended_s)
    while second <= last_s:
        sent = (
            caller_load.sent_by_second[second]
            + caller_load.sent_by_second[second + 1]
        )
        answered = (
            caller_load.answered_by_second[second]
            + caller_load.answered_by_second[second + 1]
        )
        if sent and answered / sent < RECOVERED_GOODPUT:
            recovery_s = second + WINDOW_S - faults_ended_s
        second += 1
    return max(0.0, recovery_s)


def run(seed: int) -> harness.Report:
    """Runs random pairs and triples of failures on both deployments."""
    rng = random.Random(seed)
    totals: collections.Counter[str] = collections.Counter()
    slowest_s = 0.0
    for number in range(CASES):
        size = (deployment.MUIDA, deployment.LUNETTA)[number % 2]
        fault_names = rng.sample(sorted(FAULTS_BY_NAME), 2 + number % 2)
        caller_load, site, faults_ended_s = harness.run_virtual(
            _run_case, size, seed * 401 + number, fault_names, seed=seed
        )
        tally = caller_load.tally
        totals["sent"] += tally.sent
        totals["answered"] += tally.answered
        totals["unknown"] += tally.unknown
        totals["wrong"] += tally.wrong
        totals["lost"] += tally.lost
        totals["doubled"] += tally.doubled(site)
        totals["false_not_run"] += tally.false_not_run(site)
        slowest_s = max(
            slowest_s, recovered_after_s(caller_load, faults_ended_s)
        )
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
