"""What a leader remembers about its members and its own promises."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
from typing import NamedTuple

from sycamorestand_consensus.messages import Snapshot


class SendMode(StrEnum):
    """How a leader sends entries to one member."""

    PROBE = "probe"
    PIPELINE = "pipeline"
    SNAPSHOT = "snapshot"


class Progress:
    """What a leader knows about one other member."""

    def __init__(self, next_index: int, now_s: float) -> None:
        """Begin by probing whether the logs agree before ``next_index``."""
        self.mode = SendMode.PROBE
        self.match_index = 0
        self.next_index = next_index
        self.probe_sent = False
        self.inflight: deque[int] = deque()
        self.acked_round = 0
        self.acked_sent_s = now_s
        self.snapshot: Snapshot | None = None
        self.offset_bytes = 0


class Transfer(NamedTuple):
    """A hand-over of leadership under way."""

    target: str
    deadline_s: float
    ordered: bool


class Barrier(NamedTuple):
    """A read barrier that waits for a majority to confirm its round."""

    barrier_id: int
    round: int
    read_index: int


__all__ = [
    "Barrier",
    "Progress",
    "SendMode",
    "Transfer",
]
