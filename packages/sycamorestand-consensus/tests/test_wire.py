from __future__ import annotations

import msgspec
import pytest

from sycamorestand_consensus.messages import Append
from sycamorestand_consensus.messages import AppendReply
from sycamorestand_consensus.messages import Body
from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.messages import EntryKind
from sycamorestand_consensus.messages import Member
from sycamorestand_consensus.messages import Message
from sycamorestand_consensus.messages import SnapshotChunk
from sycamorestand_consensus.messages import SnapshotReply
from sycamorestand_consensus.messages import Stamp
from sycamorestand_consensus.messages import TimeoutNow
from sycamorestand_consensus.messages import VoteReply
from sycamorestand_consensus.messages import VoteRequest
from sycamorestand_consensus.wire import decode_message
from sycamorestand_consensus.wire import encode_message
from sycamorestand_consensus.wire import PayloadRefused

STAMP = Stamp(7, 12.5)
BODIES = (
    VoteRequest(3, 10, 2, pre=True, transfer=False),
    VoteReply(3, pre=False, granted=True),
    Append(9, 2, (Entry(10, 3, EntryKind.COMMAND, b"\x00x"),), 8, STAMP),
    AppendReply(False, 0, 9, 4, 1, STAMP),
    SnapshotChunk(5, 2, (Member("a", "at", True),), 0, 9, b"part", STAMP),
    SnapshotReply(5, 4, STAMP),
    TimeoutNow(),
)


def encode_body(body: Body) -> bytes:
    return encode_message(Message("a", "b", "c", 4, body))


class TestWire:
    @pytest.mark.parametrize("body", BODIES, ids=lambda b: type(b).__name__)
    def test_a_decoded_message_equals_the_encoded_one(
        self, body: Body
    ) -> None:
        found = decode_message(encode_body(body))
        assert found == Message("a", "b", "c", 4, body)
        assert type(found.body) is type(body)

    @pytest.mark.parametrize("body", BODIES, ids=lambda b: type(b).__name__)
    def test_a_shortened_payload_is_refused(self, body: Body) -> None:
        payload = encode_body(body)
        for length in range(len(payload)):
            with pytest.raises(PayloadRefused):
                decode_message(payload[:length])

    @pytest.mark.parametrize("kind", [-1, 7, 1000, "x", None])
    def test_an_unknown_kind_is_refused(self, kind: object) -> None:
        raw = msgspec.msgpack.encode([kind, "a", "b", "c", 4, []])
        with pytest.raises(PayloadRefused):
            decode_message(raw)
