"""Replication progress, leadership transfers and read barriers."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
from typing import NamedTuple

from sycamorestand_consensus.messages import Snapshot


class SendMode(StrEnum):
    """Mode in which the leader sends entries to one member."""

    PROBE = "probe"
    PIPELINE = "pipeline"
    SNAPSHOT = "snapshot"


class Progress:
    """Replication progress of one other member, kept by the leader.

    ``acked_round`` and ``acked_sent_s`` are from the newest stamps that
    the member has answered. ``awaiting_reply`` says in mode ``PROBE`` that
    the probe was sent, and in mode ``SNAPSHOT`` that the chunk at
    ``offset_bytes`` may still be in flight.
    """

    def __init__(self, next_index: int, now_s: float) -> None:
        """Start by probing whether the logs match before ``next_index``."""
        self.mode = SendMode.PROBE
        self.match_index = 0
        self.next_index = next_index
        self.awaiting_reply = False
        self.inflight: deque[int] = deque()
        self.acked_round = 0
        self.acked_sent_s = now_s
        self.snapshot: Snapshot | None = None
        self.offset_bytes = 0


class Transfer(NamedTuple):
    """A leadership transfer in progress.

    ``ordered`` is set once the target was sent ``TimeoutNow``.
    """

    target: str
    deadline_s: float
    ordered: bool


class Barrier(NamedTuple):
    """A read barrier that waits for a majority to answer its round."""

    barrier_id: int
    round: int
    read_index: int


__all__ = [
    "Barrier",
    "Progress",
    "SendMode",
    "Transfer",
]
