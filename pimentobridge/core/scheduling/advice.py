"""What an outside policy says of which workers may run a step.

The answer for a worker's life doesn't change, but the ticket that comes with a
yes lapses and is asked for again shortly before a start needs it.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from pimentobridge.core import types
    from pimentobridge.core.jobs import configuration
    from pimentobridge.core.jobs import runs
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import placement

# Workers named in one call; the policy's answer takes longer with each.
MAX_ASKED = 30
# Time that a start needs to be recorded and to reach its worker, but no more
# than this share of a ticket's validity.
START_MARGIN_S = 0.6
START_MARGIN_SHARE = 0.5


class StepName(NamedTuple):
    """Names a step of one occurrence of a job."""

    job: types.JobId
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}"


class Answer(NamedTuple):
    """Tickets of the workers that may run a step, and how long they hold."""

    tickets_by_worker: Mapping[types.WorkerId, str]
    validity_s: float


@dataclasses.dataclass(frozen=True)
class Question:
    """A call to make.

    Attributes:
        policy: how long the answer may take.
    """

    step: StepName
    incarnations: tuple[runs.IncarnationKey, ...]
    policy: configuration.AdvicePolicy


@dataclasses.dataclass
class _Wish:
    step: StepName
    demand: placement.Demand
    policy: configuration.AdvicePolicy
    rooms: placement.Rooms | None


@dataclasses.dataclass
class _Known:
    """What is known of a step.

    Attributes:
        tickets: ticket, and the monotonic time until which a start with it
            arrives in time, by life.
    """

    tickets: dict[runs.IncarnationKey, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    denied: set[runs.IncarnationKey] = dataclasses.field(default_factory=set)


class AdviceBook:
    """Answers of the policy, and the questions that are open."""

    def __init__(self) -> None:
        self._known_by_step: dict[StepName, _Known] = {}
        self._wishes: list[_Wish] = []

    def tickets(
        self, step: StepName, now_s: float
    ) -> dict[runs.IncarnationKey, str]:
        """Returns the tickets that still hold when a start arrives."""
        known = self._known_by_step.get(step)
        if known is None:
            return {}
        return {
            incarnation: ticket
            for incarnation, (ticket, until_s) in known.tickets.items()
            if now_s < until_s
        }

    def start_pass(self) -> None:
        """Drops the wishes of the last pass."""
        self._wishes.clear()

    def want(
        self,
        step: StepName,
        demand: placement.Demand,
        policy: configuration.AdvicePolicy,
        *,
        rooms: placement.Rooms | None,
    ) -> None:
        """Notes that a step lacks workers that may run it.

        Args:
            step: the step.
            demand: what a unit of it needs.
            policy: its queue's policy.
            rooms: free room, if only workers with room are of use.
        """
        self._wishes.append(_Wish(step, demand, policy, rooms))

    def next_question(
        self, workers: Iterable[fleet.TrackedWorker], now_s: float
    ) -> Question | None:
        """Returns the most urgent call to make, if any."""
        candidates = list(workers)
        for wish in self._wishes:
            incarnations = self._worth_asking(wish, candidates, now_s)
            if incarnations:
                return Question(
                    wish.step, incarnations[:MAX_ASKED], wish.policy
                )
        return None

    def _worth_asking(
        self,
        wish: _Wish,
        workers: list[fleet.TrackedWorker],
        now_s: float,
    ) -> tuple[runs.IncarnationKey, ...]:
        known = self._known_by_step.get(wish.step) or _Known()
        held = self.tickets(wish.step, now_s)
        footprint = wish.demand.step.footprint
        eligible = [
            worker
            for worker in workers
            if wish.demand.may_run_on(worker)
            and worker.key not in known.denied
            and worker.key not in held
            and (
                wish.rooms is None
                or footprint.copies_in(wish.rooms.get(worker.key, worker.free))
            )
        ]
        # Those known to be allowed first; the members of a gang stay together.
        eligible.sort(
            key=lambda worker: (
                worker.key not in known.tickets,
                not footprint.copies_in(worker.free),
                worker.incarnation.rack if worker.incarnation else "",
                worker.key.worker,
            )
        )
        return tuple(worker.key for worker in eligible)

    def on_answer(
        self, question: Question, answer: Answer, now_s: float
    ) -> None:
        """Takes an answer; the tickets hold from the time of the call.

        Args:
            question: what was asked.
            answer: what came back.
            now_s: monotonic time at which the call was made.
        """
        known = self._known_by_step.setdefault(question.step, _Known())
        margin_s = min(START_MARGIN_S, answer.validity_s * START_MARGIN_SHARE)
        until_s = now_s + answer.validity_s - margin_s
        for incarnation in question.incarnations:
            ticket = answer.tickets_by_worker.get(incarnation.worker)
            if ticket is None:
                known.denied.add(incarnation)
            else:
                known.tickets[incarnation] = (ticket, until_s)

    def drop_ticket(
        self, step: StepName, incarnation: runs.IncarnationKey
    ) -> None:
        """Forgets a ticket that a worker refused."""
        known = self._known_by_step.get(step)
        if known is not None:
            known.tickets.pop(incarnation, None)

    def forget_job(self, job: types.JobId) -> None:
        """Drops what is known of a job's steps."""
        for step in [step for step in self._known_by_step if step.job == job]:
            del self._known_by_step[step]
