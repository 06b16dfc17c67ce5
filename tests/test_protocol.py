import datetime

import msgspec
import pytest

from pimentobridge.core import configuration
from pimentobridge.core import patch
from pimentobridge.core import signing
from pimentobridge.core import transfer
from pimentobridge.core import types
from pimentobridge.protocol import codec
from pimentobridge.protocol import messages
from pimentobridge.testing import deployment
from pimentobridge.testing import keys

NOW = datetime.datetime(2026, 6, 1, tzinfo=datetime.UTC)


def test_a_frame_of_another_protocol_version_is_rejected():
    frame = codec.Frame(
        99, types.Address("a"), msgspec.Raw(msgspec.msgpack.encode(1))
    )
    with pytest.raises(codec.DecodeError, match="version 99"):
        codec.decode(msgspec.msgpack.encode(frame))


def test_decoding_an_encoded_message_returns_it():
    sent = messages.Query(types.RequestId("r"), 3)
    sender, received = codec.decode(codec.encode(types.Address("x"), sent))
    assert (sender, received) == ("x", sent)


def test_an_answer_with_corrupt_bytes_is_not_complete():
    body = bytes(range(256)) * 400
    assembly = transfer.Assembly(
        length=len(body), digest=transfer.digest_of(body)
    )
    for offset, length in assembly.missing():
        chunk = bytearray(body[offset : offset + length])
        chunk[0] ^= 1 if offset else 0
        assembly.add(offset, bytes(chunk))
    assert assembly.body() is None
    for offset, length in assembly.missing():
        assembly.add(offset, body[offset : offset + length])
    assert assembly.body() == body


def test_applying_a_difference_gives_the_second_document():
    before = msgspec.to_builtins(deployment.load_document("muida"))
    after = msgspec.to_builtins(deployment.load_document("lunetta"))
    assert patch.apply(before, patch.difference(before, after)) == after


def test_a_small_change_gives_a_small_patch():
    before = msgspec.to_builtins(deployment.load_document("muida"))
    after = msgspec.json.decode(msgspec.json.encode(before))
    after["client_accounts"][2]["share"] = 9
    operations = patch.difference(before, after)
    assert len(msgspec.msgpack.encode(operations)) < 100


def test_two_signatures_of_one_owner_do_not_count_as_two_owners():
    proposal = keys.signed(deployment.load_document("muida"))
    signed_by_one_owner = configuration.Proposal(
        proposal.document, [proposal.signatures[0]] * 2
    )
    trusted = deployment.load_document("muida").owners
    rejected = signing.verify(signed_by_one_owner, trusted, NOW)
    assert "both owners" in rejected.unwrap_err().detail
    assert signing.verify(proposal, trusted, NOW).is_ok()
