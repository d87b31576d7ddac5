"""The leader's way to engines: record, send, record the outcome.

When an order may go is `OrderIssuer`'s word; this carries it out. At most
one order a server is open, and at most so many loads run at once as the
weight store serves.
"""

from __future__ import annotations

from collections import Counter
import logging
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_consensus.errors import ConsensusError
from sycamorestand_consensus.settings import CLOCK_RATE_MARGIN
from sycamorestand_consensus.settings import ReplicaSettings
from sycamorestand_control.errors import ControlError
from sycamorestand_control.orders.engine_call import EngineOutcome
from sycamorestand_control.orders.engine_call import send_order
from sycamorestand_control.orders.loading import announced_loads
from sycamorestand_control.orders.loading import LOAD
from sycamorestand_control.orders.loading import loading_versions
from sycamorestand_peer.clock import boottime_s
from sycamorestand_state.commands import RecordOrder
from sycamorestand_state.orders import OrderIssuer

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sycamorestand_control.orders.log import LeaderLog
    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_state.results import OrderRecord

LOG: Final = logging.getLogger(__name__)
CHECK_INTERVAL_S: Final = 0.5
LEADER_LEASE_S: Final = ReplicaSettings().lease_s * (1.0 + CLOCK_RATE_MARGIN)
# An engine that never answers an order is left alone after so many sends,
# each a record in the log; the planner may choose another server then.
MAX_SENDS: Final = 3


class _Term(NamedTuple):
    number: int
    began_s: float
    issuer: OrderIssuer


