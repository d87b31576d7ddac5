"""Relay to all entries which sessions keep their version in a roll-out.

Each entry knows the sessions that it has served, but the next request of a
session may arrive at any other entry. The reports of all entries within a
tick are merged into one message to each entry. So with 330 entries, the
start of a step takes one message per entry instead of one per pair.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_decisions.retained_sessions import Step
from sycamorestand_peer.messages import SessionsStay

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sycamorestand_peer.mesh import PeerMesh

TICK_S: Final = 0.1


class SessionRelay:
    """Merges and forwards the sessions that senders report as retained."""

    def __init__(
        self,
        mesh: PeerMesh,
        entries: Callable[[], Iterable[str]],
        others: Callable[[], Iterable[str]],
    ) -> None:
        self._mesh = mesh
        self._entries = entries
        self._others = others
        self._pending: dict[Step, dict[str, set[int]]] = {}

    def handle_sessions_stay(self, sender: str, message: SessionsStay) -> None:
        """Add the sessions that an entry or a control process reports."""
        step = Step(message.service, message.version, message.step)
        places = self._pending.setdefault(step, {}).setdefault(sender, set())
        places.update(message.places)

    async def run(self) -> None:
        """Forward the reports every `TICK_S`, until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            self.forward()

    def forward(self) -> None:
        """Send everyone the reports of the others, and clear them.

        Other control processes get only the reports of this one's entries.
        """
        pending, self._pending = self._pending, {}
        others = set(self._others())
        for step, by_sender in pending.items():
            senders = set(by_sender)
            for address in self._entries():
                self._send(address, step, by_sender, senders - {address})
            for address in others:
                self._send(address, step, by_sender, senders - others)

    def _send(
        self,
        address: str,
        step: Step,
        by_sender: dict[str, set[int]],
        senders: Iterable[str],
    ) -> None:
        places: set[int] = set()
        for sender in senders:
            places |= by_sender[sender]
        if places:
            self._mesh.send(
                address, SessionsStay(*step, tuple(sorted(places)))
            )


__all__ = ["SessionRelay", "TICK_S"]
