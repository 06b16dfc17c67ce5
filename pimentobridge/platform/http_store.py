"""Single-key store interface of the request path, on the platform's store."""

from __future__ import annotations

import result

from pimentobridge.platform import http_client
from pimentobridge.platform import kv_store
from pimentobridge.platform import store

_ERROR_BY_CAUSE = {
    kv_store.StoreError.REFUSED: store.StoreError.UNAVAILABLE,
    kv_store.StoreError.UNKNOWN: store.StoreError.UNAVAILABLE,
    kv_store.StoreError.HISTORY_LOST: store.StoreError.UNAVAILABLE,
    kv_store.StoreError.LEASE_ENDED: store.StoreError.UNAVAILABLE,
}


class HttpStore:
    """Implements `store.Store` with the platform's HTTP store.

    Args:
        base_url: URL of the store; `http://` may be left out.
    """

    def __init__(self, base_url: str) -> None:
        address = base_url.removeprefix("http://").rstrip("/")
        self._store = kv_store.KvStore(http_client.HttpClient(address))

    @property
    def calls(self) -> int:
        """Number of calls made so far."""
        return self._store.calls

    async def get(
        self, key: str
    ) -> result.Result[store.Entry | None, store.StoreError]:
        """Returns the entry at `key`, or None if there is none."""
        item_result = await self._store.get(key)
        if isinstance(item_result, result.Err):
            return result.Err(_ERROR_BY_CAUSE[item_result.err_value])
        return result.Ok(_entry(item_result.ok_value))

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_s: float | None = None,
    ) -> result.Result[store.Entry, store.StoreError]:
        """Writes `value` if the key still has the expected revision."""
        if len(value) > store.MAX_VALUE_BYTES:
            return result.Err(store.StoreError.TOO_LARGE)
        lease = 0
        if lease_s is not None:
            granted = await self._store.grant_lease(lease_s)
            if isinstance(granted, result.Err):
                return result.Err(_ERROR_BY_CAUSE[granted.err_value])
            lease, _ = granted.ok_value
        written = await self._store.transact(
            expected={key: expected_revision},
            puts=[kv_store.Put(key, value, lease)],
        )
        if isinstance(written, result.Err):
            return result.Err(_ERROR_BY_CAUSE[written.err_value])
        revision = written.ok_value
        if isinstance(revision, kv_store.Conflict):
            return result.Err(store.StoreError.CONFLICT)
        return result.Ok(store.Entry(key, value, revision))

    async def watch(
        self, key: str, *, after_revision: int, timeout_s: float
    ) -> result.Result[store.Entry | None, store.StoreError]:
        """Returns the entry once it is newer, or None after the timeout.

        If the store has discarded the changes since `after_revision`, the entry
        is read again instead.
        """
        changes = await self._store.watch(
            key, after_revision=after_revision, wait_s=timeout_s
        )
        if isinstance(changes, result.Ok):
            changed = any(item.key == key for item in changes.ok_value.items)
        elif changes.err_value is kv_store.StoreError.HISTORY_LOST:
            changed = True
        else:
            return result.Err(_ERROR_BY_CAUSE[changes.err_value])
        if not changed:
            return result.Ok(None)
        entry_result = await self.get(key)
        if (
            isinstance(entry_result, result.Ok)
            and entry_result.ok_value is not None
        ):
            newer = entry_result.ok_value.revision > after_revision
            return entry_result if newer else result.Ok(None)
        return entry_result


def _entry(item: kv_store.Item | None) -> store.Entry | None:
    if item is None or item.value is None:
        return None
    return store.Entry(item.key, item.value, item.revision)
