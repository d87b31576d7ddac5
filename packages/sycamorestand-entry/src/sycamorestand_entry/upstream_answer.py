"""Response heads of backend servers, and the errors of an exchange."""

from __future__ import annotations

import math
import re
from typing import Final
from typing import NamedTuple

from sycamorestand_model.errors import SycamorestandError

_TIMEOUT: Final = re.compile(rb"timeout=(\d{1,9})")


class UpstreamError(SycamorestandError):
    """The connection, or the answer on it, cannot be used any more."""


class ConnectFailed(UpstreamError):
    """The connection could not be opened, so no byte was sent."""


class ConnectTimedOut(ConnectFailed):
    """The connection was neither accepted nor refused."""


class SilentConnection(UpstreamError):
    """No byte came within the timeout."""


class BrokenConnection(UpstreamError):
    """The connection ended before the answer was complete."""


class ServerLost(BrokenConnection):
    """The server is silent and accepts no connection."""


class MalformedAnswer(UpstreamError):
    """The received bytes are not a valid HTTP response."""


class SlowAnswer(SycamorestandError):
    """No byte came within a soft timeout; the answer may still come."""


class ResponseHead(NamedTuple):
    """Status and headers of an answer; header names are lower case."""

    status: int
    headers: dict[bytes, bytes]


class Echo(NamedTuple):
    """The header and value with which an answer names its request."""

    name: bytes
    value: bytes

    def names_other_request(self, headers: dict[bytes, bytes]) -> bool:
        """Return whether the header is present and names another request."""
        return headers.get(self.name, self.value) != self.value


def keep_alive_s(headers: dict[bytes, bytes]) -> float:
    """Return the keep-alive timeout in the headers, infinity without one.

    Example: ``keep_alive_s({b"keep-alive": b"timeout=5"})`` is 5.0.
    """
    found = _TIMEOUT.search(headers.get(b"keep-alive", b""))
    return float(found.group(1)) if found else math.inf


def is_framed(headers: dict[bytes, bytes]) -> bool:
    """Return whether the headers determine where the body ends."""
    return b"content-length" in headers or b"transfer-encoding" in headers


__all__ = [
    "BrokenConnection",
    "ConnectFailed",
    "ConnectTimedOut",
    "Echo",
    "is_framed",
    "keep_alive_s",
    "MalformedAnswer",
    "ResponseHead",
    "ServerLost",
    "SilentConnection",
    "SlowAnswer",
    "UpstreamError",
]
