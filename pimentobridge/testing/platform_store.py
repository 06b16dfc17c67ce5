"""Fake of the platform's store that implements its published protocol."""

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
MAX_PAGE_ITEMS = 500
MAX_TRANSACTION_ENTRIES = 32
INITIAL_REVISION = 9
MAX_VALUE_BYTES = 1024 * 1024


@dataclasses.dataclass
class _Lease:
    ttl_s: float
    expires_s: float


class PlatformStore:
    """In-memory store with revisions, leases, transactions and watches.

    Args:
        clock: returns the monotonic time in seconds.

    Attributes:
        lease_expiry_paused: whether expired leases are kept, with their keys.
        max_value_bytes: limit on a value in a transaction.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._revision = INITIAL_REVISION
        self._items_by_key: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._compacted_revision = INITIAL_REVISION
        self._leases_by_id: dict[int, _Lease] = {}
        self._last_lease_id = 1000
        self._changed = trio.Event()
        self.lease_expiry_paused = False
        self.max_value_bytes = MAX_VALUE_BYTES
        self.acknowledged: list[tuple[str, float]] = []

    @property
    def keys(self) -> list[str]:
        """Existing keys, sorted."""
        return sorted(self._items_by_key)

    def put(self, key: str, value: str) -> int:
        """Writes a key outside a transaction; returns the new revision."""
        self._delete_expired_leases()
        self._revision += 1
        self._write(key, value, 0)
        self._notify()
        return self._revision

    def delete(self, key: str) -> int:
        """Deletes a key outside a transaction; returns the new revision."""
        self._delete_expired_leases()
        self._revision += 1
        self._delete(key)
        self._notify()
        return self._revision

    def compact_history(self) -> None:
        """Drops the change history, so that watches have to start anew."""
        self._compacted_revision = self._revision
        self._history.clear()
        self._notify()

    async def handle(
        self, method: str, path: str, body: Any
    ) -> http_client.Answer:
        """Handles one call."""
        parsed = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parsed.query))
        self._delete_expired_leases()
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
            return self._grant_lease(body["ttlMs"] / 1000)
        operation, _, lease_id = parsed.path.rpartition("/")
        if operation == "/v1/kv-keep":
            return self._renew_lease(int(lease_id))
        if operation == "/v1/kv-lease-end" and method == "DELETE":
            return self._revoke_lease(int(lease_id))
        return http_client.Answer(404, {})

    def _get(self, key: str) -> http_client.Answer:
        item = self._items_by_key.get(key)
        if item is None:
            return http_client.Answer(404, {})
        return http_client.Answer(200, item | {"storeRevision": self._revision})

    def _range(self, prefix: str, after: str) -> http_client.Answer:
        matching = [
            self._items_by_key[key]
            for key in self.keys
            if key.startswith(prefix) and key > after
        ]
        return http_client.Answer(
            200,
            {
                "items": matching[:MAX_PAGE_ITEMS],
                "hasMore": len(matching) > MAX_PAGE_ITEMS,
                "storeRevision": self._revision,
            },
        )

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> http_client.Answer:
        events: list[dict[str, Any]] = []
        with trio.move_on_after(wait_s):
            while not events:
                if after < self._compacted_revision:
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

    def _is_too_large(self, encoded: str) -> bool:
        padding = len(encoded) - len(encoded.rstrip("="))
        return len(encoded) * 3 // 4 - padding > self.max_value_bytes

    def _transact(self, body: dict[str, Any]) -> http_client.Answer:
        expected, puts = body["expected"], body["puts"]
        deletes = body.get("deletes", [])
        if len(expected) + len(puts) + len(deletes) > MAX_TRANSACTION_ENTRIES:
            return http_client.Answer(400, {})
        if any(self._is_too_large(row["value"]) for row in puts):
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

    def _grant_lease(self, ttl_s: float) -> http_client.Answer:
        ttl_s = min(MAX_LEASE_S, max(MIN_LEASE_S, ttl_s))
        self._last_lease_id += 1
        self._leases_by_id[self._last_lease_id] = _Lease(
            ttl_s, self._clock() + ttl_s
        )
        return http_client.Answer(
            200, {"lease": self._last_lease_id, "ttlMs": ttl_s * 1000}
        )

    def _renew_lease(self, lease_id: int) -> http_client.Answer:
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return http_client.Answer(404, {})
        lease.expires_s = self._clock() + lease.ttl_s
        return http_client.Answer(200, {"ttlMs": lease.ttl_s * 1000})

    def _revoke_lease(self, lease_id: int) -> http_client.Answer:
        if self._leases_by_id.pop(lease_id, None) is None:
            return http_client.Answer(404, {})
        self._delete_keys_of({lease_id})
        return http_client.Answer(200, {})

    def _delete_expired_leases(self) -> None:
        if self.lease_expiry_paused:
            return
        now_s = self._clock()
        expired = {
            lease_id
            for lease_id, lease in self._leases_by_id.items()
            if lease.expires_s <= now_s
        }
        for lease_id in expired:
            del self._leases_by_id[lease_id]
        self._delete_keys_of(expired)

    def _delete_keys_of(self, lease_ids: set[int]) -> None:
        orphaned_keys = [
            key
            for key, item in self._items_by_key.items()
            if item["lease"] in lease_ids
        ]
        if orphaned_keys:
            self._revision += 1
            for key in orphaned_keys:
                self._delete(key)
            self._notify()

    def expire_leases(self) -> None:
        """Deletes expired leases, which otherwise happens on the next call."""
        self._delete_expired_leases()

    def _revision_of(self, key: str) -> int:
        item = self._items_by_key.get(key)
        return 0 if item is None else int(item["revision"])

    def _write(self, key: str, value: str, lease_id: int) -> None:
        existing = self._items_by_key.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": existing["created"] if existing else self._revision,
            "lease": lease_id,
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
