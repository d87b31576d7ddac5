"""Counts refused frames by reason and logs the peers that send them."""

from __future__ import annotations

from enum import StrEnum
import logging
from typing import Final

LOG: Final = logging.getLogger(__name__)
# A peer that keeps sending bad frames is logged once, and again only if it
# resumes after it has sent none for this long.
QUIET_S: Final = 60.0
# Anyone who can connect can use a new peer name for each frame. With this
# many peers in the table, refusals of further peers are only counted.
MAX_PEERS: Final = 512


class Refusal(StrEnum):
    """The reason why a frame was refused."""

    KEY = "no valid key fits"
    UNREADABLE = "cannot be read"
    RECEIVER = "is for another process"
    REPEATED = "was received before, or is older than one that was"
    SENDER_INCARNATION = "is from before the peer's restart"
    RECEIVER_INCARNATION = "was meant for this process before its restart"


class Refusals:
    """Counts refused frames and tracks the peers that send them."""

    def __init__(self) -> None:
        self.counts: dict[Refusal, int] = dict.fromkeys(Refusal, 0)
        self._last_s: dict[tuple[str, Refusal], float] = {}

    def add(self, kind: Refusal, peer: str, now_s: float) -> None:
        """Count a refused frame.

        The peer is logged unless one of its frames was refused for the
        same reason within `QUIET_S`.
        """
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
