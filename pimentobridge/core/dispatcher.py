"""Dispatch of an entry's requests to backend servers.

An entry is a front-end process that takes requests from callers; an agent is
the process beside each backend server. The entry decides where work is sent,
and the agent that receives it decides whether it starts. Every request ends in
exactly one outcome: answered, not run, or unknown.
"""

from __future__ import annotations

import functools
import heapq
from typing import TYPE_CHECKING

import msgspec

from pimentobridge.core import account
from pimentobridge.core import backends
from pimentobridge.core import backlog as backlog_lib
from pimentobridge.core import budget
from pimentobridge.core import claims
from pimentobridge.core import estimate
from pimentobridge.core import fetch
from pimentobridge.core import outlier
from pimentobridge.core import pending as pending_lib
from pimentobridge.core import request as request_lib
from pimentobridge.core import types
from pimentobridge.protocol import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Hashable
    from collections.abc import Mapping
    import random

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.protocol import transport

# Base interval for resending an unacknowledged dispatch or withdrawal.
RESEND_AFTER_S = 0.3
# Multiple of a payload's transfer time over the inter-region link to wait
# before resending it.
LINK_TRANSFER_MARGIN = 4.0
# Silence after which an agent that accepted a request is queried about it.
QUERY_AFTER_S = 0.8
WITHDRAW_TIMEOUT_S = 1.0
# Minimum time allowed for checking whether the key of a refused request has
# run.
PROBE_TIMEOUT_S = 1.5
AGENT_LOST_AFTER_S = 4.0
MAX_ATTEMPTS = 4
OUTCOME_RETENTION_S = 60.0
# Queueing delay above which work may spill over to the other region: seconds
# for urgent classes, a multiple of the expected run time for the others.
URGENT_SPILL_WAIT_S = 0.15
SPILL_WAIT_FACTOR = 3.0

_UNKNOWN_OUTCOME_REMEDY = (
    "Repeat the request with the same Idempotency-Key to learn the outcome, or"
    " check the effect before sending it under a new key."
)


