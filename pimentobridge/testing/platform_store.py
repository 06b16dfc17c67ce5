"""Stand-in of the platform's store, as its published protocol has it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any
import urllib.parse

import trio

from pimentobridge.platform import http_client

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_LEASE_S = 1.0
MAX_LEASE_S = 600.0
PAGE_ITEMS = 500
MAX_ENTRIES = 32
FIRST_REVISION = 9


@dataclasses.dataclass
class _Lease:
    lifetime_s: float
    ends_s: float


class PlatformStore:
    """Items with revisions, leases, transactions and watches.

    Args:
        clock: returns the steady time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._revision = FIRST_REVISION
        self._items_by_key: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._oldest_known = FIRST_REVISION
        self._leases_by_id: dict[int, _Lease] = {}
        self._next_lease = 1000
        self._changed = trio.Event()
        self.paused_leases = False
        self.acknowledged: list[tuple[str, float]] = []

    @property
    def keys(self) -> list[str]:
        """The keys that exist."""
        return sorted(self._items_by_key)

    def put(self, key: str, value: str) -> int:
        """Writes a key as the operator does; returns the revision."""
        self._expire()
        self._revision += 1
        self._write(key, value, 0)
        self._notify()
        return self._revision

    def forget_history(self) -> None:
        """Drops the changes that a watch could still ask for."""
        self._oldest_known = self._revision
        self._history.clear()
        self._notify()

    async def handle(
        self, method: str, path: str, body: Any
    ) -> http_client.Answer:
        """Carries out one call."""
        parsed = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parsed.query))
        self._expire()
        if parsed.path == "/v1/kv-key":
            return self._get(query["key"])
        if parsed.path == "/v1/kv-range":
            return self._range(query["prefix"], query.get("after", ""))
        if parsed.path == "/v1/kv-watch":
            return await self._watch(
                query["prefix"],
                int(query["after"]),
                int(query["waitMs"]) / 1000,
            )
        if parsed.path == "/v1/kv-txn":
            return self._transact(body)
        if parsed.path == "/v1/kv-lease":
            return self._grant(body["ttlMs"] / 1000)
        call, _, lease = parsed.path.rpartition("/")
        if call == "/v1/kv-keep":
            return self._keep(int(lease))
        if call == "/v1/kv-lease-end" and method == "DELETE":
            return self._end(int(lease))
        return http_client.Answer(404, {})

    def _get(self, key: str) -> http_client.Answer:
        item = self._items_by_key.get(key)
        if item is None:
            return http_client.Answer(404, {})
        return http_client.Answer(200, item | {"storeRevision": self._revision})

    def _range(self, prefix: str, after: str) -> http_client.Answer:
        found = [
            self._items_by_key[key]
            for key in self.keys
            if key.startswith(prefix) and key > after
        ]
        return http_client.Answer(
            200,
            {
                "items": found[:PAGE_ITEMS],
                "hasMore": len(found) > PAGE_ITEMS,
                "storeRevision": self._revision,
            },
        )

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> http_client.Answer:
        events: list[dict[str, Any]] = []
        with trio.move_on_after(wait_s):
            while not events:
                if after < self._oldest_known:
                    return http_client.Answer(410, {})
                events = [
                    event
                    for event in self._history
                    if event["revision"] > after
                    and event["key"].startswith(prefix)
                ]
                if not events:
                    await self._changed.wait()
        return http_client.Answer(
            200, {"events": events, "storeRevision": self._revision}
        )

    def _transact(self, body: dict[str, Any]) -> http_client.Answer:
        expected, puts = body["expected"], body["puts"]
        deletes = body.get("deletes", [])
        if len(expected) + len(puts) + len(deletes) > MAX_ENTRIES:
            return http_client.Answer(400, {})
        if any(
            self._revision_of(row["key"]) != row["revision"] for row in expected
        ):
            items = [
                self._items_by_key[row["key"]]
                for row in expected
                if row["key"] in self._items_by_key
            ]
            return http_client.Answer(412, {"items": items})
        if any(
            put.get("lease") and put["lease"] not in self._leases_by_id
            for put in puts
        ):
            return http_client.Answer(404, {})
        self._revision += 1
        for put in puts:
            self._write(put["key"], put["value"], put.get("lease", 0))
        for key in deletes:
            self._delete(key)
        self._notify()
        return http_client.Answer(200, {"revision": self._revision})

    def _grant(self, lifetime_s: float) -> http_client.Answer:
        lifetime_s = min(MAX_LEASE_S, max(MIN_LEASE_S, lifetime_s))
        self._next_lease += 1
        self._leases_by_id[self._next_lease] = _Lease(
            lifetime_s, self._clock() + lifetime_s
        )
        return http_client.Answer(
            200, {"lease": self._next_lease, "ttlMs": lifetime_s * 1000}
        )

    def _keep(self, lease_id: int) -> http_client.Answer:
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return http_client.Answer(404, {})
        lease.ends_s = self._clock() + lease.lifetime_s
        return http_client.Answer(200, {"ttlMs": lease.lifetime_s * 1000})

    def _end(self, lease_id: int) -> http_client.Answer:
        if self._leases_by_id.pop(lease_id, None) is None:
            return http_client.Answer(404, {})
        self._drop_keys_of({lease_id})
        return http_client.Answer(200, {})

    def _expire(self) -> None:
        if self.paused_leases:
            return
        now_s = self._clock()
        ended = {
            number
            for number, lease in self._leases_by_id.items()
            if lease.ends_s <= now_s
        }
        for number in ended:
            del self._leases_by_id[number]
        self._drop_keys_of(ended)

    def _drop_keys_of(self, leases: set[int]) -> None:
        gone = [
            key
            for key, item in self._items_by_key.items()
            if item["lease"] in leases
        ]
        if gone:
            self._revision += 1
            for key in gone:
                self._delete(key)
            self._notify()

    def expire_now(self) -> None:
        """Ends the leases that have run out, without waiting for a call."""
        self._expire()

    def _revision_of(self, key: str) -> int:
        item = self._items_by_key.get(key)
        return 0 if item is None else int(item["revision"])

    def _write(self, key: str, value: str, lease: int) -> None:
        held = self._items_by_key.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": held["created"] if held else self._revision,
            "lease": lease,
        }
        self._items_by_key[key] = item
        self._history.append(item)

    def _delete(self, key: str) -> None:
        if self._items_by_key.pop(key, None) is not None:
            self._history.append(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def _notify(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()
