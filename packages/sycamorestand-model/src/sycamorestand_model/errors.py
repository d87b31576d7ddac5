"""Base exceptions; each message is written for its reader."""

from __future__ import annotations


class SycamorestandError(Exception):
    """Base of all errors that the system raises itself.

    The message is for the person who reads it: an operator for settings
    and declarations, a caller for requests.
    """


class DeclarationError(SycamorestandError):
    """Declarations have errors; the message lists every finding."""


class WireError(SycamorestandError):
    """Bytes from another process cannot be decoded as a known message."""


class LedgerUnavailable(SycamorestandError):
    """The ledger did not answer in time.

    It may have stored the records nevertheless.
    """


__all__ = [
    "DeclarationError",
    "LedgerUnavailable",
    "SycamorestandError",
    "WireError",
]
