"""Lend entries the retry budget that other entries have given back.

The budget is counted in arrivals: the times that a request reaches a
backend server after the first time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorestand_decisions.arrival_pool import ArrivalPool
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.messages import ArrivalsLent

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_decisions.arrivals import Allowance
    from sycamorestand_peer.mesh import PeerMesh
    from sycamorestand_peer.messages import ArrivalTrade


class ArrivalLender:
    """Answers entries' trades from the pool of this control process.

    Each voter has a pool of its own, which also lends and accepts arrivals
    without a quorum, because the content of each pool is bounded.
    ``lent`` and ``asked`` count arrivals.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        allowance: Allowance,
        voters: Callable[[], tuple[str, ...]],
    ) -> None:
        self._mesh = mesh
        self._voters = voters
        self._pool = ArrivalPool(allowance, boottime_s())
        self.lent = 0.0
        self.asked = 0.0

    def handle_trade(self, sender: str, message: ArrivalTrade) -> None:
        """Add the arrivals that an entry gives, and send those it borrows."""
        lent = self._pool.trade(
            message.given, message.asked, self._pool_count(), boottime_s()
        )
        self.asked += sum(message.asked.values())
        self.lent += sum(lent.get(service, 0.0) for service in message.asked)
        self._mesh.send(sender, ArrivalsLent(message.number, lent))

    def _pool_count(self) -> int:
        """Return how many pools may exist, 0 if this process has none.

        That is one more than there are voters, because a voter that was
        replaced while it was cut off continues for some time.
        """
        voters = self._voters()
        if self._mesh.address not in voters:
            return 0
        return len(voters) + 1


__all__ = ["ArrivalLender"]
