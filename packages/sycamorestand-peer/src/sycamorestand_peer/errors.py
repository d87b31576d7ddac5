"""Errors of the connections between the system's processes."""

from __future__ import annotations

from sycamorestand_model.errors import SycamorestandError
from sycamorestand_peer.refusals import Refusal


class PeerError(SycamorestandError):
    """Base of errors between processes of the system."""


class PeerTimeout(PeerError):
    """A peer gave no reply in time; it may have acted on the message."""


class FrameRefused(PeerError):
    """A frame is not to be acted on; ``peer`` is empty if not authentic."""

    def __init__(self, kind: Refusal, peer: str = "") -> None:
        super().__init__(f"frame {kind}")
        self.kind = kind
        self.peer = peer


class KeyFileError(PeerError, ValueError):
    """A key file cannot be read or holds no good key.

    It is a ``ValueError`` too, which is how a setting is found bad.
    """


class TlsFileError(PeerError, ValueError):
    """Certificates or a key cannot be used."""


__all__ = [
    "FrameRefused",
    "KeyFileError",
    "PeerError",
    "PeerTimeout",
    "TlsFileError",
]
