"""Operators' drafts of the configuration.

They are kept in the platform's store because instances keep no state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
import urllib.parse

import msgspec
import result

from pimentobridge.core import configuration
from pimentobridge.core import documents
from pimentobridge.core import errors

if TYPE_CHECKING:
    from pimentobridge.platform import store as store_lib

DRAFT_LEASE_S = 7 * 24 * 3600.0
MAX_WRITE_ATTEMPTS = 3


class DraftStore:
    """Stores at most one draft per operator."""

    def __init__(self, store: store_lib.Store) -> None:
        self._store = store

    async def read(self, operator: str) -> configuration.Document | None:
        """Returns an operator's draft, or None if it is missing or invalid."""
        read_result = await self._store.get(_key(operator))
        if isinstance(read_result, result.Err) or read_result.ok_value is None:
            return None
        try:
            return msgspec.json.decode(
                read_result.ok_value.value, type=configuration.Document
            )
        except msgspec.MsgspecError:
            return None

    async def write(
        self, operator: str, document: configuration.Document
    ) -> errors.Problem | None:
        """Stores an operator's draft; returns the problem if that fails."""
        return await self._put(operator, configuration.canonical(document))

    async def discard(self, operator: str) -> None:
        """Deletes an operator's draft by storing an empty value."""
        await self._put(operator, b"")

    async def _put(self, operator: str, value: bytes) -> errors.Problem | None:
        for _ in range(MAX_WRITE_ATTEMPTS):
            read_result = await self._store.get(_key(operator))
            if isinstance(read_result, result.Err):
                continue
            entry = read_result.ok_value
            written = await self._store.compare_and_swap(
                _key(operator),
                value,
                expected_revision=entry.revision if entry else 0,
                lease_s=DRAFT_LEASE_S,
            )
            if isinstance(written, result.Ok):
                return None
        return errors.Problem(
            errors.ErrorKind.STORE_UNAVAILABLE,
            "the draft couldn't be stored.",
            "Send the form again when the store is available.",
        )


def parse(
    text: str,
) -> result.Result[configuration.Document, errors.Problem]:
    """Parses a document from JSON with comments."""
    return documents.parse(
        text,
        configuration.Document,
        errors.ErrorKind.INVALID_CONFIGURATION,
        where="document",
    )


def _key(operator: str) -> str:
    return f"configuration/drafts/{urllib.parse.quote(operator, safe='')}"
