"""Success rate while some backend servers always fail, are slow or flap."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pimentobridge.bench import harness
from pimentobridge.bench import load
from pimentobridge.bench import workloads
from pimentobridge.core import types

if TYPE_CHECKING:
    from pimentobridge.testing import deployment

SECONDS = 30.0
DETECTION_S = 5.0
FLAP_INTERVAL_S = 3.0
FAILING = types.Address("agent-1")
SLOW = types.Address("agent-4")
FLAPPING = types.Address("agent-6")


def run(seed: int) -> harness.Report:
    """Measures the success rate once the faulty servers should be detected."""
    figures: dict[str, harness.Figure] = {}
    for mix in workloads.MIXES:
        result = _run(mix, seed)
        name = mix.size.name
        after_detection = result.tallies(lambda s: s.start_s >= DETECTION_S)
        sent = sum(tally.sent for tally in after_detection)
        answered = sum(tally.answered for tally in after_detection)
        figures[f"{name}.success_after_5_s"] = harness.at_least(
            answered / sent, 0.99, "ratio"
        )
        ejected = {
            address
            for entry in result.site.entries
            for address in entry.dispatcher.ejections_by_agent
        }
        healthy_ejected = ejected - {FAILING, SLOW, FLAPPING}
        figures[f"{name}.healthy_ejected"] = harness.at_most(
            len(healthy_ejected), 0, "count"
        )
        figures[f"{name}.bad_ejected"] = harness.info(
            len(ejected - healthy_ejected), "count"
        )
    return harness.Report("outliers", seed, figures)


def _run(mix: workloads.Mix, seed: int) -> load.Result:
    streams = []
    for stream in workloads.regular_streams(mix, 0.4):
        if stream.work_class == mix.normal:
            continue
        fields = {
            field: getattr(stream, field)
            for field in stream.__dataclass_fields__
        }
        before_detection = fields | {"end_s": DETECTION_S}
        after_detection = fields | {"start_s": DETECTION_S}
        streams += [
            load.Stream(**before_detection),
            load.Stream(**after_detection),
        ]
    return load.run(
        mix.size, streams, seed=seed, seconds=SECONDS, prepare=_inject_faults
    )


def _inject_faults(site: deployment.Deployment) -> None:
    site.backends_by_address[FAILING].failing = True
    site.backends_by_address[SLOW].slow_factor = 10.0
    site.spawn(_flap, site)


async def _flap(site: deployment.Deployment) -> None:
    backend = site.backends_by_address[FLAPPING]
    while True:
        backend.failing = not backend.failing
        await trio.sleep(FLAP_INTERVAL_S)
