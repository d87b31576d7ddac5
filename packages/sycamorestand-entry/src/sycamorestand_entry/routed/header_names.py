"""How routed requests speak on the wire: the names of headers.

The data path knows what a header means, not what an installation calls it.
An installation that has its own names passes another `HeaderNames`.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Names of headers, all in lower case.

    ``attempt`` names a caller's attempt and is echoed by servers;
    ``deadline_ms`` is what the caller still waits; ``server`` names the
    backend server that is meant, ``customer`` whose request it is;
    ``not_run`` is in an answer that says so; ``stamp`` is in each whole
    answer of a server, empty where servers stamp none. ``own`` are headers
    that only the system may set: what a caller sends under these names is
    dropped.
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
)

__all__ = ["DEFAULT_HEADER_NAMES", "HeaderNames"]
