"""One attempt of a routed call at one backend server."""

from __future__ import annotations

import time
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import DeadlineExceeded
from sycamorestand_entry.gate import check_routed_dispatch
from sycamorestand_entry.gate import RoutedIntent
from sycamorestand_entry.routed.call import PROCESS_ENDS
from sycamorestand_entry.routed.decision_log import AttemptEnded
from sycamorestand_entry.routed.decision_log import MovedOn
from sycamorestand_entry.routed.messages import answer_headers
from sycamorestand_entry.routed.messages import encode_request
from sycamorestand_entry.routed.messages import foreign
from sycamorestand_entry.routed.messages import says_not_run
from sycamorestand_entry.routed.messages import WholeAnswer
from sycamorestand_entry.routed.pace import Pace
from sycamorestand_entry.routed.pace import PACE_CLASS
from sycamorestand_entry.routed.pace import RecentPace
from sycamorestand_entry.upstream import Echo
from sycamorestand_entry.upstream import MalformedAnswer
from sycamorestand_entry.upstream import SilentConnection
from sycamorestand_entry.upstream import UpstreamError
from sycamorestand_model.declarations import VERSION_SEPARATOR
from sycamorestand_model.nodes import VersionSample

if TYPE_CHECKING:
    from sycamorestand_decisions.selection import Outcome
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.errors import RequestError
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_entry.routed.header_names import HeaderNames
    from sycamorestand_entry.routed.messages import Aim
    from sycamorestand_entry.upstream import ResponseHead
    from sycamorestand_entry.upstream import UpstreamConnection

BODILESS_STATUSES: Final = frozenset({204, 304})


