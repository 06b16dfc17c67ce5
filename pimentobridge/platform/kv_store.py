"""HTTP client of the platform's key-value store.

Reads items, watches prefixes, runs transactions and manages leases.
"""

from __future__ import annotations

import base64
import enum
from typing import Any
import urllib.parse

from absl import logging
import msgspec
import result

from pimentobridge.core import decoding
from pimentobridge.platform import http_client

# Limit of the store on the conditions, writes and deletes of a transaction
# together.
MAX_TRANSACTION_ENTRIES = 32
READ_TIMEOUT_S = 0.8
WRITE_TIMEOUT_S = 0.8
# Added to the wait that a watch asks of the store to get the call's timeout.
WATCH_TIMEOUT_MARGIN_S = 0.9

# Revision that a transaction expects of a key that must not exist.
ABSENT = 0


class StoreError(enum.Enum):
    """Why a call gave no result.

    `REFUSED`: the call had no effect and will have none. `UNKNOWN`: it may have
    taken effect, or may do so later if its conditions still hold.
    `HISTORY_LOST`: the store has discarded the changes that a watch asks for.
    `LEASE_ENDED`: the lease doesn't exist any more.
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
        created: the store's revision when the key was created.
        lease: lease whose end deletes the key; 0 for none.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0
    lease: int = 0


class Page(msgspec.Struct, frozen=True):
    """Part of a listing of items or of changes.

    Attributes:
        items: the items, or for a watch their states after the changes.
        store_revision: the store's revision, after which to watch next.
        has_more: whether further items or changes follow.
    """

    items: list[Item]
    store_revision: int
    has_more: bool = False


class Put(msgspec.Struct, frozen=True):
    """A write within a transaction.

    Attributes:
        lease: lease whose end deletes the key; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


class Conflict(msgspec.Struct, frozen=True):
    """A transaction that wasn't run because a condition didn't hold.

    Attributes:
        items_by_key: states of the keys in the conditions; keys that don't
            exist are left out.
    """

    items_by_key: dict[str, Item]


# Consecutive failed calls after which the store counts as unavailable.
UNAVAILABLE_AFTER_FAILURES = 2


