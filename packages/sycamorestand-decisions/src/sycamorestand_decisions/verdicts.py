"""What may be decided about a version under watch."""

from __future__ import annotations

from typing import NamedTuple


class Continue(NamedTuple):
    """Nothing changes yet."""

    reason: str


class Advance(NamedTuple):
    """The roll-out goes on to its next step, or is complete."""

    reason: str


class Stop(NamedTuple):
    """The version gets no new work from now on."""

    reason: str
    evidence: tuple[str, ...]


Verdict = Continue | Advance | Stop

__all__ = ["Advance", "Continue", "Stop", "Verdict"]
