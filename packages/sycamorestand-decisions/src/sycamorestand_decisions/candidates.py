"""Inputs and results of the choice of a backend server."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple

Outcome = Literal["ok", "error", "timeout", "overloaded", "cancelled"]


class Candidate(NamedTuple):
    """A backend server that can run the request, as last reported.

    ``running`` and ``queued`` are the server's own counts; ``age_s`` is their
    current age in seconds.
    """

    name: str
    capacity: int
    running: int = 0
    queued: int = 0
    age_s: float = 0.0


class ServerMetrics(NamedTuple):
    """State of one backend server as an entry sees it."""

    in_flight: int
    limit: int
    latency_s: float
    ejected: bool


class Choice(NamedTuple):
    """One candidate with its state and all scores, for `explain`."""

    name: str
    reason: str
    scores: tuple[tuple[str, float], ...]


__all__ = ["Candidate", "Choice", "Outcome", "ServerMetrics"]
