"""Queued requests of an entry, with deadline-based admission control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core import estimate
from pimentobridge.core import fairness
from pimentobridge.core import request as request_lib
from pimentobridge.core import types

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Hashable
    from collections.abc import Mapping

    from pimentobridge.core import clock as clock_lib

MAX_RETRY_AFTER_S = 30.0
MAX_QUEUED_PER_ENTRY = 20_000


class Backlog:
    """Fair queues by class, with admission limited by request deadlines.

    Args:
        clock: source of time.
        estimator: provides the expected run time of requests.
        weight_of: fair-queueing weight of a client account.
        first_come: whether each class has one FIFO queue without admission
            by deadline.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        estimator: estimate.RunTimeEstimator,
        weight_of: Callable[[Hashable], float],
        first_come: bool = False,
    ) -> None:
        self._clock = clock
        self._estimator = estimator
        self._weight_of = weight_of
        self._first_come = first_come
        self._classes_by_name: dict[types.ClassName, request_lib.WorkClass] = {}
        self._queues_by_class: dict[
            types.ClassName, fairness.FlowQueue[types.RequestId]
        ] = {}
        self._drain_rates_by_class: dict[
            types.ClassName, estimate.DrainRate
        ] = {}
        self.ordered_classes: list[request_lib.WorkClass] = []
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def set_classes(
        self, classes_by_name: Mapping[types.ClassName, request_lib.WorkClass]
    ) -> None:
        """Applies the classes of a newer configuration."""
        self._classes_by_name = dict(classes_by_name)
        self.ordered_classes = sorted(
            classes_by_name.values(), key=lambda c: c.urgency.rank
        )
        for name in classes_by_name:
            self._drain_rates_by_class.setdefault(name, estimate.DrainRate())

    def queue_of(
        self, name: types.ClassName
    ) -> fairness.FlowQueue[types.RequestId]:
        """Returns the fair queue of a class."""
        queue = self._queues_by_class.get(name)
        if queue is None:
            queue = fairness.FlowQueue(levels=2, weight_of=self._weight_of)
            self._queues_by_class[name] = queue
        return queue

    def push(self, request: request_lib.Request, *, at_front: bool) -> None:
        """Adds a request at the back or front of its caller's queue."""
        path = self._flow_path(request)
        queue = self.queue_of(request.work_class)
        queue.push(path, request.id, at_front=at_front)
        self._length += 1

    def pop(self, name: types.ClassName) -> types.RequestId:
        """Removes and returns the next request of a class."""
        self._length -= 1
        return self.queue_of(name).pop(lambda _: 1.0)

    def on_completion(self, name: types.ClassName) -> None:
        """Records one completion in the class's drain rate."""
        rate = self._drain_rates_by_class.get(name)
        if rate is not None:
            rate.observe(self._clock.monotonic())

    def expected_wait_s(self, request: request_lib.Request) -> float:
        """Returns the estimated queueing delay of a new request in seconds.

        The caller's queue is assumed to drain at its fair share of the class's
        rate, so a caller with little queued work isn't refused because of the
        backlog of another.
        """
        rate = self._drain_rates_by_class[request.work_class]
        per_second = rate.per_second(self._clock.monotonic())
        if per_second is None:
            return 0.0
        queue = self.queue_of(request.work_class)
        queued_ahead = queue.length_of(self._flow_path(request))
        if not queued_ahead:
            return 0.0
        weight = self._weight_of(request.account)
        account_share = weight / max(queue.active_weight(), weight)
        callers = max(1, queue.active_flows((request.account,)))
        return queued_ahead / (per_second * account_share / callers)

    def refusal(
        self, request: request_lib.Request
    ) -> request_lib.Outcome | None:
        """Returns the refusal of a new request, or None if it is admitted."""
        if self._length >= MAX_QUEUED_PER_ENTRY:
            return request_lib.refused(
                "The entry's queue is full; repeat the request after the"
                " stated delay.",
                MAX_RETRY_AFTER_S,
            )
        if self._first_come:
            return None
        wait_s = self.expected_wait_s(request)
        slack_s = request.remaining_s - self.expected_run_s(request)
        if wait_s <= slack_s:
            return None
        retry_after_s = min(max(wait_s - slack_s, 0.1), MAX_RETRY_AFTER_S)
        return request_lib.refused(
            f"The answer would come after the deadline: {wait_s:.1f} s of"
            " earlier work from this caller waits; repeat the request after"
            " the stated delay.",
            retry_after_s,
        )

    def expected_run_s(self, request: request_lib.Request) -> float:
        """Returns the expected run time of a request in seconds."""
        work_class = self._classes_by_name[request.work_class]
        return self._estimator.run_s(
            request.work_class, request.account, work_class.expected_run_s
        )

    def _flow_path(
        self, request: request_lib.Request
    ) -> tuple[types.AccountName, types.CallerId]:
        if self._first_come:
            return types.AccountName(""), types.CallerId("")
        return request.account, request.caller
