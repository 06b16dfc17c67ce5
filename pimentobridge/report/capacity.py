"""Tables of docs/CAPACITY.md, computed from benchmark figures."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.bench import registry

if TYPE_CHECKING:
    import pathlib

    from pimentobridge.bench import harness

BEGIN_MARKER = "<!-- measured: begin -->"
END_MARKER = "<!-- measured: end -->"
BENCHMARKS = ("footprint", "placement", "membership", "configuration")

# The design size of docs/CAPACITY.md.
WORKERS = 8000
GROUP_SIZE = 16
ENTRIES = 8
JOBS_PER_DAY = 14_000
CHANGES_PER_DAY = 6_400
RESTARTS_PER_DAY = 512
WRITES_PER_JOB = 3
DAY_S = 86_400.0


@dataclasses.dataclass(frozen=True)
class RoleCost:
    """What one role costs; one row of the table of roles.

    Attributes:
        state: what the role keeps in memory or in the store.
        mechanism: what keeps the cost bounded.
    """

    role: str
    state: str
    messages: str
    processor: str
    memory: str
    mechanism: str


def write_tables(path: pathlib.Path, seed: int) -> None:
    """Runs the benchmarks and replaces the measured tables of the page."""
    reports = {name: registry.run(name, seed) for name in BENCHMARKS}
    page = path.read_text(encoding="utf-8")
    head, _, rest = page.partition(BEGIN_MARKER)
    _, _, tail = rest.partition(END_MARKER)
    measured = f"{BEGIN_MARKER}\n{render_tables(reports)}\n{END_MARKER}"
    path.write_text(head + measured + tail, encoding="utf-8")


def render_tables(reports: dict[str, harness.Report]) -> str:
    """Returns the tables of measured figures and of role costs as Markdown."""
    lines = ["| figure | command | value |", "|---|---|---|"]
    for name, report in reports.items():
        for figure_name, figure in report.figures.items():
            command = f"`bench {name} --seed {report.seed}`"
            lines.append(
                f"| {figure_name.replace('_', ' ')} | {command} |"
                f" {figure.value:.4g} {figure.unit} |"
            )
    lines += [
        "",
        "| role | state | messages | processor | memory | bounded by |",
    ]
    lines.append("|---|---|---|---|---|---|")
    for cost in role_costs(reports):
        lines.append(
            f"| {cost.role} | {cost.state} | {cost.messages} |"
            f" {cost.processor} | {cost.memory} | {cost.mechanism} |"
        )
    return "\n".join(lines)


def role_costs(reports: dict[str, harness.Report]) -> list[RoleCost]:
    """Returns what each role costs at the design size of `WORKERS` workers."""
    footprint = reports["footprint"].figures
    placement = reports["placement"].figures
    membership = reports["membership"].figures
    configuration = reports["configuration"].figures
    node_bytes = membership["bytes_per_node_s_800"].value
    node_messages = membership["messages_per_node_s_800"].value
    node_cpu = membership["cpu_per_node_800"].value
    groups = WORKERS / GROUP_SIZE
    # Every group reports each 2 s; the interval grows so that an entry receives
    # at most 25 roll-ups per second (`directory.ROLL_UPS_PER_S`).
    roll_ups_per_s = min(groups / 2.0, 25.0)
    state_mb = placement["state_bytes_per_worker_8000"].value * WORKERS / 1e6
    decision_ms = placement["decision_ms_at_8000_8"].value
    store_calls_per_s = (
        JOBS_PER_DAY * WRITES_PER_JOB
        + CHANGES_PER_DAY * configuration["store_calls_per_change"].value
        + RESTARTS_PER_DAY
    ) / DAY_S
    return [
        RoleCost(
            "agent",
            "execution records, gangs",
            f"{node_messages:.1f}/s, {node_bytes / 1000:.1f} KB/s",
            f"{node_cpu:.2%} of a core",
            f"{footprint['agent_mb_at_design_size'].value:.0f} MB",
            "gossip in a group of 16; bounded retention",
        ),
        RoleCost(
            "entry",
            "queues, backend servers",
            "0.5 KB/s for each backend server;"
            f" {roll_ups_per_s:.0f} roll-ups/s",
            f"{footprint['choice_us_1000_servers'].value:.0f} us per choice",
            f"{footprint['entry_imported_mb'].value:.0f} MB loaded, "
            f"{footprint['bytes_per_backend_server'].value:.0f} B per server",
            "sampling of servers; roll-up interval grows with the number of"
            " groups",
        ),
        RoleCost(
            "placement (one entry)",
            f"index of {WORKERS} workers, {state_mb:.1f} MB",
            f"9 per gang member; {JOBS_PER_DAY / DAY_S:.2f} jobs/s",
            f"{decision_ms:.1f} ms per job of 8 workers",
            f"{state_mb:.1f} MB",
            "index of free cells by size; plan of guarantees kept up to date",
        ),
        RoleCost(
            "roll-up (one of each group)",
            "its group's members",
            f"{2 / max(2.0, groups / 25.0):.2f} reports/s",
            "included in the agent's",
            "included in the agent's",
            "rendezvous hashing; only a fingerprint when nothing changed",
        ),
        RoleCost(
            "relay over the link",
            "none",
            "heartbeats of the entries, chunks on request",
            "included in the entry's",
            "included in the entry's",
            "receiver requests chunks at its share of the link",
        ),
        RoleCost(
            "store",
            "64 job shards, claims for 300 s, the configuration document",
            f"{store_calls_per_s:.1f} calls/s besides claims",
            "the platform's",
            f"{JOBS_PER_DAY * 150 / 1e6:.1f} MB of jobs per day",
            "two watchers per region; each shard written as a whole",
        ),
    ]
