"""Encode commands and snapshots as bytes.

An encoded command is a pair of a small code and the command's fields, as
msgspec cannot distinguish NamedTuples in a union. Codes are part of the
log's format on disk, so a code must never be reused for another command.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import hashlib
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypeVar

import msgspec

from sycamorestand_model.compression import compress_content
from sycamorestand_model.compression import decompress_content
from sycamorestand_model.errors import WireError
from sycamorestand_state.errors import MalformedCommand
from sycamorestand_state.errors import SnapshotUnreadable
from sycamorestand_state.errors import UnknownCommand

FINGERPRINT_BYTES: Final = 16

T = TypeVar("T")
_ENCODER: Final = msgspec.msgpack.Encoder()
_DETERMINISTIC_ENCODER: Final = msgspec.msgpack.Encoder(order="deterministic")
_ENVELOPE: Final = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])


class Codec(NamedTuple):
    """The encoder and the decoder for one set of commands."""

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


def make_codec(kinds: Mapping[int, type[Any]]) -> Codec:
    """Return the codec for the commands in ``kinds``, a mapping by code.

    Example: ``make_codec({1: Withdraw}).decode(data)``.
    """
    codes = {kind: code for code, kind in kinds.items()}
    decoders = {
        code: msgspec.msgpack.Decoder(kind) for code, kind in kinds.items()
    }

    def encode(command: Any) -> bytes:
        return compress_content(encode_fields((codes[type(command)], command)))

    def decode(data: bytes) -> Any:
        try:
            code, fields = _ENVELOPE.decode(decompress_content(data))
        except (msgspec.MsgspecError, WireError) as error:
            raise MalformedCommand(f"not a command: {error}") from error
        return decode_fields(decoders, code, fields)

    return Codec(encode, decode)


def encode_fields(command: Any) -> bytes:
    """Return the fields of a command as bytes.

    Raises `MalformedCommand` for values that the format cannot represent,
    such as integers of more than 64 bits.
    """
    try:
        return _ENCODER.encode(command)
    except (OverflowError, UnicodeError) as error:
        raise MalformedCommand(f"cannot be written: {error}") from error


def decode_fields(
    decoders: Mapping[int, msgspec.msgpack.Decoder[Any]],
    code: int,
    fields: msgspec.Raw,
) -> Any:
    """Return the command with this code and these fields.

    Raises `UnknownCommand` if this release does not know the code, and
    `MalformedCommand` if the fields cannot be read.
    """
    decoder = decoders.get(code)
    if decoder is None:
        raise UnknownCommand(
            f"command code {code} is unknown to this release; upgrade this "
            "process before it joins again"
        )
    try:
        return decoder.decode(fields)
    except msgspec.MsgspecError as error:
        raise MalformedCommand(f"command code {code}: {error}") from error


def encode_state(state: Any) -> bytes:
    """Return a snapshot of the state.

    Equal states give equal bytes on every replica.
    """
    return _DETERMINISTIC_ENCODER.encode(state)


def decode_state(data: bytes, kind: type[T]) -> T:
    """Return the state that a snapshot holds.

    Raises `SnapshotUnreadable` if the bytes are no snapshot of this kind.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise SnapshotUnreadable(f"{kind.__name__}: {error}") from error


def encoded_size_bytes(content: Any) -> int:
    """Return the size of the content in bytes when encoded for the log.

    Commands are compressed afterwards, so the log may take fewer bytes.
    """
    return len(_ENCODER.encode(content))


def fingerprint(content: Any) -> bytes:
    """Return a hash that does not depend on the order of mapping keys."""
    return hashlib.blake2b(
        _DETERMINISTIC_ENCODER.encode(content), digest_size=FINGERPRINT_BYTES
    ).digest()


__all__ = [
    "Codec",
    "decode_fields",
    "decode_state",
    "encode_fields",
    "encode_state",
    "encoded_size_bytes",
    "fingerprint",
    "make_codec",
]