class Exchange:
    """An attempt from its first byte to its end; `close` ends it."""

    def __init__(
        self,
        context: EntryContext,
        wire: HeaderNames,
        call: RoutedCall,
        aim: Aim,
        connection: UpstreamConnection,
    ) -> None:
        self.aim = aim
        self.connection = connection
        self._context = context
        self._wire = wire
        self._call = call
        self._outcome: Outcome = "cancelled"
        self.begin_s = 0.0
        self._answered_s = 0.0
        self._reported = False
        self._pace = Pace()
        self._recent = RecentPace()
        self._closed = False
        self._queued = False
        self._early = False
        self._first_byte_ms = -1
        self._status = 0
        self._reason = ""

    def send(self) -> None:
        """Pass the gate and write the request.

        Raises the gate's `RequestError` before any byte is written.
        """
        refusal = self._refusal()
        if refusal is not None:
            self._closed = True
            self._context.pool.release(
                self.aim.server.address, self.connection
            )
            self._context.metrics.refused_dispatches.inc(
                {"code": refusal.code}
            )
            raise refusal
        self.begin_s = time.monotonic()
        self._context.servers.record_start(
            self.aim.target, self.aim.server.name, self.begin_s
        )
        self._context.metrics.dispatches.inc({"version": self.aim.target})
        request = encode_request(self._wire, self._call, self.aim)
        self.connection.send(
            request,
            self._call.method == b"HEAD",
            Echo(self._wire.attempt, self._call.attempt),
        )

    def _refusal(self) -> RequestError | None:
        if self._call.remaining_s() <= 0:
            return DeadlineExceeded("its time is over", None, "not_run")
        intent = RoutedIntent(
            self._call.route, self._call.customer, self.aim.server.name
        )
        return check_routed_dispatch(self._context.control, intent)

    async def read_head(
        self, limit_s: float, soft: bool = False
    ) -> ResponseHead:
        """Return the answer's head; raises `UpstreamError`.

        With ``soft`` the end of the limit raises `SlowAnswer`.
        """
        try:
            head = await self.connection.read_head(limit_s, soft)
        except UpstreamError as error:
            self.failed(error)
            raise
        fault = foreign(head, self._wire, self._call)
        if fault:
            self.connection.close()
            self._outcome = "error"
            self._reason = fault
            raise MalformedAnswer(fault)
        self._status = head.status
        self._answered_s = time.monotonic()
        return head

    def answering_s(self) -> float:
        """Return how long ago the answer's head came."""
        return time.monotonic() - self._answered_s

    @property
    def event_count(self) -> int:
        """Return how many events came."""
        return self._recent.events

    def is_overtaken(self) -> bool:
        """Tell whether requests sent there later have been answered."""
        return self._context.progress.has_overtaken(
            self.aim.server.name, self.begin_s
        )

    def given_up(self, early: bool = False) -> None:
        """Note that the server was too slow; `close` cancels it.

        One that is left ``early``, for a queue that others may not have,
        is no failure of its version: counted as such, a long prompt on one
        server of a new version could take a sound roll-out back.

        A server that works its queue off is not at fault: counted against
        it, a burst took one server of five out for ten seconds, and the
        others had its load as well.
        """
        self._outcome = "timeout"
        self._reason = "too slow"
        self._early = early
        self._queued = self._context.progress.is_serving_in_order(
            self.aim.server.name, self.begin_s
        )
        waited_s = time.monotonic() - self.begin_s
        self._call.log.add(
            MovedOn(
                self.aim.server.name,
                int(waited_s * 1000),
                self.is_overtaken(),
                self._queued,
            )
        )

    async def read_whole(self, head: ResponseHead) -> WholeAnswer:
        """Return the whole answer; raises `UpstreamError`."""
        parts: list[bytes] = []
        size = 0
        try:
            while part := await self.connection.read_body(
                max(0.0, self._call.remaining_s())
            ):
                parts.append(part)
                size += len(part)
                if size > self._context.settings.max_answer_bytes:
                    raise MalformedAnswer("its answer is too large")
        except UpstreamError as error:
            self.connection.close()
            self.failed(error)
            raise
        not_run = says_not_run(head, self._wire)
        self.ended(head.status, not_run)
        body = b"".join(parts)
        bodiless = (
            self._call.method == b"HEAD" or head.status in BODILESS_STATUSES
        )
        length = None if bodiless else len(body)
        return WholeAnswer(
            head.status, answer_headers(head, length), body, not_run
        )

    def ended(self, status: int, not_run: bool) -> None:
        """Note how the server answered, for what is learnt of it."""
        if not_run:
            self._outcome = "overloaded"
        else:
            self._outcome = "error" if status >= 500 else "ok"

    def failed(self, error: UpstreamError) -> str:
        """Note that the answer broke off, and return why.

        The end of this process is no failure of the server: counted as
        one, planned stops could take a sound roll-out back.
        """
        silent = isinstance(error, SilentConnection)
        over = self._call.why_over() if silent else ""
        self._outcome = "timeout" if silent else "error"
        if over == PROCESS_ENDS:
            self._outcome = "cancelled"
        self._reason = over or str(error)
        return self._reason

    def first_byte(self) -> None:
        """Note that the answer has begun."""
        now_s = time.monotonic()
        self._first_byte_ms = int((now_s - self.begin_s) * 1000)
        self._context.progress.record_first_event(
            self.aim.server.name, self.begin_s, now_s
        )
        self._context.servers.record_first_byte(
            self.aim.target,
            self.aim.server.name,
            now_s,
            now_s - self.begin_s,
        )
        if self._call.route.kind == "stream":
            self._sample(failed=False)

    def events(self, count: int) -> None:
        """Note that events came; their pace counts once there are some.

        An idle new server sends a first event sooner than a busy old one
        though it makes every token several times slower; the pause
        between events depends on neither the prompt nor the queue.
        """
        now_s = time.monotonic()
        pause_ms = self._pace.add(count, now_s)
        if pause_ms is not None:
            self._report(PACE_CLASS, False, pause_ms)
        pause_s = self._recent.add(count, now_s)
        if pause_s is not None:
            service = self.aim.target.partition(VERSION_SEPARATOR)[0]
            self._context.event_gap(service).observe(now_s, pause_s)

    def close(self) -> None:
        """Give the connection back, or cancel what still runs on it."""
        if self._closed:
            return
        self._closed = True
        now_s = time.monotonic()
        self._context.servers.record_finish(
            self.aim.target,
            self.aim.server.name,
            now_s,
            now_s - self.begin_s,
            "cancelled" if self._queued else self._outcome,
        )
        self._call.log.add(
            AttemptEnded(
                self.aim.server.name,
                self._outcome,
                self._status,
                self._first_byte_ms,
                self._reason,
            )
        )
        self._sample_end()
        self._context.pool.release(self.aim.server.address, self.connection)

    def _sample_end(self) -> None:
        """Count the attempt where nothing that came before did."""
        if self._outcome in ("error", "timeout"):
            if not self._early:
                self._sample(failed=True)
        elif self._outcome != "overloaded" and not self._reported:
            self._sample(failed=False)

    def _sample(self, failed: bool) -> None:
        """Count this attempt for the version that it went to.

        Every attempt counts by itself, and a stream with its first event:
        another attempt hides a bad version from the caller, and the end of
        a stream is seconds too late to stop a roll-out.
        """
        if not self._answered_s and not failed:
            return
        self._reported = True
        first_s = (self._answered_s or time.monotonic()) - self.begin_s
        self._report(self._call.route.name, failed, first_s * 1000)

    def _report(self, name: str, failed: bool, latency_ms: float) -> None:
        self._context.control.report(
            VersionSample(
                self.aim.target,
                name,
                failed,
                latency_ms,
                (time.monotonic() - self.begin_s) * 1000,
                None,
                0,
            )
        )


__all__ = ["Exchange"]
