"""The names of whole requests, by which those that end servers are known.

A request is the same if the caller, the method, the path and the body are,
whichever id, session or deadline it has, and whichever entry gets it. Its name
is a keyed digest, so that nobody who reads the name can try out what the body
may have been.
"""

from __future__ import annotations

import hashlib
from typing import Final
from typing import NamedTuple

REQUEST_PREFIX: Final = "request-"
DIGEST_BYTES: Final = 8
LENGTH_BYTES: Final = 8


class RequestContent(NamedTuple):
    """What makes two requests the same; ``target`` is path and query."""

    customer: str
    method: bytes
    host: bytes
    target: bytes
    body: bytes


def request_name(content: RequestContent, key: bytes) -> str:
    """Return the name of a request, as ``request-`` and 16 hex digits.

    ``key`` has at most 64 bytes.
    """
    digest = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES)
    customer, *fields = content
    for field in (customer.encode(), *fields):
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return REQUEST_PREFIX + digest.hexdigest()


def is_request(part: str) -> bool:
    """Return whether a blocked or suspected part is a whole request."""
    return part.startswith(REQUEST_PREFIX)


__all__ = ["is_request", "request_name", "RequestContent"]
