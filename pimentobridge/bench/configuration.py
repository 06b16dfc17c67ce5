"""Time from a change's second signature to its effect on every node."""

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

IN_EFFECT_BOUND_S = 12.0
CHANGES = 8
WATCH_RECOVERY_S = 8.0
FINAL_WAIT_S = 1.0
RUNNERS = (11, 44)


@dataclasses.dataclass
class Observations:
    """What one run of a scenario observed.

    Attributes:
        slowest_s: longest time until a change was in effect on every node.
        reverts: times that a node went back to an older sequence number.
        unsigned: times that a node accepted, or had in force, a proposal with
            missing or invalid signatures.
        replays: times that a node accepted an older proposal again.
        store_calls: calls to the store for each change.
    """

    slowest_s: float = 0.0
    reverts: int = 0
    unsigned: int = 0
    replays: int = 0
    store_calls: float = 0.0


def run(seed: int) -> harness.Report:
    """Publishes changes while the network, processes and the store fail."""
    total = Observations()
    figures: dict[str, harness.Figure] = {}
    for size in (deployment.MUIDA, deployment.LUNETTA):
        for scenario in ("calm", "loss", "restarts", "split", "store-outage"):
            observed = harness.run_virtual(
                _scenario, size, seed, scenario, None, seed=seed
            )
            figures[f"{size.name}.{scenario}_p100_s"] = harness.at_most(
                observed.slowest_s, IN_EFFECT_BOUND_S, "s"
            )
            total.reverts += observed.reverts
            total.unsigned += observed.unsigned
            total.replays += observed.replays
    calls = {
        runners: harness.run_virtual(
            _scenario, deployment.MUIDA, seed, "calm", runners, seed=seed
        ).store_calls
        for runners in RUNNERS
    }
    small, large = RUNNERS
    figures["reverts"] = harness.at_most(total.reverts, 0, "count")
    figures["unsigned_in_force"] = harness.at_most(total.unsigned, 0, "count")
    figures["replays_in_force"] = harness.at_most(total.replays, 0, "count")
    figures["store_calls_per_change"] = harness.info(calls[small], "calls")
    figures["store_calls_growth"] = harness.at_most(
        calls[large] / calls[small], 1.0, "ratio"
    )
    return harness.Report("configuration", seed, figures)


async def _scenario(
    size: deployment.Size, seed: int, scenario: str, runners: int | None
) -> Observations:
    rng = random.Random(seed)
    site = deployment.Deployment(size=size, rng=rng, entries=3, runners=runners)
    observed = Observations()
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await site.publish()
        await trio.sleep(10.0)
        nursery.start_soon(_watch_replicas, site, observed)
        calls_before = sum(site.store.calls.values())
        for number in range(CHANGES):
            await _publish_change(site, rng, scenario, number, observed)
        await trio.sleep(FINAL_WAIT_S)
        spent_calls = sum(site.store.calls.values()) - calls_before
        observed.store_calls = spent_calls / CHANGES
        nursery.cancel_scope.cancel()
    return observed


async def _publish_change(
    site: deployment.Deployment,
    rng: random.Random,
    scenario: str,
    number: int,
    observed: Observations,
) -> None:
    """Publishes a change under a fault; waits until all nodes apply it.

    Offers invalid proposals to the nodes first.
    """
    document = _next_document(site, number)
    previous = site.proposal
    _offer_invalid(site, document, previous, observed)
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
        # When the store goes down, the watchers have at most been notified of
        # the write.
        await trio.sleep(0.01)
        site.store.set_down(True)
    with trio.move_on_after(60.0):
        while any(d.replica.sequence < sequence for d in _daemons(site)):
            await trio.sleep(0.05)
    elapsed_s = trio.current_time() - began_s
    observed.slowest_s = max(observed.slowest_s, elapsed_s)
    faults.loss = 0.0
    if scenario == "store-outage":
        # A change that no node read before the outage can't spread during it.
        site.store.set_down(False)
        await trio.sleep(WATCH_RECOVERY_S)


def _next_document(
    site: deployment.Deployment, number: int
) -> configuration.Document:
    current = site.document
    client = current.client_accounts[number % len(current.client_accounts)]
    changed = msgspec.structs.replace(client, share=client.share + 1)
    return msgspec.structs.replace(
        current,
        client_accounts=[
            changed if c.name == client.name else c
            for c in current.client_accounts
        ],
        sequence=current.sequence + 1,
        base=configuration.digest(site.proposal.document),
    )


def _offer_invalid(
    site: deployment.Deployment,
    document: configuration.Document,
    previous: configuration.Proposal,
    observed: Observations,
) -> None:
    """Offers each node proposals that it must reject, and a replay.

    One proposal has one signature, one has the same signature twice, and one
    has signatures over the digest of the previous document.
    """
    valid = keys.signed(document)
    one_signature = configuration.Proposal(valid.document, valid.signatures[:1])
    repeated_signature = configuration.Proposal(
        valid.document, valid.signatures[:1] * 2
    )
    foreign_signatures = configuration.Proposal(
        valid.document, previous.signatures
    )
    for daemon in _daemons(site):
        for invalid in (one_signature, repeated_signature, foreign_signatures):
            outcome = daemon.replica.offer(invalid)
            observed.unsigned += isinstance(outcome, result.Ok)
        replay_outcome = daemon.replica.offer(previous)
        observed.replays += isinstance(replay_outcome, result.Ok)


async def _watch_replicas(
    site: deployment.Deployment, observed: Observations
) -> None:
    highest: dict[tuple[types.Address, int], int] = {}
    while True:
        for daemon in _daemons(site):
            key = (daemon.address, daemon.identity.incarnation)
            sequence = daemon.replica.sequence
            observed.reverts += sequence < highest.get(key, 0)
            highest[key] = max(sequence, highest.get(key, 0))
            proposal = daemon.replica.proposal
            if proposal is not None:
                digest = configuration.digest(proposal.document)
                observed.unsigned += any(
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
