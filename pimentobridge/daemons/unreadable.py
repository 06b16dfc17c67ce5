"""Logs data of other writers that is skipped because it can't be read."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from pimentobridge.daemons import logs

if TYPE_CHECKING:
    from pimentobridge.core import decoding

# Limit on the remembered data; the oldest is forgotten first and logged again.
MAX_REMEMBERED = 1000
# Limit on the logged length of a key, which the other writer has chosen.
MAX_KEY_LENGTH = 200

_logged: collections.OrderedDict[tuple[str, str], None] = (
    collections.OrderedDict()
)


def log_skipped(key: str, error: decoding.MalformedError) -> None:
    """Logs, once for each content, that the data of a key is skipped.

    Args:
        key: where the data was read, such as a key of the store.
        error: why it can't be read.
    """
    if (key, error.digest) in _logged:
        return
    _logged[key, error.digest] = None
    if len(_logged) > MAX_REMEMBERED:
        _logged.popitem(last=False)
    logs.event(
        "unreadable data skipped",
        key=key[:MAX_KEY_LENGTH],
        why=error.reason,
        bytes=error.size,
        digest=error.digest,
    )