class OrderChannel:
    """Gives orders while this process leads; counts them by phase.

    ``still_wanted`` is asked of a load that is to be sent again: its
    version may have been withdrawn since.
    """

    def __init__(
        self,
        log: LeaderLog,
        servers: Callable[[], Mapping[str, Announcement]],
        loads_at_once: int,
        still_wanted: Callable[[str], bool] = lambda _version: True,
        now_s: Callable[[], float] = boottime_s,
        wall_now_s: Callable[[], float] = time.time,
    ) -> None:
        self._log = log
        self._servers = servers
        self._loads_at_once = loads_at_once
        self._still_wanted = still_wanted
        self._now_s = now_s
        self._wall_now_s = wall_now_s
        self._term: _Term | None = None
        # Orders that a task of this process is at work on, by server.
        self._working: dict[str, RecordOrder] = {}
        self._sends: Counter[str] = Counter()
        self._completed: frozenset[str] = frozenset()
        self.phases: Counter[str] = Counter()
        self.superseded = 0

    def leading_s(self) -> float:
        """Return for how long this process may have led, 0 if it may not."""
        term = self._leading()
        return self._now_s() - term.began_s if term is not None else 0.0

    async def run(self) -> None:
        """Follow terms and unfinished orders until cancelled."""
        while True:
            await self.step()
            await anyio.sleep(CHECK_INTERVAL_S)

    async def step(self) -> None:
        """Take up a new term, and what its predecessors left open."""
        await self._follow_term()
        term = self._leading()
        if term is None:
            return
        open_orders = term.issuer.unfinished(self._log.orders(), self._now_s())
        async with anyio.create_task_group() as tasks:
            for order in open_orders:
                if order.backend_server not in self._working:
                    tasks.start_soon(self._take_up, term, order)

    async def give(self, action: str, server: str, target: str) -> str:
        """Give one order; return its phase, empty where it was not given."""
        term = self._leading()
        if term is None or server in self._working:
            return ""
        announced = self._servers().get(server)
        if announced is None or announced.leaving:
            return ""
        if announced.max_versions < 1:
            return ""
        if action == LOAD and self._loads() >= self._loads_at_once:
            return ""
        record = term.issuer.next_order(
            self._now_s(),
            server,
            action,
            target,
            self._log.orders(),
            self._wall_now_s(),
        )
        if record is None:
            return ""
        return await self._carry_out(term, record, announced.address)

    def loading(self) -> dict[str, tuple[str, ...]]:
        """Return, by server, the versions that are being loaded.

        A load that was announced once is over: where the server has the
        version no more, it was restarted, and may be asked again.
        """
        orders, servers = self._log.orders(), self._servers()
        kept = self._completed & {order.order_id for order in orders}
        self._completed = kept | announced_loads(orders, servers)
        return loading_versions(
            orders, servers, self._wall_now_s(), self._completed
        )

    def _loads(self) -> int:
        """Count loads under way, and those whose record is on its way."""
        pairs = {(name, v) for name, vs in self.loading().items() for v in vs}
        pairs.update(
            (record.backend_server, record.target)
            for record in self._working.values()
            if record.action == LOAD
        )
        return len(pairs)

    async def _take_up(self, term: _Term, order: OrderRecord) -> None:
        """Send an unfinished order again, or give it up.

        Nothing of it is on its way any more, else the issuer would not
        have named it. So giving up is a true ``failed``.
        """
        announced = self._servers().get(order.backend_server)
        reason = self._reason_to_give_up(order, announced)
        if reason or announced is None:
            given_up = term.issuer.outcome(
                RecordOrder(*order), "failed", reason, self._wall_now_s()
            )
            await self._commit(given_up)
            return
        record = term.issuer.resume(self._now_s(), order, self._wall_now_s())
        if record is not None:
            await self._carry_out(term, record, announced.address)

    def _reason_to_give_up(
        self, order: OrderRecord, announced: Announcement | None
    ) -> str:
        if announced is None or announced.leaving:
            return "given up: the server is gone"
        if order.action == LOAD and not self._still_wanted(order.target):
            return "given up: the version may have no new work"
        if self._sends[order.order_id] >= MAX_SENDS:
            return f"given up: no answer to {MAX_SENDS} sends"
        return ""

    async def _carry_out(
        self, term: _Term, record: RecordOrder, address: str
    ) -> str:
        self._working[record.backend_server] = record
        try:
            if not await self._commit(record):
                return ""
            outcome = await self._send(term, record, address)
            ended = term.issuer.outcome(
                record, outcome.phase, outcome.detail, self._wall_now_s()
            )
            if await self._commit(ended) and outcome.phase != "unknown":
                self._sends.pop(record.order_id, None)
            return outcome.phase
        finally:
            del self._working[record.backend_server]

    async def _send(
        self, term: _Term, record: RecordOrder, address: str
    ) -> EngineOutcome:
        def may_send() -> bool:
            # A process that led, lost and leads again has another term,
            # whose issuer does not know what this one sends.
            return self._leading() is term and term.issuer.may_send(
                self._now_s(), self._log.lease_remaining_s(), record
            )

        self._sends[record.order_id] += 1
        outcome = await send_order(address, record, may_send)
        self.superseded += outcome.superseded
        return outcome

    async def _commit(self, record: RecordOrder) -> bool:
        """Commit a record; False where it may not be in the log.

        An intent that may or may not be there is not sent; if it is, it
        is found as an unfinished order. An outcome that is lost leaves an
        order that is sent again, which does no harm.
        """
        try:
            result = await self._log.commit(record)
        except ControlError as error:
            LOG.warning("order not recorded", extra={"reason": str(error)})
            return False
        if result.outcome == "refused":
            LOG.warning(
                "order refused by the log",
                extra={"order": record.order_id, "reason": result.message},
            )
            return False
        self.phases[record.phase] += 1
        LOG.info(
            "order",
            extra={
                "order": record.order_id,
                "server": record.backend_server,
                "action": record.action,
                "target": record.target,
                "phase": record.phase,
                "detail": record.detail,
            },
        )
        return True

    def _leading(self) -> _Term | None:
        term = self._term
        if term is None or self._log.leading_term() != term.number:
            return None
        return term

    async def _follow_term(self) -> None:
        """Make an issuer once this process has become the leader.

        Only after the barrier does it know every order that an earlier
        leader recorded.
        """
        number = self._log.leading_term()
        if number is None:
            self._term = None
            return
        if self._term is not None and self._term.number == number:
            return
        self._term = None
        began_s = self._now_s()
        try:
            await self._log.barrier()
        except ConsensusError:
            return
        self._sends.clear()
        issuer = OrderIssuer(number, began_s, LEADER_LEASE_S)
        self._term = _Term(number, began_s, issuer)


__all__ = ["LEADER_LEASE_S", "MAX_SENDS", "OrderChannel"]
