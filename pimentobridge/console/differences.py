"""Describes a proposed change: as sentences, as a diff, and by its effects."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING
from typing import Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pimentobridge.core import configuration

_IGNORED_KEYS = ("base", "sequence")


def describe_changes(
    before: msgspec.Struct | None, after: msgspec.Struct
) -> list[str]:
    """Returns one sentence for each difference between two documents.

    `base` and `sequence` differ in every change and are left out.
    """
    old = msgspec.to_builtins(before) if before is not None else {}
    new = msgspec.to_builtins(after)
    lines: list[str] = []
    for key in new:
        if key not in _IGNORED_KEYS:
            lines += _describe_value(key, old.get(key), new[key])
    return lines


def as_diff(
    before: configuration.Document | None, after: configuration.Document
) -> str:
    """Returns a unified diff of the two documents."""
    return "\n".join(
        difflib.unified_diff(
            _format_json(before).splitlines(),
            _format_json(after).splitlines(),
            "in force",
            "proposed",
            lineterm="",
        )
    )


def effects(
    before: configuration.Document | None, after: configuration.Document
) -> list[str]:
    """Returns the consequences that `describe_changes` doesn't state."""
    lines = []
    if before is None:
        return ["This is the first document; it puts the system into service."]
    accounts_after = after.accounts_by_name
    for name, client in before.accounts_by_name.items():
        if name not in accounts_after:
            lines.append(
                f"Requests from {name} will be refused; jobs of its teams"
                " continue until they end and are not restarted."
            )
            continue
        reduction = _total_accelerators(
            client.guarantees
        ) - _total_accelerators(accounts_after[name].guarantees)
        if reduction > 0:
            lines.append(
                f"{name} can claim {reduction} fewer accelerators; jobs"
                " whose claims exceed what remains become borrowers and may be"
                " stopped."
            )
    lost_classes = before.classes_by_name.keys() - after.classes_by_name.keys()
    lines += [
        f"Requests of class {work_class} will be refused."
        for work_class in sorted(lost_classes)
    ]
    return lines


def _total_accelerators(guarantees: list[Any]) -> int:
    return sum(
        guarantee.shape.total_accelerators * guarantee.count
        for guarantee in guarantees
    )


def _format_json(document: configuration.Document | None) -> str:
    if document is None:
        return ""
    data = msgspec.json.encode(document, order="sorted")
    return msgspec.json.format(data, indent=2).decode()


def _describe_value(path: str, before: Any, after: Any) -> Iterator[str]:
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted({*before, *after}):
            yield from _describe_value(
                f"{path}.{key}", before.get(key), after.get(key)
            )
    elif isinstance(after, list):
        yield from _describe_list(path, before or [], after)
    elif before is None:
        yield f"{path} is set to {_abbreviate(after)}"
    elif after is None:
        yield f"{path} is removed"
    else:
        yield (
            f"{path} changes from {_abbreviate(before)} to {_abbreviate(after)}"
        )


def _describe_list(
    path: str, before: list[Any], after: list[Any]
) -> Iterator[str]:
    old = {_item_name(item, index): item for index, item in enumerate(before)}
    new = {_item_name(item, index): item for index, item in enumerate(after)}
    for name in old:
        if name not in new:
            yield f"{name} is removed from {path}"
    for name, item in new.items():
        if name not in old:
            yield f"{name} is added to {path}: {_abbreviate(item)}"
        else:
            yield from _describe_value(f"{path}[{name}]", old[name], item)


def _item_name(item: Any, index: int) -> str:
    if isinstance(item, dict):
        if "name" in item:
            return str(item["name"])
        if "rack" in item:
            return f"{item.get('data_centre')}/{item['rack']}"
    return f"item {index + 1}" if isinstance(item, dict) else str(item)


def _abbreviate(value: Any) -> str:
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= 120 else text[:117] + "..."
