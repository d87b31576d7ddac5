"""What entries tell of themselves and of the versions that they used."""

from __future__ import annotations

from typing import NamedTuple


class EntryAddress(NamedTuple):
    """An address that callers may connect to, and what is known of it.

    ``peer_address`` is where other processes of the system reach it.
    """

    vm: str
    data_centre: str
    host: str
    port: int
    stopping: bool = False
    load: float = 0.0
    peer_address: str = ""


class VersionSample(NamedTuple):
    """What one attempt on a version showed, for roll-outs and cascades.

    ``rating`` is 0 to 1, or None where none came. ``request_class`` is
    the class that the cascade learns by.
    """

    version: str
    request_class: str
    failed: bool
    first_token_ms: float
    total_ms: float
    rating: float | None
    cost_micros: int
    escalated: bool = False


class RatingCount(NamedTuple):
    """Ratings of one subject and class, counted since the last message.

    ``escalated`` counts answers to requests that an earlier step failed;
    those are harder, so a version's rate is learned apart for them.
    """

    version: str
    request_class: str
    escalated: bool
    passed: int
    rated: int


__all__ = ["EntryAddress", "RatingCount", "VersionSample"]
