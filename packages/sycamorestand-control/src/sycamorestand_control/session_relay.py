"""Sessions that stay during a roll-out's step, told to all entries.

Each entry knows the sessions that it has served; the next request of one may
come to any other entry. What entries tell within a tick goes on as one
message to each of them, so that with 330 entries the begin of a step costs
a message for each and not one for each two.
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
    """Passes on what entries, and other control processes, tell."""

    def __init__(
        self,
        mesh: PeerMesh,
        entries: Callable[[], Iterable[str]],
        others: Callable[[], Iterable[str]],
    ) -> None:
        self._mesh = mesh
        self._entries = entries
        self._others = others
        self._told: dict[Step, dict[str, set[int]]] = {}

    def told(self, sender: str, message: SessionsStay) -> None:
        """Take the sessions that stay by one sender's word."""
        step = Step(message.service, message.version, message.step)
        places = self._told.setdefault(step, {}).setdefault(sender, set())
        places.update(message.places)

    async def run(self) -> None:
        """Pass on at an interval, until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            self.pass_on()

    def pass_on(self) -> None:
        """Tell everybody what the others told, and start over.

        Other control processes get what this one's entries told alone.
        """
        told, self._told = self._told, {}
        others = set(self._others())
        for step, by_sender in told.items():
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
