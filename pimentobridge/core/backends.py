"""An entry's view of the backend servers, and the choice among them."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from pimentobridge.core import types

if TYPE_CHECKING:
    import random

    from pimentobridge.core import outlier
    from pimentobridge.core import request as request_lib
    from pimentobridge.protocol import messages

SAMPLE_SIZE = 8
# How many unstarted requests of a class an entry may have at a server. A local
# window of 2 made callers with little work wait behind requests already bound.
LOCAL_WINDOW = 1
REMOTE_WINDOW = 2


@dataclasses.dataclass
class BackendServer:
    """One backend server, as reported by its agent's heartbeats.

    Attributes:
        free: free slots in the agent's last report, which may be stale.
        queued: queued requests in the same report.
        in_flight: this entry's dispatches that the agent has not acknowledged.
        outstanding: this entry's requests bound to the server.
        unstarted_by_class: this entry's requests that were sent and are not
            known to have started.
    """

    address: types.Address
    node: types.NodeId
    incarnation: types.Incarnation
    region: types.RegionName
    data_centre: types.DataCentreName
    state: types.NodeState
    slots: int
    free: int
    queued: int = 0
    in_flight: int = 0
    outstanding: int = 0
    unstarted_by_class: dict[types.ClassName, int] = dataclasses.field(
        default_factory=dict
    )

    def on_load(self, load: messages.Load) -> None:
        """Records a newer load report."""
        self.free = load.free
        self.queued = load.queued

    @property
    def spare_slots(self) -> int:
        """Free slots less dispatches in flight; negative if work is queued."""
        return self.free - self.in_flight - self.queued


@dataclasses.dataclass
class Binding:
    """Accounting of one request at the server that it is bound to.

    Attributes:
        in_flight: whether the dispatch is not acknowledged yet.
        unstarted: whether the request is not known to have started.
        open: whether the request counts as outstanding.
    """

    server: BackendServer
    work_class: types.ClassName
    in_flight: bool = True
    unstarted: bool = True
    open: bool = True

    @classmethod
    def bind(
        cls, server: BackendServer, work_class: types.ClassName
    ) -> Binding:
        """Adds a request to the counters of `server`."""
        server.in_flight += 1
        server.outstanding += 1
        unstarted_count = server.unstarted_by_class.get(work_class, 0)
        server.unstarted_by_class[work_class] = unstarted_count + 1
        return cls(server, work_class)

    def on_accepted(self) -> None:
        """Stops counting a dispatch that the server's load reports include."""
        if self.in_flight:
            self.in_flight = False
            self.server.in_flight -= 1

    def on_started(self) -> None:
        """Frees the window space of a request that has started."""
        self.on_accepted()
        if self.unstarted:
            self.unstarted = False
            self.server.unstarted_by_class[self.work_class] -= 1

    def close(self) -> None:
        """Removes the request from all counters of the server."""
        self.on_started()
        if self.open:
            self.open = False
            self.server.outstanding -= 1


@dataclasses.dataclass(frozen=True)
class LateBinding:
    """Queues work at the entries; a window bounds what agents buffer."""


@dataclasses.dataclass(frozen=True)
class RandomPush:
    """Baseline: sends each request immediately to a random backend server."""


@dataclasses.dataclass(frozen=True)
class FirstCome:
    """Baseline: FIFO order, to the server with the fewest requests.

    Servers are compared by the outstanding requests of this entry.
    """


@dataclasses.dataclass(frozen=True)
class TwoChoices:
    """Baseline: sends immediately to the less loaded of two random servers."""


Policy = LateBinding | RandomPush | FirstCome | TwoChoices


class BackendPool:
    """Backend servers by agent address.

    Args:
        region: region of the entry; servers elsewhere are remote.
        detector: excludes servers that are ejected as outliers.
        rng: source of randomness for sampling.
    """

    def __init__(
        self,
        *,
        region: types.RegionName,
        detector: outlier.OutlierDetector,
        rng: random.Random,
    ) -> None:
        self.region = region
        self.rng = rng
        self._detector = detector
        self.by_address: dict[types.Address, BackendServer] = {}
        self.local_slots = 0
        self._local: list[BackendServer] = []
        self._remote: list[BackendServer] = []

    def upsert(
        self, address: types.Address, heartbeat: messages.Heartbeat
    ) -> BackendServer | None:
        """Records a heartbeat from an agent.

        Returns:
            The earlier incarnation of the server if a newer one replaces it.
        """
        previous = self.by_address.get(address)
        if (
            previous is not None
            and previous.incarnation >= heartbeat.incarnation
        ):
            previous.state = heartbeat.state
            previous.on_load(heartbeat.load)
            return None
        self.by_address[address] = BackendServer(
            address=address,
            node=heartbeat.node,
            incarnation=heartbeat.incarnation,
            region=heartbeat.region,
            data_centre=heartbeat.data_centre,
            state=heartbeat.state,
            slots=heartbeat.slots,
            free=heartbeat.load.free,
            queued=heartbeat.load.queued,
        )
        self._index()
        return previous

    def remove(self, address: types.Address) -> None:
        """Removes a backend server."""
        if self.by_address.pop(address, None) is not None:
            self._index()

    def is_remote(self, server: BackendServer) -> bool:
        """Returns whether `server` is in another region."""
        return server.region != self.region

    def may_use(self, server: BackendServer) -> bool:
        """Returns whether new work may be sent to `server`."""
        active = server.state is types.NodeState.ACTIVE
        return active and self._detector.may_use(server.address)

    def usable(self, *, remote: bool) -> list[BackendServer]:
        """Returns the local or remote servers that may take new work."""
        servers = self._remote if remote else self._local
        return [server for server in servers if self.may_use(server)]

    def sample(self, *, remote: bool) -> list[BackendServer]:
        """Returns a bounded random sample of the local or remote servers."""
        servers = self._remote if remote else self._local
        if len(servers) <= SAMPLE_SIZE * 2:
            sampled_servers = list(servers)
            self.rng.shuffle(sampled_servers)
        else:
            sampled_servers = self.rng.sample(servers, SAMPLE_SIZE)
        return sampled_servers

    def _index(self) -> None:
        servers = sorted(self.by_address.values(), key=lambda s: s.address)
        self._local = [s for s in servers if not self.is_remote(s)]
        self._remote = [s for s in servers if self.is_remote(s)]
        self.local_slots = sum(server.slots for server in self._local)


