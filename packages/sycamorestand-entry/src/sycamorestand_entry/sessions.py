"""Signed session tokens, with which any entry can continue a session."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from typing import Final
from typing import NamedTuple

from sycamorestand_entry.errors import BadRequest

DIGEST_BYTES: Final = 16
MAX_TOKEN_CHARACTERS: Final = 1024
SEPARATOR: Final = b"\0"


class Session(NamedTuple):
    """A session of a customer and the version that it is pinned to."""

    customer: str
    name: str
    version: str


def sign_session(session: Session, key: bytes) -> str:
    """Return the session as a token that is signed with the key."""
    content = SEPARATOR.join(part.encode() for part in session)
    return base64.urlsafe_b64encode(_digest(content, key) + content).decode()


def verify_session(
    token: str, customer: str, keys: tuple[bytes, ...]
) -> Session:
    """Return the session of a token that was signed for this customer.

    ``keys`` are the keys that are valid now; empty ones are ignored. The
    previous key is among them, because a rotation must not end sessions
    whose tokens were issued before it. Raises `BadRequest` if the token is
    malformed, was signed with another key or is another customer's.
    """
    try:
        raw = base64.b64decode(token.encode(), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        raise BadRequest("the session token is malformed") from None
    digest = raw[:DIGEST_BYTES]
    content = raw[DIGEST_BYTES:]
    expected = [_digest(content, key) for key in keys if key]
    if not any(hmac.compare_digest(digest, one) for one in expected):
        raise BadRequest("the session token was not made by this system")
    parts = content.decode().split(SEPARATOR.decode())
    session = Session(*parts)
    if session.customer != customer:
        raise BadRequest("the session token belongs to another customer")
    return session


def _digest(content: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES, key=key).digest()


__all__ = ["MAX_TOKEN_CHARACTERS", "Session", "sign_session", "verify_session"]
