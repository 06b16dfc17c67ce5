"""Keys of this system's items in the platform's store."""

from __future__ import annotations

from pimentobridge.core import types

PREFIX = "pimentobridge/"
LEADER = PREFIX + "leader"
JOBS = PREFIX + "jobs/"
PROGRESS = PREFIX + "progress/"
AGENTS = PREFIX + "agents/"
ENTRIES = PREFIX + "entries/"


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


def address_of(key: str) -> types.Address:
    """Returns the address in the key of an agent or entry."""
    return types.Address(key.split("/", 2)[2])