def has_window_space(
    server: BackendServer, work_class: request_lib.WorkClass, *, remote: bool
) -> bool:
    """Returns whether `server` may buffer one more request of the class."""
    unstarted = server.unstarted_by_class.get(work_class.name, 0)
    return unstarted < (REMOTE_WINDOW if remote else LOCAL_WINDOW)


@functools.singledispatch
def choose(
    policy: object,
    pool: BackendPool,
    work_class: request_lib.WorkClass,
    *,
    allow_remote: bool,
    excluded: frozenset[types.Address] = frozenset(),
) -> BackendServer | None:
    """Returns the backend server for the next request of a class, or None.

    Args:
        policy: how work is bound to servers.
        pool: known servers.
        work_class: class of the request.
        allow_remote: whether servers in other regions may be used. The
            baselines ignore it.
        excluded: agents that have already failed the request. The baselines
            ignore it.

    Raises:
        TypeError: the policy is of an unknown type.
    """
    raise TypeError(f"received policy {policy!r}; expected one of {Policy}.")


@choose.register(LateBinding)
def _choose_late_binding(
    policy: LateBinding,
    pool: BackendPool,
    work_class: request_lib.WorkClass,
    *,
    allow_remote: bool,
    excluded: frozenset[types.Address] = frozenset(),
) -> BackendServer | None:
    local_sample = _usable_sample(pool, remote=False, excluded=excluded)
    local = [
        s for s in local_sample if has_window_space(s, work_class, remote=False)
    ]
    best_local = max(local, key=lambda s: s.spare_slots, default=None)
    if best_local is not None and best_local.spare_slots > 0:
        return best_local
    if allow_remote or not local_sample:
        remote_sample = _usable_sample(pool, remote=True, excluded=excluded)
        remote = [
            s
            for s in remote_sample
            if has_window_space(s, work_class, remote=True)
        ]
        best_remote = max(remote, key=lambda s: s.spare_slots, default=None)
        if best_remote is not None and (
            best_remote.spare_slots > 0 or not local_sample
        ):
            return best_remote
    return best_local


def _usable_sample(
    pool: BackendPool, *, remote: bool, excluded: frozenset[types.Address]
) -> list[BackendServer]:
    return [
        server
        for server in pool.sample(remote=remote)
        if pool.may_use(server) and server.address not in excluded
    ]


def _all_usable(pool: BackendPool) -> list[BackendServer]:
    return pool.usable(remote=False) + pool.usable(remote=True)


@choose.register(RandomPush)
def _choose_random(
    policy: RandomPush,
    pool: BackendPool,
    work_class: request_lib.WorkClass,
    *,
    allow_remote: bool,
    excluded: frozenset[types.Address] = frozenset(),
) -> BackendServer | None:
    servers = _all_usable(pool)
    return pool.rng.choice(servers) if servers else None


@choose.register(FirstCome)
def _choose_first_come(
    policy: FirstCome,
    pool: BackendPool,
    work_class: request_lib.WorkClass,
    *,
    allow_remote: bool,
    excluded: frozenset[types.Address] = frozenset(),
) -> BackendServer | None:
    return min(_all_usable(pool), key=lambda s: s.outstanding, default=None)


@choose.register(TwoChoices)
def _choose_two(
    policy: TwoChoices,
    pool: BackendPool,
    work_class: request_lib.WorkClass,
    *,
    allow_remote: bool,
    excluded: frozenset[types.Address] = frozenset(),
) -> BackendServer | None:
    servers = _all_usable(pool)
    candidates = pool.rng.sample(servers, min(2, len(servers)))
    return min(candidates, key=lambda s: s.outstanding, default=None)
