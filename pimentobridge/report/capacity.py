"""Tables of docs/CAPACITY.md, from the figures that benchmarks measure."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from pimentobridge.bench import registry

if TYPE_CHECKING:
    import pathlib

    from pimentobridge.bench import harness

BEGIN = "<!-- measured: begin -->"
END = "<!-- measured: end -->"
BENCHES = ("footprint", "placement", "membership", "configuration")

WORKERS = 8000
GROUP = 16
ENTRIES = 8
JOBS_A_DAY = 14_000
CHANGES_A_DAY = 6_400
RESTARTS_A_DAY = 512
JOB_WRITES = 3
DAY_S = 86_400.0


@dataclasses.dataclass(frozen=True)
class Row:
    """One line of the table of roles."""

    role: str
    state: str
    messages: str
    processor: str
    memory: str
    mechanism: str


def update(path: pathlib.Path, seed: int) -> None:
    """Runs the benchmarks and writes their tables into the page."""
    reports = {name: registry.run(name, seed) for name in BENCHES}
    text = path.read_text(encoding="utf-8")
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    body = f"{BEGIN}\n{tables(reports)}\n{END}"
    path.write_text(head + body + tail, encoding="utf-8")


def tables(reports: dict[str, harness.Report]) -> str:
    """Returns the tables of slopes and of roles as Markdown."""
    lines = ["| slope | command | figure |", "|---|---|---|"]
    for name, report in reports.items():
        for key, figure in report.figures.items():
            command = f"`bench {name} --seed {report.seed}`"
            lines.append(
                f"| {key.replace('_', ' ')} | {command} |"
                f" {figure.value:.4g} {figure.unit} |"
            )
    lines += [
        "",
        "| role | state | messages | processor | memory | carried by |",
    ]
    lines.append("|---|---|---|---|---|---|")
    for row in roles(reports):
        lines.append(
            f"| {row.role} | {row.state} | {row.messages} | {row.processor} |"
            f" {row.memory} | {row.mechanism} |"
        )
    return "\n".join(lines)


def roles(reports: dict[str, harness.Report]) -> list[Row]:
    """Returns what each role costs at the size of the design."""
    foot = reports["footprint"].figures
    place = reports["placement"].figures
    member = reports["membership"].figures
    changes = reports["configuration"].figures
    node_bytes = member["bytes_per_node_s_800"].value
    node_messages = member["messages_per_node_s_800"].value
    node_cpu = member["cpu_per_node_800"].value
    groups = WORKERS / GROUP
    roll_ups = min(groups / 2.0, 25.0)
    state_mb = place["state_bytes_per_worker_8000"].value * WORKERS / 1e6
    decision_ms = place["decision_ms_at_8000_8"].value
    calls = (
        JOBS_A_DAY * JOB_WRITES
        + CHANGES_A_DAY * changes["store_calls_per_change"].value
        + RESTARTS_A_DAY
    ) / DAY_S
    return [
        Row(
            "agent",
            "execution records, gangs",
            f"{node_messages:.1f}/s, {node_bytes / 1000:.1f} KB/s",
            f"{node_cpu:.2%} of a core",
            f"{foot['agent_mb_at_design_size'].value:.0f} MB",
            "gossip in a group of 16; bounded retention",
        ),
        Row(
            "entry",
            "queues, backend servers",
            f"0.5 KB/s for each backend server; {roll_ups:.0f} roll-ups/s",
            f"{foot['choice_us_1000_servers'].value:.0f} us a choice",
            f"{foot['entry_imported_mb'].value:.0f} MB loaded, "
            f"{foot['bytes_per_backend_server'].value:.0f} B a server",
            "sampling; roll-up interval grows with the groups",
        ),
        Row(
            "placement (one entry)",
            f"index of {WORKERS} workers, {state_mb:.1f} MB",
            f"9 a gang member; {JOBS_A_DAY / DAY_S:.2f} jobs/s",
            f"{decision_ms:.1f} ms a job of 8",
            f"{state_mb:.1f} MB",
            "buckets by free cell; standing plan of guarantees",
        ),
        Row(
            "roll-up (one of each group)",
            "its group's members",
            f"{2 / max(2.0, groups / 25.0):.2f} reports/s",
            "in the agent's",
            "in the agent's",
            "rendezvous hashing; fingerprint when unchanged",
        ),
        Row(
            "relay over the link",
            "none",
            "beats of the entries, chunks on request",
            "in the entry's",
            "in the entry's",
            "receiver asks at its share of the link",
        ),
        Row(
            "store",
            "64 job shards, claims for 300 s, the document",
            f"{calls:.1f} calls/s besides claims",
            "the platform's",
            f"{JOBS_A_DAY * 150 / 1e6:.1f} MB of jobs a day",
            "two watchers a region; shards written together",
        ),
    ]
