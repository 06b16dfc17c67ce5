"""Stand-in for the platform's store, as PROTOCOL describes it."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import time
from typing import TYPE_CHECKING
from typing import Any

from stand_ins import web

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_PAGE_ITEMS = 500
MAX_ENTRIES = 32
MAX_KEY_BYTES = 200
# `platform.valueBytes` in the settings.
MAX_VALUE_BYTES = 1_048_576
MIN_TTL_MS = 1000
MAX_TTL_MS = 600_000
# The sheets give 4 ms for an answer of the store.
ANSWER_S = 0.004
# Lease expiry is checked at this interval.
TICK_S = 0.02


@dataclasses.dataclass
class _Lease:
    ttl_s: float
    ends_s: float


class Store:
    """The store.

    Args:
        address: `IP:PORT` to serve.
        note: writes a line into the record of the case.

    Attributes:
        refused_values: writes that were refused because a value is too long.
    """

    def __init__(self, address: str, note: Callable[[str], None]) -> None:
        self._note = note
        self._server = web.Server(address, self._handle)
        self._revision = 10
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self.refused_values = 0

    async def start(self) -> None:
        """Serves in the background."""
        await self._server.start()
        self._spawn(self._expire_forever())

    def put(self, key: str, value: bytes) -> None:
        """Writes a key as the operator does."""
        self._revision += 1
        self._write(key, base64.b64encode(value).decode(), 0)
        self._notify()

    def value(self, key: str) -> bytes:
        """Returns a key's value; empty if it doesn't exist."""
        item = self._items.get(key)
        return b"" if item is None else base64.b64decode(item["value"])

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, request: web.Request) -> web.Answer:
        await asyncio.sleep(ANSWER_S)
        path, query = request.path, request.query
        if path == "/v1/kv-key":
            item = self._items.get(query["key"])
            return web.Answer(404) if item is None else web.Answer(200, item)
        if path == "/v1/kv-range":
            return self._range(query["prefix"], query.get("after", ""))
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._transact(request.body)
        if path == "/v1/kv-lease":
            return self._grant(int(request.body["ttlMs"]))
        call, _, number = path.rpartition("/")
        if call == "/v1/kv-keep":
            return self._renew(int(number))
        if call == "/v1/kv-lease-end" and request.method == "DELETE":
            return self._end_lease(int(number))
        return web.Answer(404)

    def _range(self, prefix: str, after: str) -> web.Answer:
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return web.Answer(
            200,
            {
                "items": [self._items[key] for key in keys[:MAX_PAGE_ITEMS]],
                "hasMore": len(keys) > MAX_PAGE_ITEMS,
                "storeRevision": self._revision,
            },
        )

    async def _watch(self, query: dict[str, str]) -> web.Answer:
        prefix, after = query["prefix"], int(query["after"])
        ends_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return web.Answer(
                    200, {"events": events, "storeRevision": self._revision}
                )
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> web.Answer:
        expected = body.get("expected", [])
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        if len(expected) + len(puts) + len(deletes) > MAX_ENTRIES:
            return web.Answer(400)
        for put in puts:
            if len(put["key"].encode()) > MAX_KEY_BYTES:
                return web.Answer(400)
            size = len(base64.b64decode(put["value"]))
            if size > MAX_VALUE_BYTES:
                self.refused_values += 1
                if self.refused_values in (1, 10, 100, 1000):
                    self._note(
                        f"store: refused {put['key']} of {size} bytes"
                        f" ({self.refused_values} such writes)"
                    )
                return web.Answer(400)
        if any(
            self._revision_of(row["key"]) != row["revision"] for row in expected
        ):
            items = [
                self._items[row["key"]]
                for row in expected
                if row["key"] in self._items
            ]
            return web.Answer(412, {"items": items})
        if any(
            put.get("lease") and put["lease"] not in self._leases
            for put in puts
        ):
            return web.Answer(404)
        self._revision += 1
        for put in puts:
            self._write(put["key"], put["value"], put.get("lease", 0))
        for key in deletes:
            self._delete(key)
        self._notify()
        return web.Answer(200, {"revision": self._revision})

    def _revision_of(self, key: str) -> int:
        item = self._items.get(key)
        return 0 if item is None else int(item["revision"])

    def _write(self, key: str, value: str, lease: int) -> None:
        earlier = self._items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": earlier["created"] if earlier else self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._events.append(item)

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._events.append(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def _grant(self, ttl_ms: int) -> web.Answer:
        ttl_ms = min(MAX_TTL_MS, max(MIN_TTL_MS, ttl_ms))
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        ttl_s = ttl_ms / 1000
        self._leases[lease] = _Lease(ttl_s, time.monotonic() + ttl_s)
        return web.Answer(200, {"lease": lease, "ttlMs": ttl_ms})

    def _renew(self, number: int) -> web.Answer:
        lease = self._leases.get(number)
        if lease is None:
            return web.Answer(404)
        lease.ends_s = time.monotonic() + lease.ttl_s
        return web.Answer(200, {"ttlMs": int(lease.ttl_s * 1000)})

    def _end_lease(self, number: int) -> web.Answer:
        if self._leases.pop(number, None) is None:
            return web.Answer(404)
        self._delete_keys_of(number)
        return web.Answer(200)

    async def _expire_forever(self) -> None:
        while True:
            now_s = time.monotonic()
            for number, lease in list(self._leases.items()):
                if lease.ends_s <= now_s:
                    del self._leases[number]
                    self._delete_keys_of(number)
            await asyncio.sleep(TICK_S)

    def _delete_keys_of(self, lease: int) -> None:
        keys = [
            key for key, item in self._items.items() if item["lease"] == lease
        ]
        if keys:
            self._revision += 1
            for key in keys:
                self._delete(key)
            self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
