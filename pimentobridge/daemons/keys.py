"""Keys of this system in the platform's store."""

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
    """Returns the job that a submission's or a progress's key names."""
    return types.JobId(key.rpartition("/")[2])


def agent(address: types.Address) -> str:
    """Returns the key that announces an agent."""
    return AGENTS + address


def entry(address: types.Address) -> str:
    """Returns the key that announces an entry."""
    return ENTRIES + address


def address_of(key: str) -> types.Address:
    """Returns the address in an agent's or entry's key."""
    return types.Address(key.split("/", 2)[2])
