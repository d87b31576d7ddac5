"""Run order channels of several leaders on one log in memory."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from math import inf

from sycamorestand_consensus.errors import NotLeader
from sycamorestand_control.errors import NoLeader
from sycamorestand_control.errors import OutcomeUnknown
from sycamorestand_control.orders.channel import OrderChannel
from sycamorestand_control.orders.log import LeaderLog
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_state.commands import encode_command
from sycamorestand_state.commands import RecordOrder
from sycamorestand_state.configuration import ConfigurationMachine
from sycamorestand_state.results import ChangeResult


class Cluster:
    """The state machine, clock and announced servers that leaders share.

    A test advances the clock by ``now_s``.
    """

    def __init__(self) -> None:
        self.machine = ConfigurationMachine()
        self.index = 0
        self.term = 0
        self.now_s = 100.0
        self.servers: dict[str, Announcement] = {}

    def phases(self) -> list[str]:
        return [order.phase for order in self.machine.orders()]


class Leader:
    """A control process with an order channel; `elect` makes it leader.

    ``cut_off_before`` names a phase that the process cannot commit.
    ``lost_after`` names a phase that is committed although its answer is
    lost. Either isolates the process, which still considers itself the
    leader. ``after_intent`` runs between the commit of an intent and the
    sending of its order.
    """

    def __init__(self, cluster: Cluster, loads_at_once: int = 2) -> None:
        self.cluster = cluster
        self.term: int | None = None
        self.lease_until_s = inf
        self.cut_off = False
        self.cut_off_before = ""
        self.lost_after = ""
        self.after_intent: Callable[[], Awaitable[None]] | None = None
        self.is_load_wanted = True
        self.channel = OrderChannel(
            LeaderLog(
                lambda: self.term,
                self._barrier,
                lambda: self.lease_until_s - cluster.now_s,
                cluster.machine.orders,
                self._commit,
            ),
            lambda: cluster.servers,
            loads_at_once,
            lambda _version: self.is_load_wanted,
            lambda: cluster.now_s,
            lambda: cluster.now_s,
        )

    async def elect(self) -> None:
        """Become leader of a new term and let the previous lease expire."""
        self.cluster.term += 1
        self.term = self.cluster.term
        await self.channel.step()
        self.cluster.now_s += 1.0

    async def _barrier(self) -> None:
        if self.cut_off:
            raise NotLeader("")

    async def _commit(self, record: RecordOrder) -> ChangeResult:
        if self.cut_off or record.phase == self.cut_off_before:
            self.cut_off = True
            raise NoLeader("no quorum")
        cluster = self.cluster
        cluster.index += 1
        result = cluster.machine.apply(cluster.index, encode_command(record))
        if record.phase == self.lost_after:
            self.cut_off = True
            raise OutcomeUnknown("the answer was lost")
        if record.phase == "intended" and self.after_intent is not None:
            await self.after_intent()
        return result
