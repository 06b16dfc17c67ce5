"""Decoder of the operator's configuration document in the platform's store."""

from __future__ import annotations

import hashlib
import re
from typing import Any

import msgspec

from pimentobridge.core import decoding
from pimentobridge.core import types
from pimentobridge.core.jobs import configuration
from pimentobridge.core.jobs import configuration_check

# Key of the document in the store.
KEY = "op/config"


class _Advice(msgspec.Struct):
    decisionMs: decoding.Milliseconds = 0.0  # noqa: N815
    eachMs: decoding.Milliseconds = 0.0  # noqa: N815
    validityMs: decoding.Milliseconds = 0.0  # noqa: N815


class _Route(msgspec.Struct):
    name: str
    hostname: str
    prefix: str
    service: str
    priority: decoding.Integer = 1
    maxAttempts: decoding.Integer = 1  # noqa: N815  wire name
    stretchFactor: decoding.Number = 1.0  # noqa: N815
    sloMs: decoding.Milliseconds = 0.0  # noqa: N815
    timeoutMs: decoding.Milliseconds = 3000.0  # noqa: N815
    allowAnonymous: bool = False  # noqa: N815
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    name: str
    enforcesCapacity: bool = True  # noqa: N815
    standby: bool = False


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: list[str]  # noqa: N815
    guaranteed: dict[str, Any] | None = None


class _Limits(msgspec.Struct):
    maxBodyBytes: decoding.Count = 262_144  # noqa: N815


class _Document(msgspec.Struct):
    """Wire format of the document; field names are the platform's."""

    version: decoding.Integer
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _RedactedKeys(msgspec.Struct):
    count: int
    digest: str


class _RedactedTenant(msgspec.Struct):
    name: str
    apiKeys: _RedactedKeys  # noqa: N815
    guaranteed: dict[str, Any]


class _RedactedDocument(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_RedactedTenant]
    limits: _Limits


_decoder = msgspec.json.Decoder(_Document, strict=False)

# The decoder's messages end with the place, for example "- at `$.routes[0]`".
_REFUSED_PLACE = re.compile(r"at `\$\.?([^`]+)`$")

_WIRE_NAME_BY_SECTION = {
    configuration_check.Section.DOCUMENT: "",
    configuration_check.Section.QUEUES: "routes",
    configuration_check.Section.SERVICES: "services",
    configuration_check.Section.ACCOUNTS: "tenants",
    configuration_check.Section.LIMITS: "limits",
}

_WIRE_NAME_BY_FIELD = {
    configuration_check.Field.WHOLE: "",
    configuration_check.Field.VERSION: "version",
    configuration_check.Field.NAME: "name",
    configuration_check.Field.HOSTNAME: "hostname",
    configuration_check.Field.PREFIX: "prefix",
    configuration_check.Field.SERVICE: "service",
    configuration_check.Field.PRIORITY: "priority",
    configuration_check.Field.MAX_ATTEMPTS: "maxAttempts",
    configuration_check.Field.STRETCH: "stretchFactor",
    configuration_check.Field.TIMEOUT: "timeoutMs",
    configuration_check.Field.VALIDITY: "advice.validityMs",
    configuration_check.Field.KEYS: "apiKeys",
    configuration_check.Field.GUARANTEE: "guaranteed.gpu",
    configuration_check.Field.MAX_BODY_BYTES: "maxBodyBytes",
}


def decode(value: bytes) -> configuration.JobConfiguration:
    """Returns the configuration that a document holds.

    Raises:
        decoding.MalformedError: the document is malformed.
    """
    wire = decoding.decode(_decoder, value)
    return configuration.JobConfiguration(
        version=wire.version,
        queues_by_name={route.name: _queue(route) for route in wire.routes},
        services_by_name={
            service.name: _service(service) for service in wire.services
        },
        accounts_by_name={
            types.AccountName(tenant.name): _account(tenant)
            for tenant in wire.tenants
        },
        max_body_bytes=wire.limits.maxBodyBytes,
    )


