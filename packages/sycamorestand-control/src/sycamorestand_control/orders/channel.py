"""Send the leader's orders to engines and record them in the log.

The channel records the intent, sends the order and records the outcome.
`OrderIssuer` decides when an order may be sent. Each server has at most one
open order, and the number of concurrent loads is limited to what the weight
store serves.
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
from sycamorestand_decisions.server_rests import ServerRests
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
# Each send adds a record to the log. After this many sends without an answer
# the order is abandoned, and the planner may choose another server.
MAX_SENDS: Final = 3


class _Term(NamedTuple):
    number: int
    began_s: float
    issuer: OrderIssuer


class OrderChannel:
    """Sends orders while this process leads.

    ``still_wanted`` is called before a load is resent, as its version may
    have been withdrawn in the meantime. ``phases`` counts committed records
    by phase, and ``superseded`` counts the orders that an engine refused
    because it had seen a higher fencing number.
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
        self._rests = ServerRests()
        # By server, the orders that a task of this process is handling.
        self._in_progress: dict[str, RecordOrder] = {}
        self._send_counts: Counter[str] = Counter()
        self._announced_loads: frozenset[str] = frozenset()
        self.phases: Counter[str] = Counter()
        self.superseded = 0

    def leading_s(self) -> float:
        """Return for how many seconds this process may have led.

        The time counts from before the read barrier of its present term. It
        is 0 while this process does not lead or the barrier has not passed.
        """
        term = self._current_term()
        return self._now_s() - term.began_s if term is not None else 0.0

    async def run(self) -> None:
        """Call `step` every `CHECK_INTERVAL_S` until cancelled."""
        while True:
            await self.step()
            await anyio.sleep(CHECK_INTERVAL_S)

    async def step(self) -> None:
        """Start a new term if needed, and resume unfinished orders."""
        await self._follow_term()
        term = self._current_term()
        if term is None:
            return
        open_orders = term.issuer.unfinished(self._log.orders(), self._now_s())
        async with anyio.create_task_group() as tasks:
            for order in open_orders:
                if order.backend_server not in self._in_progress:
                    tasks.start_soon(self._resume_or_abandon, term, order)

    async def issue_order(self, action: str, server: str, target: str) -> str:
        """Record and send one order, and return the phase that it ends in.

        Return an empty string if the intent was not recorded, for example
        because this process does not lead, the server takes no orders or
        has an open one, or the limit of concurrent loads is reached.
        """
        term = self._current_term()
        if term is None or server in self._in_progress:
            return ""
        announced = self._servers().get(server)
        if announced is None or announced.leaving:
            return ""
        if announced.max_versions < 1 or self._is_resting(announced):
            return ""
        if action == LOAD and self._count_loads() >= self._loads_at_once:
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

        A load ends when the server announces its version. If the server
        lacks the version later, the server was restarted and may get a new
        load order.
        """
        orders, servers = self._log.orders(), self._servers()
        still_recorded = self._announced_loads & {
            order.order_id for order in orders
        }
        self._announced_loads = still_recorded | announced_loads(
            orders, servers
        )
        return loading_versions(
            orders, servers, self._wall_now_s(), self._announced_loads
        )

    def _count_loads(self) -> int:
        """Count loads under way and loads whose intent is being committed."""
        pairs = {(name, v) for name, vs in self.loading().items() for v in vs}
        pairs.update(
            (record.backend_server, record.target)
            for record in self._in_progress.values()
            if record.action == LOAD
        )
        return len(pairs)

    async def _resume_or_abandon(
        self, term: _Term, order: OrderRecord
    ) -> None:
        """Resend an unfinished order, or record it as failed.

        The issuer lists an order as unfinished only once an earlier send
        can no longer take effect, so the phase ``failed`` is correct.
        """
        announced = self._servers().get(order.backend_server)
        reason = self._reason_to_abandon(order, announced)
        if reason or announced is None:
            failed_record = term.issuer.build_outcome(
                RecordOrder(*order), "failed", reason, self._wall_now_s()
            )
            await self._commit(failed_record)
            return
        if self._is_resting(announced):
            return
        record = term.issuer.resume(self._now_s(), order, self._wall_now_s())
        if record is not None:
            await self._carry_out(term, record, announced.address)

    def _reason_to_abandon(
        self, order: OrderRecord, announced: Announcement | None
    ) -> str:
        if announced is None or announced.leaving:
            return "given up: the server is gone"
        if order.action == LOAD and not self._still_wanted(order.target):
            return "given up: the version may have no new work"
        if self._send_counts[order.order_id] >= MAX_SENDS:
            return f"given up: no answer to {MAX_SENDS} sends"
        return ""

    async def _carry_out(
        self, term: _Term, record: RecordOrder, address: str
    ) -> str:
        self._in_progress[record.backend_server] = record
        try:
            if not await self._commit(record):
                return ""
            outcome = await self._send(term, record, address)
            outcome_record = term.issuer.build_outcome(
                record, outcome.phase, outcome.detail, self._wall_now_s()
            )
            if (
                await self._commit(outcome_record)
                and outcome.phase != "unknown"
            ):
                self._send_counts.pop(record.order_id, None)
            return outcome.phase
        finally:
            del self._in_progress[record.backend_server]

    async def _send(
        self, term: _Term, record: RecordOrder, address: str
    ) -> EngineOutcome:
        def claim_send() -> bool:
            # If this process lost the leadership and regained it, it is in
            # a new term, whose issuer does not know of this order.
            return self._current_term() is term and term.issuer.claim_send(
                self._now_s(), self._log.lease_remaining_s(), record
            )

        self._send_counts[record.order_id] += 1
        outcome = await send_order(address, record, claim_send)
        self.superseded += outcome.superseded
        announced = self._servers().get(record.backend_server)
        if outcome.rest_s and announced is not None:
            self._rests.record_rest(
                announced.name,
                announced.incarnation,
                outcome.rest_s,
                self._now_s(),
            )
        return outcome

    def _is_resting(self, server: Announcement) -> bool:
        """Return whether the server turned an order away and asked for rest.

        The requests of entries do not count: their rests are their own.
        """
        self._rests.forget_restarted({server.name: server.incarnation})
        return self._rests.is_resting(server.name, self._now_s())

    async def _commit(self, record: RecordOrder) -> bool:
        """Commit a record; return False if it may be missing from the log.

        An order is not sent if its intent may be missing; if the log does
        hold the intent, it is found later as an unfinished order. An order
        whose outcome is lost stays unfinished and is sent again, which does
        no harm.
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

    def _current_term(self) -> _Term | None:
        term = self._term
        if term is None or self._log.leading_term() != term.number:
            return None
        return term

    async def _follow_term(self) -> None:
        """Create an `OrderIssuer` when this process has become the leader.

        The issuer is created after the barrier, because only then has this
        process applied every order that an earlier leader recorded.
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
        self._send_counts.clear()
        issuer = OrderIssuer(number, began_s, LEADER_LEASE_S)
        self._term = _Term(number, began_s, issuer)


__all__ = ["LEADER_LEASE_S", "MAX_SENDS", "OrderChannel"]
