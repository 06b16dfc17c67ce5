"""Commands that check, sign and apply configuration documents."""

from __future__ import annotations

import datetime
import pathlib
import sys
from typing import TYPE_CHECKING
from typing import TypeVar

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519
import msgspec
import pyjson5
import result
import trio

from pimentobridge.console import changes as changes_lib
from pimentobridge.console import differences
from pimentobridge.core import configuration
from pimentobridge.core import documents
from pimentobridge.core import errors
from pimentobridge.core import signing
from pimentobridge.core import types
from pimentobridge.core import validation
from pimentobridge.platform import http_store

if TYPE_CHECKING:
    import argparse

T = TypeVar("T")

KEY_BYTES = 32


def add_commands(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds `validate`, `sign` and `apply`."""
    validate = commands.add_parser(
        "validate",
        help="check a configuration document",
        description="Checks a document, or a directory of parts, and prints"
        " its digest.",
    )
    validate.add_argument("path", type=pathlib.Path)
    validate.set_defaults(run=_validate)
    _add_sign(commands)
    _add_apply(commands)


def _add_sign(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    sign = commands.add_parser(
        "sign",
        help="sign a digest with an owner's key",
        description="Signs the digest of a document. The key is read here and"
        " never sent.",
    )
    sign.add_argument(
        "--key",
        required=True,
        type=pathlib.Path,
        help="file with the Ed25519 private key, 64 hexadecimal digits",
    )
    sign.add_argument("--owner", required=True)
    sign.add_argument("--digest", help="digest to sign, as `apply` prints it")
    sign.add_argument(
        "--new-key", action="store_true", help="make a key in the file first"
    )
    sign.add_argument(
        "--show-key", action="store_true", help="print the public key and end"
    )
    sign.set_defaults(run=_sign)


def _add_apply(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    apply = commands.add_parser(
        "apply",
        help="propose or take a document from version control",
        description="Proposes a document; with both owners' signatures, takes"
        " it into force. Repeating it changes nothing.",
    )
    apply.add_argument("path", type=pathlib.Path)
    apply.add_argument("--store", required=True, help="base URL of the store")
    apply.add_argument(
        "--dry-run",
        action="store_true",
        help="print the difference; exit 1 if there is one",
    )
    apply.add_argument(
        "--signature",
        action="append",
        default=[],
        metavar="OWNER:HEX",
        help="a signature that `sign` printed; give one of each owner",
    )
    apply.set_defaults(run=_apply)


def load_document(path: pathlib.Path) -> configuration.Document:
    """Returns the valid document in a file, or in a directory's files.

    A directory's `*.jsonc` files are merged: lists of one name are joined.

    Raises:
        errors.ProblemError: the document can't be read or isn't valid.
    """
    if path.is_dir():
        document = _unwrap(_load_directory(path))
    else:
        document = _unwrap(
            documents.read(
                path,
                configuration.Document,
                errors.ErrorKind.INVALID_CONFIGURATION,
            )
        )
    problems = validation.problems_of(document)
    if problems:
        for problem in problems[1:]:
            print(f"{path}: {problem}", file=sys.stderr)
        first = msgspec.structs.replace(
            problems[0], where=f"{path}: {problems[0].where}"
        )
        raise errors.ProblemError(first)
    return document


def _load_directory(
    path: pathlib.Path,
) -> result.Result[configuration.Document, errors.Problem]:
    merged: dict[str, object] = {}
    for part in sorted(path.glob("*.jsonc")):
        read = documents.read(
            part,
            dict[str, object],
            errors.ErrorKind.INVALID_CONFIGURATION,
        )
        for key, value in _unwrap(read).items():
            held = merged.get(key)
            if isinstance(held, list) and isinstance(value, list):
                merged[key] = held + value
            else:
                merged[key] = value
    return documents.parse(
        pyjson5.encode(merged),
        configuration.Document,
        errors.ErrorKind.INVALID_CONFIGURATION,
        where=str(path),
    )


def _validate(options: argparse.Namespace) -> int:
    document = load_document(options.path)
    data = configuration.canonical(document)
    print(f"valid: {len(data)} bytes, digest {configuration.digest(data)}")
    return 0


def _sign(options: argparse.Namespace) -> int:
    key = _read_key(options.key, make=options.new_key)
    if options.show_key or options.new_key:
        public = key.public_key().public_bytes(
            serialization.Encoding.Raw, serialization.PublicFormat.Raw
        )
        print(f'{{"name": "{options.owner}", "public_key": "{public.hex()}"}}')
        return 0
    if not options.digest or len(options.digest) != 2 * KEY_BYTES:
        raise errors.ProblemError(
            errors.Problem(
                errors.ErrorKind.SIGNATURE,
                "received no digest of 64 hexadecimal digits.",
                "Give the digest that `apply` or the console shows.",
                "--digest",
            )
        )
    signed = signing.sign(key, options.owner, types.Digest(options.digest))
    print(f"{signed.owner}:{signed.signature}")
    return 0


def _read_key(path: pathlib.Path, *, make: bool) -> ed25519.Ed25519PrivateKey:
    if make:
        key = ed25519.Ed25519PrivateKey.generate()
        raw = key.private_bytes(
            serialization.Encoding.Raw,
            serialization.PrivateFormat.Raw,
            serialization.NoEncryption(),
        )
        path.touch(mode=0o600, exist_ok=False)
        path.write_text(raw.hex() + "\n")
        return key
    try:
        raw = bytes.fromhex(path.read_text().strip())
        return ed25519.Ed25519PrivateKey.from_private_bytes(raw)
    except (OSError, ValueError) as error:
        raise errors.ProblemError(
            errors.Problem(
                errors.ErrorKind.SIGNATURE,
                f"the key can't be read: {error}.",
                "Name a file with 64 hexadecimal digits, or make one with"
                " --new-key.",
                str(path),
            )
        ) from error


def _apply(options: argparse.Namespace) -> int:
    document = load_document(options.path)
    signatures = [_signature(text) for text in options.signature]
    return trio.run(_apply_document, options, document, signatures)


def _signature(text: str) -> configuration.Signature:
    owner, _, signature = text.rpartition(":")
    if not owner or not signature:
        raise errors.ProblemError(
            errors.Problem(
                errors.ErrorKind.SIGNATURE,
                f"received {text[:40]!r}; expected OWNER:HEX.",
                "Copy the whole line that `sign` printed.",
                "--signature",
            )
        )
    return configuration.Signature(owner, signature)


async def _apply_document(
    options: argparse.Namespace,
    document: configuration.Document,
    signatures: list[configuration.Signature],
) -> int:
    store = http_store.HttpStore(options.store)
    changes = changes_lib.ProposalStore(store, document.owners)
    current = _unwrap(await changes.current())
    trusted = current.document.owners if current.document else document.owners
    changes = changes_lib.ProposalStore(store, trusted)
    words = differences.describe_changes(current.document, document)
    if not words:
        print(f"no change: document {_sequence(current)} is in force")
        return 0
    print(*(f"  {line}" for line in words), sep="\n")
    for line in differences.effects(current.document, document):
        print(f"  effect: {line}")
    if options.dry_run:
        return 1
    _check_base(document, current)
    proposal = _unwrap(
        await changes.propose(changes.rebased(document, current))
    )
    digest = configuration.digest(proposal.document)
    now = datetime.datetime.now(tz=datetime.UTC)
    for signature in signatures:
        proposal = _unwrap(await changes.add_signature(digest, signature, now))
    return await _finish(changes, proposal, digest, now)


async def _finish(
    changes: changes_lib.ProposalStore,
    proposal: configuration.Proposal,
    digest: types.Digest,
    now: datetime.datetime,
) -> int:
    signed = {signature.owner for signature in proposal.signatures}
    if len(signed) < signing.OWNERS_NEEDED:
        print(f"proposed: digest {digest}")
        print(f"signed by: {', '.join(sorted(signed)) or 'nobody yet'}")
        print("each owner: pimentobridge sign --key FILE --owner NAME --digest")
        return 0
    applied = _unwrap(await changes.apply(proposal, now))
    print(f"in force: document {_sequence(applied)}, digest {applied.digest}")
    return 0


def _check_base(
    document: configuration.Document, current: changes_lib.CurrentConfiguration
) -> None:
    """Refuses a file that states a base which is no longer in force."""
    if document.base and document.base != current.digest:
        raise errors.ProblemError(
            errors.Problem(
                errors.ErrorKind.CONFLICT,
                f"the file is based on {document.base[:12]}, but"
                f" {current.digest[:12]} is in force.",
                "Merge the newer document into the file, then set `base` to"
                " its digest or leave it out.",
            )
        )


def _sequence(current: changes_lib.CurrentConfiguration) -> int:
    return current.document.sequence if current.document else 0


def _unwrap(outcome: result.Result[T, errors.Problem]) -> T:
    if isinstance(outcome, result.Err):
        raise errors.ProblemError(outcome.err_value)
    return outcome.ok_value
