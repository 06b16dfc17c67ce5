"""Simulated callers that send requests and count the outcomes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from pimentobridge.core import request as request_lib
from pimentobridge.core import types
from pimentobridge.testing import backend

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from pimentobridge.core import configuration
    from pimentobridge.daemons import entry as entry_lib
    from pimentobridge.testing import deployment

OUTCOME_GRACE_S = 3.0


@dataclasses.dataclass
class Tally:
    """Outcomes of requests as their callers saw them.

    Attributes:
        sent: requests that were sent.
        answered: requests that were answered with status 200.
        refused: requests that were rejected without having run.
        unknown: requests of which it is unknown whether they ran.
        failed: requests that ran and were answered with another status.
        wrong: answered requests whose response body was not the expected one.
        lost: requests that got no outcome in time.
        latencies_s: latency of each answered request.
        slowdowns: latency of each answered request divided by its run time.
        non_idempotent_keys: keys of the requests that may run at most once.
        not_run_keys: keys of the refused requests.
    """

    sent: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    failed: int = 0
    wrong: int = 0
    lost: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)
    slowdowns: list[float] = dataclasses.field(default_factory=list)
    non_idempotent_keys: list[str] = dataclasses.field(default_factory=list)
    not_run_keys: list[str] = dataclasses.field(default_factory=list)

    def doubled(self, site: deployment.Deployment) -> int:
        """Returns how many non-idempotent requests were started repeatedly."""
        started = site.ledger.started_by_key
        return sum(started[key] > 1 for key in self.non_idempotent_keys)

    def false_not_run(self, site: deployment.Deployment) -> int:
        """Returns how many requests reported as not run were started."""
        started = site.ledger.started_by_key
        return sum(started[key] > 0 for key in self.not_run_keys)

    def merge(self, other: Tally) -> None:
        """Adds the counts of another tally."""
        for field in dataclasses.fields(self):
            value = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, value)

    def record(
        self,
        request: request_lib.Request,
        outcome: request_lib.Outcome | None,
        elapsed_s: float,
    ) -> None:
        """Counts one outcome; None if there was none in time."""
        if outcome is None:
            self.lost += 1
        elif outcome.ran is types.Ran.NO:
            self.refused += 1
            self.not_run_keys.append(request.key)
        elif outcome.ran is types.Ran.UNKNOWN:
            self.unknown += 1
        elif outcome.status != 200:
            self.failed += 1
        else:
            self.answered += 1
            self.latencies_s.append(elapsed_s)
            order = backend.order_of(request.payload)
            self.slowdowns.append(elapsed_s / order.run_s)
            expected = backend.answer_for(request.key, order.answer_bytes)
            self.wrong += outcome.body != expected


def request_of(
    document: configuration.Document,
    class_name: str,
    key: str,
    *,
    account: str = "",
    caller: str = "caller",
    run_s: float | None = None,
    answer_bytes: int = 400,
    payload_bytes: int = 0,
    deadline_s: float | None = None,
) -> request_lib.Request:
    """Returns a request of a class, by default with the class's parameters."""
    work_class = document.classes_by_name[types.ClassName(class_name)]
    account_name = account or document.client_accounts[0].name
    order = backend.WorkOrder(
        work_class.expected_run_s if run_s is None else run_s, answer_bytes
    )
    return request_lib.Request(
        id=types.RequestId(f"{account_name}/{key}"),
        key=f"{account_name}/{key}",
        account=types.AccountName(account_name),
        caller=types.CallerId(caller),
        work_class=work_class.name,
        idempotent=work_class.idempotent,
        remaining_s=deadline_s or work_class.deadline_s,
        payload=backend.payload(order, payload_bytes),
    )


async def send(
    entry: entry_lib.Entry, request: request_lib.Request, tally: Tally
) -> None:
    """Sends one request and counts its outcome."""
    tally.sent += 1
    if not request.idempotent:
        tally.non_idempotent_keys.append(request.key)
    start_s = trio.current_time()
    outcome = None
    with trio.move_on_after(request.remaining_s + OUTCOME_GRACE_S):
        outcome = await entry.submit(request, keyed=not request.idempotent)
    tally.record(request, outcome, trio.current_time() - start_s)


async def send_with_retries(
    site: deployment.Deployment,
    choose_entry: Callable[[], entry_lib.Entry | None],
    request: request_lib.Request,
    tally: Tally,
) -> None:
    """Sends a request, and sends it again if its entry ends before the outcome.

    `choose_entry` returns the entry for each attempt, or None while there is
    none; then it is called again after a short delay.
    """
    tally.sent += 1
    if not request.idempotent:
        tally.non_idempotent_keys.append(request.key)
    start_s = trio.current_time()
    outcome: request_lib.Outcome | None = None
    with trio.move_on_after(2 * request.remaining_s + OUTCOME_GRACE_S):
        while outcome is None:
            entry = choose_entry()
            if entry is None:
                await trio.sleep(0.2)
            else:
                outcome = await _submit_while_alive(site, entry, request)
    tally.record(request, outcome, trio.current_time() - start_s)


async def _submit_while_alive(
    site: deployment.Deployment,
    entry: entry_lib.Entry,
    request: request_lib.Request,
) -> request_lib.Outcome | None:
    """Returns the outcome, or None if the entry ended first."""
    outcomes: list[request_lib.Outcome] = []
    async with trio.open_nursery() as nursery:

        async def watch_entry() -> None:
            await site.ended(entry).wait()
            nursery.cancel_scope.cancel()

        nursery.start_soon(watch_entry)
        keyed = not request.idempotent
        outcomes.append(await entry.submit(request, keyed=keyed))
        nursery.cancel_scope.cancel()
    return outcomes[0] if outcomes else None


async def send_mixed(
    site: deployment.Deployment,
    *,
    rng: random.Random,
    count: int,
    seconds: float,
    answer_bytes: int = 400,
    only: str = "",
    deadline_s: float | None = None,
) -> Tally:
    """Sends requests at random times and counts their outcomes.

    The classes are chosen at random, unless `only` names one.
    """
    tally = Tally()
    names = [only] if only else list(site.document.classes_by_name)
    entries = site.entries
    async with trio.open_nursery() as nursery:
        for number in range(count):
            await trio.sleep(rng.expovariate(count / seconds))
            request = request_of(
                site.document,
                rng.choice(names),
                f"key-{number}",
                account=rng.choice(site.document.client_accounts).name,
                caller=f"caller-{rng.randrange(5)}",
                answer_bytes=answer_bytes,
                deadline_s=deadline_s,
            )
            nursery.start_soon(send, rng.choice(entries), request, tally)
    return tally


def silence_all(site: deployment.Deployment) -> None:
    """Makes all open connections between entries and agents drop messages."""
    for entry in site.entry_places:
        for agent in site.agent_places:
            site.network.silence(entry, agent)
            site.network.silence(agent, entry)
