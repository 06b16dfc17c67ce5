"""Changes of the configuration: proposed, signed by both owners, applied."""

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
CAS_TRIES = 5
INDEX_KEY = "configuration/proposals"


class Current(msgspec.Struct, frozen=True):
    """What the store holds as the configuration.

    Attributes:
        revision: the store's revision; 0 if there is none yet.
    """

    proposal: configuration.Proposal | None
    revision: int

    @property
    def document(self) -> configuration.Document | None:
        """The document, if there is one."""
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
    """Changes kept in the platform's store, where operators may race."""

    def __init__(
        self,
        store: store_lib.Store,
        trusted: Sequence[configuration.Owner],
    ) -> None:
        self._store = store
        self._trusted = trusted

    async def current(self) -> result.Result[Current, errors.Problem]:
        """Returns the configuration that the store holds."""
        found = await self._store.get(configuration_watch.KEY)
        if isinstance(found, result.Err):
            return result.Err(_unavailable())
        entry = found.ok_value
        if entry is None:
            return result.Ok(Current(None, 0))
        proposal = configuration_watch.decode(entry.value)
        return result.Ok(Current(proposal, entry.revision))

    def rebased(
        self, document: configuration.Document, current: Current
    ) -> configuration.Document:
        """Returns the document as the successor of the current one."""
        before = current.document
        return msgspec.structs.replace(
            document,
            base=current.digest,
            sequence=before.sequence + 1 if before else 1,
        )

    async def propose(
        self, document: configuration.Document
    ) -> result.Result[configuration.Proposal, errors.Problem]:
        """Keeps a valid document for the owners to sign."""
        problems = validation.problems_of(document)
        if problems:
            return result.Err(problems[0])
        data = configuration.canonical(document)
        if len(data) > configuration.MAX_DOCUMENT_BYTES:
            return result.Err(_too_large(len(data)))
        proposal = configuration.Proposal(data, [])
        kept = await self._create(proposal)
        if isinstance(kept, result.Err):
            return result.Err(kept.err_value)
        return result.Ok(kept.ok_value)

    async def proposal(
        self, digest: types.Digest
    ) -> result.Result[configuration.Proposal | None, errors.Problem]:
        """Returns a proposal by the digest of its document."""
        found = await self._store.get(_key(digest))
        if isinstance(found, result.Err):
            return result.Err(_unavailable())
        entry = found.ok_value
        if entry is None:
            return result.Ok(None)
        return result.Ok(configuration_watch.decode(entry.value))

    async def open_digests(
        self,
    ) -> result.Result[list[types.Digest], errors.Problem]:
        """Returns the digests of the proposals that are kept."""
        found = await self._store.get(INDEX_KEY)
        if isinstance(found, result.Err):
            return result.Err(_unavailable())
        entry = found.ok_value
        digests = msgspec.json.decode(entry.value) if entry else []
        return result.Ok([types.Digest(digest) for digest in digests])

    async def add_signature(
        self,
        digest: types.Digest,
        signature: configuration.Signature,
        now: datetime.datetime,
    ) -> result.Result[configuration.Proposal, errors.Problem]:
        """Adds an owner's signature to a proposal, if it is right."""
        problem = signing.check_signature(signature, digest, self._trusted, now)
        if problem is not None:
            return result.Err(problem)
        for _ in range(CAS_TRIES):
            found = await self._store.get(_key(digest))
            if isinstance(found, result.Err):
                return result.Err(_unavailable())
            entry = found.ok_value
            held = configuration_watch.decode(entry.value) if entry else None
            if entry is None or held is None:
                return result.Err(_unknown_proposal(digest))
            signed = _with_signature(held, signature)
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
    ) -> result.Result[Current, errors.Problem]:
        """Makes a signed proposal the configuration, once.

        A lost answer is recognised: if the store holds this very document the
        write took effect.
        """
        verified = signing.verify(proposal, self._trusted, now)
        if isinstance(verified, result.Err):
            return verified
        for _ in range(CAS_TRIES):
            read = await self.current()
            if isinstance(read, result.Err):
                continue
            current = read.ok_value
            if current.digest == configuration.digest(proposal.document):
                return result.Ok(current)
            problem = _base_problem(verified.ok_value, current)
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
            known = await self.proposal(digest)
            if isinstance(known, result.Err) or known.ok_value is None:
                return result.Err(_unavailable())
            proposal = known.ok_value
        await self._index(digest)
        return result.Ok(proposal)

    async def _index(self, digest: types.Digest) -> None:
        for _ in range(CAS_TRIES):
            found = await self._store.get(INDEX_KEY)
            if isinstance(found, result.Err):
                return
            entry = found.ok_value
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


def _base_problem(
    document: configuration.Document, current: Current
) -> errors.Problem | None:
    """Returns the conflict if the document isn't based on the current one."""
    if document.base == current.digest:
        return None
    theirs = current.document
    change = (
        "; ".join(differences.describe_changes(theirs, document)[:5])
        if theirs is not None
        else "everything"
    )
    return errors.Problem(
        errors.ErrorKind.CONFLICT,
        f"document {document.sequence} is based on"
        f" {document.base[:12] or 'nothing'}, but {current.digest[:12]}"
        f" (document {theirs.sequence if theirs else 0}) is in force since;"
        f" taking it would change: {change}.",
        "Base the change on the document in force, and have both owners sign"
        " the new digest.",
    )


def _with_signature(
    proposal: configuration.Proposal, signature: configuration.Signature
) -> configuration.Proposal:
    others = [s for s in proposal.signatures if s.owner != signature.owner]
    return configuration.Proposal(proposal.document, [*others, signature])


def _key(digest: types.Digest) -> str:
    return f"configuration/proposals/{digest}"


def _unavailable() -> errors.Problem:
    return errors.Problem(
        errors.ErrorKind.STORE_UNAVAILABLE,
        "the platform's store doesn't answer.",
        "Repeat the command when it is back; what is in force stays in force.",
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
