"""Messages to bytes and back; the code of a type never changes."""

from __future__ import annotations

from typing import Any
from typing import Final

import msgspec

from sycamorestand_model.errors import WireError
from sycamorestand_peer import messages

_TYPES: Final[dict[int, type]] = {
    1: messages.Heartbeat,
    2: messages.LeaseRequest,
    3: messages.LeaseGrantMessage,
    4: messages.LeaseDenied,
    5: messages.ConfigurationPush,
    6: messages.TableUpdate,
    7: messages.Query,
    8: messages.AnnouncementRelay,
    9: messages.AddressList,
    10: messages.TableResync,
    11: messages.LedgerBatch,
    12: messages.ProposalForward,
    13: messages.CallReply,
    14: messages.ReplicaPayload,
    15: messages.ControlLeaseRequest,
    16: messages.ControlLeaseGranted,
    17: messages.SampleReport,
    18: messages.JoinRequest,
}
_CODES: Final = {kind: code for code, kind in _TYPES.items()}
_DECODERS: Final[dict[int, msgspec.msgpack.Decoder[Any]]] = {
    code: msgspec.msgpack.Decoder(kind) for code, kind in _TYPES.items()
}
_ENCODER: Final = msgspec.msgpack.Encoder()


def encode(message: messages.Message) -> tuple[int, bytes]:
    """Return a message's type code and its bytes."""
    return _CODES[type(message)], _ENCODER.encode(message)


def decode(code: int, body: bytes | msgspec.Raw) -> Any:
    """Return the message; raise `WireError` for unknown or broken ones."""
    decoder = _DECODERS.get(code)
    if decoder is None:
        raise WireError(f"message type {code} is unknown")
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        kind = _TYPES[code].__name__
        raise WireError(f"{kind} could not be read: {error}") from error


__all__ = ["decode", "encode"]
