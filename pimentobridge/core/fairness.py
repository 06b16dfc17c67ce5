"""Hierarchical fair queueing of work by client account and caller.

Accounts in a class, and callers in an account, are served by start-time fair
queueing: an idle flow earns no credit, and a busy one can't starve another.
"""

from __future__ import annotations

import collections
import heapq
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Hashable

T = TypeVar("T")


class _Flow(Generic[T]):
    """One flow of a fair queue: its items, and the finish tag of its last one.

    `queued` says whether the flow is in the parent queue's heap.
    """

    __slots__ = ("finish", "items", "queued")

    def __init__(self, items: FlowQueue[T] | collections.deque[T]) -> None:
        self.items = items
        self.finish = 0.0
        self.queued = False


class FlowQueue(Generic[T]):
    """Queue of flows served in proportion to their weights.

    Args:
        levels: depth of the hierarchy, which is the number of keys in a path.
        weight_of: returns the weight of a flow at this level; 1 by default.
            Flows at lower levels always weigh 1.
    """

    def __init__(
        self,
        *,
        levels: int,
        weight_of: Callable[[Hashable], float] = lambda key: 1.0,
    ) -> None:
        self._levels = levels
        self._weight_of = weight_of
        self._flows_by_key: dict[Hashable, _Flow[T]] = {}
        self._heap: list[tuple[float, int, Hashable]] = []
        self._virtual_time = 0.0
        self._sequence = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(
        self, path: tuple[Hashable, ...], item: T, *, at_front: bool = False
    ) -> None:
        """Adds `item` to the flow at `path`, at its front if `at_front`."""
        flow = self._get_or_create_flow(path[0])
        if isinstance(flow.items, FlowQueue):
            flow.items.push(path[1:], item, at_front=at_front)
        elif at_front:
            flow.items.appendleft(item)
        else:
            flow.items.append(item)
        self._length += 1
        self._enqueue(path[0], flow)

    def pop(self, cost_of: Callable[[T], float]) -> T:
        """Removes and returns the next item in fair order.

        Args:
            cost_of: returns the cost charged to the item's flow; flows with
                equal weights receive equal cost over time.

        Raises:
            IndexError: the queue is empty.
        """
        start_tag, _, key = heapq.heappop(self._heap)
        flow = self._flows_by_key[key]
        flow.queued = False
        if isinstance(flow.items, FlowQueue):
            item = flow.items.pop(cost_of)
        else:
            item = flow.items.popleft()
        self._length -= 1
        self._virtual_time = max(self._virtual_time, start_tag)
        flow.finish = start_tag + cost_of(item) / self._weight_of(key)
        self._requeue_or_drop(key, flow)
        return item

    def length_of(self, path: tuple[Hashable, ...]) -> int:
        """Returns the number of items at or below `path`."""
        flow = self._flows_by_key.get(path[0])
        if flow is None:
            return 0
        if len(path) > 1 and isinstance(flow.items, FlowQueue):
            return flow.items.length_of(path[1:])
        return len(flow.items)

    def active_flows(self, path: tuple[Hashable, ...] = ()) -> int:
        """Returns the number of flows directly below `path` that have items."""
        if not path:
            return len(self._heap)
        flow = self._flows_by_key.get(path[0])
        if flow is None or not isinstance(flow.items, FlowQueue):
            return 0
        return flow.items.active_flows(path[1:])

    def active_weight(self) -> float:
        """Returns the sum of the weights of flows that have items."""
        return sum(self._weight_of(key) for _, _, key in self._heap)

    def _get_or_create_flow(self, key: Hashable) -> _Flow[T]:
        flow = self._flows_by_key.get(key)
        if flow is None:
            child: FlowQueue[T] | collections.deque[T] = (
                FlowQueue(levels=self._levels - 1)
                if self._levels > 1
                else collections.deque()
            )
            flow = self._flows_by_key[key] = _Flow(child)
        return flow

    def _enqueue(self, key: Hashable, flow: _Flow[T]) -> None:
        if flow.queued:
            return
        flow.queued = True
        self._sequence += 1
        start_tag = max(self._virtual_time, flow.finish)
        heapq.heappush(self._heap, (start_tag, self._sequence, key))

    def _requeue_or_drop(self, key: Hashable, flow: _Flow[T]) -> None:
        if len(flow.items):
            self._enqueue(key, flow)
            return
        # An empty flow whose finish tag is not ahead of virtual time carries no
        # debt, so dropping it doesn't change its next start tag. This keeps the
        # size of the table in proportion to the number of active flows.
        if flow.finish <= self._virtual_time:
            del self._flows_by_key[key]
        elif len(self._flows_by_key) > 2 * len(self._heap) + 64:
            self._drop_idle_flows()

    def _drop_idle_flows(self) -> None:
        idle = [
            key
            for key, flow in self._flows_by_key.items()
            if not flow.queued and flow.finish <= self._virtual_time
        ]
        for key in idle:
            del self._flows_by_key[key]