class KvStore:
    """Client of the platform's store.

    Args:
        client: HTTP client of the store's address.

    Attributes:
        calls: number of calls made so far.
    """

    def __init__(self, client: http_client.Client) -> None:
        self._client = client
        self._failures = 0
        self.calls = 0

    @property
    def unavailable(self) -> bool:
        """Whether the latest `UNAVAILABLE_AFTER_FAILURES` calls all failed."""
        return self._failures >= UNAVAILABLE_AFTER_FAILURES

    async def get(self, key: str) -> result.Result[Item | None, StoreError]:
        """Returns the item at `key`, or None; the read is linearizable."""
        query = urllib.parse.urlencode({"key": key})
        answer = await self._read(f"/v1/kv-key?{query}", READ_TIMEOUT_S)
        if isinstance(answer, StoreError):
            return result.Err(answer)
        if answer.status == 404:
            return result.Ok(None)
        item = _decoded_item(answer.body)
        return result.Ok(item) if item else result.Err(StoreError.UNKNOWN)

    async def page(
        self, prefix: str, *, after: str = ""
    ) -> result.Result[Page, StoreError]:
        """Returns the next items whose keys start with `prefix`.

        Args:
            prefix: start of the keys.
            after: last key of the previous page; empty for the first page.
        """
        fields = {"prefix": prefix} | ({"after": after} if after else {})
        query = urllib.parse.urlencode(fields)
        answer = await self._read(f"/v1/kv-range?{query}", READ_TIMEOUT_S)
        if isinstance(answer, StoreError):
            return result.Err(answer)
        return _decoded_page(answer.body, "items")

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> result.Result[Page, StoreError]:
        """Waits for changes of the keys that start with `prefix`.

        Args:
            prefix: start of the keys.
            after_revision: revision after which changes are returned.
            wait_s: seconds after which the result is an empty page.

        Returns:
            The changes. `HISTORY_LOST` means that the items must be read again
            with `page`.
        """
        query = urllib.parse.urlencode(
            {
                "prefix": prefix,
                "after": after_revision,
                "waitMs": int(wait_s * 1000),
            }
        )
        answer = await self._read(
            f"/v1/kv-watch?{query}", wait_s + WATCH_TIMEOUT_MARGIN_S
        )
        if isinstance(answer, StoreError):
            return result.Err(answer)
        if answer.status == 410:
            return result.Err(StoreError.HISTORY_LOST)
        return _decoded_page(answer.body, "events")

    async def transact(
        self,
        *,
        expected: dict[str, int],
        puts: list[Put],
        deletes: list[str] | None = None,
        timeout_s: float = WRITE_TIMEOUT_S,
    ) -> result.Result[int | Conflict, StoreError]:
        """Runs an atomic transaction: all writes and deletes, or none.

        Args:
            expected: revision that each key must have; `ABSENT` if it must not
                exist.
            puts: writes.
            deletes: keys to delete.
            timeout_s: seconds after which the outcome counts as unknown.

        Returns:
            The store's revision after the transaction, or the conflict.
        """
        body = {
            "expected": [
                {"key": key, "revision": revision}
                for key, revision in expected.items()
            ],
            "puts": [_encoded_put(put) for put in puts],
            "deletes": deletes or [],
        }
        answer = await self._call(
            "POST", "/v1/kv-txn", timeout_s=timeout_s, body=body
        )
        if isinstance(answer, http_client.Failure):
            return result.Err(_error_of_failure(answer))
        if answer.status == 200:
            revision = answer.body.get("revision")
            if not isinstance(revision, int):
                return result.Err(StoreError.UNKNOWN)
            return result.Ok(revision)
        if answer.status == 412:
            return _decoded_conflict(answer.body)
        if answer.status == 404:
            return result.Err(StoreError.LEASE_ENDED)
        return result.Err(_error_of_status(answer.status))

    async def grant_lease(
        self, lifetime_s: float
    ) -> result.Result[tuple[int, float], StoreError]:
        """Returns the id of a new lease and its granted lifetime in seconds."""
        answer = await self._call(
            "POST",
            "/v1/kv-lease",
            timeout_s=WRITE_TIMEOUT_S,
            body={"ttlMs": int(lifetime_s * 1000)},
        )
        if isinstance(answer, http_client.Failure):
            return result.Err(_error_of_failure(answer))
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
        """Renews a lease; its lifetime starts again when the call arrives."""
        answer = await self._call(
            "POST", f"/v1/kv-keep/{lease}", timeout_s=timeout_s, body={}
        )
        if isinstance(answer, http_client.Failure):
            return result.Err(_error_of_failure(answer))
        if answer.status == 404:
            return result.Err(StoreError.LEASE_ENDED)
        if answer.status != 200:
            return result.Err(_error_of_status(answer.status))
        return result.Ok(None)

    async def revoke_lease(self, lease: int) -> result.Result[None, StoreError]:
        """Revokes a lease, which deletes the keys attached to it."""
        answer = await self._call(
            "DELETE", f"/v1/kv-lease-end/{lease}", timeout_s=WRITE_TIMEOUT_S
        )
        if isinstance(answer, http_client.Failure):
            return result.Err(_error_of_failure(answer))
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
        rejected = isinstance(answer, http_client.Answer) and (
            answer.status == 429 or answer.status >= 500
        )
        if isinstance(answer, http_client.Failure) or rejected:
            self._failures += 1
        else:
            self._failures = 0
        return answer

    async def _read(
        self, path: str, timeout_s: float
    ) -> http_client.Answer | StoreError:
        answer = await self._call("GET", path, timeout_s=timeout_s)
        if isinstance(answer, http_client.Failure):
            return _error_of_failure(answer)
        if answer.status not in (200, 404, 410):
            return _error_of_status(answer.status)
        return answer


def _error_of_failure(failure: http_client.Failure) -> StoreError:
    if failure in (http_client.Failure.REFUSED, http_client.Failure.NOT_SENT):
        return StoreError.REFUSED
    return StoreError.UNKNOWN


def _error_of_status(status: int) -> StoreError:
    # The store sends 429 and 503 before it has done anything. It doesn't carry
    # out calls that it refuses with another 4xx, such as 400 and 403, either.
    return (
        StoreError.REFUSED
        if status < 500 or status == 503
        else StoreError.UNKNOWN
    )


def _encoded_put(put: Put) -> dict[str, Any]:
    row: dict[str, Any] = {
        "key": put.key,
        "value": base64.b64encode(put.value).decode(),
    }
    return row | ({"lease": put.lease} if put.lease else {})


def _decoded_page(
    body: dict[str, Any], field: str
) -> result.Result[Page, StoreError]:
    rows, revision = body.get(field, []), body.get("storeRevision")
    if not isinstance(rows, list) or not isinstance(revision, int):
        return result.Err(StoreError.UNKNOWN)
    items = [_decoded_item(row) for row in rows]
    return result.Ok(
        Page(
            items=[item for item in items if item],
            store_revision=revision,
            has_more=bool(body.get("hasMore", False)),
        )
    )


def _decoded_conflict(
    body: dict[str, Any],
) -> result.Result[int | Conflict, StoreError]:
    rows = body.get("items", [])
    if not isinstance(rows, list):
        return result.Err(StoreError.UNKNOWN)
    items = [_decoded_item(row) for row in rows]
    return result.Ok(Conflict({item.key: item for item in items if item}))


def _decoded_item(row: Any) -> Item | None:
    """Returns the item in a JSON value, or None if it is malformed."""
    try:
        deleted = bool(row.get("deleted"))
        return Item(
            key=str(row["key"]),
            value=None if deleted else base64.b64decode(row["value"]),
            revision=decoding.integer(row["revision"]),
            created=decoding.integer(row.get("created", 0)),
            lease=decoding.integer(row.get("lease", 0)),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        logging.warning("an item of the store was left out: %s", error)
        return None
