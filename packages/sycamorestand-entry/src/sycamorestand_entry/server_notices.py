"""What a server says of itself in an answer: that it rests or leaves.

A server that turns a request away may ask for rest: it wants no request from
this entry for so long. A server that leaves says so in its answers too, often
before its announcement has reached this entry.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_decisions.server_rests import read_rest_s

if TYPE_CHECKING:
    from sycamorestand_entry.upstream import ResponseHead

RETRY_AFTER_HEADER: Final = b"retry-after"
# The name on answers to the project's own interface.
LEAVING_HEADER: Final = b"x-server-leaving"
LEAVING: Final = b"1"
TURNED_AWAY: Final = 503
# Another server than the one that was meant has answered.
WRONG_SERVER: Final = 421


class ServerNotice(NamedTuple):
    """What an answer says: a rest in seconds, and whether its server leaves.

    ``rest_s`` is 0 if the answer asks for none.
    """

    rest_s: float = 0.0
    is_leaving: bool = False


NO_NOTICE: Final = ServerNotice()


def read_notice(head: ResponseHead, leaving: bytes) -> ServerNotice:
    """Return what the answer says; ``leaving`` is the header's name."""
    if head.status == WRONG_SERVER:
        return NO_NOTICE
    rest_s = 0.0
    if head.status == TURNED_AWAY:
        rest_s = read_rest_s(head.headers.get(RETRY_AFTER_HEADER, b""))
    is_leaving = bool(leaving) and head.headers.get(leaving) == LEAVING
    return ServerNotice(rest_s, is_leaving)


__all__ = [
    "LEAVING_HEADER",
    "read_notice",
    "ServerNotice",
    "TURNED_AWAY",
    "WRONG_SERVER",
]
