"""Connections that one call opens to servers, within limits."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.routed.decision_log import NotReached
from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_entry.upstream import ConnectTimedOut

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_entry.upstream import UpstreamConnection
    from sycamorestand_model.backend_servers import Announcement

# Failed connections do not count as attempts, but a call must not dial for
# its whole timeout if all servers of a service are gone. A refused connection
# costs a millisecond, and the next server may be running: with a limit of
# four dials, a crash of five of nine servers failed requests although the
# other four were free. A connection that hangs costs a connect timeout.
MAX_DIALS: Final = 16
MAX_DIAL_S: Final = 1.0
# Two dials in a row that time out show that this entry's link may be down.
MAX_DIAL_BEFORE_FORWARDING_S: Final = 0.5


class Dials:
    """The dials of one call.

    ``unreachable`` are the names of the servers that took no connection, and
    ``has_timed_out`` tells whether one of them did not even refuse it.
    """

    def __init__(self, context: EntryContext, call: RoutedCall) -> None:
        self.unreachable: set[str] = set()
        self.has_timed_out = False
        self._context = context
        self._call = call
        self._failed = 0
        self._dialled_s = 0.0

    @property
    def is_exhausted(self) -> bool:
        """Whether the call has dialled in vain too often or for too long."""
        return self._failed >= MAX_DIALS or self._dialled_s >= MAX_DIAL_S

    @property
    def show_lost_link(self) -> bool:
        """Whether the dials show that this entry's link may be down.

        A short call would not outlast the loss of one server after another,
        and where all refuse, there may be more than one call may dial.
        """
        took_long = self._dialled_s >= MAX_DIAL_BEFORE_FORWARDING_S
        return took_long or self.is_exhausted

    def record_failure(self) -> None:
        """Count a dial after which nothing could be sent."""
        self._failed += 1

    async def connect(
        self, target: str, server: Announcement, max_idle_s: float
    ) -> UpstreamConnection | None:
        """Return a connection to the server, None if it takes none."""
        begin_s = self._context.now_s()
        try:
            return await self._context.pool.acquire(server.address, max_idle_s)
        except ConnectFailed as error:
            now_s = self._context.now_s()
            self._dialled_s += now_s - begin_s
            if isinstance(error, ConnectTimedOut):
                self.has_timed_out = True
            else:
                servers = self._context.servers
                servers.record_start(target, server.name, now_s)
                servers.record_finish(target, server.name, now_s, 0.0, "error")
            self.unreachable.add(server.name)
            self._call.log.add(NotReached(server.name))
            self.record_failure()
            return None


__all__ = ["Dials"]
