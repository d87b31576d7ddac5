"""Names of the headers that routed requests and their answers carry.

The data path refers to headers by their meaning. An installation that uses
names of its own passes another `HeaderNames`.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

from sycamorestand_entry.server_notices import LEAVING_HEADER


class HeaderNames(NamedTuple):
    """Names of headers, all in lower case.

    ``attempt`` carries the id of the caller's attempt, which servers echo;
    ``deadline_ms`` the milliseconds that the caller still waits; ``server``
    the backend server that the request is meant for; ``customer`` the
    customer that it belongs to. A server sets ``not_run`` in an answer to a
    request that it did not run, and ``stamp`` in every answer; ``stamp`` is
    empty if servers do not stamp their answers. In ``brittle`` a server says
    how many requests it can turn away in a second without falling over, in
    ``limit`` how many it takes in a second from all entries together, in
    ``leaving`` that it leaves.
    ``own`` are headers that
    only the system may set; the entry drops them from a caller's request.
    """

    attempt: bytes
    deadline_ms: bytes
    server: bytes
    customer: bytes
    not_run: bytes
    stamp: bytes
    priority: bytes
    session: bytes
    model: bytes
    any_model: bytes
    confidence: bytes
    prompt_parts: bytes
    token_counts: bytes
    length_hint: bytes
    last_event: bytes
    load: bytes
    own: frozenset[bytes]
    brittle: bytes = b""
    limit: bytes = b""
    leaving: bytes = b""


# The names of the project's own interface, see ``docs/callers.md``.
DEFAULT_HEADER_NAMES: Final = HeaderNames(
    attempt=b"x-request-key",
    deadline_ms=b"x-deadline-ms",
    server=b"x-backend-server",
    customer=b"x-customer",
    not_run=b"x-not-run",
    stamp=b"",
    priority=b"x-engine-priority",
    session=b"x-session",
    model=b"x-model",
    any_model=b"*",
    confidence=b"x-confidence",
    prompt_parts=b"x-prompt-parts",
    token_counts=b"x-token-counts",
    length_hint=b"x-length-hint",
    last_event=b"last-event-id",
    load=b"x-server-load",
    own=frozenset(
        {
            b"authorization",
            b"x-backend-server",
            b"x-customer",
            b"x-deadline-ms",
            b"x-engine-priority",
        }
    ),
    brittle=b"x-server-brittle",
    limit=b"x-server-limit",
    leaving=LEAVING_HEADER,
)

__all__ = ["DEFAULT_HEADER_NAMES", "HeaderNames"]
