"""Salted hashes, stored instead of customers' and operators' keys."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import Final

HASH_SCHEME: Final = "b2"
SALT_BYTES: Final = 8
DIGEST_BYTES: Final = 20


def hash_key(key: str, salt: bytes | None = None) -> str:
    """Return the salted hash of a key, as declarations contain it.

    Keys are random tokens that the system generates, not passwords, so
    one salted hash is enough. It costs an entry a microsecond a request.
    The salt is random unless it is given.

    Example: ``hash_key("guild-1", b"12345678")`` starts with ``b2$``.
    """
    salt_bytes = secrets.token_bytes(SALT_BYTES) if salt is None else salt
    digest = _digest(key, salt_bytes)
    return f"{HASH_SCHEME}${salt_bytes.hex()}${digest.hex()}"


def key_matches(key: str, stored_hash: str) -> bool:
    """Return whether a key has the given hash.

    The digests are compared in constant time. A malformed hash matches no
    key.
    """
    scheme, _, rest = stored_hash.partition("$")
    salt_text, _, digest_text = rest.partition("$")
    if scheme != HASH_SCHEME:
        return False
    try:
        salt = bytes.fromhex(salt_text)
        expected = bytes.fromhex(digest_text)
    except ValueError:
        return False
    return hmac.compare_digest(_digest(key, salt), expected)


def _digest(key: str, salt: bytes) -> bytes:
    return hashlib.blake2b(
        key.encode(), digest_size=DIGEST_BYTES, salt=salt
    ).digest()


__all__ = ["hash_key", "key_matches"]
