"""Durable job records, kept in a fixed number of store entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import result
import trio
import xxhash

from pimentobridge.core import types
from pimentobridge.platform import store as store_lib
from pimentobridge.protocol import jobs

if TYPE_CHECKING:
    from collections.abc import Iterable

SHARD_COUNT = 64
FLUSH_INTERVAL_S = 0.2
RETRY_DELAY_S = 1.0


class Record(msgspec.Struct, frozen=True):
    """A job that hasn't ended.

    Attributes:
        spec: the submission.
        epoch: epoch of the latest attempt that started; 0 before the first.
    """

    spec: jobs.JobSpec
    epoch: types.Epoch


def shard_of(job_id: types.JobId) -> int:
    """Returns the number of the shard, a store entry, that holds a job."""
    return xxhash.xxh3_64_intdigest(job_id.encode()) % SHARD_COUNT


class JobRecords:
    """Caches records and writes each changed shard as a whole.

    Only the entry that places jobs writes. After a failed compare-and-swap, as
    when another entry has taken the role, it reads the shard again and merges.
    """

    def __init__(self, store: store_lib.Store) -> None:
        self._store = store
        self._records_by_shard: dict[int, dict[types.JobId, Record]] = {}
        self._revision_by_shard: dict[int, int] = {}
        self._removed: set[types.JobId] = set()
        self._dirty: set[int] = set()
        self._wake = trio.Event()
        self.writes = 0

    def put(self, record: Record) -> None:
        """Sets a record, which is durable once its shard is written."""
        shard = shard_of(record.spec.id)
        self._records_by_shard.setdefault(shard, {})[record.spec.id] = record
        self._mark_dirty(shard)

    def remove(self, job_id: types.JobId) -> None:
        """Removes the record of a job that has ended."""
        shard = shard_of(job_id)
        self._records_by_shard.setdefault(shard, {}).pop(job_id, None)
        self._removed.add(job_id)
        self._mark_dirty(shard)

    def is_durable(self, job_id: types.JobId) -> bool:
        """Returns whether the store holds the newest record of a job."""
        return shard_of(job_id) not in self._dirty

    async def load(self) -> Iterable[Record] | None:
        """Reads all shards.

        Returns:
            Every record, including those not yet written; None if the store
            doesn't answer.
        """
        for shard in range(SHARD_COUNT):
            if not await self._read_shard(shard):
                return None
        return [
            record
            for records in self._records_by_shard.values()
            for record in records.values()
        ]

    async def run(self) -> None:
        """Writes changed shards until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await trio.sleep(FLUSH_INTERVAL_S)
            for shard in sorted(self._dirty):
                if not await self._write_shard(shard):
                    await trio.sleep(RETRY_DELAY_S)
                    self._wake.set()
                    break

    def _mark_dirty(self, shard: int) -> None:
        self._dirty.add(shard)
        self._wake.set()

    async def _read_shard(self, shard: int) -> bool:
        response = await self._store.get(f"jobs/{shard}")
        if isinstance(response, result.Err):
            return False
        if response.ok_value is not None:
            self._revision_by_shard[shard] = response.ok_value.revision
            stored = msgspec.msgpack.decode(
                response.ok_value.value, type=list[Record]
            )
            cached = self._records_by_shard.setdefault(shard, {})
            for record in stored:
                if record.spec.id not in self._removed:
                    cached.setdefault(record.spec.id, record)
        return True

    async def _write_shard(self, shard: int) -> bool:
        records = list(self._records_by_shard.get(shard, {}).values())
        self.writes += 1
        self._dirty.discard(shard)
        written = await self._store.compare_and_swap(
            f"jobs/{shard}",
            msgspec.msgpack.encode(records),
            expected_revision=self._revision_by_shard.get(shard, 0),
        )
        if isinstance(written, result.Ok):
            self._revision_by_shard[shard] = written.ok_value.revision
            return True
        self._dirty.add(shard)
        if written.err_value is store_lib.StoreError.CONFLICT:
            await self._read_shard(shard)
        return False
