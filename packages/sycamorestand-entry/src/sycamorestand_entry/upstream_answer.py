"""What is known of an answer of a backend server, and how it can fail."""

from __future__ import annotations

import math
import re
from typing import Final
from typing import NamedTuple

from sycamorestand_model.errors import SycamorestandError

_TIMEOUT: Final = re.compile(rb"timeout=(\d{1,9})")


class UpstreamError(SycamorestandError):
    """The connection or the answer on it cannot be used any more."""


class ConnectFailed(UpstreamError):
    """No connection came about, so no byte was sent."""


class SilentConnection(UpstreamError):
    """No byte came within the time that was allowed."""


class BrokenConnection(UpstreamError):
    """The connection ended before the answer did."""


class MalformedAnswer(UpstreamError):
    """The bytes received are no HTTP answer."""


class SlowAnswer(SycamorestandError):
    """No byte came in the time that one would like; it may still come."""


class ResponseHead(NamedTuple):
    """Status and headers of an answer; header names are lower case."""

    status: int
    headers: dict[bytes, bytes]


class Echo(NamedTuple):
    """The header by which an answer names the request that it is to."""

    name: bytes
    value: bytes

    def names_other_request(self, headers: dict[bytes, bytes]) -> bool:
        """Tell whether the answer says that it is to another request."""
        return headers.get(self.name, self.value) != self.value


def keep_alive_s(headers: dict[bytes, bytes]) -> float:
    """Return how long the server says that it keeps the connection idle.

    Example: ``kept_open_s({b"keep-alive": b"timeout=5"})`` is 5.0.
    """
    found = _TIMEOUT.search(headers.get(b"keep-alive", b""))
    return float(found.group(1)) if found else math.inf


def is_framed(headers: dict[bytes, bytes]) -> bool:
    """Tell whether the answer's own bytes say where its body ends."""
    return b"content-length" in headers or b"transfer-encoding" in headers


__all__ = [
    "BrokenConnection",
    "ConnectFailed",
    "Echo",
    "is_framed",
    "keep_alive_s",
    "MalformedAnswer",
    "ResponseHead",
    "SilentConnection",
    "SlowAnswer",
    "UpstreamError",
]
