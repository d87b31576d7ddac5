"""What entries tell of themselves and of the versions that they used."""

from __future__ import annotations

from typing import NamedTuple


class EntryAddress(NamedTuple):
    """An address that callers may connect to, and what is known of it."""

    vm: str
    data_centre: str
    host: str
    port: int
    stopping: bool = False
    load: float = 0.0


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


__all__ = ["EntryAddress", "VersionSample"]
