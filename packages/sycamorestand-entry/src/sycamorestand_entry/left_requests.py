"""The requests that left their servers without an answer."""

from __future__ import annotations

from collections import deque
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorestand_entry.request_parts import RequestFate
    from sycamorestand_peer.messages import ServerBoot

# A server may end some time after a request has left it.
KEPT_S: Final = 30.0
MAX_LEFT: Final = 4096


class ServerRequest(NamedTuple):
    """A request that a server had not answered when it went away.

    ``is_begun`` tells whether the server had begun to answer it. ``whole`` is
    the name of the request, the same each time that it comes.
    """

    request: str
    customer: str
    parts: tuple[str, ...]
    is_begun: bool
    whole: str = ""


class LeftRequest(NamedTuple):
    """A request that left ``server`` at ``at_s``."""

    at_s: float
    server: ServerBoot
    request: ServerRequest
    fate: RequestFate


class LeftRequests:
    """The requests that left servers lately, the oldest first.

    One that is answered later, at another server, ends none.

    >>> from sycamorestand_entry.request_parts import RequestFate
    >>> from sycamorestand_peer.messages import ServerBoot
    >>> left, server = LeftRequests(), ServerBoot("s-1", 1)
    >>> request = ServerRequest("r-1", "club", ("bad",), False)
    >>> left.add(server, request, RequestFate(), 0.0)
    >>> left.take(server, 20.0) == [request]
    True
    >>> left.take(server, 20.0)
    []
    """

    def __init__(self) -> None:
        self._left: deque[LeftRequest] = deque(maxlen=MAX_LEFT)

    def add(
        self,
        server: ServerBoot,
        request: ServerRequest,
        fate: RequestFate,
        now_s: float,
    ) -> None:
        """Add a request that leaves a server now."""
        self._left.append(LeftRequest(now_s, server, request, fate))
        while now_s - self._left[0].at_s >= KEPT_S:
            self._left.popleft()

    def take(self, server: ServerBoot, now_s: float) -> list[ServerRequest]:
        """Remove and return the unanswered requests that left this server."""
        found = [each for each in self._left if each.server == server]
        if found:
            kept = (each for each in self._left if each.server != server)
            self._left = deque(kept, maxlen=MAX_LEFT)
        return [
            each.request
            for each in found
            if now_s - each.at_s < KEPT_S and not each.fate.is_answered
        ]


__all__ = ["KEPT_S", "LeftRequest", "LeftRequests", "ServerRequest"]
