"""Decoder of the operator's configuration document in the platform's store."""

from __future__ import annotations

from typing import Any

import msgspec

from pimentobridge.core import decoding
from pimentobridge.core import types
from pimentobridge.core.jobs import configuration

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


_decoder = msgspec.json.Decoder(_Document, strict=False)


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
            service.name: configuration.Service(
                service.name, service.enforcesCapacity, service.standby
            )
            for service in wire.services
        },
        accounts_by_name={
            types.AccountName(tenant.name): _account(tenant)
            for tenant in wire.tenants
        },
        max_body_bytes=wire.limits.maxBodyBytes,
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