def listing(value: bytes) -> configuration_check.Listing:
    """Returns all entries of a document, also those with a name that is taken.

    Raises:
        decoding.MalformedError: the document is malformed.
    """
    wire = decoding.decode(_decoder, value)
    return configuration_check.Listing(
        version=wire.version,
        queues=tuple(_queue(route) for route in wire.routes),
        services=tuple(_service(service) for service in wire.services),
        accounts=tuple(_account(tenant) for tenant in wire.tenants),
        max_body_bytes=wire.limits.maxBodyBytes,
        ignored_by_place=_ignored_guarantees(wire),
    )


def place_name(place: configuration_check.Place) -> str:
    """Returns a place by its wire names, for example `routes[3].service`."""
    section = _WIRE_NAME_BY_SECTION[place.section]
    entry = section if place.index is None else f"{section}[{place.index}]"
    field = _WIRE_NAME_BY_FIELD[place.field]
    return ".".join(part for part in (entry, field) if part) or "document"


def place_of_refusal(error: decoding.MalformedError) -> str:
    """Returns the place that a refusal by the decoder names."""
    match = _REFUSED_PLACE.search(error.reason)
    return match[1] if match else "document"


def redacted(value: bytes) -> msgspec.Struct:
    """Returns the document for comparison, without its API keys.

    The keys of a tenant are replaced by their number and a short digest.

    Raises:
        decoding.MalformedError: the document is malformed.
    """
    wire = decoding.decode(_decoder, value)
    return _RedactedDocument(
        version=wire.version,
        routes=wire.routes,
        services=wire.services,
        tenants=[
            _RedactedTenant(
                name=tenant.name,
                apiKeys=_RedactedKeys(
                    len(set(tenant.apiKeys)), _digest_of(tenant.apiKeys)
                ),
                guaranteed=_flattened(tenant.guaranteed),
            )
            for tenant in wire.tenants
        ],
        limits=wire.limits,
    )


def _digest_of(keys: list[str]) -> str:
    data = msgspec.json.encode(sorted(set(keys)))
    return hashlib.sha256(data).hexdigest()[: decoding.DIGEST_LENGTH]


def _flattened(guaranteed: dict[str, Any] | None) -> dict[str, Any]:
    """Returns guarantees with values that can't be encoded or compared as text.

    The document may have any values here, such as lists and integers of more
    than 64 bits.
    """
    return {
        name: amount
        if isinstance(amount, int | float)
        and abs(amount) <= decoding.MAX_INTEGER
        else str(amount)
        for name, amount in (guaranteed or {}).items()
    }


def _ignored_guarantees(
    wire: _Document,
) -> dict[configuration_check.Place, str]:
    ignored = {}
    for index, tenant in enumerate(wire.tenants):
        guaranteed = (tenant.guaranteed or {}).get("gpu", 0)
        if not isinstance(guaranteed, int):
            place = configuration_check.Place(
                configuration_check.Section.ACCOUNTS,
                configuration_check.Field.GUARANTEE,
                index,
            )
            ignored[place] = configuration_check.quote(guaranteed)
    return ignored


def _service(service: _Service) -> configuration.Service:
    return configuration.Service(
        service.name, service.enforcesCapacity, service.standby
    )


def _queue(route: _Route) -> configuration.Queue:
    return configuration.Queue(
        name=route.name,
        hostname=route.hostname,
        prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=route.maxAttempts,
        stretch=route.stretchFactor,
        objective_s=route.sloMs / 1000,
        timeout_s=route.timeoutMs / 1000,
        anonymous=route.allowAnonymous,
        advice=_advice(route.advice),
    )


def _advice(wire: _Advice | None) -> configuration.AdvicePolicy | None:
    if wire is None:
        return None
    return configuration.AdvicePolicy(
        decision_s=wire.decisionMs / 1000,
        per_worker_s=wire.eachMs / 1000,
        validity_s=wire.validityMs / 1000,
    )


def _account(tenant: _Tenant) -> configuration.ClientAccount:
    guaranteed = (tenant.guaranteed or {}).get("gpu", 0)
    return configuration.ClientAccount(
        name=types.AccountName(tenant.name),
        keys=frozenset(tenant.apiKeys),
        guaranteed_accelerators=(
            min(guaranteed, decoding.MAX_INTEGER)
            if isinstance(guaranteed, int)
            else 0
        ),
    )
