"""The configuration: one document that both owners sign."""

from __future__ import annotations

import datetime
import hashlib

import msgspec

from pimentobridge.core import account
from pimentobridge.core import fleet
from pimentobridge.core import request
from pimentobridge.core import types

SCHEMA = 1
MAX_DOCUMENT_BYTES = 900_000


class Owner(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A co-owner and the public key that verifies their signatures.

    Attributes:
        public_key: Ed25519 public key, 64 hexadecimal digits.
        expires: when the key expires; None means never.
    """

    name: str
    public_key: str
    expires: datetime.datetime | None = None


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A person who may use the console.

    Attributes:
        token_sha256: SHA-256 of the operator's token, 64 hexadecimal digits.
    """

    name: str
    token_sha256: str


class FailureAllowance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Failures that the fleet must tolerate with every guarantee kept.

    Attributes:
        racks: number of racks that may be lost at the same time.
    """

    racks: int = 0


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All declared configuration of a deployment.

    Attributes:
        sequence: one more than that of the document it replaces; signed, so
            that a replayed older document is detected.
        base: digest of the document it replaces; empty for the first.
    """

    business: str
    owners: list[Owner]
    regions: list[fleet.Region]
    link: fleet.Link
    client_accounts: list[account.ClientAccount]
    classes: list[request.WorkClass]
    fleet: list[fleet.WorkerGroup]
    failure_allowance: FailureAllowance = FailureAllowance()
    operators: list[Operator] = []
    schema: int = SCHEMA
    sequence: int = 1
    base: types.Digest = types.Digest("")

    @property
    def classes_by_name(self) -> dict[types.ClassName, request.WorkClass]:
        """Classes of work by name."""
        return {work_class.name: work_class for work_class in self.classes}

    @property
    def accounts_by_name(
        self,
    ) -> dict[types.AccountName, account.ClientAccount]:
        """Client accounts by name."""
        return {client.name: client for client in self.client_accounts}

    @property
    def weights_by_account(self) -> dict[types.AccountName, float]:
        """Share of each client account."""
        return {client.name: client.share for client in self.client_accounts}

    @property
    def region_by_data_centre(
        self,
    ) -> dict[types.DataCentreName, types.RegionName]:
        """Region of each data centre."""
        return {
            name: region.name
            for region in self.regions
            for name in region.data_centres
        }


class Signature(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An owner's signature of a document's digest, in hexadecimal."""

    owner: str
    signature: str


class Proposal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A document with the signatures collected so far.

    Attributes:
        document: the canonical bytes that are signed.
    """

    document: bytes
    signatures: list[Signature]


def canonical(document: Document) -> bytes:
    """Returns the canonical encoding of a document, which is signed."""
    return msgspec.json.encode(document, order="sorted")


def digest(document: bytes) -> types.Digest:
    """Returns the SHA-256 digest that owners sign, in hexadecimal."""
    return types.Digest(hashlib.sha256(document).hexdigest())
