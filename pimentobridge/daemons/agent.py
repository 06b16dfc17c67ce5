"""Agent: the process beside a backend server that controls access to it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from pimentobridge.core import execution
from pimentobridge.core import gang_anchor
from pimentobridge.core import gang_member
from pimentobridge.core import types
from pimentobridge.daemons import node

if TYPE_CHECKING:
    from collections.abc import Hashable
    from collections.abc import Sequence
    import random

    from pimentobridge.core import account
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import configuration
    from pimentobridge.platform import backend as backend_lib
    from pimentobridge.platform import worker as worker_lib
    from pimentobridge.protocol import messages
    from pimentobridge.protocol import transport

DRAIN_POLL_INTERVAL_S = 0.1


class _ExecutorComponent:
    """Passes a node's messages to the executor."""

    def __init__(self, executor: execution.Executor) -> None:
        self._executor = executor

    def handle(self, message: object, sender: types.Address) -> bool:
        return self._executor.handle(message, sender)

    def on_timer(self) -> None:
        """Has no timers of its own."""

    def next_wakeup_s(self) -> float:
        return math.inf


class Agent(node.Node):
    """Owns one backend server's slots, connections and execution records.

    Args:
        entries: addresses of the entries to announce the server to.
        worker: the worker that runs gang tasks; None for none.
        accelerators: number of the worker's accelerators.
        first_come: whether to use one queue for all classes, without floors and
            without a reserve for urgent work.
    """

    def __init__(
        self,
        *,
        identity: node.Identity,
        endpoint: transport.Endpoint,
        clock: clock_lib.Clock,
        rng: random.Random,
        trusted: Sequence[configuration.Owner],
        backend: backend_lib.Backend | None,
        entries: Sequence[types.Address],
        slots: int,
        worker: worker_lib.Worker | None = None,
        accelerators: int = 0,
        first_come: bool = False,
    ) -> None:
        super().__init__(
            identity=identity,
            endpoint=endpoint,
            clock=clock,
            rng=rng,
            trusted=trusted,
            entries=entries,
            accelerators=accelerators,
        )
        self._backend = backend
        self._entries = list(entries)
        self._accounts_by_name: dict[
            types.AccountName, account.ClientAccount
        ] = {}
        self._entry_heartbeat_s = clock.monotonic()
        self._nursery: trio.Nursery | None = None
        self._scopes_by_id: dict[types.RequestId, trio.CancelScope] = {}
        self.executor = execution.Executor(
            incarnation=identity.incarnation,
            slots=slots,
            clock=clock,
            outbox=endpoint,
            start_work=self._start_work,
            cancel_work=self._cancel_work,
            weight_of=self._weight_of,
            first_come=first_come,
        )
        self.components.append(_ExecutorComponent(self.executor))
        self.gangs: gang_member.GangMember | None = None
        self.anchor: gang_anchor.GangAnchor | None = None
        if worker is not None:
            self._add_worker(worker, accelerators)

    def _add_worker(self, worker: worker_lib.Worker, accelerators: int) -> None:
        self.gangs = gang_member.GangMember(
            clock=self.clock,
            outbox=self.endpoint,
            worker=worker,
            accelerators=accelerators,
            call_soon=self.call_soon,
        )
        self.anchor = gang_anchor.GangAnchor(
            clock=self.clock,
            outbox=self.endpoint,
            holds=self.gangs.holds,
            contact_age_s=self._entry_silence_s,
        )
        self.components += [self.gangs, self.anchor]

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(super().run)

    async def drain(self, timeout_s: float) -> int:
        """Refuses new work and waits for the work in progress.

        Args:
            timeout_s: longest time to wait, in seconds.

        Returns:
            Number of requests that are unfinished, or whose answer an entry
            hasn't acknowledged.
        """
        self.state = types.NodeState.DRAINING
        self.membership.announce_draining()
        if self.gangs is not None:
            self.gangs.draining = True
        self.executor.start_draining()
        self.send_heartbeats()
        with trio.move_on_after(timeout_s):
            while self.executor.unacknowledged:
                await trio.sleep(DRAIN_POLL_INTERVAL_S)
        return self.executor.unacknowledged

    def on_configuration(self, document: configuration.Document) -> None:
        """Applies the classes and accounts of a newer configuration."""
        self._accounts_by_name = document.accounts_by_name
        self.executor.set_classes(document.classes_by_name)

    def on_heartbeat(
        self, sender: types.Address, heartbeat: messages.Heartbeat
    ) -> None:
        """Records when an entry was last heard from."""
        self._entry_heartbeat_s = self.clock.monotonic()

    def heartbeat_peers(self) -> list[types.Address]:
        """Returns the entries and all other peers that have sent heartbeats."""
        return sorted({*self._entries, *self.links.peers})

    def current_load(self) -> messages.Load:
        """Returns the load to announce."""
        return self.executor.load

    def slots(self) -> int:
        """Returns the slots to announce."""
        return self.executor.slots

    def on_peer_lost(self, peer: types.Address) -> None:
        """Stops keeping answers for an entry that is lost."""
        self.executor.forget_listener(peer)
        if peer not in self._entries:
            self.links.remove(peer)

    def on_housekeeping(self) -> None:
        """Deletes records whose retention has ended."""
        self.executor.evict_expired()
        if self.gangs is not None:
            self.gangs.evict_expired()

    def _entry_silence_s(self) -> float:
        return self.clock.monotonic() - self._entry_heartbeat_s

    def _weight_of(self, key: Hashable) -> float:
        client_account = self._accounts_by_name.get(types.AccountName(str(key)))
        return client_account.share if client_account is not None else 1.0

    def _start_work(self, record: execution.Record) -> None:
        if self._nursery is None:
            raise RuntimeError("received work before run(); call run() first.")
        self._nursery.start_soon(self._run_work, record)

    def _cancel_work(self, record: execution.Record) -> None:
        scope = self._scopes_by_id.get(record.request.id)
        if scope is not None:
            scope.cancel()

    async def _run_work(self, record: execution.Record) -> None:
        scope = trio.CancelScope()
        self._scopes_by_id[record.request.id] = scope
        if self._backend is None:
            raise RuntimeError(
                "received work, but no backend is configured; set slots to 0."
            )
        with scope:
            reply = await self._backend.perform(record.request)
            self.call_soon(
                lambda: self.executor.finish(record, reply.status, reply.body)
            )
        if self._scopes_by_id.get(record.request.id) is scope:
            del self._scopes_by_id[record.request.id]
