"""Routes messages around a network partition through a third process.

An entry may lose its connections to all control processes while other
entries reach both sides. Without relays its lease would expire within
seconds and it would refuse work; if this happens to several entries of a
data centre, its callers find no entry. A third process therefore forwards
messages without reading them, and replies return the same way.

Relays do not weaken leases. The holder counts a lease from the time when it
sent the request, so the longer route only shortens the lease, and the
control process grants it to the same entry as on the direct route.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

# The direct route counts as broken after this silence, which is somewhat
# longer than the heartbeat interval. If it still works, messages take the
# longer route and arrive nevertheless.
DIRECT_SILENCE_S: Final = 0.7
# A relay is dropped if no message has arrived through it for this long. The
# partitioned peer renews its lease three times within this time.
RELAY_TIMEOUT_S: Final = 1.5


class _Relay(NamedTuple):
    address: str
    heard_s: float


class Relays:
    """The relay through which each peer was last heard."""

    def __init__(self) -> None:
        self._relays: dict[str, _Relay] = {}

    def record(self, origin: str, relay: str, now_s: float) -> None:
        """Record that a message of ``origin`` arrived through ``relay``."""
        self._relays[origin] = _Relay(relay, now_s)

    def relay_for(
        self, address: str, silence_s: float, now_s: float
    ) -> str | None:
        """Return the relay to a peer, None to send directly.

        ``silence_s`` is the time since the peer's last direct message.
        """
        relay = self._relays.get(address)
        if relay is None:
            return None
        if now_s - relay.heard_s > RELAY_TIMEOUT_S:
            del self._relays[address]
            return None
        return relay.address if silence_s > DIRECT_SILENCE_S else None


__all__ = ["DIRECT_SILENCE_S", "RELAY_TIMEOUT_S", "Relays"]
