"""Encoding of messages and records as msgpack."""

from __future__ import annotations

from collections.abc import Sequence
from typing import cast
from typing import Final
from typing import NamedTuple

import msgspec

from sycamorestand_consensus.errors import ConsensusError
from sycamorestand_consensus.messages import Append
from sycamorestand_consensus.messages import AppendReply
from sycamorestand_consensus.messages import Body
from sycamorestand_consensus.messages import HardState
from sycamorestand_consensus.messages import LogAppend
from sycamorestand_consensus.messages import LogTruncate
from sycamorestand_consensus.messages import Membership
from sycamorestand_consensus.messages import Message
from sycamorestand_consensus.messages import Record
from sycamorestand_consensus.messages import Snapshot
from sycamorestand_consensus.messages import SnapshotChunk
from sycamorestand_consensus.messages import SnapshotReply
from sycamorestand_consensus.messages import TimeoutNow
from sycamorestand_consensus.messages import VoteReply
from sycamorestand_consensus.messages import VoteRequest

# The position in BODY_TYPES and RECORD_TYPES identifies a type on the wire
# and on disk, so new types are added at the end.
BODY_TYPES: Final = (
    VoteRequest,
    VoteReply,
    Append,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
)


class LogReset(NamedTuple):
    """Delete all entries; the snapshot at ``last_index`` replaces them."""

    last_index: int


RECORD_TYPES: Final = (HardState, LogAppend, LogTruncate, LogReset)

StoredRecord = Record | LogReset


class SavedSnapshot(NamedTuple):
    """The content of a snapshot file.

    The log goes on in the segment ``first_segment``: all before it hold only
    entries that the snapshot covers. It is 0 in files of earlier releases.
    """

    last_index: int
    last_term: int
    membership: Membership
    data: bytes
    first_segment: int = 0

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot without its place in the log."""
        return Snapshot(
            self.last_index, self.last_term, self.membership, self.data
        )


class PayloadRefused(ConsensusError):
    """The payload is not a valid message of this protocol."""


class _Envelope(NamedTuple):
    kind: int
    sender: str
    to: str
    cluster: str
    term: int
    body: msgspec.Raw


class _Frame(NamedTuple):
    kind: int
    body: msgspec.Raw


_ENCODER: Final = msgspec.msgpack.Encoder()
_ENVELOPE: Final = msgspec.msgpack.Decoder(type=_Envelope)
_BODIES: Final = tuple(msgspec.msgpack.Decoder(type=t) for t in BODY_TYPES)
_FRAMES: Final = msgspec.msgpack.Decoder(type=tuple[_Frame, ...])
_RECORDS: Final = tuple(msgspec.msgpack.Decoder(type=t) for t in RECORD_TYPES)
_SNAPSHOT: Final = msgspec.msgpack.Decoder(type=SavedSnapshot)


def encode_message(message: Message) -> bytes:
    """Encode a message as a payload for another member's ``receive``."""
    body = message.body
    kind = BODY_TYPES.index(type(body))
    raw = msgspec.Raw(_ENCODER.encode(body))
    return _ENCODER.encode(
        _Envelope(
            kind,
            message.sender,
            message.to,
            message.cluster,
            message.term,
            raw,
        )
    )


def decode_message(payload: bytes) -> Message:
    """Decode a payload; raise ``PayloadRefused`` if it is invalid."""
    try:
        envelope = _ENVELOPE.decode(payload)
        body = _decoder(_BODIES, envelope.kind).decode(envelope.body)
    except (msgspec.MsgspecError, IndexError) as error:
        raise PayloadRefused(f"payload refused: {error}") from error
    return Message(
        envelope.sender,
        envelope.to,
        envelope.cluster,
        envelope.term,
        cast(Body, body),
    )


def encode_records(records: list[StoredRecord]) -> bytes:
    """Encode the records of one group commit."""
    frames = [
        _Frame(
            RECORD_TYPES.index(type(record)),
            msgspec.Raw(_ENCODER.encode(record)),
        )
        for record in records
    ]
    return _ENCODER.encode(frames)


def decode_records(data: bytes) -> list[StoredRecord]:
    """Decode the records of one group commit.

    Raises ``MsgspecError`` or ``IndexError`` if they are invalid.
    """
    return [
        cast(StoredRecord, _decoder(_RECORDS, frame.kind).decode(frame.body))
        for frame in _FRAMES.decode(data)
    ]


def encode_snapshot(snapshot: Snapshot, first_segment: int) -> bytes:
    """Encode the content of a snapshot file."""
    return _ENCODER.encode(SavedSnapshot(*snapshot, first_segment))


def decode_snapshot(data: bytes | memoryview) -> SavedSnapshot:
    """Decode the content of a snapshot file; may raise ``MsgspecError``."""
    return _SNAPSHOT.decode(data)


def _decoder(
    decoders: Sequence[msgspec.msgpack.Decoder], kind: int
) -> msgspec.msgpack.Decoder:
    if kind < 0:
        raise IndexError(f"kind {kind} is not known")
    return decoders[kind]


__all__ = [
    "LogReset",
    "PayloadRefused",
    "SavedSnapshot",
    "StoredRecord",
    "decode_message",
    "decode_records",
    "decode_snapshot",
    "encode_message",
    "encode_records",
    "encode_snapshot",
]
