"""Cache of an external policy's answers on which workers may run a step.

Whether an incarnation of a worker may run a step doesn't change. The ticket of
an allowed worker expires, though, and a new one is requested when a start needs
it.
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

# Maximum number of workers in one call; each adds to the response time.
MAX_WORKERS_PER_QUESTION = 30
# A ticket isn't used if it expires within this time, because the start must be
# recorded and reach its worker first. The margin is at most the share below of
# the ticket's validity.
START_MARGIN_S = 0.6
START_MARGIN_SHARE = 0.5


class StepName(NamedTuple):
    """Identifies a step of one occurrence of a job."""

    job: types.JobId
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}"


class Answer(NamedTuple):
    """Tickets of the workers that may run a step, and their validity."""

    tickets_by_worker: Mapping[types.WorkerId, str]
    validity_s: float


@dataclasses.dataclass(frozen=True)
class Question:
    """A call that asks the policy which of these workers may run a step.

    Attributes:
        incarnations: the workers that the call is about.
        policy: response times of the policy and validity of its tickets.
    """

    step: StepName
    incarnations: tuple[runs.IncarnationKey, ...]
    policy: configuration.AdvicePolicy


@dataclasses.dataclass
class _PendingQuestion:
    step: StepName
    demand: placement.Demand
    policy: configuration.AdvicePolicy
    free_by_key: placement.FreeResources | None


@dataclasses.dataclass
class _StepAdvice:
    """Answers received for a step.

    Attributes:
        tickets: by allowed incarnation, its latest ticket and the monotonic
            time until which the ticket may be used: a start after that may
            reach the worker too late.
        denied: incarnations that may not run the step.
    """

    tickets: dict[runs.IncarnationKey, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    denied: set[runs.IncarnationKey] = dataclasses.field(default_factory=set)


class AdviceCache:
    """Answers of the policy, and the questions that are still to be asked."""

    def __init__(self) -> None:
        self._advice_by_step: dict[StepName, _StepAdvice] = {}
        self._pending: list[_PendingQuestion] = []

    def tickets(
        self, step: StepName, now_s: float
    ) -> dict[runs.IncarnationKey, str]:
        """Returns the tickets that a start may still use, by incarnation.

        Args:
            step: the step to start.
            now_s: current monotonic time.
        """
        step_advice = self._advice_by_step.get(step)
        if step_advice is None:
            return {}
        return {
            incarnation: ticket
            for incarnation, (ticket, until_s) in step_advice.tickets.items()
            if now_s < until_s
        }

    def start_pass(self) -> None:
        """Drops the pending questions of the previous scheduling pass."""
        self._pending.clear()

    def enqueue(
        self,
        step: StepName,
        demand: placement.Demand,
        policy: configuration.AdvicePolicy,
        *,
        free_by_key: placement.FreeResources | None,
    ) -> None:
        """Queues a question for a step that lacks workers that may run it.

        Args:
            step: the step.
            demand: requirements of one of its units.
            policy: policy of its queue.
            free_by_key: free resources by worker, to ask only about workers
                with enough of them; None to ask about any worker.
        """
        self._pending.append(
            _PendingQuestion(step, demand, policy, free_by_key)
        )

    def next_question(
        self, workers: Iterable[fleet.TrackedWorker], now_s: float
    ) -> Question | None:
        """Returns the most urgent question, if any.

        Args:
            workers: the workers that accept tasks.
            now_s: current monotonic time.
        """
        candidates = list(workers)
        for pending in self._pending:
            incarnations = self._workers_to_ask_about(
                pending, candidates, now_s
            )
            if incarnations:
                return Question(
                    pending.step,
                    incarnations[:MAX_WORKERS_PER_QUESTION],
                    pending.policy,
                )
        return None

    def _workers_to_ask_about(
        self,
        pending: _PendingQuestion,
        workers: list[fleet.TrackedWorker],
        now_s: float,
    ) -> tuple[runs.IncarnationKey, ...]:
        step_advice = self._advice_by_step.get(pending.step) or _StepAdvice()
        valid = self.tickets(pending.step, now_s)
        footprint = pending.demand.step.footprint
        eligible = [
            worker
            for worker in workers
            if pending.demand.may_run_on(worker)
            and worker.key not in step_advice.denied
            and worker.key not in valid
            and (
                pending.free_by_key is None
                or footprint.copies_in(
                    pending.free_by_key.get(worker.key, worker.free)
                )
            )
        ]
        # Workers known to be allowed come first, then those with enough free
        # resources. Sorting by rack keeps the members of a gang together.
        eligible.sort(
            key=lambda worker: (
                worker.key not in step_advice.tickets,
                not footprint.copies_in(worker.free),
                worker.incarnation.rack if worker.incarnation else "",
                worker.key.worker,
            )
        )
        return tuple(worker.key for worker in eligible)

    def on_answer(
        self, question: Question, answer: Answer, now_s: float
    ) -> None:
        """Stores an answer.

        Args:
            question: the question.
            answer: the policy's answer.
            now_s: monotonic time at which the call was made; the validity of
                the tickets counts from it.
        """
        step_advice = self._advice_by_step.setdefault(
            question.step, _StepAdvice()
        )
        margin_s = min(START_MARGIN_S, answer.validity_s * START_MARGIN_SHARE)
        until_s = now_s + answer.validity_s - margin_s
        for incarnation in question.incarnations:
            ticket = answer.tickets_by_worker.get(incarnation.worker)
            if ticket is None:
                step_advice.denied.add(incarnation)
            else:
                step_advice.tickets[incarnation] = (ticket, until_s)

    def drop_ticket(
        self, step: StepName, incarnation: runs.IncarnationKey
    ) -> None:
        """Drops a ticket that a worker refused."""
        step_advice = self._advice_by_step.get(step)
        if step_advice is not None:
            step_advice.tickets.pop(incarnation, None)

    def forget_job(self, job: types.JobId) -> None:
        """Drops the answers for a job's steps."""
        for step in [step for step in self._advice_by_step if step.job == job]:
            del self._advice_by_step[step]
