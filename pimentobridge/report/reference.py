"""Generates the reference of settings and configuration from their types."""

from __future__ import annotations

import inspect
import re
from typing import Any

import msgspec

from pimentobridge.core import account
from pimentobridge.core import configuration
from pimentobridge.core import fleet
from pimentobridge.core import request
from pimentobridge.daemons import settings

DOCUMENTED_STRUCTS: tuple[type[Any], ...] = (
    settings.Settings,
    configuration.Document,
    configuration.Owner,
    configuration.Operator,
    configuration.FailureAllowance,
    fleet.Region,
    fleet.Link,
    fleet.WorkerGroup,
    account.ClientAccount,
    account.Guarantee,
    account.Shape,
    account.Team,
    request.WorkClass,
)

INTRODUCTION = """# Configuration reference

Made from the types by `python -m pimentobridge.report.reference`. Settings and
documents are JSON with comments. Units stand in the key. Unknown keys are
refused with file and line.
"""


def render() -> str:
    """Returns the reference as Markdown."""
    return "\n".join(
        [INTRODUCTION, *(_section(struct) for struct in DOCUMENTED_STRUCTS)]
    )


def _section(struct: type[Any]) -> str:
    docstring = inspect.getdoc(struct) or ""
    lines = [
        f"## {struct.__name__}",
        "",
        docstring.splitlines()[0],
        "",
        "| key | type | default | meaning |",
        "|---|---|---|---|",
    ]
    descriptions = _attribute_descriptions(docstring)
    annotations = inspect.get_annotations(struct)
    for field in msgspec.structs.fields(struct):
        type_name = re.sub(
            r"\b[a-z_]+\.", "", str(annotations.get(field.name, ""))
        )
        description = descriptions.get(field.name, "")
        lines.append(
            f"| `{field.name}` | {type_name.replace('|', 'or')} |"
            f" {_default_text(field)} | {description} |"
        )
    return "\n".join([*lines, ""])


def _default_text(field: msgspec.structs.FieldInfo) -> str:
    if field.default is not msgspec.NODEFAULT:
        value = getattr(field.default, "value", field.default)
        return f"`{value}`"
    if field.default_factory is not msgspec.NODEFAULT:
        return "empty"
    return "required"


def _attribute_descriptions(docstring: str) -> dict[str, str]:
    """Returns the descriptions in the "Attributes:" section of a docstring."""
    _, _, attributes_section = docstring.partition("Attributes:")
    descriptions: dict[str, str] = {}
    name = ""
    for line in attributes_section.splitlines():
        match = re.match(r"    (\w+): (.*)", line)
        if match:
            name = match.group(1)
            descriptions[name] = match.group(2)
        elif name and line.strip():
            descriptions[name] += " " + line.strip()
    return descriptions


if __name__ == "__main__":
    print(render(), end="")
