"""Frames that were refused: counted by kind, logged as a change of state."""

from __future__ import annotations

from enum import StrEnum
import logging
from typing import Final

LOG: Final = logging.getLogger(__name__)
# A peer that keeps sending bad frames is logged when it begins, and again
# only after it has sent none for this long.
QUIET_S: Final = 60.0
# Whoever can connect can make a new peer with each connection; past this
# many, refusals are only counted.
MAX_PEERS: Final = 512


class Refusal(StrEnum):
    """Why a frame was not acted on."""

    KEY = "no valid key fits"
    UNREADABLE = "cannot be read"
    RECEIVER = "is for another process"
    REPEATED = "was received before, or is older than one that was"
    SENDER_INCARNATION = "is from before the peer's restart"
    RECEIVER_INCARNATION = "was meant for this process before its restart"


class Refusals:
    """Counts refused frames and remembers whose are being refused."""

    def __init__(self) -> None:
        self.counts: dict[Refusal, int] = dict.fromkeys(Refusal, 0)
        self._last_s: dict[tuple[str, Refusal], float] = {}

    def add(self, kind: Refusal, peer: str, now_s: float) -> None:
        """Count a frame; log if this peer's were not refused lately."""
        self.counts[kind] += 1
        state = (peer, kind)
        last_s = self._last_s.get(state)
        if last_s is None and len(self._last_s) >= MAX_PEERS:
            self._drop_quiet(now_s)
            if len(self._last_s) >= MAX_PEERS:
                return
        self._last_s[state] = now_s
        if last_s is None or now_s - last_s >= QUIET_S:
            details = {"peer": peer, "reason": f"frame {kind}"}
            LOG.warning("refusing frames of a peer", extra=details)

    def _drop_quiet(self, now_s: float) -> None:
        self._last_s = {
            state: last_s
            for state, last_s in self._last_s.items()
            if now_s - last_s < QUIET_S
        }


__all__ = ["Refusal", "Refusals"]
