"""Authenticated frames: many messages, one code over all of them."""

from __future__ import annotations

import hashlib
import hmac
from typing import Final
from typing import NamedTuple

import msgspec

from sycamorestand_peer.errors import FrameRefused
from sycamorestand_peer.refusals import Refusal

TAG_BYTES: Final = 16
# Larger than any configuration that `check` admits, and small enough that
# a stranger who connects cannot make a process fill its memory.
MAX_FRAME_BYTES: Final = 8 * 1024 * 1024


class Frame(NamedTuple):
    """What one nng message carries.

    ``sequence`` counts the sender's frames to this receiver.
    ``echo_incarnation`` and ``echo_sequence`` name the newest frame that
    the sender has received from the receiver: that is how a connection
    which swallows frames without an error is noticed.
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
    """Return the frame's bytes behind their authentication code."""
    body = _ENCODER.encode(frame)
    return _tag(body, key) + body


def open_frame(data: bytes, keys: tuple[bytes, ...], receiver: str) -> Frame:
    """Check and read a frame; several keys are valid during a rotation.

    Raises `FrameRefused` before anything in the frame is acted on.
    """
    tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
    if not any(hmac.compare_digest(tag, _tag(body, key)) for key in keys):
        raise FrameRefused(Refusal.KEY)
    try:
        frame = _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise FrameRefused(Refusal.UNREADABLE) from error
    if frame.receiver != receiver:
        raise FrameRefused(Refusal.RECEIVER, frame.sender)
    return frame


def _tag(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=TAG_BYTES, key=key).digest()


__all__ = ["Frame", "MAX_FRAME_BYTES", "open_frame", "seal"]
