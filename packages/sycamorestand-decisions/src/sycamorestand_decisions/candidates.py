"""What the choice of a backend server is made from, and what it tells."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple

Outcome = Literal["ok", "error", "timeout", "overloaded", "cancelled"]


class Candidate(NamedTuple):
    """A backend server that could run the request, as last reported.

    ``running`` and ``queued`` are the server's own counts, ``age_s`` how
    old they are now.
    """

    name: str
    capacity: int
    running: int = 0
    queued: int = 0
    age_s: float = 0.0


class ServerMetrics(NamedTuple):
    """What an entry knows about one backend server."""

    in_flight: int
    limit: int
    latency_s: float
    ejected: bool


class Choice(NamedTuple):
    """One choice with what decided it, for `explain`."""

    name: str
    reason: str
    scores: tuple[tuple[str, float], ...]


__all__ = ["Candidate", "Choice", "Outcome", "ServerMetrics"]