class Dispatcher:
    """State machine of the requests that one entry has accepted.

    Args:
        clock: source of time.
        outbox: sends messages to agents.
        rng: source of randomness for sampling servers.
        region: region of this entry.
        claim_store: store of the claims on requests that must run only once.
        link: this entry's bandwidth budget on the inter-region link.
        policy: how requests are bound to servers; late binding by default.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        outbox: transport.Outbox,
        rng: random.Random,
        region: types.RegionName,
        claim_store: claims.ClaimStore,
        link: fetch.LinkBudget,
        policy: backends.Policy | None = None,
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._policy = policy or backends.LateBinding()
        self._estimator = estimate.RunTimeEstimator()
        self._detector = outlier.OutlierDetector(clock)
        self._link_budget = link
        self.pool = backends.BackendPool(
            region=region, detector=self._detector, rng=rng
        )
        self.claimant = claims.Claimant(clock=clock, store=claim_store)
        self._fetcher = fetch.Fetcher(clock=clock, outbox=outbox, link=link)
        self._accounts_by_name: dict[
            types.AccountName, account.ClientAccount
        ] = {}
        self.backlog = backlog_lib.Backlog(
            clock=clock,
            estimator=self._estimator,
            weight_of=self._weight_of,
            first_come=isinstance(self._policy, backends.FirstCome),
        )
        self._pending_by_id: dict[types.RequestId, pending_lib.Pending] = {}
        self._outcomes_by_id: dict[
            types.RequestId, tuple[float, request_lib.Outcome]
        ] = {}
        self._classes_without_capacity: set[types.ClassName] = set()
        self._timers: list[tuple[float, int, types.RequestId]] = []
        self._timer_sequence = 0
        self.retry_budget = budget.RetryBudget()
        self.counters = pending_lib.Counters()
        self.draining = False
        self.on_outcome: Callable[
            [request_lib.Request, request_lib.Outcome, float], None
        ] = lambda request, outcome, elapsed_s: None
        self._classes_by_name: dict[types.ClassName, request_lib.WorkClass] = {}

    @property
    def ejections_by_agent(self) -> Mapping[types.Address, int]:
        """Number of times each backend server was ejected, by agent address."""
        return self._detector.ejections_by_peer

    @property
    def pending_count(self) -> int:
        """Number of requests without an outcome."""
        return len(self._pending_by_id)

    def apply_configuration(
        self,
        classes_by_name: Mapping[types.ClassName, request_lib.WorkClass],
        accounts_by_name: Mapping[types.AccountName, account.ClientAccount],
    ) -> None:
        """Applies the classes and accounts of a newer configuration."""
        self._classes_by_name = dict(classes_by_name)
        self._accounts_by_name = dict(accounts_by_name)
        self.backlog.set_classes(classes_by_name)

    def submit(
        self,
        request: request_lib.Request,
        on_outcome: Callable[[request_lib.Outcome], None],
        *,
        keyed: bool = False,
    ) -> None:
        """Accepts a request; `on_outcome` is called exactly once.

        Args:
            request: the request; `remaining_s` is its whole time limit.
            on_outcome: receives the outcome.
            keyed: whether the caller may send the same idempotency key through
                another entry.
        """
        self.counters.submitted += 1
        if self._attach_to_existing(request, on_outcome):
            return
        work_class = self._classes_by_name.get(request.work_class)
        if work_class is None:
            on_outcome(self._count_refusal("The class is not in force here"))
            return
        if self.draining:
            on_outcome(self._count_refusal("The entry is shutting down"))
            return
        refusal = self.backlog.refusal(request)
        now_s = self._clock.monotonic()
        pending = pending_lib.Pending(
            request=request,
            work_class=work_class,
            submitted_s=now_s,
            deadline_s=now_s + request.remaining_s,
            waiters=[on_outcome],
            keyed=keyed and not request.idempotent,
        )
        self._pending_by_id[request.id] = pending
        if refusal is not None:
            self._refuse(pending, refusal)
            return
        self.retry_budget.on_new_request()
        self._set_timer(pending, pending.deadline_s)
        self.backlog.push(request, at_front=False)
        self.dispatch_queued()

    def cancel(
        self,
        request_id: types.RequestId,
        on_outcome: Callable[[request_lib.Outcome], None],
    ) -> None:
        """Cancels a request if no other caller waits for its outcome.

        A queued request is dropped and idempotent work is aborted; work that
        must run only once continues.
        """
        pending = self._pending_by_id.get(request_id)
        if pending is None:
            return
        pending.waiters = [w for w in pending.waiters if w != on_outcome]
        if pending.waiters:
            return
        if pending.stage is pending_lib.Stage.QUEUED:
            self._finish(pending, request_lib.refused("The caller has gone."))
        elif pending.request.idempotent and pending.agent:
            pending.abort = True
            self._withdraw(pending)

    @functools.singledispatchmethod
    def handle(self, message: object, sender: types.Address) -> bool:
        """Handles a message; returns False if it isn't for the dispatcher."""
        return False

    @handle.register(messages.Accepted)
    def _on_accepted(
        self, message: messages.Accepted, sender: types.Address
    ) -> bool:
        self._update_load(sender, message.load)
        pending = self._pending_at_incarnation(
            message.id, sender, message.incarnation
        )
        if pending is not None:
            pending.last_heard_s = self._clock.monotonic()
            running = message.state is types.ExecutionState.RUNNING
            if pending.stage is pending_lib.Stage.WITHDRAWING:
                self._on_withdraw_rejected(pending)
            elif running:
                self._set_stage(pending, pending_lib.Stage.RUNNING)
            elif pending.stage is pending_lib.Stage.SENT:
                self._set_stage(pending, pending_lib.Stage.ACCEPTED)
        self.dispatch_queued()
        return True

    @handle.register(messages.NotRun)
    def _on_not_run(
        self, message: messages.NotRun, sender: types.Address
    ) -> bool:
        self._update_load(sender, message.load)
        pending = self._pending_by_id.get(message.id)
        if pending is None or pending.agent != sender:
            return True
        if message.attempt < pending.request.attempt:
            return True
        if message.reason is messages.NotRunReason.WRONG_INCARNATION:
            self._on_wrong_incarnation(pending, message)
        elif message.incarnation != pending.agent_incarnation:
            # A restarted agent has no record of what its earlier incarnation
            # ran, so its reply doesn't prove that the work was not run.
            self._on_execution_lost(pending)
        else:
            self._on_confirmed_not_run(pending, message.reason)
        self.dispatch_queued()
        return True

    @handle.register(messages.ExecutionReport)
    def _on_report(
        self, message: messages.ExecutionReport, sender: types.Address
    ) -> bool:
        pending = self._pending_by_id.get(message.id)
        if pending is None or pending.agent != sender:
            return True
        if message.incarnation != pending.agent_incarnation:
            self._on_execution_lost(pending)
        elif message.state is types.ExecutionState.TOMBSTONED:
            self._on_confirmed_not_run(
                pending, messages.NotRunReason.TOMBSTONED
            )
        elif pending.attached or pending.stage is pending_lib.Stage.WITHDRAWING:
            # The agent has no record of the attempt. The tombstone left by a
            # withdrawal ensures that it can't start later.
            self._send_withdraw(pending)
        else:
            self._send_dispatch(pending)
        return True

    @handle.register(messages.AnswerHead)
    def _on_answer_head(
        self, message: messages.AnswerHead, sender: types.Address
    ) -> bool:
        self._update_load(sender, message.load)
        pending = self._pending_by_id.get(message.id)
        if pending is None:
            self._outbox.send(sender, messages.AnswerAck(message.id))
            return True
        pending.last_heard_s = self._clock.monotonic()
        if (
            pending.agent != sender
            or pending.stage is pending_lib.Stage.FETCHING
        ):
            return True
        self._set_stage(pending, pending_lib.Stage.FETCHING)
        paced = self._is_paced(sender, pending.work_class)
        body = self._fetcher.start(sender, message, paced=paced)
        if body is not None:
            self._on_complete_answer(pending, message, body)
        self.dispatch_queued()
        return True

    @handle.register(messages.Chunk)
    def _on_chunk(self, message: messages.Chunk, sender: types.Address) -> bool:
        pending = self._pending_by_id.get(message.id)
        answer = self._fetcher.on_chunk(message)
        if pending is not None:
            pending.last_heard_s = self._clock.monotonic()
            if answer is not None:
                self._on_complete_answer(pending, answer[0], answer[1])
                self.dispatch_queued()
        return True

    def on_agent_heartbeat(
        self, sender: types.Address, heartbeat: messages.Heartbeat
    ) -> None:
        """Records an agent's heartbeat.

        A new incarnation has lost the execution records of the earlier one.
        """
        replaced = self.pool.upsert(sender, heartbeat)
        if replaced is not None:
            self._on_incarnation_lost(sender, replaced.incarnation)
        self._classes_without_capacity.clear()
        self.dispatch_queued()

    def on_agent_silent(self, address: types.Address) -> None:
        """Removes an agent whose heartbeats have timed out."""
        server = self.pool.by_address.get(address)
        if server is not None:
            self.pool.remove(address)
            self._detector.remove_absent(self.pool.by_address)
            self._on_incarnation_lost(address, server.incarnation)
        self.dispatch_queued()

    def on_link_reset(self, address: types.Address) -> None:
        """Resends the outstanding message of each request at an agent."""
        for pending in list(self._pending_by_id.values()):
            if (
                pending.agent == address
                and pending.stage is not pending_lib.Stage.QUEUED
            ):
                self._resend_outstanding(pending)

    def on_timer(self) -> None:
        """Handles all timers that are due."""
        now_s = self._clock.monotonic()
        self.claimant.on_timer()
        self._fetcher.on_timer()
        while self._timers and self._timers[0][0] <= now_s:
            _, _, request_id = heapq.heappop(self._timers)
            pending = self._pending_by_id.get(request_id)
            if pending is not None:
                self._handle_timer(pending, now_s)
        self._classes_without_capacity.clear()
        self.dispatch_queued()

    def evict_expired(self) -> None:
        """Drops outcomes whose retention for repeated requests has ended."""
        oldest_s = self._clock.monotonic() - OUTCOME_RETENTION_S
        for request_id, (stored_s, _) in list(self._outcomes_by_id.items()):
            if stored_s >= oldest_s:
                break
            del self._outcomes_by_id[request_id]

    def next_wakeup_s(self) -> float:
        """Returns when `on_timer` is due, in seconds of the clock."""
        due_s = self._timers[0][0] if self._timers else float("inf")
        return min(
            due_s,
            self.claimant.next_wakeup_s(),
            self._fetcher.next_wakeup_s(),
        )

    def dispatch_queued(self) -> None:
        """Sends queued requests while servers have capacity for them.

        A class that found no capacity isn't retried until some may have become
        free, so that a flood of submissions doesn't cost a server search each.
        """
        for work_class in self.backlog.ordered_classes:
            if work_class.name in self._classes_without_capacity:
                continue
            queue = self.backlog.queue_of(work_class.name)
            while len(queue):
                server = self._choose_server(work_class)
                if server is None:
                    self._classes_without_capacity.add(work_class.name)
                    break
                self._send_next(work_class, server)

    def _choose_server(
        self, work_class: request_lib.WorkClass
    ) -> backends.BackendServer | None:
        return backends.choose(
            self._policy,
            self.pool,
            work_class,
            allow_remote=self._may_spill(work_class),
        )

    def _may_spill(self, work_class: request_lib.WorkClass) -> bool:
        """Returns whether requests of a class may go to another region.

        They may if queueing locally costs more than the inter-region link.
        """
        queue = self.backlog.queue_of(work_class.name)
        slots = max(self.pool.local_slots, 1)
        wait_s = len(queue) * work_class.expected_run_s / slots
        if work_class.urgency is types.Urgency.URGENT:
            return wait_s > URGENT_SPILL_WAIT_S
        now_s = self._clock.monotonic()
        if self._link_budget.outgoing.ready_at(now_s) > now_s:
            return False
        return wait_s > SPILL_WAIT_FACTOR * work_class.expected_run_s

    def _send_next(
        self,
        work_class: request_lib.WorkClass,
        server: backends.BackendServer,
    ) -> None:
        request_id = self.backlog.pop(work_class.name)
        pending = self._pending_by_id.get(request_id)
        if pending is None or pending.stage is not pending_lib.Stage.QUEUED:
            return
        server = self._avoid_failed(pending, server)
        now_s = self._clock.monotonic()
        run_s = self.backlog.expected_run_s(pending.request)
        if now_s + min(run_s, pending.request.remaining_s / 2) > (
            pending.deadline_s
        ):
            self._refuse(
                pending,
                request_lib.refused(
                    "The work waited too long to be answered in time; repeat"
                    " the request after the stated delay."
                ),
            )
            return
        self._bind(pending, server)
        if pending.keyed:
            self._claim(pending)
        else:
            self._send_dispatch(pending)

    def _avoid_failed(
        self, pending: pending_lib.Pending, server: backends.BackendServer
    ) -> backends.BackendServer:
        """Returns another server if `server` has already failed the request."""
        if server.address not in pending.failed_agents:
            return server
        alternative = backends.choose(
            self._policy,
            self.pool,
            pending.work_class,
            allow_remote=True,
            excluded=pending.failed_agents,
        )
        return alternative or server

    def _bind(
        self, pending: pending_lib.Pending, server: backends.BackendServer
    ) -> None:
        pending.agent = server.address
        pending.agent_incarnation = server.incarnation
        pending.attempts += 1
        pending.sends = 0
        pending.binding = backends.Binding.bind(server, pending.work_class.name)
        pending.stage = pending_lib.Stage.SENT
        self._detector.on_dispatch(server.address)
        if self.pool.is_remote(server):
            self._charge_link(pending, server)

    def _charge_link(
        self, pending: pending_lib.Pending, server: backends.BackendServer
    ) -> None:
        size = len(pending.request.payload)
        self.counters.remote += 1
        self.counters.remote_bytes += size
        if self._is_paced(server.address, pending.work_class):
            now_s = self._clock.monotonic()
            self._link_budget.outgoing.try_spend(size, now_s)

    def _unbind(self, pending: pending_lib.Pending) -> None:
        """Releases the capacity that the request takes up at its server."""
        if pending.binding is not None:
            pending.binding.close()
            pending.binding = None
            self._classes_without_capacity.clear()
        pending.agent = types.Address("")

    def _set_stage(
        self, pending: pending_lib.Pending, stage: pending_lib.Stage
    ) -> None:
        """Sets the stage, and updates the capacity taken up at the server."""
        pending.stage = stage
        if pending.binding is None:
            return
        if stage is pending_lib.Stage.ACCEPTED:
            pending.binding.on_accepted()
        elif stage in (pending_lib.Stage.RUNNING, pending_lib.Stage.FETCHING):
            if pending.binding.unstarted:
                pending.started_s = self._clock.monotonic()
                pending.reported_slow = False
            pending.binding.on_started()
            self._classes_without_capacity.clear()

    def _refuse(
        self, pending: pending_lib.Pending, outcome: request_lib.Outcome
    ) -> None:
        """Refuses a request after verifying that its key has not run.

        A repeated key may have run through another entry that has since died,
        so answering "not run" could be false. The entry therefore first sends a
        probe, which is a claim without an agent. If it is granted, the key has
        not run. If the key is held, the request attaches to the existing
        execution instead.
        """
        if not pending.keyed or pending.claim_granted:
            self._finish(pending, outcome)
            return
        pending.stage = pending_lib.Stage.CLAIMING
        self._set_timer(
            pending,
            max(pending.deadline_s, self._clock.monotonic() + PROBE_TIMEOUT_S),
        )
        probe = claims.Claim(
            pending.id, types.Address(""), types.Incarnation(0)
        )
        self.claimant.start(
            probe,
            functools.partial(self._on_probe_decision, pending, outcome),
        )

    def _on_probe_decision(
        self,
        pending: pending_lib.Pending,
        outcome: request_lib.Outcome,
        decision: claims.Decision,
    ) -> None:
        granted = decision.status is claims.ClaimStatus.GRANTED
        if granted:
            self._release(
                pending,
                decision.attempt,
                decision.agent,
                decision.agent_incarnation,
            )
        if self._pending_by_id.get(pending.id) is not pending:
            return
        if granted:
            pending.claim_granted = True
            self._finish(pending, outcome)
        else:
            self._on_claim_decision(pending, decision)

    def _release(
        self,
        pending: pending_lib.Pending,
        attempt: int,
        agent: types.Address,
        incarnation: types.Incarnation,
    ) -> None:
        release = claims.Release(pending.id, attempt, agent, incarnation)
        self.claimant.release(release)

    def _claim(self, pending: pending_lib.Pending) -> None:
        pending.stage = pending_lib.Stage.CLAIMING
        self.claimant.start(
            claims.Claim(pending.id, pending.agent, pending.agent_incarnation),
            functools.partial(self._on_claim_decision, pending),
        )

    def _on_claim_decision(
        self, pending: pending_lib.Pending, decision: claims.Decision
    ) -> None:
        if self._pending_by_id.get(pending.id) is not pending:
            return
        if decision.status is claims.ClaimStatus.UNDECIDED:
            self._finish(pending, _claim_undecided())
            return
        if decision.status is claims.ClaimStatus.GRANTED:
            pending.claim_granted = True
            pending.request = msgspec.structs.replace(
                pending.request, attempt=decision.attempt
            )
            self._set_stage(pending, pending_lib.Stage.SENT)
            self._send_dispatch(pending)
            return
        if decision.agent:
            self._attach_to_holder(pending, decision)
            return
        # The claim is held by another entry's probe, which never dispatches.
        # That entry has died or is about to release the claim.
        self._release(
            pending,
            decision.attempt,
            decision.agent,
            decision.agent_incarnation,
        )
        if pending.binding is not None:
            self._claim(pending)
        else:
            self._refuse(
                pending, request_lib.refused("The work was not started.")
            )

    def _attach_to_holder(
        self, pending: pending_lib.Pending, decision: claims.Decision
    ) -> None:
        self._unbind(pending)
        pending.attached = True
        pending.agent = decision.agent
        pending.agent_incarnation = decision.agent_incarnation
        pending.request = msgspec.structs.replace(
            pending.request, attempt=decision.attempt
        )
        pending.stage = pending_lib.Stage.ACCEPTED
        pending.last_heard_s = self._clock.monotonic()
        self._send_query(pending)

    def _attach_to_existing(
        self,
        request: request_lib.Request,
        on_outcome: Callable[[request_lib.Outcome], None],
    ) -> bool:
        pending = self._pending_by_id.get(request.id)
        if pending is not None:
            pending.waiters.append(on_outcome)
            return True
        time_and_outcome = self._outcomes_by_id.get(request.id)
        if time_and_outcome is not None:
            on_outcome(time_and_outcome[1])
            return True
        return False

    def _send_dispatch(self, pending: pending_lib.Pending) -> None:
        now_s = self._clock.monotonic()
        pending.sent_s = now_s
        pending.sends += 1
        paced = self._is_paced(pending.agent, pending.work_class)
        request = msgspec.structs.replace(
            pending.request,
            remaining_s=max(pending.deadline_s - now_s, 0.001),
            inline_bytes=0 if paced else pending.request.inline_bytes,
        )
        self._outbox.send(
            pending.agent,
            messages.Dispatch(pending.agent_incarnation, request),
        )
        self._set_timer(pending, now_s + self._resend_after_s(pending))

    def _resend_after_s(self, pending: pending_lib.Pending) -> float:
        """Returns the seconds to wait for an agent to accept a dispatch.

        The interval doubles with each resend, up to 32 times its base. A large
        payload takes long to cross the inter-region link, and resending it
        before it can have arrived would fill the link with copies.
        """
        wait_s: float = RESEND_AFTER_S * 2 ** min(pending.sends - 1, 5)
        if self._is_paced(pending.agent, pending.work_class):
            size = len(pending.request.payload)
            wait_s += (
                LINK_TRANSFER_MARGIN * size / self._link_budget.bytes_per_s
            )
        return wait_s

    def _send_query(self, pending: pending_lib.Pending) -> None:
        pending.sent_s = self._clock.monotonic()
        self._outbox.send(
            pending.agent, messages.Query(pending.id, pending.request.attempt)
        )
        self._set_timer(pending, pending.sent_s + QUERY_AFTER_S)

    def _withdraw(self, pending: pending_lib.Pending) -> None:
        if pending.stage is not pending_lib.Stage.WITHDRAWING:
            self._set_stage(pending, pending_lib.Stage.WITHDRAWING)
            pending.withdraw_started_s = self._clock.monotonic()
        self._send_withdraw(pending)

    def _send_withdraw(self, pending: pending_lib.Pending) -> None:
        pending.sent_s = self._clock.monotonic()
        self._outbox.send(
            pending.agent,
            messages.Withdraw(
                pending.id, pending.request.attempt, pending.abort
            ),
        )
        self._set_timer(pending, pending.sent_s + RESEND_AFTER_S)

    def _resend_outstanding(self, pending: pending_lib.Pending) -> None:
        if pending.stage is pending_lib.Stage.SENT:
            self._send_dispatch(pending)
        elif pending.stage is pending_lib.Stage.WITHDRAWING:
            self._send_withdraw(pending)
        elif pending.stage in (
            pending_lib.Stage.ACCEPTED,
            pending_lib.Stage.RUNNING,
        ):
            self._send_query(pending)

    def _handle_timer(self, pending: pending_lib.Pending, now_s: float) -> None:
        """Handles the due timer of a request, according to its stage."""
        if pending.stage is pending_lib.Stage.WITHDRAWING:
            self._check_withdrawal(pending, now_s)
        elif now_s >= pending.deadline_s:
            self._on_deadline(pending)
        elif pending.stage is pending_lib.Stage.SENT:
            if now_s >= pending.sent_s + self._resend_after_s(pending):
                self._send_dispatch(pending)
        elif pending.stage in (
            pending_lib.Stage.ACCEPTED,
            pending_lib.Stage.RUNNING,
        ):
            self._check_slowness(pending, now_s)
            silent_s = now_s - max(pending.last_heard_s, pending.sent_s)
            if silent_s >= QUERY_AFTER_S - 1e-9:
                self._send_query(pending)
            else:
                self._set_timer(pending, now_s + QUERY_AFTER_S - silent_s)

    def _check_slowness(
        self, pending: pending_lib.Pending, now_s: float
    ) -> None:
        """Reports running work that far exceeds its expected run time.

        Without this check, a server that is ten times slower would be detected
        only after its first requests have missed their deadlines.
        """
        if (
            pending.stage is not pending_lib.Stage.RUNNING
            or pending.reported_slow
        ):
            return
        expected_s = max(self.backlog.expected_run_s(pending.request), 1e-3)
        slowness = (now_s - pending.started_s) / expected_s
        if pending.binding is not None and slowness > outlier.SLOWNESS_LIMIT:
            pending.reported_slow = True
            self._detector.observe(
                pending.agent, failed=False, slowness=slowness
            )

    def _check_withdrawal(
        self, pending: pending_lib.Pending, now_s: float
    ) -> None:
        if now_s - pending.withdraw_started_s >= WITHDRAW_TIMEOUT_S:
            self._finish(pending, _deadline_exceeded())
        elif now_s - pending.sent_s >= RESEND_AFTER_S - 1e-9:
            self._send_withdraw(pending)

    def _on_deadline(self, pending: pending_lib.Pending) -> None:
        if pending.stage is pending_lib.Stage.QUEUED:
            self._refuse(
                pending,
                request_lib.refused(
                    "The deadline passed before the work could start; repeat"
                    " the request with a later deadline."
                ),
            )
        elif pending.stage is pending_lib.Stage.CLAIMING:
            self._finish(pending, _claim_undecided())
        elif pending.stage in (
            pending_lib.Stage.RUNNING,
            pending_lib.Stage.FETCHING,
        ):
            if (
                pending.stage is pending_lib.Stage.RUNNING
                and pending.request.idempotent
            ):
                pending.abort = True
                self._send_withdraw(pending)
            self._finish(pending, _deadline_exceeded())
        else:
            self._withdraw(pending)

    def _on_withdraw_rejected(self, pending: pending_lib.Pending) -> None:
        if self._clock.monotonic() >= pending.deadline_s:
            self._finish(pending, _deadline_exceeded())
        else:
            self._finish(pending, request_lib.unknown("The caller has gone."))

    def _on_confirmed_not_run(
        self, pending: pending_lib.Pending, reason: messages.NotRunReason
    ) -> None:
        expired = self._clock.monotonic() >= pending.deadline_s
        withdrawing = pending.stage is pending_lib.Stage.WITHDRAWING
        if pending.keyed:
            self._release(
                pending,
                pending.request.attempt,
                pending.agent,
                pending.agent_incarnation,
            )
        refusal = request_lib.refused(
            f"The work was not started ({reason.value}); repeat the request."
        )
        if pending.attached:
            # The agent named by the claim has not run the work, but the claim
            # may name another agent by now, so it is probed before the request
            # is answered with "not run".
            pending.attached = False
            self._refuse(pending, refusal)
            return
        if expired or withdrawing:
            self._finish(pending, refusal)
            return
        server = self.pool.by_address.get(pending.agent)
        if server is not None and reason is messages.NotRunReason.DRAINING:
            server.state = types.NodeState.DRAINING
        pending.failed_agents |= {pending.agent}
        self._requeue(pending)

    def _on_wrong_incarnation(
        self, pending: pending_lib.Pending, message: messages.NotRun
    ) -> None:
        if message.incarnation <= pending.agent_incarnation:
            return
        if pending.sends == 1 and not pending.attached:
            # Only one copy was sent, and it is the one that was refused.
            self._on_confirmed_not_run(pending, message.reason)
        else:
            self._on_execution_lost(pending)

    def _on_incarnation_lost(
        self, address: types.Address, incarnation: types.Incarnation
    ) -> None:
        for pending in list(self._pending_by_id.values()):
            lost = pending.agent == address and (
                pending.agent_incarnation <= incarnation
            )
            if lost and pending.stage is not pending_lib.Stage.QUEUED:
                self._on_execution_lost(pending)

    def _on_execution_lost(self, pending: pending_lib.Pending) -> None:
        """Handles an execution whose record was lost with its agent."""
        if pending.stage is pending_lib.Stage.CLAIMING:
            return
        if not pending.request.idempotent:
            self._finish(
                pending,
                request_lib.unknown(
                    "The backend server was lost after the work was sent to"
                    f" it. {_UNKNOWN_OUTCOME_REMEDY}"
                ),
            )
        elif not self._retry(pending):
            self._finish(
                pending,
                request_lib.unknown(
                    "The backend server was lost and the retry budget is"
                    " spent. The work is idempotent: repeat the request."
                ),
            )

    def _retry(self, pending: pending_lib.Pending) -> bool:
        """Requeues idempotent work; returns whether a retry was allowed."""
        if pending.stage is pending_lib.Stage.WITHDRAWING:
            return False
        expired = self._clock.monotonic() >= pending.deadline_s
        if expired or pending.attempts >= MAX_ATTEMPTS:
            return False
        if not self.retry_budget.try_spend():
            return False
        self.counters.retried += 1
        pending.may_have_run = True
        pending.failed_agents |= {pending.agent}
        self._requeue(pending)
        return True

    def _requeue(self, pending: pending_lib.Pending) -> None:
        self._fetcher.cancel(pending.id)
        self._unbind(pending)
        pending.attached = False
        pending.stage = pending_lib.Stage.QUEUED
        pending.request = msgspec.structs.replace(
            pending.request, attempt=pending.request.attempt + 1
        )
        self.backlog.push(pending.request, at_front=True)

    def _on_complete_answer(
        self,
        pending: pending_lib.Pending,
        head: messages.AnswerHead,
        body: bytes,
    ) -> None:
        agent = pending.agent
        self._outbox.send(agent, messages.AnswerAck(pending.id))
        self._record_completion(pending, head)
        failed = head.status >= 500
        if failed and pending.request.idempotent and self._retry(pending):
            return
        self._finish(
            pending,
            request_lib.Outcome(
                ran=types.Ran.YES, status=head.status, body=body
            ),
        )

    def _record_completion(
        self, pending: pending_lib.Pending, head: messages.AnswerHead
    ) -> None:
        expected_s = self.backlog.expected_run_s(pending.request)
        failed = head.status >= 500
        self._detector.observe(
            pending.agent,
            failed=failed,
            slowness=head.run_s / max(expected_s, 1e-3),
        )
        if not failed:
            request = pending.request
            self._estimator.observe(
                request.work_class, request.account, head.run_s
            )
        self.backlog.on_completion(pending.work_class.name)

    def _finish(
        self, pending: pending_lib.Pending, outcome: request_lib.Outcome
    ) -> None:
        del self._pending_by_id[pending.id]
        self._fetcher.cancel(pending.id)
        self._unbind(pending)
        if pending.may_have_run and outcome.ran is types.Ran.NO:
            outcome = request_lib.unknown(
                f"An earlier attempt may have run. {outcome.reason}"
            )
        self._count_outcome(outcome)
        elapsed_s = self._clock.monotonic() - pending.submitted_s
        self.on_outcome(pending.request, outcome, elapsed_s)
        if pending.keyed and outcome.ran is types.Ran.YES:
            self._outcomes_by_id[pending.id] = (
                self._clock.monotonic(),
                outcome,
            )
        for waiter in pending.waiters:
            waiter(outcome)

    def _count_outcome(self, outcome: request_lib.Outcome) -> None:
        if outcome.ran is types.Ran.NO:
            self.counters.refused += 1
        elif outcome.ran is types.Ran.UNKNOWN:
            self.counters.unknown += 1
        elif outcome.status >= 500:
            self.counters.failed += 1
        else:
            self.counters.answered += 1

    def _count_refusal(self, reason: str) -> request_lib.Outcome:
        self.counters.refused += 1
        return request_lib.refused(f"{reason}; repeat the request.")

    def _weight_of(self, key: Hashable) -> float:
        client = self._accounts_by_name.get(types.AccountName(str(key)))
        return client.share if client is not None else 1.0

    def _pending_at_incarnation(
        self,
        request_id: types.RequestId,
        sender: types.Address,
        incarnation: types.Incarnation,
    ) -> pending_lib.Pending | None:
        pending = self._pending_by_id.get(request_id)
        if pending is None or pending.agent != sender:
            return None
        if pending.agent_incarnation != incarnation:
            return None
        return pending

    def _update_load(self, sender: types.Address, load: messages.Load) -> None:
        server = self.pool.by_address.get(sender)
        if server is not None:
            server.on_load(load)

    def _is_paced(
        self, agent: types.Address, work_class: request_lib.WorkClass
    ) -> bool:
        server = self.pool.by_address.get(agent)
        if server is None or not self.pool.is_remote(server):
            return False
        return work_class.urgency is not types.Urgency.URGENT

    def _set_timer(self, pending: pending_lib.Pending, at_s: float) -> None:
        self._timer_sequence += 1
        heapq.heappush(self._timers, (at_s, self._timer_sequence, pending.id))


def _deadline_exceeded() -> request_lib.Outcome:
    return request_lib.unknown(
        "The work was started but didn't finish in time."
        f" {_UNKNOWN_OUTCOME_REMEDY}"
    )


def _claim_undecided() -> request_lib.Outcome:
    return request_lib.unknown(
        "It can't be told whether an earlier request with this key has run;"
        " repeat it with the same Idempotency-Key."
    )
