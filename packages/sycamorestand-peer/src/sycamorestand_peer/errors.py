"""Errors of the connections between the system's processes."""

from __future__ import annotations

from sycamorestand_model.errors import SycamorestandError


class PeerError(SycamorestandError):
    """Base of errors between processes of the system."""


class PeerTimeout(PeerError):
    """A peer gave no reply in time; it may have acted on the message."""


class FrameRefused(PeerError):
    """A frame is not authentic or not for this process."""


class KeyFileError(PeerError, ValueError):
    """A key file cannot be read or holds no good key.

    It is a ``ValueError`` too, which is how a setting is found bad.
    """


__all__ = ["FrameRefused", "KeyFileError", "PeerError", "PeerTimeout"]
