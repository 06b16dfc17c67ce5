"""Parsing of settings and configuration documents in JSON with comments."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
import pyjson5
import result

from pimentobridge.core import errors

if TYPE_CHECKING:
    import pathlib

T = TypeVar("T")

MAX_FILE_BYTES = 1_000_000

_FIELD_PATTERN = re.compile(r"`\$\.?([^`]*)`$")
_OFFSET_PATTERN = re.compile(r"near (\d+)")


def read(
    path: pathlib.Path, kind: type[T], error_kind: errors.ErrorKind
) -> result.Result[T, errors.Problem]:
    """Reads a file and converts it to `kind`.

    Args:
        path: the file.
        kind: struct type that the file must match.
        error_kind: kind of the problem returned if the file can't be read or
            doesn't match.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(
            errors.Problem(
                error_kind,
                f"the file can't be read: {error}.",
                "Give the path of a readable file in UTF-8.",
                str(path),
            )
        )
    return parse(text, kind, error_kind, where=str(path))


def parse(
    text: str, kind: type[T], error_kind: errors.ErrorKind, *, where: str
) -> result.Result[T, errors.Problem]:
    """Parses JSON with comments and converts it to `kind`."""
    if len(text.encode("utf-8", "replace")) > MAX_FILE_BYTES:
        return result.Err(
            errors.Problem(
                error_kind,
                f"received more than {MAX_FILE_BYTES} bytes.",
                "Split or shorten the document.",
                where,
            )
        )
    try:
        tree = pyjson5.decode(text)
    except (pyjson5.Json5Exception, ValueError, RecursionError) as error:
        return result.Err(_syntax_problem(text, error, error_kind, where))
    try:
        return result.Ok(msgspec.convert(tree, kind))
    except (msgspec.ValidationError, OverflowError, RecursionError) as error:
        return result.Err(_field_problem(text, str(error), error_kind, where))


def line_of_key(text: str, key: str) -> int | None:
    """Returns the number of the first line that sets a key, or None.

    Lines are counted from 1.
    """
    for number, line in enumerate(text.splitlines(), start=1):
        if re.search(rf"[\"']?\b{re.escape(key)}\b[\"']?\s*:", line):
            return number
    return None


def _syntax_problem(
    text: str, error: Exception, error_kind: errors.ErrorKind, where: str
) -> errors.Problem:
    message = str(error).split("\n")[0][:200]
    offset = _OFFSET_PATTERN.search(message)
    line = text.count("\n", 0, int(offset.group(1))) + 1 if offset else 1
    return errors.Problem(
        error_kind,
        f"the text isn't JSON with comments: {message}.",
        "Correct the syntax error at this line.",
        f"{where}:{line}",
    )


def _field_problem(
    text: str, message: str, error_kind: errors.ErrorKind, where: str
) -> errors.Problem:
    path_match = _FIELD_PATTERN.search(message)
    path = path_match.group(1) if path_match else ""
    unknown_field_match = re.search(r"unknown field `([^`]+)`", message)
    name = (
        unknown_field_match.group(1)
        if unknown_field_match
        else re.sub(r".*\.|\[.*", "", path)
    )
    line = line_of_key(text, name) if name else None
    place = f"{where}:{line}" if line else where
    return errors.Problem(
        error_kind,
        f"{message[:300]}.",
        "See docs/configuration.md for the accepted keys, types and units.",
        f"{place} ({path})" if path else place,
    )
