"""Headers that the entry does not forward between its connections."""

from __future__ import annotations

from typing import Final

RawHeaders = list[tuple[bytes, bytes]]

# Hop-by-hop headers (RFC 9110, 7.6.1), and those that frame the body, as
# the entry frames it anew.
HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
ANSWER_HOP_HEADERS: Final = HOP_HEADERS - {b"expect"}
BODILESS_METHODS: Final = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})


def named_by_connection(raw: RawHeaders) -> set[bytes]:
    """Return the header names listed in ``Connection``, in lower case."""
    named: set[bytes] = set()
    for name, value in raw:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return named


__all__ = [
    "ANSWER_HOP_HEADERS",
    "BODILESS_METHODS",
    "HOP_HEADERS",
    "named_by_connection",
    "RawHeaders",
]
