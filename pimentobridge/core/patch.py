"""Patches between two documents, whose size grows with what has changed."""

from __future__ import annotations

from typing import Any

import msgspec

Path = list[str | int]


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """One operation of a patch.

    Attributes:
        path: keys and list indexes that lead to the changed value.
        start: index of the first list item to replace, or -1 to set or delete
            the value at `path` itself.
        removed: number of list items to remove; with `start` -1, 1 deletes the
            key and 0 sets its value.
        values: list items to insert, or the single new value.
    """

    path: Path
    start: int
    removed: int
    values: list[Any]


def difference(before: Any, after: Any) -> list[Operation]:
    """Returns the operations that turn `before` into `after`."""
    operations: list[Operation] = []
    _compare([], before, after, operations)
    return operations


def apply(tree: Any, operations: list[Operation]) -> Any:
    """Returns a copy of `tree` with the operations applied.

    Raises:
        ValueError: the operations don't match the structure of the tree.
    """
    root = msgspec.json.decode(msgspec.json.encode(tree))
    try:
        for operation in operations:
            root = _apply_one(root, operation)
    except (KeyError, IndexError, TypeError) as error:
        raise ValueError(f"the patch doesn't fit the document: {error}") from (
            error
        )
    return root


def _compare(
    path: Path, before: Any, after: Any, operations: list[Operation]
) -> None:
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        _compare_dicts(path, before, after, operations)
    elif isinstance(before, list) and isinstance(after, list):
        _compare_lists(path, before, after, operations)
    else:
        operations.append(Operation(path, -1, 0, [after]))


def _compare_dicts(
    path: Path,
    before: dict[str, Any],
    after: dict[str, Any],
    operations: list[Operation],
) -> None:
    for key in before:
        if key not in after:
            operations.append(Operation([*path, key], -1, 1, []))
    for key, value in after.items():
        if key not in before:
            operations.append(Operation([*path, key], -1, 0, [value]))
        else:
            _compare([*path, key], before[key], value, operations)


def _compare_lists(
    path: Path, before: list[Any], after: list[Any], operations: list[Operation]
) -> None:
    if len(before) == len(after):
        for index, (old, new) in enumerate(zip(before, after, strict=True)):
            _compare([*path, index], old, new, operations)
        return
    shorter_length = min(len(before), len(after))
    prefix_length = 0
    while (
        prefix_length < shorter_length
        and before[prefix_length] == after[prefix_length]
    ):
        prefix_length += 1
    suffix_length = 0
    while (
        suffix_length < shorter_length - prefix_length
        and before[-1 - suffix_length] == after[-1 - suffix_length]
    ):
        suffix_length += 1
    removed = len(before) - prefix_length - suffix_length
    operations.append(
        Operation(
            path,
            prefix_length,
            removed,
            after[prefix_length : len(after) - suffix_length],
        )
    )


def _apply_one(root: Any, operation: Operation) -> Any:
    if operation.start >= 0:
        target = _value_at(root, operation.path)
        end = operation.start + operation.removed
        target[operation.start : end] = operation.values
        return root
    if not operation.path:
        return operation.values[0]
    parent = _value_at(root, operation.path[:-1])
    if operation.removed:
        del parent[operation.path[-1]]
    else:
        parent[operation.path[-1]] = operation.values[0]
    return root


def _value_at(root: Any, path: Path) -> Any:
    for key_or_index in path:
        root = root[key_or_index]
    return root
