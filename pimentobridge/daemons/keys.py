"""Keys of this system's items in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core import decoding
from pimentobridge.core import types
from pimentobridge.daemons import unreadable
from pimentobridge.protocol import addresses

if TYPE_CHECKING:
    from collections.abc import Iterable

PREFIX = "pimentobridge/"
LEADER = PREFIX + "leader"
JOBS = PREFIX + "jobs/"
PROGRESS = PREFIX + "progress/"
AGENTS = PREFIX + "agents/"
ENTRIES = PREFIX + "entries/"
FLEET = PREFIX + "fleet"


def job(job_id: types.JobId) -> str:
    """Returns the key of a submission."""
    return JOBS + job_id


def progress(job_id: types.JobId) -> str:
    """Returns the key of a job's progress."""
    return PROGRESS + job_id


def job_id_of(key: str) -> types.JobId:
    """Returns the job id in the key of a submission or of its progress."""
    return types.JobId(key.rpartition("/")[2])


def agent(address: types.Address) -> str:
    """Returns the key under which an agent announces its address."""
    return AGENTS + address


def agent_value(region: types.RegionName) -> bytes:
    """Returns what an agent announces under its key."""
    return region.encode()


def entry(address: types.Address) -> str:
    """Returns the key under which an entry announces its address."""
    return ENTRIES + address


def address_of(key: str) -> types.Address | None:
    """Returns the address in the key of an agent or entry.

    Returns None, and logs that once, if messages can't be sent there: another
    writer may have left the key.
    """
    address = key.split("/", 2)[2]
    if addresses.is_valid(address):
        return types.Address(address)
    unreadable.log_skipped(
        key,
        decoding.MalformedError(
            "expected an address tcp://HOST:PORT", address.encode()
        ),
    )
    return None


def addresses_in(stored: Iterable[str], prefix: str) -> list[types.Address]:
    """Returns the addresses in the keys that start with a prefix.

    Args:
        stored: keys of the store.
        prefix: `AGENTS` or `ENTRIES`.
    """
    found = (address_of(key) for key in stored if key.startswith(prefix))
    return [address for address in found if address is not None]
