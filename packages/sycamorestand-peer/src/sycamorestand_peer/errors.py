"""Errors of the connections between the system's processes."""

from __future__ import annotations

from sycamorestand_model.errors import SycamorestandError


class PeerError(SycamorestandError):
    """Base of errors between processes of the system."""


class PeerTimeout(PeerError):
    """A peer gave no reply in time; it may have acted on the message."""


class FrameRefused(PeerError):
    """A frame is not authentic or not for this process."""


__all__ = ["FrameRefused", "PeerError", "PeerTimeout"]
