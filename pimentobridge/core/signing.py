"""Signatures of both owners, which every process verifies independently."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519
import msgspec
import result

from pimentobridge.core import configuration
from pimentobridge.core import errors
from pimentobridge.core import types

if TYPE_CHECKING:
    from collections.abc import Sequence
    import datetime

OWNERS_NEEDED = 2
DIGEST_PREFIX = b"pimentobridge configuration sha256:"


def signed_bytes(digest: types.Digest) -> bytes:
    """Returns the bytes that an owner signs."""
    return DIGEST_PREFIX + digest.encode()


def sign(
    key: ed25519.Ed25519PrivateKey, owner: str, digest: types.Digest
) -> configuration.Signature:
    """Returns an owner's signature of a document's digest."""
    return configuration.Signature(owner, key.sign(signed_bytes(digest)).hex())


def check_signature(
    signature: configuration.Signature,
    digest: types.Digest,
    trusted: Sequence[configuration.Owner],
    now: datetime.datetime,
) -> errors.Problem | None:
    """Returns why a signature is rejected, or None if it is valid."""
    owner_keys = [owner for owner in trusted if owner.name == signature.owner]
    if not owner_keys:
        owner_names = ", ".join(sorted({owner.name for owner in trusted}))
        return _problem(
            f"received a signature by {signature.owner!r}, who isn't an owner;"
            f" the owners are {owner_names}.",
            "Have one of these owners sign the document.",
        )
    matching_keys = [
        owner for owner in owner_keys if _verifies(owner, signature, digest)
    ]
    if not matching_keys:
        return _problem(
            f"the signature of {signature.owner!r} isn't for digest {digest}.",
            "Sign this digest with the private key that matches the owner's"
            " public key in the settings.",
        )
    if all(_expired(owner, now) for owner in matching_keys):
        return _problem(
            f"the key of {signature.owner!r} expired at"
            f" {matching_keys[0].expires}.",
            "Sign with the owner's newer key.",
        )
    return None


def verify(
    proposal: configuration.Proposal,
    trusted: Sequence[configuration.Owner],
    now: datetime.datetime,
) -> result.Result[configuration.Document, errors.Problem]:
    """Returns the document if both owners have signed it.

    Args:
        proposal: the document with its signatures.
        trusted: owners' keys from the process's own settings.
        now: current time, against which the keys' expiry is checked.
    """
    digest = configuration.digest(proposal.document)
    signers = set()
    for signature in proposal.signatures:
        problem = check_signature(signature, digest, trusted, now)
        if problem is not None:
            return result.Err(problem)
        signers.add(signature.owner)
    if len(signers) < OWNERS_NEEDED:
        return result.Err(
            _problem(
                f"signed by {', '.join(sorted(signers)) or 'nobody'}; expected"
                " the signatures of both owners.",
                "Have the other owner sign digest " + digest + ".",
            )
        )
    return _decode(proposal.document)


def _decode(
    data: bytes,
) -> result.Result[configuration.Document, errors.Problem]:
    try:
        document = msgspec.json.decode(data, type=configuration.Document)
    except msgspec.MsgspecError as error:
        return result.Err(
            errors.Problem(
                errors.ErrorKind.INVALID_CONFIGURATION,
                f"the signed document can't be read: {error}.",
                "Propose it again with the console or the command line of this"
                " version.",
            )
        )
    return result.Ok(document)


def _verifies(
    owner: configuration.Owner,
    signature: configuration.Signature,
    digest: types.Digest,
) -> bool:
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(
            bytes.fromhex(owner.public_key)
        )
        key.verify(bytes.fromhex(signature.signature), signed_bytes(digest))
    except (ValueError, exceptions.InvalidSignature):
        return False
    return True


def _expired(owner: configuration.Owner, now: datetime.datetime) -> bool:
    return owner.expires is not None and owner.expires <= now


def _problem(detail: str, remedy: str) -> errors.Problem:
    return errors.Problem(errors.ErrorKind.SIGNATURE, detail, remedy)
