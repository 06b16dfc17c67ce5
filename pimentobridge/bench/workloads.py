"""The regular request mix of each user's deployment, as load streams."""

from __future__ import annotations

import dataclasses

from pimentobridge.bench import load
from pimentobridge.core import types
from pimentobridge.testing import deployment


@dataclasses.dataclass(frozen=True)
class Mix:
    """Classes of a deployment and their load in regular operation.

    Attributes:
        urgent: name of the urgent class.
        normal: name of the normal class.
        batch: name of the batch class.
        load_by_class: fraction of all slots that each class keeps busy at an
            overall load of 1.
    """

    size: deployment.Size
    urgent: str
    normal: str
    batch: str
    load_by_class: dict[str, float]


MUIDA = Mix(
    deployment.MUIDA,
    "point-check",
    "profile-scan",
    "wear-report",
    {"point-check": 0.25, "profile-scan": 0.35, "wear-report": 0.40},
)
LUNETTA = Mix(
    deployment.LUNETTA,
    "lens-preview",
    "lens-order",
    "face-mesh",
    {"lens-preview": 0.30, "lens-order": 0.20, "face-mesh": 0.50},
)
MIXES = (MUIDA, LUNETTA)

CALLERS_PER_ACCOUNT = 3


def regular_streams(
    mix: Mix,
    overall_load: float,
    *,
    run_s_sigma_by_class: dict[str, float] | None = None,
) -> list[load.Stream]:
    """Returns the regular streams that keep `overall_load` of all slots busy.

    Requests arrive in the home region of their account. Each account sends in
    proportion to its share.
    """
    document = deployment.load_document(mix.size.name)
    total = sum(client.share for client in document.client_accounts)
    slots = mix.size.runners * deployment.SLOTS
    sigmas = run_s_sigma_by_class or {}
    streams = []
    for name, class_load in mix.load_by_class.items():
        work_class = document.classes_by_name[types.ClassName(name)]
        for client in document.client_accounts:
            rate = (
                slots * class_load * overall_load * client.share / total
            ) / work_class.expected_run_s
            streams += [
                load.Stream(
                    work_class=name,
                    account=client.name,
                    caller=f"caller-{number}",
                    rate_per_s=rate / CALLERS_PER_ACCOUNT,
                    run_s=work_class.expected_run_s,
                    run_s_sigma=sigmas.get(name, 0.3),
                    region=client.home_region,
                )
                for number in range(CALLERS_PER_ACCOUNT)
            ]
    return streams


def flood_stream(
    mix: Mix, name: str, multiple: float, *, account: str, run_s: float
) -> load.Stream:
    """Returns one caller's stream that needs `multiple` times all slots."""
    slots = mix.size.runners * deployment.SLOTS
    return load.Stream(
        work_class=name,
        account=account,
        caller="flood",
        rate_per_s=multiple * slots / run_s,
        run_s=run_s,
    )
