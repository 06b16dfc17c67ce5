"""Checks of a configuration of queues, services and accounts before it is sent.

The checks are pure: they take a listing of the document, which also has the
entries that a `JobConfiguration` leaves out because their name is taken.
"""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

import msgspec

from pimentobridge.core.jobs import configuration

if TYPE_CHECKING:
    from collections.abc import Iterator

# A request body must have room for a spec of this size.
SPEC_BYTES = 4_000
# Size of the smallest job with an empty spec: one step that has only a count.
SMALLEST_JOB_BYTES = 33
# Limit on the text that a finding quotes from the document.
MAX_QUOTE_LENGTH = 80


class Severity(enum.Enum):
    """How serious a finding is.

    `ERROR`: the document is refused, ignored, or has no definite meaning.
    `WARNING`: it takes effect, but hardly as intended.
    """

    ERROR = "error"
    WARNING = "warning"


class Section(enum.Enum):
    """Part of a configuration."""

    DOCUMENT = "document"
    QUEUES = "queues"
    SERVICES = "services"
    ACCOUNTS = "accounts"
    LIMITS = "limits"


class Field(enum.Enum):
    """Field of a configuration that a finding may concern."""

    WHOLE = "whole"
    VERSION = "version"
    NAME = "name"
    HOSTNAME = "hostname"
    PREFIX = "prefix"
    SERVICE = "service"
    PRIORITY = "priority"
    MAX_ATTEMPTS = "max-attempts"
    STRETCH = "stretch"
    TIMEOUT = "timeout"
    VALIDITY = "validity"
    KEYS = "keys"
    GUARANTEE = "guarantee"
    MAX_BODY_BYTES = "max-body-bytes"


class Place(msgspec.Struct, frozen=True):
    """Position in a configuration, independent of its wire names.

    Attributes:
        index: position of the entry in its section; None if the place is no
            part of an entry.
    """

    section: Section
    field: Field = Field.WHOLE
    index: int | None = None


class Finding(msgspec.Struct, frozen=True):
    """One result of a check.

    Attributes:
        received: what the document says.
        accepted: what is accepted instead.
        remedy: what the operator can do about it.
    """

    severity: Severity
    place: Place
    received: str
    accepted: str
    remedy: str


class Listing(msgspec.Struct, frozen=True):
    """A decoded document with all its entries in their order.

    Attributes:
        ignored_by_place: quotes of the values that the decoder replaces by a
            default because they have the wrong type.
    """

    version: int
    queues: tuple[configuration.Queue, ...]
    services: tuple[configuration.Service, ...]
    accounts: tuple[configuration.ClientAccount, ...]
    max_body_bytes: int
    ignored_by_place: dict[Place, str] = {}


def findings_in(
    listing: Listing,
    *,
    accelerators: int | None = None,
    version_in_force: int | None = None,
) -> list[Finding]:
    """Returns the findings of all checks, errors first.

    Args:
        listing: the document to check.
        accelerators: size of the fleet; None if it isn't known.
        version_in_force: version that the document replaces; None if it isn't
            known.
    """
    findings = [
        *_check_version(listing, version_in_force),
        *_check_names(listing),
        *_check_queues(listing),
        *_check_shadowed_queues(listing),
        *_check_services(listing),
        *_check_accounts(listing),
        *_check_shared_keys(listing),
        *_check_guarantees(listing, accelerators),
        *_check_body_limit(listing),
    ]
    return sorted(
        findings, key=lambda finding: finding.severity is not Severity.ERROR
    )


def quote(value: object) -> str:
    """Returns a value of the document for a message, abbreviated."""
    text = ascii(value) if isinstance(value, str) else str(value)
    if len(text) <= MAX_QUOTE_LENGTH:
        return text
    return text[: MAX_QUOTE_LENGTH - 3] + "..."


def _error(place: Place, received: str, accepted: str, remedy: str) -> Finding:
    return Finding(Severity.ERROR, place, received, accepted, remedy)


def _warning(
    place: Place, received: str, accepted: str, remedy: str
) -> Finding:
    return Finding(Severity.WARNING, place, received, accepted, remedy)


def _check_at_least(
    place: Place, value: float, minimum: int
) -> Iterator[Finding]:
    if value < minimum:
        yield _error(
            place,
            quote(value),
            f"a number of at least {minimum}",
            "Correct the number.",
        )


def _check_version(
    listing: Listing, version_in_force: int | None
) -> Iterator[Finding]:
    place = Place(Section.DOCUMENT, Field.VERSION)
    yield from _check_at_least(place, listing.version, 0)
    # Entries ignore a document whose version isn't above the one they have.
    if version_in_force is not None and listing.version <= version_in_force:
        yield _error(
            place,
            str(listing.version),
            f"a version above {version_in_force}, which is in force",
            f"Set the version to {version_in_force + 1} or more.",
        )


def _check_names(listing: Listing) -> Iterator[Finding]:
    names_by_section = {
        Section.QUEUES: [queue.name for queue in listing.queues],
        Section.SERVICES: [service.name for service in listing.services],
        Section.ACCOUNTS: [str(account.name) for account in listing.accounts],
    }
    for section, names in names_by_section.items():
        first_by_name: dict[str, int] = {}
        for index, name in enumerate(names):
            first = first_by_name.setdefault(name, index)
            if first != index:
                yield _error(
                    Place(section, Field.NAME, index),
                    f"{quote(name)}, which entry {first} has as well",
                    "a name that no other entry of the list has",
                    "Rename or remove one of them; only the last takes effect.",
                )


