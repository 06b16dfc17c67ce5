"""Time from both signatures to in force everywhere, under failures."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

import msgspec
import result
import trio

from pimentobridge.bench import harness
from pimentobridge.core import configuration
from pimentobridge.core import signing
from pimentobridge.core import types
from pimentobridge.testing import deployment
from pimentobridge.testing import keys

if TYPE_CHECKING:
    from pimentobridge.daemons import node

IN_FORCE_BOUND_S = 12.0
CHANGES = 8
WATCHERS_RETURN_S = 8.0
SETTLE_S = 1.0
RUNNERS = (11, 44)


@dataclasses.dataclass
class Seen:
    """What was seen over one run."""

    slowest_s: float = 0.0
    reverts: int = 0
    unsigned: int = 0
    replays: int = 0
    store_calls: float = 0.0


def run(seed: int) -> harness.Report:
    """Applies changes while the network, processes and the store fail."""
    total = Seen()
    figures: dict[str, harness.Figure] = {}
    for size in (deployment.MUIDA, deployment.LUNETTA):
        for scenario in ("calm", "loss", "restarts", "split", "store-outage"):
            seen = harness.run_virtual(
                _scenario, size, seed, scenario, None, seed=seed
            )
            figures[f"{size.name}.{scenario}_p100_s"] = harness.at_most(
                seen.slowest_s, IN_FORCE_BOUND_S, "s"
            )
            total.reverts += seen.reverts
            total.unsigned += seen.unsigned
            total.replays += seen.replays
    calls = {
        runners: harness.run_virtual(
            _scenario, deployment.MUIDA, seed, "calm", runners, seed=seed
        ).store_calls
        for runners in RUNNERS
    }
    few, many = RUNNERS
    figures["reverts"] = harness.at_most(total.reverts, 0, "count")
    figures["unsigned_in_force"] = harness.at_most(total.unsigned, 0, "count")
    figures["replays_in_force"] = harness.at_most(total.replays, 0, "count")
    figures["store_calls_per_change"] = harness.info(calls[few], "calls")
    figures["store_calls_growth"] = harness.at_most(
        calls[many] / calls[few], 1.0, "ratio"
    )
    return harness.Report("configuration", seed, figures)


async def _scenario(
    size: deployment.Size, seed: int, scenario: str, runners: int | None
) -> Seen:
    rng = random.Random(seed)
    site = deployment.Deployment(size=size, rng=rng, entries=3, runners=runners)
    seen = Seen()
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await site.publish()
        await trio.sleep(10.0)
        nursery.start_soon(_watch_reverts, site, seen)
        calls = sum(site.store.calls.values())
        for number in range(CHANGES):
            await _change(site, rng, scenario, number, seen)
        await trio.sleep(SETTLE_S)
        spent = sum(site.store.calls.values()) - calls
        seen.store_calls = spent / CHANGES
        nursery.cancel_scope.cancel()
    return seen


async def _change(
    site: deployment.Deployment,
    rng: random.Random,
    scenario: str,
    number: int,
    seen: Seen,
) -> None:
    """Makes one change, one fault, and waits until it is in force."""
    document = _next_document(site, number)
    before = site.proposal
    _offer_bad(site, document, before, seen)
    faults = site.network.faults
    if scenario == "loss":
        faults.loss = 0.2
    elif scenario == "split":
        faults.regions_partitioned = True
    await site.publish(document)
    sequence = document.sequence
    began_s = trio.current_time()
    if scenario == "restarts":
        for address in rng.sample(list(site.agent_places), 3):
            site.kill(address)
            site.start_agent(address)
    elif scenario == "split":
        await trio.sleep(15.0)
        faults.regions_partitioned = False
        began_s = trio.current_time()
    elif scenario == "store-outage":
        # The watchers have at most heard of the write when the store goes.
        await trio.sleep(0.01)
        site.store.set_down(True)
    with trio.move_on_after(60.0):
        while any(d.replica.sequence < sequence for d in _daemons(site)):
            await trio.sleep(0.05)
    elapsed_s = trio.current_time() - began_s
    seen.slowest_s = max(seen.slowest_s, elapsed_s)
    faults.loss = 0.0
    if scenario == "store-outage":
        # A change that nobody has read before the outage can't be known.
        site.store.set_down(False)
        await trio.sleep(WATCHERS_RETURN_S)


def _next_document(
    site: deployment.Deployment, number: int
) -> configuration.Document:
    held = site.document
    client = held.client_accounts[number % len(held.client_accounts)]
    changed = msgspec.structs.replace(client, share=client.share + 1)
    return msgspec.structs.replace(
        held,
        client_accounts=[
            changed if c.name == client.name else c
            for c in held.client_accounts
        ],
        sequence=held.sequence + 1,
        base=configuration.digest(site.proposal.document),
    )


def _offer_bad(
    site: deployment.Deployment,
    document: configuration.Document,
    before: configuration.Proposal,
    seen: Seen,
) -> None:
    """Offers one owner's signature, a wrong digest's and a replay."""
    good = keys.signed(document)
    one = configuration.Proposal(good.document, good.signatures[:1])
    twice = configuration.Proposal(good.document, good.signatures[:1] * 2)
    moved = configuration.Proposal(good.document, before.signatures)
    for daemon in _daemons(site):
        for bad in (one, twice, moved):
            taken = daemon.replica.offer(bad)
            seen.unsigned += isinstance(taken, result.Ok)
        replayed = daemon.replica.offer(before)
        seen.replays += isinstance(replayed, result.Ok)


async def _watch_reverts(site: deployment.Deployment, seen: Seen) -> None:
    highest: dict[tuple[types.Address, int], int] = {}
    while True:
        for daemon in _daemons(site):
            key = (daemon.address, daemon.identity.incarnation)
            sequence = daemon.replica.sequence
            seen.reverts += sequence < highest.get(key, 0)
            highest[key] = max(sequence, highest.get(key, 0))
            proposal = daemon.replica.proposal
            if proposal is not None:
                digest = configuration.digest(proposal.document)
                seen.unsigned += any(
                    signing.check_signature(
                        signature, digest, site.trusted, site.clock.now()
                    )
                    is not None
                    for signature in proposal.signatures
                )
        await trio.sleep(0.5)


def _daemons(
    site: deployment.Deployment,
) -> list[node.Node]:
    return [*site.entries, *site.agents]
