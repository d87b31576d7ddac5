"""Authentication of callers, and the options in request headers."""

from __future__ import annotations

import math
import re
import time
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import Unauthorised
from sycamorestand_entry.sessions import MAX_TOKEN_CHARACTERS
from sycamorestand_model.keys import key_matches

if TYPE_CHECKING:
    from sycamorestand_model.declarations import Customer
    from sycamorestand_model.in_force import InForce

Priority = Literal["interactive", "batch"]

BEARER: Final = b"bearer "
MAX_KEY_CHARACTERS: Final = 256
MAX_DEADLINE_MS: Final = 3_600_000
# Valid and invalid keys are cached alike, so that neither a caller's own
# key nor a flood of wrong ones is hashed for each customer again.
MAX_REMEMBERED_KEYS: Final = 4096
_VISIBLE_ASCII: Final = re.compile(r"[\x21-\x7e]{1,256}")


class CallerOptions(NamedTuple):
    """Options from a request's headers.

    If a header is absent, the priority is ``interactive``, the deadline 0
    and any other option empty.
    """

    request_key: str
    session_name: str
    session_token: str
    priority: Priority
    deadline_ms: int


class Authenticator:
    """Finds the customer of a bearer key and caches the result."""

    def __init__(self) -> None:
        self._revision = -1
        self._names: dict[bytes, str] = {}

    def customer(
        self, headers: dict[bytes, bytes], in_force: InForce
    ) -> Customer:
        """Return the customer of the bearer key.

        Raises `Unauthorised` if the key belongs to no customer.
        """
        key = bearer_key(headers)
        if self._revision != in_force.revision:
            self._revision = in_force.revision
            self._names.clear()
        customers = in_force.declarations.customers
        name = self._names.get(key)
        if name is None:
            name = _find_customer(key, customers)
            if len(self._names) >= MAX_REMEMBERED_KEYS:
                self._names.clear()
            self._names[key] = name
        if not name:
            raise Unauthorised("the key belongs to no customer")
        return customers[name]


def bearer_key(headers: dict[bytes, bytes]) -> bytes:
    """Return the key of the ``Authorization`` header.

    Raises `Unauthorised` if it is missing, empty or too long.
    """
    value = headers.get(b"authorization", b"")
    if value[: len(BEARER)].lower() != BEARER:
        raise Unauthorised("send your key as 'Authorization: Bearer KEY'")
    key = value[len(BEARER) :].strip()
    if not key or len(key) > MAX_KEY_CHARACTERS:
        raise Unauthorised("the key is empty or too long")
    return key


def read_options(headers: dict[bytes, bytes]) -> CallerOptions:
    """Return the options in the headers; raise `BadRequest` for bad ones."""
    token = headers.get(b"x-session-token", b"")
    if len(token) > MAX_TOKEN_CHARACTERS:
        raise BadRequest("x-session-token is too long")
    session_name = _read_name(headers, b"x-session")
    if session_name and token:
        raise BadRequest("send x-session or x-session-token, not both")
    return CallerOptions(
        request_key=_read_name(headers, b"idempotency-key"),
        session_name=session_name,
        session_token=token.decode("latin-1"),
        priority=_read_priority(headers),
        deadline_ms=_read_deadline_ms(headers),
    )


def remaining_s(deadline_at_s: float) -> float:
    """Return the time left until a deadline on the monotonic clock."""
    return deadline_at_s - time.monotonic()


def deadline_after(deadline_ms: int, default_ms: int) -> float:
    """Return the deadline on the monotonic clock.

    ``default_ms`` applies if the caller set no deadline (0).
    """
    return time.monotonic() + (deadline_ms or default_ms) / 1000


def _find_customer(key: bytes, customers: dict[str, Customer]) -> str:
    try:
        text = key.decode("ascii")
    except UnicodeDecodeError:
        return ""
    for customer in customers.values():
        if any(key_matches(text, stored) for stored in customer.key_hashes):
            return customer.name
    return ""


def _read_name(headers: dict[bytes, bytes], header: bytes) -> str:
    value = headers.get(header)
    if value is None:
        return ""
    text = value.decode("latin-1")
    if not _VISIBLE_ASCII.fullmatch(text):
        raise BadRequest(
            f"{header.decode()} takes 1 to 256 visible ASCII characters"
        )
    return text


def _read_priority(headers: dict[bytes, bytes]) -> Priority:
    value = headers.get(b"x-priority", b"interactive")
    if value == b"interactive":
        return "interactive"
    if value == b"batch":
        return "batch"
    raise BadRequest("x-priority is 'interactive' or 'batch'")


def _read_deadline_ms(headers: dict[bytes, bytes]) -> int:
    value = headers.get(b"x-deadline-ms")
    if value is None:
        return 0
    if not value.isdigit() or len(value) > math.ceil(
        math.log10(MAX_DEADLINE_MS)
    ):
        raise BadRequest("x-deadline-ms takes a number of milliseconds")
    deadline_ms = int(value)
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        raise BadRequest(f"x-deadline-ms is 1 to {MAX_DEADLINE_MS}")
    return deadline_ms


__all__ = [
    "Authenticator",
    "bearer_key",
    "CallerOptions",
    "deadline_after",
    "Priority",
    "read_options",
    "remaining_s",
]
