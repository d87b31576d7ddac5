"""Errors of the connections between the system's processes."""

from __future__ import annotations

from sycamorestand_model.errors import SycamorestandError
from sycamorestand_peer.refusals import Refusal


class PeerError(SycamorestandError):
    """Base class of errors in connections between the system's processes."""


class PeerTimeout(PeerError):
    """A peer sent no reply in time.

    The peer may have received the message and acted on it.
    """


class FrameRefused(PeerError):
    """A received frame must be dropped.

    ``peer`` is the sender's address. It is empty if the sender is unknown
    because the frame is not authentic or cannot be decoded.
    """

    def __init__(self, kind: Refusal, peer: str = "") -> None:
        super().__init__(f"frame {kind}")
        self.kind = kind
        self.peer = peer


class KeyFileError(PeerError, ValueError):
    """A key file cannot be read or holds no valid key.

    It is also a ``ValueError``, which marks the setting as invalid.
    """


class TlsFileError(PeerError, ValueError):
    """TLS certificates or a TLS key cannot be used.

    It is also a ``ValueError``, which marks the setting as invalid.
    """


__all__ = [
    "FrameRefused",
    "KeyFileError",
    "PeerError",
    "PeerTimeout",
    "TlsFileError",
]
