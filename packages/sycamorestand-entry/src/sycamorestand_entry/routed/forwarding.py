"""The headers of requests that one entry forwards for another.

An entry that reaches no server of a service sends an attempt of its caller's
request to another entry, over HTTP like the caller. The signed header
`ATTEMPT_HEADER` tells the other entry to make exactly this attempt. Everything
else about the request, such as its route and its customer, the other entry
determines by itself, as for any request.

The key is the other entry's own. It makes one at each start and tells the
other entries by way of control, so that no caller can have it.
"""

from __future__ import annotations

import base64
import binascii
import secrets
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from sycamorestand_entry.errors import BadRequest
from sycamorestand_peer.frames import authentication_tag
from sycamorestand_peer.frames import is_authentic
from sycamorestand_peer.frames import TAG_BYTES

if TYPE_CHECKING:
    from sycamorestand_entry.errors import RequestError
    from sycamorestand_entry.routed.headers import RawHeaders

ATTEMPT_HEADER: Final = b"x-forwarded-attempt"
# In the answer to a forwarded request: the server that answered, or that the
# entry refused the request.
SERVER_HEADER: Final = b"x-forwarded-to"
REFUSAL_HEADER: Final = b"x-forwarding-refused"
# Only entries set these for each other; they come from and go to nobody else.
FORWARDING_HEADERS: Final = frozenset(
    {ATTEMPT_HEADER, SERVER_HEADER, REFUSAL_HEADER}
)
NOT_RUN: Final = b"not_run"
KEY_BYTES: Final = 16


class ForwardedAttempt(NamedTuple):
    """One attempt that another entry shall make.

    ``receiver`` is the VM of that entry, and ``target`` the service or version
    to send the request to. The attempt must not go to the servers ``tried``.
    The other fields are those of `EngineOptions`.
    """

    receiver: str
    target: str
    affinity_key: str = ""
    model: bytes = b""
    last_event: bytes = b""
    rank: int = 0
    tried: tuple[str, ...] = ()


class SignedRequest(NamedTuple):
    """The parts of the caller's request that the signature covers."""

    method: bytes
    target: bytes
    attempt: bytes
    body: bytes


class Refusal(NamedTuple):
    """The refusal of a forwarded request by the other entry."""

    is_not_run: bool
    status: int
    retry_after_s: float


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(ForwardedAttempt)


def new_forwarding_key() -> bytes:
    """Return the key of an entry process that starts."""
    return secrets.token_bytes(KEY_BYTES)


def seal_attempt(
    attempt: ForwardedAttempt, request: SignedRequest, key: bytes
) -> bytes:
    """Return the value of `ATTEMPT_HEADER`."""
    content = _ENCODER.encode(attempt)
    tag = authentication_tag(_signed(content, request), key)
    return base64.b64encode(tag + content)


def open_attempt(
    value: bytes,
    request: SignedRequest,
    key: bytes,
    receiver: str,
) -> ForwardedAttempt:
    """Return the attempt of a forwarded request.

    ``key`` is that of the receiver. Raises `BadRequest` if it is empty, or
    unless it was used to sign this attempt of this request for the receiver.
    """
    if not key:
        raise BadRequest("this entry forwards no requests")
    try:
        data = base64.b64decode(value, validate=True)
    except binascii.Error:
        raise BadRequest("the forwarding header is malformed") from None
    tag, content = data[:TAG_BYTES], data[TAG_BYTES:]
    if not is_authentic(tag, _signed(content, request), (key,)):
        raise BadRequest("the forwarding header is not signed by an entry")
    try:
        attempt = _DECODER.decode(content)
    except msgspec.MsgspecError:
        raise BadRequest("the forwarding header is malformed") from None
    if attempt.receiver != receiver:
        raise BadRequest("the forwarding header is for another entry")
    return attempt


def refusal_headers(error: RequestError) -> RawHeaders:
    """Return the headers that mark the refusal of a forwarded request."""
    return [(REFUSAL_HEADER, error.run.encode())]


def read_refusal(status: int, headers: dict[bytes, bytes]) -> Refusal | None:
    """Return the other entry's refusal, None for an answer of a server."""
    run = headers.get(REFUSAL_HEADER)
    if run is None:
        return None
    return Refusal(
        run == NOT_RUN, status, _seconds(headers.get(b"retry-after", b""))
    )


def _signed(content: bytes, request: SignedRequest) -> bytes:
    return _ENCODER.encode((content, *request))


def _seconds(value: bytes) -> float:
    try:
        return max(0.0, float(value))
    except ValueError:
        return 0.0


__all__ = [
    "ATTEMPT_HEADER",
    "FORWARDING_HEADERS",
    "ForwardedAttempt",
    "new_forwarding_key",
    "open_attempt",
    "read_refusal",
    "Refusal",
    "refusal_headers",
    "seal_attempt",
    "SERVER_HEADER",
    "SignedRequest",
]