def _check_queues(listing: Listing) -> Iterator[Finding]:
    services = {service.name for service in listing.services}
    for index, queue in enumerate(listing.queues):
        if queue.service not in services:
            yield _error(
                Place(Section.QUEUES, Field.SERVICE, index),
                quote(queue.service),
                "the name of a service in the document",
                "Add the service, or name one that is there.",
            )
        yield from _check_match(index, queue)
        for field, value, minimum in (
            (Field.PRIORITY, queue.priority, 0),
            (Field.MAX_ATTEMPTS, queue.max_attempts, 1),
            (Field.STRETCH, queue.stretch, 0),
        ):
            place = Place(Section.QUEUES, field, index)
            yield from _check_at_least(place, value, minimum)
        yield from _check_times(index, queue)


def _check_match(index: int, queue: configuration.Queue) -> Iterator[Finding]:
    for field, text in (
        (Field.HOSTNAME, queue.hostname),
        (Field.PREFIX, queue.prefix),
    ):
        if not text:
            yield _error(
                Place(Section.QUEUES, field, index),
                "an empty text",
                "a text of at least one character",
                "Fill in the field, or remove the entry.",
            )
    if queue.prefix and not queue.prefix.startswith("/"):
        yield _warning(
            Place(Section.QUEUES, Field.PREFIX, index),
            f"{quote(queue.prefix)}, which matches no path",
            "a prefix that starts with '/'",
            "Put '/' in front of the prefix.",
        )


def _check_times(index: int, queue: configuration.Queue) -> Iterator[Finding]:
    if queue.timeout_s < queue.objective_s:
        yield _warning(
            Place(Section.QUEUES, Field.TIMEOUT, index),
            f"{_milliseconds(queue.timeout_s)}, shorter than the objective",
            f"at least the objective, {_milliseconds(queue.objective_s)}",
            "Lengthen the timeout or shorten the objective.",
        )
    policy = queue.advice
    if policy is not None and policy.validity_s < policy.time_for(1):
        yield _warning(
            Place(Section.QUEUES, Field.VALIDITY, index),
            f"{_milliseconds(policy.validity_s)}, shorter than a decision",
            "at least the decision time for one worker,"
            f" {_milliseconds(policy.time_for(1))}",
            "Lengthen the validity; tickets end before they can be used.",
        )


def _check_shadowed_queues(listing: Listing) -> Iterator[Finding]:
    first_by_match: dict[tuple[str, str], int] = {}
    for index, queue in enumerate(listing.queues):
        first = first_by_match.setdefault((queue.hostname, queue.prefix), index)
        if listing.queues[first].name != queue.name:
            yield _warning(
                Place(Section.QUEUES, Field.PREFIX, index),
                f"the host and prefix of {quote(listing.queues[first].name)},"
                " which gets all the requests",
                "a host and prefix that no other entry has",
                "Change the host or prefix, or remove the entry.",
            )


def _check_services(listing: Listing) -> Iterator[Finding]:
    used = {queue.service for queue in listing.queues}
    for index, service in enumerate(listing.services):
        if service.name not in used:
            yield _warning(
                Place(Section.SERVICES, Field.WHOLE, index),
                f"{quote(service.name)}, which gets no requests",
                "a service to which a request can lead",
                "Remove the service, or lead requests to it.",
            )


def _check_accounts(listing: Listing) -> Iterator[Finding]:
    anonymous = any(queue.anonymous for queue in listing.queues)
    for index, account in enumerate(listing.accounts):
        if not account.keys and not anonymous:
            yield _warning(
                Place(Section.ACCOUNTS, Field.KEYS, index),
                "no keys, and nothing allows anonymous calls",
                "at least one key",
                "Add a key, or remove the entry.",
            )


def _check_shared_keys(listing: Listing) -> Iterator[Finding]:
    """Finds keys of several accounts; the findings don't quote the keys."""
    first_by_key: dict[str, int] = {}
    for index, account in enumerate(listing.accounts):
        shared: collections.Counter[int] = collections.Counter()
        for key in account.keys:
            first = first_by_key.setdefault(key, index)
            if listing.accounts[first].name != account.name:
                shared[first] += 1
        for first, count in sorted(shared.items()):
            yield _error(
                Place(Section.ACCOUNTS, Field.KEYS, index),
                f"{count} of the keys of {quote(listing.accounts[first].name)}",
                "keys that no other entry has",
                "Remove the shared keys from one of them and replace them.",
            )


def _check_guarantees(
    listing: Listing, accelerators: int | None
) -> Iterator[Finding]:
    for place, quoted in listing.ignored_by_place.items():
        yield _warning(
            place,
            f"{quoted}, which is read as 0",
            "an integer of at least 0",
            "Correct the number.",
        )
    for index, account in enumerate(listing.accounts):
        place = Place(Section.ACCOUNTS, Field.GUARANTEE, index)
        yield from _check_at_least(place, account.guaranteed_accelerators, 0)
    total = sum(
        max(0, account.guaranteed_accelerators) for account in listing.accounts
    )
    if accelerators is not None and total > accelerators:
        yield _warning(
            Place(Section.ACCOUNTS),
            f"guarantees of {total} accelerators in total",
            f"at most the {accelerators} accelerators of the fleet",
            "Lower the guarantees; they can't all be kept at once.",
        )


def _check_body_limit(listing: Listing) -> Iterator[Finding]:
    needed = SPEC_BYTES + SMALLEST_JOB_BYTES
    if listing.max_body_bytes < needed:
        yield _warning(
            Place(Section.LIMITS, Field.MAX_BODY_BYTES),
            f"{listing.max_body_bytes} bytes",
            f"at least {needed} bytes, for a job with a spec of {SPEC_BYTES}",
            "Raise the limit; larger requests are refused.",
        )


def _milliseconds(seconds: float) -> str:
    return f"{seconds * 1000:g} ms"
