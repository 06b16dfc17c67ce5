"""Configuration changes: proposed, signed by both owners, then applied."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import result

from pimentobridge.console import differences
from pimentobridge.core import configuration
from pimentobridge.core import errors
from pimentobridge.core import signing
from pimentobridge.core import types
from pimentobridge.core import validation
from pimentobridge.daemons import configuration_watch

if TYPE_CHECKING:
    from collections.abc import Sequence
    import datetime

    from pimentobridge.platform import store as store_lib

PROPOSAL_LEASE_S = 14 * 24 * 3600.0
MAX_OPEN_PROPOSALS = 50
MAX_CAS_ATTEMPTS = 5
INDEX_KEY = "configuration/proposals"


class CurrentConfiguration(msgspec.Struct, frozen=True):
    """The configuration in force, as read from the store.

    Attributes:
        proposal: the signed document; None if there is no configuration yet
            or the stored value can't be decoded.
        revision: revision of the store entry; 0 if there is none yet.
    """

    proposal: configuration.Proposal | None
    revision: int

    @property
    def document(self) -> configuration.Document | None:
        """The decoded document; None if there is none."""
        if self.proposal is None:
            return None
        return msgspec.json.decode(
            self.proposal.document, type=configuration.Document
        )

    @property
    def digest(self) -> types.Digest:
        """Digest of the document; empty if there is none."""
        if self.proposal is None:
            return types.Digest("")
        return configuration.digest(self.proposal.document)


class ProposalStore:
    """Proposed and current configuration in the platform's store.

    All writes are compare-and-swap, since operators may write concurrently.
    """

    def __init__(
        self,
        store: store_lib.Store,
        trusted_owners: Sequence[configuration.Owner],
    ) -> None:
        self._store = store
        self._trusted_owners = trusted_owners

    async def current(
        self,
    ) -> result.Result[CurrentConfiguration, errors.Problem]:
        """Reads the current configuration from the store."""
        read = await self._store.get(configuration_watch.KEY)
        if isinstance(read, result.Err):
            return result.Err(_unavailable())
        entry = read.ok_value
        if entry is None:
            return result.Ok(CurrentConfiguration(None, 0))
        proposal = configuration_watch.decode(entry.value)
        return result.Ok(CurrentConfiguration(proposal, entry.revision))

    def rebased(
        self, document: configuration.Document, current: CurrentConfiguration
    ) -> configuration.Document:
        """Returns the document with the current one as its base.

        Its sequence number becomes that of the current document plus 1, or 1
        if there is no current document.
        """
        predecessor = current.document
        return msgspec.structs.replace(
            document,
            base=current.digest,
            sequence=predecessor.sequence + 1 if predecessor else 1,
        )

    async def propose(
        self, document: configuration.Document
    ) -> result.Result[configuration.Proposal, errors.Problem]:
        """Validates a document and stores it for the owners to sign.

        A document that was proposed before keeps its signatures.
        """
        problems = validation.problems_of(document)
        if problems:
            return result.Err(problems[0])
        data = configuration.canonical(document)
        if len(data) > configuration.MAX_DOCUMENT_BYTES:
            return result.Err(_too_large(len(data)))
        proposal = configuration.Proposal(data, [])
        created = await self._create(proposal)
        if isinstance(created, result.Err):
            return result.Err(created.err_value)
        return result.Ok(created.ok_value)

    async def proposal(
        self, digest: types.Digest
    ) -> result.Result[configuration.Proposal | None, errors.Problem]:
        """Returns the proposal whose document has a digest, or None."""
        read = await self._store.get(_key(digest))
        if isinstance(read, result.Err):
            return result.Err(_unavailable())
        entry = read.ok_value
        if entry is None:
            return result.Ok(None)
        return result.Ok(configuration_watch.decode(entry.value))

    async def open_digests(
        self,
    ) -> result.Result[list[types.Digest], errors.Problem]:
        """Returns the digests in the index of proposals, oldest first.

        The index holds the newest `MAX_OPEN_PROPOSALS` digests.
        """
        read = await self._store.get(INDEX_KEY)
        if isinstance(read, result.Err):
            return result.Err(_unavailable())
        entry = read.ok_value
        digests = msgspec.json.decode(entry.value) if entry else []
        return result.Ok([types.Digest(digest) for digest in digests])

    async def add_signature(
        self,
        digest: types.Digest,
        signature: configuration.Signature,
        now: datetime.datetime,
    ) -> result.Result[configuration.Proposal, errors.Problem]:
        """Verifies an owner's signature and adds it to a proposal.

        It replaces an earlier signature by the same owner.
        """
        problem = signing.check_signature(
            signature, digest, self._trusted_owners, now
        )
        if problem is not None:
            return result.Err(problem)
        for _ in range(MAX_CAS_ATTEMPTS):
            read = await self._store.get(_key(digest))
            if isinstance(read, result.Err):
                return result.Err(_unavailable())
            entry = read.ok_value
            stored = configuration_watch.decode(entry.value) if entry else None
            if entry is None or stored is None:
                return result.Err(_unknown_proposal(digest))
            signed = _with_signature(stored, signature)
            written = await self._store.compare_and_swap(
                entry.key,
                configuration_watch.encode(signed),
                expected_revision=entry.revision,
                lease_s=PROPOSAL_LEASE_S,
            )
            if isinstance(written, result.Ok):
                return result.Ok(signed)
        return result.Err(_unavailable())

    async def apply(
        self, proposal: configuration.Proposal, now: datetime.datetime
    ) -> result.Result[CurrentConfiguration, errors.Problem]:
        """Makes a fully signed proposal the current configuration.

        The call is idempotent. If the response to the write is lost, the next
        attempt reads the store: if it holds this document, the write took
        effect.
        """
        verified = signing.verify(proposal, self._trusted_owners, now)
        if isinstance(verified, result.Err):
            return verified
        for _ in range(MAX_CAS_ATTEMPTS):
            read = await self.current()
            if isinstance(read, result.Err):
                continue
            current = read.ok_value
            if current.digest == configuration.digest(proposal.document):
                return result.Ok(current)
            problem = _base_conflict(verified.ok_value, current)
            if problem is not None:
                return result.Err(problem)
            await self._store.compare_and_swap(
                configuration_watch.KEY,
                configuration_watch.encode(proposal),
                expected_revision=current.revision,
            )
        return result.Err(_unavailable())

    async def _create(
        self, proposal: configuration.Proposal
    ) -> result.Result[configuration.Proposal, errors.Problem]:
        digest = configuration.digest(proposal.document)
        written = await self._store.compare_and_swap(
            _key(digest),
            configuration_watch.encode(proposal),
            expected_revision=0,
            lease_s=PROPOSAL_LEASE_S,
        )
        if isinstance(written, result.Err):
            existing = await self.proposal(digest)
            if isinstance(existing, result.Err) or existing.ok_value is None:
                return result.Err(_unavailable())
            proposal = existing.ok_value
        await self._add_to_index(digest)
        return result.Ok(proposal)

    async def _add_to_index(self, digest: types.Digest) -> None:
        for _ in range(MAX_CAS_ATTEMPTS):
            read = await self._store.get(INDEX_KEY)
            if isinstance(read, result.Err):
                return
            entry = read.ok_value
            digests = msgspec.json.decode(entry.value) if entry else []
            if digest in digests:
                return
            digests = [*digests, digest][-MAX_OPEN_PROPOSALS:]
            written = await self._store.compare_and_swap(
                INDEX_KEY,
                msgspec.json.encode(digests),
                expected_revision=entry.revision if entry else 0,
            )
            if isinstance(written, result.Ok):
                return


def _base_conflict(
    document: configuration.Document, current: CurrentConfiguration
) -> errors.Problem | None:
    """Returns a conflict unless the document is based on the current one."""
    if document.base == current.digest:
        return None
    active = current.document
    change = (
        "; ".join(differences.describe_changes(active, document)[:5])
        if active is not None
        else "everything"
    )
    return errors.Problem(
        errors.ErrorKind.CONFLICT,
        f"document {document.sequence} is based on"
        f" {document.base[:12] or 'nothing'}, but {current.digest[:12]}"
        f" (document {active.sequence if active else 0}) is now in force;"
        f" applying the document would change: {change}.",
        "Base the change on the document in force, and have both owners sign"
        " the new digest.",
    )


def _with_signature(
    proposal: configuration.Proposal, signature: configuration.Signature
) -> configuration.Proposal:
    other_signatures = [
        existing
        for existing in proposal.signatures
        if existing.owner != signature.owner
    ]
    return configuration.Proposal(
        proposal.document, [*other_signatures, signature]
    )


def _key(digest: types.Digest) -> str:
    return f"configuration/proposals/{digest}"


def _unavailable() -> errors.Problem:
    return errors.Problem(
        errors.ErrorKind.STORE_UNAVAILABLE,
        "the platform's store doesn't answer.",
        "Repeat the command when it is available; until then the configuration"
        " in force doesn't change.",
    )


def _unknown_proposal(digest: types.Digest) -> errors.Problem:
    return errors.Problem(
        errors.ErrorKind.INVALID_REQUEST,
        f"no proposal has the digest {digest}.",
        "Check the digest, or propose the document again.",
    )


def _too_large(size: int) -> errors.Problem:
    return errors.Problem(
        errors.ErrorKind.INVALID_CONFIGURATION,
        f"the document has {size} bytes; expected at most"
        f" {configuration.MAX_DOCUMENT_BYTES}.",
        "Shorten names or merge teams.",
    )
