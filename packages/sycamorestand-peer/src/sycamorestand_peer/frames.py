"""Authenticated frames: many messages under one authentication code."""

from __future__ import annotations

import hashlib
import hmac
from typing import Final
from typing import NamedTuple

import msgspec

from sycamorestand_peer.errors import FrameRefused
from sycamorestand_peer.refusals import Refusal

TAG_BYTES: Final = 16
# Larger than any configuration that `check` accepts, and small enough that
# an unauthenticated sender cannot exhaust a process's memory.
MAX_FRAME_BYTES: Final = 8 * 1024 * 1024


class Frame(NamedTuple):
    """The content of one nng message.

    ``sequence`` increases with each frame that the sender sends.
    ``echo_incarnation`` and ``echo_sequence`` identify the newest frame
    that the sender has received from the receiver. The echo lets the
    receiver detect a connection that loses its frames without an error.
    """

    sender: str
    receiver: str
    incarnation: int
    sequence: int
    echo_incarnation: int
    echo_sequence: int
    messages: tuple[tuple[int, bytes], ...]


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Frame)


def seal(frame: Frame, key: bytes) -> bytes:
    """Return the encoded frame, prefixed with its authentication code."""
    body = _ENCODER.encode(frame)
    return authentication_tag(body, key) + body


def open_frame(data: bytes, keys: tuple[bytes, ...], receiver: str) -> Frame:
    """Return the authenticated and decoded frame.

    Several ``keys`` are valid while the cluster key is rotated. Raises
    `FrameRefused` if no key fits, the frame cannot be decoded, or it is
    addressed to another process than ``receiver``.
    """
    tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
    if not is_authentic(tag, body, keys):
        raise FrameRefused(Refusal.KEY)
    try:
        frame = _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise FrameRefused(Refusal.UNREADABLE) from error
    if frame.receiver != receiver:
        raise FrameRefused(Refusal.RECEIVER, frame.sender)
    return frame


def authentication_tag(body: bytes, key: bytes) -> bytes:
    """Return the code that shows that a holder of the key made the body."""
    return hashlib.blake2b(body, digest_size=TAG_BYTES, key=key).digest()


def is_authentic(tag: bytes, body: bytes, keys: tuple[bytes, ...]) -> bool:
    """Return whether the tag was made of the body with one of the keys."""
    return any(
        hmac.compare_digest(tag, authentication_tag(body, key)) for key in keys
    )


__all__ = [
    "authentication_tag",
    "Frame",
    "is_authentic",
    "MAX_FRAME_BYTES",
    "open_frame",
    "seal",
    "TAG_BYTES",
]
