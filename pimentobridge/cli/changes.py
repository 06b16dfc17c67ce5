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
        description="Signs the digest of a document. The key is read locally"
        " and never sent.",
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
        "--new-key",
        action="store_true",
        help="generate a key, write it to the file, print the public key and"
        " exit",
    )
    sign.add_argument(
        "--show-key", action="store_true", help="print the public key and exit"
    )
    sign.set_defaults(run=_sign)


def _add_apply(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    apply = commands.add_parser(
        "apply",
        help="propose or apply a document from version control",
        description="Proposes a document and, with both owners' signatures,"
        " applies it. Repeating the command changes nothing.",
    )
    apply.add_argument("path", type=pathlib.Path)
    apply.add_argument("--store", required=True, help="base URL of the store")
    apply.add_argument(
        "--dry-run",
        action="store_true",
        help="only print the changes; exit with 1 if there are any",
    )
    apply.add_argument(
        "--signature",
        action="append",
        default=[],
        metavar="OWNER:HEX",
        help="a signature that `sign` printed; repeat it for each owner",
    )
    apply.set_defaults(run=_apply)


def load_document(path: pathlib.Path) -> configuration.Document:
    """Reads and validates the document in a file or directory.

    The `*.jsonc` files of a directory are merged in order of their names: lists
    under the same key are concatenated, and other values are overwritten.

    Raises:
        errors.ProblemError: the document can't be read or isn't valid. If it
            has several problems, this is the first, and the others are printed
            to standard error.
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
        part_fields = documents.read(
            part,
            dict[str, object],
            errors.ErrorKind.INVALID_CONFIGURATION,
        )
        for key, value in _unwrap(part_fields).items():
            existing = merged.get(key)
            if isinstance(existing, list) and isinstance(value, list):
                merged[key] = existing + value
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
    key = _read_or_generate_key(options.key, generate=options.new_key)
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
                "expected a digest of 64 hexadecimal digits.",
                "Give the digest that `apply` or the console shows.",
                "--digest",
            )
        )
    signature = signing.sign(key, options.owner, types.Digest(options.digest))
    print(f"{signature.owner}:{signature.signature}")
    return 0


def _read_or_generate_key(
    path: pathlib.Path, *, generate: bool
) -> ed25519.Ed25519PrivateKey:
    if generate:
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
                "Give a file with 64 hexadecimal digits, or generate one with"
                " --new-key.",
                str(path),
            )
        ) from error


def _apply(options: argparse.Namespace) -> int:
    document = load_document(options.path)
    signatures = [_parse_signature(text) for text in options.signature]
    return trio.run(_apply_document, options, document, signatures)


def _parse_signature(text: str) -> configuration.Signature:
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
    proposals = changes_lib.ProposalStore(store, document.owners)
    current = _unwrap(await proposals.current())
    trusted = current.document.owners if current.document else document.owners
    proposals = changes_lib.ProposalStore(store, trusted)
    change_lines = differences.describe_changes(current.document, document)
    if not change_lines:
        print(f"no change: document {_sequence_of(current)} is in force")
        return 0
    print(*(f"  {line}" for line in change_lines), sep="\n")
    for line in differences.effects(current.document, document):
        print(f"  effect: {line}")
    if options.dry_run:
        return 1
    _check_base(document, current)
    proposal = _unwrap(
        await proposals.propose(proposals.rebased(document, current))
    )
    digest = configuration.digest(proposal.document)
    now = datetime.datetime.now(tz=datetime.UTC)
    for signature in signatures:
        proposal = _unwrap(
            await proposals.add_signature(digest, signature, now)
        )
    return await _apply_if_signed(proposals, proposal, digest, now)


async def _apply_if_signed(
    proposals: changes_lib.ProposalStore,
    proposal: configuration.Proposal,
    digest: types.Digest,
    now: datetime.datetime,
) -> int:
    signers = {signature.owner for signature in proposal.signatures}
    if len(signers) < signing.OWNERS_NEEDED:
        print(f"proposed: digest {digest}")
        print(f"signed by: {', '.join(sorted(signers)) or 'nobody yet'}")
        print(
            "each owner runs: pimentobridge sign --key FILE --owner NAME"
            " --digest DIGEST"
        )
        return 0
    applied = _unwrap(await proposals.apply(proposal, now))
    print(
        f"in force: document {_sequence_of(applied)}, digest {applied.digest}"
    )
    return 0


def _check_base(
    document: configuration.Document, current: changes_lib.CurrentConfiguration
) -> None:
    """Raises a conflict if the file states a base that isn't in force."""
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


def _sequence_of(current: changes_lib.CurrentConfiguration) -> int:
    return current.document.sequence if current.document else 0


def _unwrap(outcome: result.Result[T, errors.Problem]) -> T:
    if isinstance(outcome, result.Err):
        raise errors.ProblemError(outcome.err_value)
    return outcome.ok_value
