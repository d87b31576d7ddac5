"""Ways around a cut between two processes, through a third one.

What it answers: an entry is cut off from every control process, while
other entries reach both. Its lease runs out within seconds and it refuses
work, although everything it needs is two steps away; with several entries
of a data centre cut off, its callers find nobody. A third process passes
messages on, unread, and answers come back the same way.

It changes nothing of what a lease promises: the holder counts from when it
sent its request, so the longer way only shortens it, and the granter
grants to the same entry as ever.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

# Somewhat more than a heartbeat's interval: then the direct way is taken
# to be cut. Wrongly guessed, a message takes the longer way and arrives.
DIRECT_SILENCE_S: Final = 0.7
# A way that nothing has come by for so long is forgotten; the peer that
# is cut off renews its lease three times in it.
RELAY_TIMEOUT_S: Final = 1.5


class _Relay(NamedTuple):
    address: str
    heard_s: float


class Relays:
    """Through whom each peer was last heard that is not heard directly."""

    def __init__(self) -> None:
        self._relays: dict[str, _Relay] = {}

    def record(self, origin: str, relay: str, now_s: float) -> None:
        """Note that a message of a peer came through another one."""
        self._relays[origin] = _Relay(relay, now_s)

    def relay_for(
        self, address: str, silence_s: float, now_s: float
    ) -> str | None:
        """Return who passes messages on to a peer, None to send directly.

        ``unheard_s`` is for how long nothing came from the peer directly.
        """
        relay = self._relays.get(address)
        if relay is None:
            return None
        if now_s - relay.heard_s > RELAY_TIMEOUT_S:
            del self._relays[address]
            return None
        return relay.address if silence_s > DIRECT_SILENCE_S else None


__all__ = ["DIRECT_SILENCE_S", "RELAY_TIMEOUT_S", "Relays"]
