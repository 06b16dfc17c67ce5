"""Typed errors, each with a remedy for the reader."""

from __future__ import annotations

import enum

import msgspec


class ErrorKind(enum.Enum):
    """Stable names of errors, used in problem documents and exit codes."""

    INVALID_SETTINGS = "invalid-settings"
    INVALID_CONFIGURATION = "invalid-configuration"
    INVALID_REQUEST = "invalid-request"
    UNKNOWN_ACCOUNT = "unknown-account"
    UNKNOWN_CLASS = "unknown-class"
    NOT_RUN = "not-run"
    OUTCOME_UNKNOWN = "outcome-unknown"
    WORK_FAILED = "work-failed"
    CONFLICT = "conflict"
    SIGNATURE = "signature-refused"
    STORE_UNAVAILABLE = "store-unavailable"
    DOES_NOT_FIT = "does-not-fit"
    UNAUTHORIZED = "unauthorized"


class Problem(msgspec.Struct, frozen=True):
    """An error as it is shown to a user.

    Attributes:
        kind: stable name of the error.
        detail: what was received and what is accepted instead.
        remedy: what the user can do about it.
        where: file and line, or the path of the offending field.
    """

    kind: ErrorKind
    detail: str
    remedy: str
    where: str = ""

    def __str__(self) -> str:
        place = f"{self.where}: " if self.where else ""
        return f"{place}{self.kind.value}: {self.detail} {self.remedy}"


class ProblemError(Exception):
    """Carries a `Problem` through code that reports errors by exceptions."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(str(problem))
        self.problem = problem
