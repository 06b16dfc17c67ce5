"""What a proposal changes, in words, as a diff, and in its effects."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING
from typing import Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pimentobridge.core import configuration

_IGNORED = ("base", "sequence")


def describe_changes(
    before: configuration.Document | None, after: configuration.Document
) -> list[str]:
    """Returns one sentence for each change."""
    old = msgspec.to_builtins(before) if before is not None else {}
    new = msgspec.to_builtins(after)
    lines: list[str] = []
    for key in new:
        if key not in _IGNORED:
            lines += _sentences(key, old.get(key), new[key])
    return lines


def as_diff(
    before: configuration.Document | None, after: configuration.Document
) -> str:
    """Returns a unified diff of the two documents."""
    return "\n".join(
        difflib.unified_diff(
            _pretty(before).splitlines(),
            _pretty(after).splitlines(),
            "in force",
            "proposed",
            lineterm="",
        )
    )


def effects(
    before: configuration.Document | None, after: configuration.Document
) -> list[str]:
    """Returns what taking the proposal would do beyond its own words."""
    lines = []
    if before is None:
        return ["This is the first document; it puts the system into service."]
    kept = after.accounts_by_name
    for name, client in before.accounts_by_name.items():
        if name not in kept:
            lines.append(
                f"Requests of {name} will be refused; jobs of its teams go on"
                " until they end and are not restarted."
            )
            continue
        lost = _accelerators(client.guarantees) - _accelerators(
            kept[name].guarantees
        )
        if lost > 0:
            lines.append(
                f"{name} can claim {lost} accelerators fewer; jobs that claim"
                " more than is left become borrowers and may be stopped."
            )
    lost_classes = before.classes_by_name.keys() - after.classes_by_name.keys()
    lines += [
        f"Requests of class {work_class} will be refused."
        for work_class in sorted(lost_classes)
    ]
    return lines


def _accelerators(guarantees: list[Any]) -> int:
    return sum(g.shape.total_accelerators * g.count for g in guarantees)


def _pretty(document: configuration.Document | None) -> str:
    if document is None:
        return ""
    data = msgspec.json.encode(document, order="sorted")
    return msgspec.json.format(data, indent=2).decode()


def _sentences(path: str, before: Any, after: Any) -> Iterator[str]:
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted({*before, *after}):
            yield from _sentences(
                f"{path}.{key}", before.get(key), after.get(key)
            )
    elif isinstance(after, list):
        yield from _list_sentences(path, before or [], after)
    elif before is None:
        yield f"{path} is set to {_short(after)}"
    elif after is None:
        yield f"{path} is removed"
    else:
        yield f"{path} changes from {_short(before)} to {_short(after)}"


def _list_sentences(
    path: str, before: list[Any], after: list[Any]
) -> Iterator[str]:
    old = {_name_of(item, index): item for index, item in enumerate(before)}
    new = {_name_of(item, index): item for index, item in enumerate(after)}
    for name in old:
        if name not in new:
            yield f"{path} loses {name}"
    for name, item in new.items():
        if name not in old:
            yield f"{path} gains {name}: {_short(item)}"
        else:
            yield from _sentences(f"{path}[{name}]", old[name], item)


def _name_of(item: Any, index: int) -> str:
    if isinstance(item, dict):
        if "name" in item:
            return str(item["name"])
        if "rack" in item:
            return f"{item.get('data_centre')}/{item['rack']}"
    return f"number {index + 1}" if isinstance(item, dict) else str(item)


def _short(value: Any) -> str:
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= 120 else text[:117] + "..."
