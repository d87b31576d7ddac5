"""Root of the exception tree; every error carries the user's message."""

from __future__ import annotations


class SycamorestandError(Exception):
    """Base of every error that the system raises on purpose.

    The message is written for the person who reads it: an operator for
    settings and declarations, a caller for requests.
    """


class DeclarationError(SycamorestandError):
    """Declarations cannot be used; the message lists every finding."""


class WireError(SycamorestandError):
    """Bytes from another process could not be read as a known message."""


class LedgerUnavailable(SycamorestandError):
    """The ledger gave no answer in time; the records may be durable."""


__all__ = [
    "DeclarationError",
    "LedgerUnavailable",
    "SycamorestandError",
    "WireError",
]
