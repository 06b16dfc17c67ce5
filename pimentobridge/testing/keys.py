"""Signing keys of the owners of the example deployments, for tests only."""

from __future__ import annotations

import hashlib

from cryptography.hazmat.primitives.asymmetric import ed25519

from pimentobridge.core import configuration
from pimentobridge.core import signing


def owner_key(name: str) -> ed25519.Ed25519PrivateKey:
    """Returns the test key of an owner, derived from the owner's name."""
    seed = hashlib.sha256(f"test owner {name}".encode()).digest()
    return ed25519.Ed25519PrivateKey.from_private_bytes(seed)


def signed(document: configuration.Document) -> configuration.Proposal:
    """Returns a document signed by all of its owners."""
    data = configuration.canonical(document)
    digest = configuration.digest(data)
    return configuration.Proposal(
        data,
        [
            signing.sign(owner_key(owner.name), owner.name, digest)
            for owner in document.owners
        ],
    )
