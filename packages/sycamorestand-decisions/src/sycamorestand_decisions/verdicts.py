"""Verdicts about a version that is rolled out or watched."""

from __future__ import annotations

from typing import NamedTuple


class Continue(NamedTuple):
    """The version keeps its current share."""

    reason: str


class Advance(NamedTuple):
    """The roll-out goes to its next step, or is complete."""

    reason: str


class Stop(NamedTuple):
    """The version gets no new work from now on."""

    reason: str
    evidence: tuple[str, ...]


Verdict = Continue | Advance | Stop

__all__ = ["Advance", "Continue", "Stop", "Verdict"]
