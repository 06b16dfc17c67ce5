"""Entry: a process behind the load balancer that accepts requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pimentobridge.core import directory as directory_lib
from pimentobridge.core import dispatcher as dispatcher_lib
from pimentobridge.core import fetch
from pimentobridge.core import types
from pimentobridge.daemons import claim_store
from pimentobridge.daemons import configuration_watch
from pimentobridge.daemons import jobs
from pimentobridge.daemons import node

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence
    import random

    from pimentobridge.core import backends
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import configuration
    from pimentobridge.core import request as request_lib
    from pimentobridge.platform import store as store_lib
    from pimentobridge.protocol import cluster
    from pimentobridge.protocol import messages
    from pimentobridge.protocol import transport

DRAIN_POLL_INTERVAL_S = 0.1
DEFAULT_LINK_BYTES_PER_S = 1_000_000.0


class Entry(node.Node):
    """Queues and dispatches callers' requests.

    The capacity of a backend server belongs to its agent, not to an entry.
    """

    def __init__(
        self,
        *,
        identity: node.Identity,
        endpoint: transport.Endpoint,
        clock: clock_lib.Clock,
        rng: random.Random,
        store: store_lib.Store,
        trusted: Sequence[configuration.Owner],
        entries: Sequence[types.Address],
        policy: backends.Policy | None = None,
    ) -> None:
        super().__init__(
            identity=identity,
            endpoint=endpoint,
            clock=clock,
            rng=rng,
            trusted=trusted,
            entries=entries,
        )
        self._nursery: trio.Nursery | None = None
        self._link = fetch.LinkBudget(
            bytes_per_s=DEFAULT_LINK_BYTES_PER_S,
            entries=len(entries),
            now_s=clock.monotonic(),
        )
        self.directory = directory_lib.Directory(
            clock=clock,
            outbox=endpoint,
            replica=self.replica,
            receives_roll_ups=self.membership.receives_roll_ups,
            on_member=self._on_member,
        )
        self.jobs = jobs.JobService(
            clock=clock,
            outbox=endpoint,
            rng=rng,
            address=endpoint.address,
            directory=self.directory,
            alive_entries=self._alive_entries,
            store=store,
        )
        self.watch = configuration_watch.ConfigurationWatch(
            store=store,
            rng=rng,
            address=endpoint.address,
            region=identity.region,
            candidates=self._region_entries,
            on_proposal=lambda proposal: self.call_soon(
                lambda: self._on_proposal(proposal)
            ),
        )
        self.dispatcher = dispatcher_lib.Dispatcher(
            clock=clock,
            outbox=endpoint,
            rng=rng,
            region=identity.region,
            claim_store=claim_store.StoredClaims(
                store=store,
                claimant=endpoint.address,
                spawn=self.spawn,
                call_soon=self.call_soon,
            ),
            link=self._link,
            policy=policy,
        )
        self.components += [
            self.dispatcher,
            self.directory,
            self.jobs,
        ]

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.watch.run)
            nursery.start_soon(self.jobs.run, self.call_soon)
            nursery.start_soon(super().run)

    def spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        """Starts a task that is cancelled when this entry stops."""
        if self._nursery is None:
            raise RuntimeError(
                "received a task before run(); call run() first."
            )
        self._nursery.start_soon(task)

    async def submit(
        self, request: request_lib.Request, *, keyed: bool = False
    ) -> request_lib.Outcome:
        """Runs a request and returns its outcome.

        If the caller is cancelled, so is the request.
        """
        done = trio.Event()
        outcomes: list[request_lib.Outcome] = []

        def on_outcome(outcome: request_lib.Outcome) -> None:
            outcomes.append(outcome)
            done.set()

        self.call_soon(
            lambda: self.dispatcher.submit(request, on_outcome, keyed=keyed)
        )
        try:
            await done.wait()
        except trio.Cancelled:
            self.call_soon(
                lambda: self.dispatcher.cancel(request.id, on_outcome)
            )
            raise
        return outcomes[0]

    async def drain(self, timeout_s: float) -> int:
        """Refuses new requests and waits for the outcome of pending ones.

        Args:
            timeout_s: longest time to wait, in seconds.

        Returns:
            Number of requests without an outcome.
        """
        self.state = types.NodeState.DRAINING
        self.membership.announce_draining()
        self.dispatcher.draining = True
        with trio.move_on_after(timeout_s):
            while self.dispatcher.pending_count:
                await trio.sleep(DRAIN_POLL_INTERVAL_S)
        return self.dispatcher.pending_count

    def on_configuration(self, document: configuration.Document) -> None:
        """Applies a newer configuration and announces it."""
        self._link.set_bandwidth(document.link.bytes_per_s)
        self.dispatcher.apply_configuration(
            document.classes_by_name, document.accounts_by_name
        )
        self.jobs.set_document(document)
        self.directory.announce_configuration()

    def on_heartbeat(
        self, sender: types.Address, heartbeat: messages.Heartbeat
    ) -> None:
        """Passes an agent's heartbeat to the dispatcher."""
        self.dispatcher.on_agent_heartbeat(sender, heartbeat)

    def on_peer_lost(self, peer: types.Address) -> None:
        """Treats an agent that has been silent for too long as lost."""
        self.links.remove(peer)
        self.dispatcher.on_agent_silent(peer)

    def on_link_reset(self, peer: types.Address) -> None:
        """Resends outstanding requests over the new connection."""
        self.dispatcher.on_link_reset(peer)

    def on_housekeeping(self) -> None:
        """Deletes outcomes whose retention has ended."""
        self.dispatcher.evict_expired()

    def _on_proposal(self, proposal: configuration.Proposal) -> None:
        self.replica.offer(proposal)

    def _on_member(self, member: cluster.Member) -> None:
        self.jobs.on_member(member)

    def _alive_entries(self) -> list[types.Address]:
        return [
            member.address
            for member in self.membership.members
            if member.state is types.NodeState.ACTIVE
        ]

    def _region_entries(self) -> list[types.Address]:
        return [
            member.address
            for member in self.membership.members
            if member.region == self.identity.region
        ]
