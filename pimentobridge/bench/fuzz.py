"""Mutated input to every parser of external data."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from pimentobridge.bench import harness
from pimentobridge.console import forms
from pimentobridge.core import configuration
from pimentobridge.core import documents
from pimentobridge.core import errors
from pimentobridge.core import types
from pimentobridge.core import validation
from pimentobridge.daemons import settings
from pimentobridge.protocol import codec
from pimentobridge.protocol import jobs
from pimentobridge.protocol import messages
from pimentobridge.testing import deployment

if TYPE_CHECKING:
    from collections.abc import Callable

CASES = 6000
NIGHTLY_CASES = 20_000

_EXPECTED_ERRORS = (
    errors.ProblemError,
    codec.DecodeError,
    forms.FieldError,
    msgspec.MsgspecError,
)
_INSERTED_TEXTS = (
    "\x00",
    "é",
    "💥",
    "'",
    '"',
    "{",
    "}",
    "[",
    "//",
    "/*",
    "1e999",
    "-",
)


def run(seed: int, cases: int = CASES) -> harness.Report:
    """Feeds mutated input to the parsers; only expected errors may occur."""
    rng = random.Random(seed)
    fuzzers: list[Callable[[random.Random], None]] = [
        _fuzz_document,
        _fuzz_settings,
        _fuzz_frame,
        _fuzz_form,
        _fuzz_job,
    ]
    unexpected_error_count = 0
    refused_count = 0
    for number in range(cases):
        try:
            fuzzers[number % len(fuzzers)](rng)
        except _EXPECTED_ERRORS:
            refused_count += 1
        except Exception as error:
            print(f"unexpected error: {type(error).__name__}: {error}")
            unexpected_error_count += 1
    figures = {
        "cases": harness.at_least(cases, CASES, "count"),
        "untyped_errors": harness.at_most(unexpected_error_count, 0, "count"),
        "refused": harness.at_least(refused_count, 1, "count"),
    }
    return harness.Report("fuzz", seed, figures)


def _mutate_text(rng: random.Random, text: str) -> str:
    for _ in range(rng.randint(1, 4)):
        start = rng.randrange(len(text) + 1)
        end = min(len(text), start + rng.choice([0, 1, 1, 5, 40]))
        text = (
            text[:start]
            + rng.choice([*_INSERTED_TEXTS, "", "", "9" * 30])
            + text[end:]
        )
    return text


def _mutate_tree(rng: random.Random, tree: Any) -> Any:
    """Returns a copy of a JSON tree with one randomly chosen value replaced."""
    replacements: list[Any] = [None, -1, 0, 1e300, "", "x" * 200, [], {}, True]
    if isinstance(tree, dict) and tree and rng.random() < 0.9:
        key = rng.choice(list(tree))
        return {**tree, key: _mutate_tree(rng, tree[key])}
    if isinstance(tree, list) and tree and rng.random() < 0.9:
        index = rng.randrange(len(tree))
        return [
            *tree[:index],
            _mutate_tree(rng, tree[index]),
            *tree[index + 1 :],
        ]
    return rng.choice(replacements)


def _fuzz_document(rng: random.Random) -> None:
    document = deployment.load_document(rng.choice(["muida", "lunetta"]))
    if rng.random() < 0.5:
        tree = _mutate_tree(rng, msgspec.to_builtins(document))
        text = msgspec.json.encode(tree).decode()
    else:
        text = _mutate_text(rng, configuration.canonical(document).decode())
    parsed = documents.parse(
        text,
        configuration.Document,
        errors.ErrorKind.INVALID_CONFIGURATION,
        where="fuzz",
    )
    if parsed.is_err():
        raise errors.ProblemError(parsed.unwrap_err())
    problems = validation.problems_of(parsed.unwrap())
    if problems:
        raise errors.ProblemError(problems[0])


_VALID_SETTINGS = (
    '{"node": "n", "role": "agent", "region": "r", "data_centre": "d",'
    ' "group": "g", "listen": "tcp://127.0.0.1:7000", "entries": [],'
    ' "trusted_owners": [], "store_url": "http://127.0.0.1:1", "slots": 8}'
)


def _fuzz_settings(rng: random.Random) -> None:
    parsed = documents.parse(
        _mutate_text(rng, _VALID_SETTINGS),
        settings.Settings,
        errors.ErrorKind.INVALID_SETTINGS,
        where="fuzz",
    )
    if parsed.is_err():
        raise errors.ProblemError(parsed.unwrap_err())
    problem = settings.first_problem(parsed.unwrap())
    if problem is not None:
        raise errors.ProblemError(problem)


def _fuzz_frame(rng: random.Random) -> None:
    message = rng.choice(
        [
            messages.AnswerAck(types.RequestId("r")),
            messages.Query(types.RequestId("r"), 1),
        ]
    )
    data = bytearray(codec.encode(types.Address("a"), message))
    for _ in range(rng.randint(1, 5)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    codec.decode(bytes(data[: rng.randint(0, len(data))]))


def _fuzz_form(rng: random.Random) -> None:
    section = rng.choice(list(forms.SECTIONS_BY_NAME.values()))
    document = deployment.load_document("muida")
    values = section.to_values(section.items_of(document)[0])
    name = rng.choice(list(values))
    values[name] = _mutate_text(rng, values[name])
    item = forms.parse(section, values)
    changed = forms.replace_item(section, document, "new", item)
    problems = validation.problems_of(changed)
    if problems:
        raise errors.ProblemError(problems[0])


def _fuzz_job(rng: random.Random) -> None:
    text = (
        '{"id": "j", "account": "a", "team": "t", "shape": {"accelerators":'
        ' 4, "workers": 2, "scope": "rack"}, "run_s": 10}'
    )
    msgspec.json.decode(
        _mutate_text(rng, text).encode("utf-8", "replace"), type=jobs.JobSpec
    )
