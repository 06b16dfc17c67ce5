"""Messages that pass on a document of the store in parts of limited size."""

from __future__ import annotations

from pimentobridge.protocol import messages


class DocumentQuery(messages.Message, frozen=True):
    """Asks for the newest version of a document, or for a part of a version.

    Attributes:
        key: key of the document in the store.
        revision: revision of the version that the sender has; 0 for none.
        digest: digest of the encoding whose parts the sender is gathering;
            empty for none.
        offset: where the next missing part of that encoding starts, in bytes.
        status_only: whether only an answer without a part is wanted; the
            sender doesn't ask for newer versions then.
    """

    key: str
    revision: int
    digest: bytes = b""
    offset: int = 0
    status_only: bool = False


class DocumentPart(messages.Message, frozen=True):
    """Answers a `DocumentQuery`, or announces a newer version.

    Attributes:
        key: key of the document in the store.
        newest: revision of the newest version that the sender knows.
        age_s: time since the store last said that this is the newest one, in
            seconds.
        revision: version that `data` is a part of; 0 if there is no data.
        size: bytes of the version's whole encoding.
        digest: digest of the version's whole encoding.
        offset: where `data` starts in the encoding, in bytes.
        data: the part.
        reads_store: whether the sender reads the store while it is asked.
        leaving: whether the sender shuts down and won't answer any more.
    """

    key: str
    newest: int
    age_s: float
    revision: int = 0
    size: int = 0
    digest: bytes = b""
    offset: int = 0
    data: bytes = b""
    reads_store: bool = False
    leaving: bool = False
