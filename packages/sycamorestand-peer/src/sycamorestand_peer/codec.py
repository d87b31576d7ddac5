"""Encodes and decodes messages.

The code of a message type never changes, so that processes of different
releases understand each other.
"""

from __future__ import annotations

import functools
from typing import Any
from typing import Final

import msgspec

from sycamorestand_model.compression import compress_content
from sycamorestand_model.compression import decompress_content
from sycamorestand_model.errors import WireError
from sycamorestand_model.in_force import InForce
from sycamorestand_peer.messages import AddressList
from sycamorestand_peer.messages import AnnouncementRelay
from sycamorestand_peer.messages import ArrivalsLent
from sycamorestand_peer.messages import ArrivalTrade
from sycamorestand_peer.messages import CallReply
from sycamorestand_peer.messages import ConfigurationPush
from sycamorestand_peer.messages import ControlLeaseGranted
from sycamorestand_peer.messages import ControlLeaseRequest
from sycamorestand_peer.messages import ControlList
from sycamorestand_peer.messages import CreationAppointment
from sycamorestand_peer.messages import EndsWanted
from sycamorestand_peer.messages import EntryCount
from sycamorestand_peer.messages import EntryLoads
from sycamorestand_peer.messages import Heartbeat
from sycamorestand_peer.messages import JoinRequest
from sycamorestand_peer.messages import LeaseDenied
from sycamorestand_peer.messages import LeaseGrantMessage
from sycamorestand_peer.messages import LeaseRequest
from sycamorestand_peer.messages import LedgerBatch
from sycamorestand_peer.messages import LimitsNamed
from sycamorestand_peer.messages import Message
from sycamorestand_peer.messages import PartsReport
from sycamorestand_peer.messages import PartsWatched
from sycamorestand_peer.messages import ProposalForward
from sycamorestand_peer.messages import Query
from sycamorestand_peer.messages import Relayed
from sycamorestand_peer.messages import ReplicaPayload
from sycamorestand_peer.messages import SampleReport
from sycamorestand_peer.messages import ServerEnded
from sycamorestand_peer.messages import ServersSeen
from sycamorestand_peer.messages import ServersWatched
from sycamorestand_peer.messages import SessionsStay
from sycamorestand_peer.messages import SharedLoads
from sycamorestand_peer.messages import SharedRatings
from sycamorestand_peer.messages import TableResync
from sycamorestand_peer.messages import TableUpdate
from sycamorestand_peer.messages import TokensGranted
from sycamorestand_peer.messages import TokensWanted

_TYPES: Final[dict[int, type]] = {
    1: Heartbeat,
    2: LeaseRequest,
    3: LeaseGrantMessage,
    4: LeaseDenied,
    5: ConfigurationPush,
    6: TableUpdate,
    7: Query,
    8: AnnouncementRelay,
    9: AddressList,
    10: TableResync,
    11: LedgerBatch,
    12: ProposalForward,
    13: CallReply,
    14: ReplicaPayload,
    15: ControlLeaseRequest,
    16: ControlLeaseGranted,
    17: SampleReport,
    18: JoinRequest,
    19: SharedRatings,
    20: ControlList,
    21: Relayed,
    22: EntryCount,
    23: SessionsStay,
    24: ArrivalTrade,
    25: ArrivalsLent,
    26: ServerEnded,
    27: PartsReport,
    28: PartsWatched,
    29: EndsWanted,
    30: TokensWanted,
    31: TokensGranted,
    32: LimitsNamed,
    33: ServersSeen,
    34: ServersWatched,
    35: EntryLoads,
    36: SharedLoads,
    37: CreationAppointment,
}
_IN_FORCE_DECODER: Final = msgspec.msgpack.Decoder(InForce)
_CODES: Final = {kind: code for code, kind in _TYPES.items()}
_DECODERS: Final[dict[int, msgspec.msgpack.Decoder[Any]]] = {
    code: msgspec.msgpack.Decoder(kind) for code, kind in _TYPES.items()
}
_ENCODER: Final = msgspec.msgpack.Encoder()


def encode(message: Message) -> tuple[int, bytes]:
    """Return the type code and the encoded body of a message."""
    if isinstance(message, ConfigurationPush):
        return _encode_push(message)
    return _CODES[type(message)], _ENCODER.encode(message)


def code_of(kind: type[Any]) -> int:
    """Return the type code of a type of messages."""
    return _CODES[kind]


@functools.lru_cache(maxsize=1)
def _encode_push(message: ConfigurationPush) -> tuple[int, bytes]:
    # A push goes to every entry. With a copy for each of them, the queues to
    # the entries of a control process would hold it dozens of times.
    return _CODES[ConfigurationPush], _ENCODER.encode(message)


def decode(code: int, body: bytes | msgspec.Raw) -> Any:
    """Return the message of a type code and an encoded body.

    Raises `WireError` if the code is unknown or the body is invalid.
    """
    decoder = _DECODERS.get(code)
    if decoder is None:
        raise WireError(f"message type {code} is unknown")
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        kind = _TYPES[code].__name__
        raise WireError(f"{kind} could not be read: {error}") from error


def pack_configuration(in_force: InForce) -> ConfigurationPush:
    """Return a push with the encoded and compressed configuration."""
    packed = compress_content(msgspec.msgpack.encode(in_force))
    return ConfigurationPush(in_force.revision, packed)


def unpack_configuration(push: ConfigurationPush) -> InForce:
    """Return the configuration of a push.

    Raises `WireError` if it cannot be decompressed or decoded.
    """
    try:
        return _IN_FORCE_DECODER.decode(decompress_content(push.packed))
    except (msgspec.MsgspecError, RecursionError) as error:
        raise WireError(f"configuration cannot be read: {error}") from error


__all__ = [
    "code_of",
    "decode",
    "encode",
    "pack_configuration",
    "unpack_configuration",
]
