"""Checks of a configuration document beyond the types of its fields."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from pimentobridge.core import cell_index
from pimentobridge.core import cells
from pimentobridge.core import configuration
from pimentobridge.core import errors
from pimentobridge.core import fleet
from pimentobridge.core import types

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

MAX_FLOOR_TOTAL = 1.0
MAX_NAME_LENGTH = 100
MAX_ACCELERATORS = 64
MAX_RACK_WORKERS = 1000
MAX_WORKERS = 50_000
MAX_GUARANTEE_COUNT = 10_000
MAX_SHAPE_WORKERS = 4096


def problems_of(document: configuration.Document) -> list[errors.Problem]:
    """Returns all problems of a document; empty if it is valid.

    Guarantees are only checked if nothing else is wrong.
    """
    problems = [
        *_owner_problems(document),
        *_name_problems(document),
        *_class_problems(document),
        *_account_problems(document),
        *_fleet_problems(document),
    ]
    if not problems:
        problems += _guarantee_problems(document)
    return problems


def _owner_problems(
    document: configuration.Document,
) -> Iterator[errors.Problem]:
    names = {owner.name for owner in document.owners}
    if len(names) < 2:
        yield _problem(
            "owners",
            f"received {len(names)} owners; expected two co-owners.",
            "Declare both owners with their public keys.",
        )
    for owner in document.owners:
        if not _is_hex(owner.public_key, 64):
            yield _problem(
                f"owners[{owner.name}].public_key",
                "expected an Ed25519 public key of 64 hexadecimal digits.",
                "Copy the line that `pimentobridge sign --show-key` prints.",
            )
    for operator in document.operators:
        if not _is_hex(operator.token_sha256, 64):
            yield _problem(
                f"operators[{operator.name}].token_sha256",
                "expected a SHA-256 of 64 hexadecimal digits.",
                "Hash the operator's token; never declare the token itself.",
            )


def _name_problems(
    document: configuration.Document,
) -> Iterator[errors.Problem]:
    yield from _duplicates("classes", (c.name for c in document.classes))
    yield from _duplicates(
        "client_accounts", (a.name for a in document.client_accounts)
    )
    yield from _duplicates("regions", (r.name for r in document.regions))
    yield from _duplicates(
        "data_centres",
        (name for r in document.regions for name in r.data_centres),
    )
    for client in document.client_accounts:
        yield from _duplicates(
            f"client_accounts[{client.name}].teams",
            (team.name for team in client.teams),
        )


def _class_problems(
    document: configuration.Document,
) -> Iterator[errors.Problem]:
    if not document.classes:
        yield _problem(
            "classes", "received no class of work.", "Declare at least one."
        )
    for work_class in document.classes:
        where = f"classes[{work_class.name}]"
        if work_class.deadline_s <= 0 or work_class.expected_run_s <= 0:
            yield _problem(
                where,
                "expected deadline_s and expected_run_s above 0.",
                "Set both to a number of seconds above 0.",
            )
        if not 0 <= work_class.floor <= 1:
            yield _problem(
                where,
                f"received floor {work_class.floor}; expected 0 to 1.",
                "Set the floor to a fraction of the slots.",
            )
        if not 0 < work_class.objective < 1:
            yield _problem(
                where,
                f"received objective {work_class.objective}; expected a"
                " fraction between 0 and 1.",
                "Set the objective to a fraction such as 0.99.",
            )
    total = sum(work_class.floor for work_class in document.classes)
    if total > MAX_FLOOR_TOTAL:
        yield _problem(
            "classes",
            f"the floors add up to {total:.2f}; expected at most 1.",
            "Lower the floors until their sum is at most 1.",
        )


def _account_problems(
    document: configuration.Document,
) -> Iterator[errors.Problem]:
    regions = {region.name for region in document.regions}
    for client in document.client_accounts:
        where = f"client_accounts[{client.name}]"
        if client.home_region not in regions:
            yield _problem(
                f"{where}.home_region",
                f"received {client.home_region!r}; expected one of"
                f" {', '.join(sorted(regions))}.",
                "Use the name of a declared region.",
            )
        if client.share <= 0:
            yield _problem(
                f"{where}.share",
                f"received {client.share}; expected a number above 0.",
                "Set the account's weight relative to the other accounts.",
            )
        for guarantee in client.guarantees:
            yield from _shape_problems(where, guarantee.shape, guarantee.count)
        for team in client.teams:
            if team.quota_accelerators < 0:
                yield _problem(
                    f"{where}.teams[{team.name}]",
                    f"received quota {team.quota_accelerators}; expected 0 or"
                    " more.",
                    "Set the quota to a number of accelerators, 0 or more.",
                )


def _shape_problems(
    where: str, shape: object, count: int
) -> Iterator[errors.Problem]:
    accelerators = getattr(shape, "accelerators", 0)
    workers = getattr(shape, "workers", 0)
    is_valid = (
        accelerators in cells.CELL_SIZES
        and 1 <= workers <= MAX_SHAPE_WORKERS
        and 0 <= count <= MAX_GUARANTEE_COUNT
    )
    if not is_valid:
        sizes = ", ".join(str(size) for size in cells.CELL_SIZES)
        yield _problem(
            f"{where}.guarantees",
            f"received {accelerators} accelerators, {workers} workers, count"
            f" {count}; expected {sizes} accelerators, 1 to"
            f" {MAX_SHAPE_WORKERS} workers, a count up to"
            f" {MAX_GUARANTEE_COUNT}.",
            "Round the accelerators up to a listed cell size, and keep workers"
            " and count within the limits.",
        )


def _fleet_problems(
    document: configuration.Document,
) -> Iterator[errors.Problem]:
    data_centres = set(document.region_by_data_centre)
    for group in document.fleet:
        where = f"fleet[{group.data_centre}/{group.rack}]"
        if group.data_centre not in data_centres:
            yield _problem(
                where,
                f"received data centre {group.data_centre!r}; expected one of"
                f" {', '.join(sorted(data_centres))}.",
                "Use the name of a declared data centre.",
            )
        if not 0 <= group.workers <= MAX_RACK_WORKERS:
            yield _problem(
                where,
                f"received {group.workers} workers; expected 0 to"
                f" {MAX_RACK_WORKERS}.",
                "Set the number of workers in the rack.",
            )
        if not 0 <= group.accelerators <= MAX_ACCELERATORS:
            yield _problem(
                where,
                f"received {group.accelerators} accelerators; expected 0 to"
                f" {MAX_ACCELERATORS}.",
                "Set the number of accelerators in each worker.",
            )
    total = sum(group.workers for group in document.fleet)
    if total > MAX_WORKERS:
        yield _problem(
            "fleet",
            f"received {total} workers; expected at most {MAX_WORKERS}.",
            "Split the fleet between two deployments.",
        )
    if document.link.bandwidth_mbit_s <= 0:
        yield _problem(
            "link.bandwidth_mbit_s",
            f"received {document.link.bandwidth_mbit_s}; expected a number"
            " above 0.",
            "Set the link's bandwidth in megabits per second.",
        )


def _guarantee_problems(
    document: configuration.Document,
) -> list[errors.Problem]:
    """Returns a problem for each guarantee that doesn't fit the fleet.

    The fleet is checked without its largest racks, as many as the failure
    allowance states.
    """
    workers = fleet.workers_of(document.fleet)
    demands = cells.demands_of(document.client_accounts)
    lost_racks = _largest_racks(workers, document.failure_allowance.racks)
    remaining_workers = [
        w for w in workers if (w.data_centre, w.rack) not in lost_racks
    ]
    unplaced_counts = cell_index.unplaced(demands, remaining_workers)
    problems = []
    for demand, count in unplaced_counts.items():
        fitting_count = demand.count - count
        problems.append(
            errors.Problem(
                errors.ErrorKind.DOES_NOT_FIT,
                f"account {demand.account!r} is guaranteed {demand.count} times"
                f" {demand.shape}; {count} of these don't fit the fleet with"
                f" {document.failure_allowance.racks} racks lost.",
                f"Declare a count of {fitting_count}, add workers, or lower the"
                " failure allowance.",
                f"client_accounts[{demand.account}].guarantees",
            )
        )
    return problems


def _largest_racks(
    workers: list[fleet.Worker], count: int
) -> set[tuple[types.DataCentreName, types.RackName]]:
    size_by_rack: collections.Counter[
        tuple[types.DataCentreName, types.RackName]
    ] = collections.Counter()
    for worker in workers:
        size_by_rack[(worker.data_centre, worker.rack)] += worker.accelerators
    return {rack for rack, _ in size_by_rack.most_common(count)}


def _duplicates(where: str, names: Iterable[str]) -> Iterator[errors.Problem]:
    counts = collections.Counter(names)
    for name, count in counts.items():
        if count > 1:
            yield _problem(
                where,
                f"the name {name!r} is declared {count} times.",
                "Give each a unique name.",
            )
        if not name or len(name) > MAX_NAME_LENGTH:
            yield _problem(
                where,
                f"received a name of {len(name)} characters; expected 1 to"
                f" {MAX_NAME_LENGTH}.",
                "Choose a shorter name that isn't empty.",
            )


def _is_hex(text: str, length: int) -> bool:
    digits = set("0123456789abcdefABCDEF")
    return len(text) == length and set(text) <= digits


def _problem(where: str, detail: str, remedy: str) -> errors.Problem:
    return errors.Problem(
        errors.ErrorKind.INVALID_CONFIGURATION, detail, remedy, where
    )
