"""Forms of the console: the fields of each section, and their parsing."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from pimentobridge.core import account
from pimentobridge.core import configuration
from pimentobridge.core import fleet
from pimentobridge.core import request
from pimentobridge.core import types

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

MAX_FIELD_LENGTH = 20_000


@dataclasses.dataclass(frozen=True)
class Field:
    """One field of a form.

    Attributes:
        help: describes the accepted values; shown beside the field.
        choices: accepted values, if there are only a few; otherwise empty.
        multiline: whether the field takes several entries, one per line.
    """

    name: str
    label: str
    help: str
    choices: tuple[str, ...] = ()
    multiline: bool = False


@dataclasses.dataclass(frozen=True)
class Section:
    """One kind of item in the document that operators edit with a form.

    Attributes:
        name: path of the section's page below the console.
        singular: name of one item, for titles and buttons.
        key_of: returns the key that identifies an item in URLs.
        items_of: returns the items in a document.
        with_items: returns a copy of a document with other items.
        to_values: converts an item to the values of its form fields.
        from_values: parses form values into an item; raises `FieldError`.
    """

    name: str
    title: str
    singular: str
    fields: tuple[Field, ...]
    key_of: Callable[[Any], str]
    items_of: Callable[[configuration.Document], list[Any]]
    with_items: Callable[
        [configuration.Document, list[Any]], configuration.Document
    ]
    to_values: Callable[[Any], dict[str, str]]
    from_values: Callable[[Mapping[str, str]], Any]


class FieldError(Exception):
    """A form field has an invalid value.

    Attributes:
        field: name of the field.
    """

    def __init__(self, field: str, message: str) -> None:
        super().__init__(message)
        self.field = field


def parse(section: Section, values: Mapping[str, str]) -> Any:
    """Parses the values of a form into an item.

    Raises:
        FieldError: a field has an invalid value.
    """
    for field in section.fields:
        if len(values.get(field.name, "")) > MAX_FIELD_LENGTH:
            raise FieldError(
                field.name,
                f"Longer than {MAX_FIELD_LENGTH} characters; shorten it.",
            )
        if field.choices and values.get(field.name) not in field.choices:
            raise FieldError(
                field.name, f"Choose one of {', '.join(field.choices)}."
            )
    return section.from_values(values)


def replace_item(
    section: Section,
    document: configuration.Document,
    key: str,
    item: Any,
) -> configuration.Document:
    """Returns the document with the item at a key replaced, or added."""
    items = list(section.items_of(document))
    positions = [
        i for i, existing in enumerate(items) if section.key_of(existing) == key
    ]
    if positions:
        items[positions[0]] = item
    else:
        items.append(item)
    return section.with_items(document, items)


def remove_item(
    section: Section, document: configuration.Document, key: str
) -> configuration.Document:
    """Returns the document without the item at a key."""
    items = [i for i in section.items_of(document) if section.key_of(i) != key]
    return section.with_items(document, items)


def _parse_number(values: Mapping[str, str], name: str) -> float:
    try:
        return float(values.get(name, "").replace(",", "."))
    except ValueError:
        raise FieldError(name, "Expected a number, such as 1.5.") from None


def _parse_integer(values: Mapping[str, str], name: str) -> int:
    try:
        return int(values.get(name, ""))
    except ValueError:
        raise FieldError(name, "Expected a whole number.") from None


def _required_text(values: Mapping[str, str], name: str) -> str:
    text = values.get(name, "").strip()
    if not text:
        raise FieldError(name, "Fill in this field.")
    return text


def _parse_guarantees(values: Mapping[str, str]) -> list[account.Guarantee]:
    guarantees = []
    for line in values.get("guarantees", "").splitlines():
        if not line.strip():
            continue
        parts = line.split()
        try:
            count, workers, accelerators = (int(part) for part in parts[:3])
            scope = account.Scope(parts[3])
        except (ValueError, IndexError):
            raise FieldError(
                "guarantees",
                f"Can't read {line[:60]!r}; expected COUNT WORKERS ACCELERATORS"
                " SCOPE, such as 1 2 4 rack.",
            ) from None
        shape = account.Shape(accelerators, workers, scope)
        guarantees.append(account.Guarantee(shape, count))
    return guarantees


def _parse_teams(values: Mapping[str, str]) -> list[account.Team]:
    teams = []
    for line in values.get("teams", "").splitlines():
        if not line.strip():
            continue
        name, _, quota = line.strip().rpartition(" ")
        if not name or not quota.isdigit():
            raise FieldError(
                "teams",
                f"Can't read {line[:60]!r}; expected NAME QUOTA, such as scan"
                " 24.",
            )
        teams.append(account.Team(types.TeamName(name), int(quota)))
    return teams


def _parse_account(values: Mapping[str, str]) -> account.ClientAccount:
    return account.ClientAccount(
        name=types.AccountName(_required_text(values, "name")),
        home_region=types.RegionName(_required_text(values, "home_region")),
        share=_parse_number(values, "share"),
        guarantees=_parse_guarantees(values),
        teams=_parse_teams(values),
    )


def _account_to_values(client: account.ClientAccount) -> dict[str, str]:
    return {
        "name": client.name,
        "home_region": client.home_region,
        "share": f"{client.share:g}",
        "guarantees": "\n".join(
            f"{g.count} {g.shape.workers} {g.shape.accelerators}"
            f" {g.shape.scope.value}"
            for g in client.guarantees
        ),
        "teams": "\n".join(
            f"{team.name} {team.quota_accelerators}" for team in client.teams
        ),
    }


def _parse_class(values: Mapping[str, str]) -> request.WorkClass:
    return request.WorkClass(
        name=types.ClassName(_required_text(values, "name")),
        urgency=types.Urgency(values["urgency"]),
        deadline_s=_parse_number(values, "deadline_s"),
        idempotent=values["idempotent"] == "yes",
        floor=_parse_number(values, "floor"),
        expected_run_s=_parse_number(values, "expected_run_s"),
        objective=_parse_number(values, "objective"),
    )


def _class_to_values(work_class: request.WorkClass) -> dict[str, str]:
    return {
        "name": work_class.name,
        "urgency": work_class.urgency.value,
        "deadline_s": f"{work_class.deadline_s:g}",
        "idempotent": "yes" if work_class.idempotent else "no",
        "floor": f"{work_class.floor:g}",
        "expected_run_s": f"{work_class.expected_run_s:g}",
        "objective": f"{work_class.objective:g}",
    }


def _parse_group(values: Mapping[str, str]) -> fleet.WorkerGroup:
    return fleet.WorkerGroup(
        data_centre=types.DataCentreName(_required_text(values, "data_centre")),
        rack=types.RackName(_required_text(values, "rack")),
        workers=_parse_integer(values, "workers"),
        accelerators=_parse_integer(values, "accelerators"),
        cores=_parse_integer(values, "cores"),
        memory_gb=_parse_integer(values, "memory_gb"),
    )


def _group_to_values(group: fleet.WorkerGroup) -> dict[str, str]:
    fields = msgspec.to_builtins(group)
    return {name: str(value) for name, value in fields.items()}


ACCOUNTS = Section(
    name="accounts",
    title="Client accounts",
    singular="client account",
    fields=(
        Field("name", "Name", "1 to 100 characters, unique."),
        Field("home_region", "Home region", "A declared region."),
        Field("share", "Share", "Weight relative to other accounts, above 0."),
        Field(
            "guarantees",
            "Guaranteed shapes",
            "One per line: COUNT WORKERS ACCELERATORS SCOPE; the scope is"
            " worker, rack or data_centre.",
            multiline=True,
        ),
        Field(
            "teams",
            "Teams and quotas",
            "One per line: NAME QUOTA, with the quota in accelerators.",
            multiline=True,
        ),
    ),
    key_of=lambda item: str(item.name),
    items_of=lambda document: document.client_accounts,
    with_items=lambda document, items: msgspec.structs.replace(
        document, client_accounts=items
    ),
    to_values=_account_to_values,
    from_values=_parse_account,
)

CLASSES = Section(
    name="classes",
    title="Classes of work",
    singular="class of work",
    fields=(
        Field("name", "Name", "1 to 100 characters, unique."),
        Field(
            "urgency",
            "Urgency",
            "Requests of more urgent classes are served first.",
            tuple(urgency.value for urgency in types.Urgency),
        ),
        Field(
            "deadline_s",
            "Deadline",
            "Seconds within which an answer is still useful.",
        ),
        Field(
            "idempotent",
            "Idempotent",
            "yes: a request may run more than once; no: at most once.",
            ("yes", "no"),
        ),
        Field(
            "floor",
            "Floor",
            "Fraction of the slots reserved under overload, 0 to 1.",
        ),
        Field("expected_run_s", "Expected run time", "Seconds."),
        Field(
            "objective",
            "Objective",
            "Fraction of requests to answer in time, such as 0.99.",
        ),
    ),
    key_of=lambda item: str(item.name),
    items_of=lambda document: document.classes,
    with_items=lambda document, items: msgspec.structs.replace(
        document, classes=items
    ),
    to_values=_class_to_values,
    from_values=_parse_class,
)

FLEET = Section(
    name="fleet",
    title="Fleet",
    singular="rack",
    fields=(
        Field("data_centre", "Data centre", "A declared data centre."),
        Field("rack", "Rack", "Name of the rack."),
        Field("workers", "Workers", "Workers in the rack."),
        Field("accelerators", "Accelerators", "In each worker."),
        Field("cores", "Cores", "In each worker."),
        Field("memory_gb", "Memory (GB)", "In each worker."),
    ),
    key_of=lambda item: f"{item.data_centre}/{item.rack}",
    items_of=lambda document: document.fleet,
    with_items=lambda document, items: msgspec.structs.replace(
        document, fleet=items
    ),
    to_values=_group_to_values,
    from_values=_parse_group,
)

SECTIONS_BY_NAME = {
    section.name: section for section in (ACCOUNTS, CLASSES, FLEET)
}
