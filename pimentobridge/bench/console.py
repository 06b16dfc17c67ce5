"""Validation and rendering time with 1,000 client accounts and 78 teams."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from pimentobridge.bench import harness
from pimentobridge.console import auth
from pimentobridge.console import differences
from pimentobridge.console import forms
from pimentobridge.console import pages
from pimentobridge.core import account
from pimentobridge.core import configuration
from pimentobridge.core import types
from pimentobridge.core import validation
from pimentobridge.testing import deployment

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

ACCOUNTS = 1000
TEAMS = 78
MAX_BYTES = 1_000_000


def run(seed: int) -> harness.Report:
    """Validates a large document, describes a change and renders a page."""
    document = large_document()
    problems, validate_s = _timed(lambda: validation.problems_of(document))
    encoded = configuration.canonical(document)
    changed = msgspec.structs.replace(
        document, classes=document.classes[1:], sequence=document.sequence + 1
    )
    descriptions, describe_s = _timed(
        lambda: differences.describe_changes(document, changed)
    )
    session = auth.Session("operator", "token")
    html, render_s = _timed(
        lambda: pages.render(
            "section.html",
            title="Client accounts",
            session=session,
            section=forms.ACCOUNTS,
            items=forms.ACCOUNTS.items_of(document),
        )
    )
    figures = {
        "problems": harness.at_most(len(problems), 0, "count"),
        "document_bytes": harness.at_most(len(encoded), MAX_BYTES, "bytes"),
        "accounts_rendered": harness.at_least(
            html.count(b"Edit<span"), ACCOUNTS, "count"
        ),
        "changes_in_words": harness.at_most(len(descriptions), 1, "count"),
        "validate_s": harness.info(validate_s, "s"),
        "render_s": harness.info(render_s, "s"),
        "difference_s": harness.info(describe_s, "s"),
    }
    return harness.Report("console", seed, figures)


def large_document() -> configuration.Document:
    """Returns a valid document of the size that the product is designed for."""
    document = deployment.load_document("muida")
    clients = [
        account.ClientAccount(
            types.AccountName(f"account-{number}"),
            document.regions[number % 2].name,
            guarantees=[],
            teams=[account.Team(types.TeamName(f"team-{number}"), 8)]
            if number < TEAMS
            else [],
        )
        for number in range(ACCOUNTS)
    ]
    return msgspec.structs.replace(document, client_accounts=clients)


def _timed(call: Callable[[], T]) -> tuple[T, float]:
    began_s = time.perf_counter()
    value = call()
    return value, time.perf_counter() - began_s
