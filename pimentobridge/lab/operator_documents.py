"""Configurations that the simulated operator writes."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pimentobridge.testing import platform_advice

ACCOUNTS = ("shop", "guides", "rental")
PRIORITIES = (0, 1, 2)
MAX_ATTEMPTS = 3


def configuration_document(
    version: int,
    *,
    service: str,
    guaranteed: int = 8,
    policy: platform_advice.PlatformAdvice | None = None,
    advised: tuple[int, ...] = (),
    more_routes: int = 0,
) -> dict[str, object]:
    """Returns a configuration in the format that the operator writes.

    Args:
        version: version of the configuration.
        service: worker pool that all queues use.
        guaranteed: accelerators guaranteed to each account.
        policy: placement policy of the advised queues; None for no policy.
        advised: priorities of the queues that are subject to the policy.
        more_routes: number of further queues, with names of their own.
    """
    advice_fields = {}
    if policy is not None:
        advice_fields = {
            "advice": {
                "decisionMs": policy.decision_s * 1000,
                "eachMs": policy.per_worker_s * 1000,
                "validityMs": policy.validity_s * 1000,
            }
        }
    return {
        "version": version,
        "routes": [
            {
                "name": f"queue-{priority}",
                "hostname": "host.example",
                "prefix": f"/queue-{priority}/",
                "service": service,
                "priority": priority,
                "maxAttempts": MAX_ATTEMPTS,
                "stretchFactor": 2.0,
                "sloMs": 1000,
                "timeoutMs": 3000,
            }
            | (advice_fields if priority in advised else {})
            for priority in PRIORITIES
        ]
        + [_added_route(number, service) for number in range(more_routes)],
        "services": [{"name": service, "enforcesCapacity": True}],
        "tenants": [
            {
                "name": name,
                "apiKeys": [f"key-of-{name}"],
                "guaranteed": {"gpu": guaranteed},
            }
            for name in ACCOUNTS
        ],
    }


def _added_route(number: int, service: str) -> dict[str, object]:
    """Returns a route whose names compress no better than random ones."""
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    return {
        "name": f"r-{digest[:7]}",
        "hostname": f"{digest[7:13]}.example",
        "prefix": f"/{digest[13:20]}/",
        "type": "non_idempotent",
        "timeoutMs": 3002,
        "sloMs": 1000,
        "priority": 1,
        "service": service,
        "maxAttempts": MAX_ATTEMPTS,
        "stretchFactor": 3.0,
        "allowAnonymous": False,
    }
