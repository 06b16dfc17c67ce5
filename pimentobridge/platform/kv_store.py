"""Client of the platform's store: items, watches, transactions, leases."""

from __future__ import annotations

import base64
import enum
from typing import Any
import urllib.parse

import msgspec
import result

from pimentobridge.platform import http_client

# Most keys that one transaction may name, over conditions, writes, deletes.
MAX_TRANSACTION_ENTRIES = 32
READ_TIMEOUT_S = 0.8
WRITE_TIMEOUT_S = 0.8
# Time past a watch's own wait in which its answer must come.
WATCH_SLACK_S = 0.9

ABSENT = 0


class StoreError(enum.Enum):
    """Why a call gave no result.

    `REFUSED`: surely nothing was done. `UNKNOWN`: it may have been carried
    out, or may be later if its condition still holds.
    """

    REFUSED = "refused"
    UNKNOWN = "unknown"
    HISTORY_LOST = "history-lost"
    LEASE_ENDED = "lease-ended"


class Item(msgspec.Struct, frozen=True):
    """A key's state.

    Attributes:
        value: None if the key was deleted.
        revision: the store's revision at the last change.
        created: the store's revision at the creation.
        lease: lease that the key ends with; 0 for none.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0
    lease: int = 0


class Page(msgspec.Struct, frozen=True):
    """Items or changes, and the revision to go on from."""

    items: list[Item]
    store_revision: int
    has_more: bool = False


class Put(msgspec.Struct, frozen=True):
    """A write within a transaction."""

    key: str
    value: bytes
    lease: int = 0


class Conflict(msgspec.Struct, frozen=True):
    """A transaction whose condition didn't hold.

    Attributes:
        items_by_key: state of the condition's keys; absent ones are left out.
    """

    items_by_key: dict[str, Item]


# Failed calls in a row after which the store counts as away.
FAILURES_UNTIL_AWAY = 2


class KvStore:
    """The platform's store.

    Args:
        client: calls the store's address.
    """

    def __init__(self, client: http_client.Client) -> None:
        self._client = client
        self._failures = 0
        self.calls = 0

    @property
    def unavailable(self) -> bool:
        """Whether the newest calls have all failed."""
        return self._failures >= FAILURES_UNTIL_AWAY

    async def get(self, key: str) -> result.Result[Item | None, StoreError]:
        """Returns the item at `key`, or None; linearizable."""
        query = urllib.parse.urlencode({"key": key})
        answer = await self._read(f"/v1/kv-key?{query}", READ_TIMEOUT_S)
        if isinstance(answer, StoreError):
            return result.Err(answer)
        if answer.status == 404:
            return result.Ok(None)
        item = _item(answer.body)
        return result.Ok(item) if item else result.Err(StoreError.UNKNOWN)

    async def page(
        self, prefix: str, *, after: str = ""
    ) -> result.Result[Page, StoreError]:
        """Returns a page of the items under `prefix`, from past `after`."""
        fields = {"prefix": prefix} | ({"after": after} if after else {})
        query = urllib.parse.urlencode(fields)
        answer = await self._read(f"/v1/kv-range?{query}", READ_TIMEOUT_S)
        if isinstance(answer, StoreError):
            return result.Err(answer)
        return _page(answer.body, "items")

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> result.Result[Page, StoreError]:
        """Returns the changes after a revision, or none once `wait_s` passed.

        `HISTORY_LOST` means that the items must be read anew.
        """
        query = urllib.parse.urlencode(
            {
                "prefix": prefix,
                "after": after_revision,
                "waitMs": int(wait_s * 1000),
            }
        )
        answer = await self._read(
            f"/v1/kv-watch?{query}", wait_s + WATCH_SLACK_S
        )
        if isinstance(answer, StoreError):
            return result.Err(answer)
        if answer.status == 410:
            return result.Err(StoreError.HISTORY_LOST)
        return _page(answer.body, "events")

    async def transact(
        self,
        *,
        expected: dict[str, int],
        puts: list[Put],
        deletes: list[str] | None = None,
        timeout_s: float = WRITE_TIMEOUT_S,
    ) -> result.Result[int | Conflict, StoreError]:
        """Writes all or nothing.

        Args:
            expected: revision that each key must have; `ABSENT` for no key.
            puts: what to write.
            deletes: keys to delete.
            timeout_s: seconds after which the outcome counts as unknown.

        Returns:
            The store's revision after the write, or the conflict.
        """
        body = {
            "expected": [
                {"key": key, "revision": revision}
                for key, revision in expected.items()
            ],
            "puts": [_wire_put(put) for put in puts],
            "deletes": deletes or [],
        }
        answer = await self._call(
            "POST", "/v1/kv-txn", timeout_s=timeout_s, body=body
        )
        if isinstance(answer, http_client.Failure):
            return result.Err(_error_of(answer))
        if answer.status == 200:
            revision = answer.body.get("revision")
            if not isinstance(revision, int):
                return result.Err(StoreError.UNKNOWN)
            return result.Ok(revision)
        if answer.status == 412:
            return _conflict(answer.body)
        if answer.status == 404:
            return result.Err(StoreError.LEASE_ENDED)
        return result.Err(_error_of_status(answer.status))

    async def grant_lease(
        self, lifetime_s: float
    ) -> result.Result[tuple[int, float], StoreError]:
        """Returns a new lease and its lifetime in seconds."""
        answer = await self._call(
            "POST",
            "/v1/kv-lease",
            timeout_s=WRITE_TIMEOUT_S,
            body={"ttlMs": int(lifetime_s * 1000)},
        )
        if isinstance(answer, http_client.Failure):
            return result.Err(_error_of(answer))
        if answer.status != 200:
            return result.Err(_error_of_status(answer.status))
        lease, lifetime_ms = answer.body.get("lease"), answer.body.get("ttlMs")
        if not isinstance(lease, int) or not isinstance(
            lifetime_ms, int | float
        ):
            return result.Err(StoreError.UNKNOWN)
        return result.Ok((lease, lifetime_ms / 1000))

    async def renew_lease(
        self, lease: int, *, timeout_s: float
    ) -> result.Result[None, StoreError]:
        """Renews a lease from the arrival of the call."""
        answer = await self._call(
            "POST", f"/v1/kv-keep/{lease}", timeout_s=timeout_s, body={}
        )
        if isinstance(answer, http_client.Failure):
            return result.Err(_error_of(answer))
        if answer.status == 404:
            return result.Err(StoreError.LEASE_ENDED)
        if answer.status != 200:
            return result.Err(_error_of_status(answer.status))
        return result.Ok(None)

    async def revoke_lease(self, lease: int) -> result.Result[None, StoreError]:
        """Ends a lease; its keys go with it."""
        answer = await self._call(
            "DELETE", f"/v1/kv-lease-end/{lease}", timeout_s=WRITE_TIMEOUT_S
        )
        if isinstance(answer, http_client.Failure):
            return result.Err(_error_of(answer))
        return result.Ok(None)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: object | None = None,
    ) -> http_client.Answer | http_client.Failure:
        self.calls += 1
        answer = await self._client.call(
            method, path, timeout_s=timeout_s, body=body
        )
        turned_away = isinstance(answer, http_client.Answer) and (
            answer.status == 429 or answer.status >= 500
        )
        if isinstance(answer, http_client.Failure) or turned_away:
            self._failures += 1
        else:
            self._failures = 0
        return answer

    async def _read(
        self, path: str, timeout_s: float
    ) -> http_client.Answer | StoreError:
        answer = await self._call("GET", path, timeout_s=timeout_s)
        if isinstance(answer, http_client.Failure):
            return _error_of(answer)
        if answer.status not in (200, 404, 410):
            return _error_of_status(answer.status)
        return answer


def _error_of(failure: http_client.Failure) -> StoreError:
    if failure is http_client.Failure.NOT_SENT:
        return StoreError.REFUSED
    return StoreError.UNKNOWN


def _error_of_status(status: int) -> StoreError:
    # 429 and 503 say that nothing was done; other refusals of the store, such
    # as 400 and 403, are of calls that are never carried out either.
    return (
        StoreError.REFUSED
        if status < 500 or status == 503
        else (StoreError.UNKNOWN)
    )


def _wire_put(put: Put) -> dict[str, Any]:
    row: dict[str, Any] = {
        "key": put.key,
        "value": base64.b64encode(put.value).decode(),
    }
    return row | ({"lease": put.lease} if put.lease else {})


def _page(body: dict[str, Any], field: str) -> result.Result[Page, StoreError]:
    rows, revision = body.get(field, []), body.get("storeRevision")
    if not isinstance(rows, list) or not isinstance(revision, int):
        return result.Err(StoreError.UNKNOWN)
    items = [_item(row) for row in rows]
    return result.Ok(
        Page(
            items=[item for item in items if item],
            store_revision=revision,
            has_more=bool(body.get("hasMore", False)),
        )
    )


def _conflict(
    body: dict[str, Any],
) -> result.Result[int | Conflict, StoreError]:
    rows = body.get("items", [])
    if not isinstance(rows, list):
        return result.Err(StoreError.UNKNOWN)
    items = [_item(row) for row in rows]
    return result.Ok(Conflict({item.key: item for item in items if item}))


def _item(row: Any) -> Item | None:
    """Returns an item, or None for one that can't be read."""
    try:
        deleted = bool(row.get("deleted"))
        return Item(
            key=str(row["key"]),
            value=None if deleted else base64.b64decode(row["value"]),
            revision=int(row["revision"]),
            created=int(row.get("created", 0)),
            lease=int(row.get("lease", 0)),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None
