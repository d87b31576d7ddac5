"""A single attempt of a routed call at a backend server."""

from __future__ import annotations

import time
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import DeadlineExceeded
from sycamorestand_entry.errors import PartBlocked
from sycamorestand_entry.gate import check_routed_dispatch
from sycamorestand_entry.gate import may_never_try
from sycamorestand_entry.gate import RoutedIntent
from sycamorestand_entry.routed.attempt_samples import AttemptSamples
from sycamorestand_entry.routed.attempt_samples import FIRST_FAILURE
from sycamorestand_entry.routed.call import PROCESS_ENDS
from sycamorestand_entry.routed.call import read_token_counts
from sycamorestand_entry.routed.decision_log import AttemptEnded
from sycamorestand_entry.routed.decision_log import MovedOn
from sycamorestand_entry.routed.forwarding import read_refusal
from sycamorestand_entry.routed.forwarding import SERVER_HEADER
from sycamorestand_entry.routed.load_header import read_load_header
from sycamorestand_entry.routed.messages import answer_headers
from sycamorestand_entry.routed.messages import encode_forwarded
from sycamorestand_entry.routed.messages import encode_request
from sycamorestand_entry.routed.messages import rejection_reason
from sycamorestand_entry.routed.messages import says_not_run
from sycamorestand_entry.routed.messages import WholeAnswer
from sycamorestand_entry.routed.pace import RecentPace
from sycamorestand_entry.routed.prompt_attempt import blocked_parts
from sycamorestand_entry.routed.prompt_attempt import PromptAttempt
from sycamorestand_entry.routed.prompt_attempt import record_blocked
from sycamorestand_entry.server_end import has_ended
from sycamorestand_entry.server_end import has_left
from sycamorestand_entry.server_notices import read_notice
from sycamorestand_entry.server_notices import ServerNotice
from sycamorestand_entry.upstream import BrokenConnection
from sycamorestand_entry.upstream import Echo
from sycamorestand_entry.upstream import is_framed
from sycamorestand_entry.upstream import MalformedAnswer
from sycamorestand_entry.upstream import SilentConnection
from sycamorestand_entry.upstream import UpstreamError
from sycamorestand_model.declarations import VERSION_SEPARATOR

if TYPE_CHECKING:
    from sycamorestand_decisions.selection import Outcome
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.errors import RequestError
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_entry.routed.forwarding import Refusal
    from sycamorestand_entry.routed.header_names import HeaderNames
    from sycamorestand_entry.routed.messages import Destination
    from sycamorestand_entry.upstream import OnLoss
    from sycamorestand_entry.upstream import ResponseHead
    from sycamorestand_entry.upstream import UpstreamConnection

BODILESS_STATUSES: Final = frozenset({204, 304})
MAX_DIGITS: Final = 9
FAILURES: Final = frozenset({"error", "timeout"})


class ForwardingRefused(Exception):
    """The other entry did not forward the attempt, which was not run."""

    def __init__(self, entry: str, refusal: Refusal) -> None:
        super().__init__(f"{entry} does not forward it")
        self.entry = entry
        self.refusal = refusal


class Exchange:
    """One attempt, from writing the request to `close`.

    If another entry forwards the attempt, that entry records the server's
    part in it: its load and health, and the sample of its version.
    """

    def __init__(
        self,
        context: EntryContext,
        header_names: HeaderNames,
        call: RoutedCall,
        destination: Destination,
        connection: UpstreamConnection,
    ) -> None:
        self.destination = destination
        self.connection = connection
        self.forwarded_to = ""
        self._context = context
        self._header_names = header_names
        self._call = call
        self._outcome: Outcome = "cancelled"
        self.begin_s = 0.0
        self._head_received_s = 0.0
        self._samples = AttemptSamples(
            context.control,
            destination.target,
            call.route.name,
            self.is_forwarded,
        )
        self._recent_pace = RecentPace()
        self._closed = False
        self._was_queued = False
        self._left_early = False
        self._first_byte_ms = -1
        self._status = 0
        self._reason = ""
        self._is_framed = True
        self._tokens = 0
        self._notice = ServerNotice()
        self._prompt = PromptAttempt(
            context.part_watch, call, self.is_forwarded
        )

    def send(self) -> None:
        """Check that the request may be dispatched and write it.

        Raises the `RequestError` of a failed check before any byte is
        written.
        """
        refusal = self._check_dispatch()
        if refusal is not None:
            self._closed = True
            self._context.pool.release(
                self.destination.server.address, self.connection
            )
            self._context.metrics.refused_dispatches.inc(
                {"code": refusal.code}
            )
            if isinstance(refusal, PartBlocked):
                record_blocked(self._context.part_watch, self._call)
            raise refusal
        self._prompt.use_trials()
        self.begin_s = self._samples.begin_s = time.monotonic()
        self.connection.send(
            self._start(),
            self._call.method == b"HEAD",
            Echo(self._header_names.attempt, self._call.attempt),
            on_loss=self._on_loss(),
        )

    @property
    def is_forwarded(self) -> bool:
        """Return whether another entry forwards the attempt."""
        return bool(self.destination.entry)

    def _start(self) -> bytes:
        """Record the start of the attempt and return the request's bytes."""
        context = self._context
        destination = self.destination
        if self.is_forwarded:
            labels = {"direction": "out", "result": "sent"}
            context.metrics.forwarded.inc(labels)
            return encode_forwarded(
                self._header_names, self._call, destination
            )
        context.servers.record_start(
            destination.target, destination.server.name, self.begin_s
        )
        counts = self._call.values.get(self._header_names.token_counts, b"")
        self._tokens = sum(read_token_counts(counts)) if counts else 0
        context.observed_loads.record_start(
            destination.server.name, self._tokens, self.begin_s
        )
        context.metrics.dispatches.inc({"version": destination.target})
        return encode_request(self._header_names, self._call, destination)

    def _on_loss(self) -> OnLoss:
        if not self._call.may_repeat:
            return "wait"
        # The entry that sent the call decides where it goes on.
        return "end" if self._call.forwarded is not None else "wake"

    def _check_dispatch(self) -> RequestError | None:
        if self._call.remaining_s() <= 0:
            return DeadlineExceeded("its time is over", None, "not_run")
        watch = self._context.part_watch
        intent = RoutedIntent(
            self._call.route,
            self._call.customer,
            "" if self.is_forwarded else self.destination.server.name,
            blocked_parts(watch, self._call),
        )
        # The other entry would have to have the permission.
        may_try = may_never_try if self.is_forwarded else watch.may_try
        return check_routed_dispatch(self._context.control, intent, may_try)

    async def read_head(
        self, limit_s: float, soft: bool = False
    ) -> ResponseHead:
        """Return the status and headers of the answer.

        Raises `UpstreamError` if the attempt failed, and `ForwardingRefused`
        if another entry should forward it and did not. With ``soft``, raises
        `SlowAnswer` after ``limit_s``, and the caller may read again.
        """
        try:
            head = await self.connection.read_head(limit_s, soft)
        except UpstreamError as error:
            self.record_failure(error)
            raise
        self._notice = read_notice(head, self._header_names.leaving)
        if self.is_forwarded:
            self._check_forwarded(head)
            self._record_forwarded_notice()
        else:
            self._record_brittle(head)
            self._record_limit(head)
            self._context.server_limits.record_notice(
                self.destination.server,
                head.status,
                self._notice,
                self.begin_s,
            )
            self._record_load(head)
        rejection = rejection_reason(head, self._header_names, self._call)
        if rejection:
            self.connection.close()
            self._outcome = "error"
            self._reason = rejection
            raise MalformedAnswer(rejection)
        self._is_framed = is_framed(head.headers)
        self._status = head.status
        self._head_received_s = time.monotonic()
        return head

    def _record_brittle(self, head: ResponseHead) -> None:
        value = head.headers.get(self._header_names.brittle, b"")
        if value.isdigit() and len(value) <= MAX_DIGITS:
            self._context.servers.record_brittle(
                self.destination.target, int(value), time.monotonic()
            )

    def _record_limit(self, head: ResponseHead) -> None:
        if self._header_names.limit:
            self._context.server_limits.record_answer(
                self.destination.server.name,
                head.status,
                head.headers.get(self._header_names.limit),
                self.begin_s,
            )

    def _record_load(self, head: ResponseHead) -> None:
        value = head.headers.get(self._header_names.load)
        header = read_load_header(value) if value else None
        if header is not None:
            self._context.observed_loads.record_header(
                self.destination.server.name, header, time.monotonic()
            )

    def _record_forwarded_notice(self) -> None:
        """Record what the other entry's server says of its leaving.

        Its rest is for the entry that it turned away.
        """
        control = self._context.control
        server = control.backend_servers().get(self.forwarded_to)
        if self._notice.is_leaving and server is not None:
            control.record_leaving(server)

    def _check_forwarded(self, head: ResponseHead) -> None:
        """Raise if the other entry did not get an answer of a server."""
        refusal = read_refusal(head.status, head.headers)
        if refusal is None:
            server = head.headers.get(SERVER_HEADER, b"").decode("latin-1")
            self.forwarded_to = server
            return
        self.connection.close()
        if refusal.is_not_run:
            self._reason = "it was not forwarded"
            raise ForwardingRefused(self.destination.entry, refusal)
        error = BrokenConnection("the other entry got no whole answer")
        self.record_failure(error)
        raise error

    @property
    def has_begun(self) -> bool:
        """Return whether the answer's head came."""
        return self._head_received_s > 0

    def age_s(self) -> float:
        """Return the seconds since the request was sent."""
        return time.monotonic() - self.begin_s

    def answer_age_s(self) -> float:
        """Return the seconds since the answer's head came."""
        return time.monotonic() - self._head_received_s

    @property
    def may_have_ended_server(self) -> bool:
        """Return whether the server may have ended as it began to answer."""
        server = self.destination.server.name
        return self.has_begun and self._prompt.may_have_ended(server)

    @property
    def is_broken(self) -> bool:
        """Return whether the server has ended the connection."""
        return self._prompt.is_broken

    @property
    def event_count(self) -> int:
        """Return the number of events received."""
        return self._recent_pace.events

    def is_overtaken(self) -> bool:
        """Return whether the server has answered requests sent later."""
        if self.is_forwarded:
            # The other entry's answers come from many servers.
            return False
        return self._context.server_progress.has_overtaken(
            self.destination.server.name, self.begin_s
        )

    def abandon_lost(self) -> None:
        """Record that the server was lost; `close` cancels the attempt.

        It counts neither for the server's ejection nor as a failure of its
        version. A server that accepts connections again is fit for work, and
        a VM without power says nothing about the version.
        """
        self._outcome = "cancelled"
        self._reason = "its server is lost"

    def abandon(self, early: bool = False) -> None:
        """Record that the server was too slow; `close` cancels the attempt.

        An attempt that ends ``early``, because other servers may have a
        shorter queue, does not count as a failure of its version. Otherwise
        one long prompt at a server of a new version could roll back a good
        version.

        A server that serves its queue in order is healthy. When such
        timeouts counted as its failures, a burst of requests got one server
        of five ejected for ten seconds, and the others had to take its
        load.
        """
        self._outcome = "timeout"
        self._reason = "too slow"
        self._left_early = early
        self._was_queued = self._context.server_progress.is_serving_in_order(
            self.destination.server.name, self.begin_s
        )
        waited_s = time.monotonic() - self.begin_s
        self._call.log.add(
            MovedOn(
                self.destination.server.name,
                int(waited_s * 1000),
                self.is_overtaken(),
                self._was_queued,
            )
        )

    async def read_whole(self, head: ResponseHead) -> WholeAnswer:
        """Return the complete answer.

        Raises `UpstreamError` if it broke off or exceeds the entry's
        ``max_answer_bytes``.
        """
        parts: list[bytes] = []
        size = 0
        memory = self._context.answer_memory
        try:
            while part := await self.connection.read_body(
                max(0.0, self._call.remaining_s())
            ):
                parts.append(part)
                size += len(part)
                memory.hold(len(part))
                if size > self._context.settings.max_answer_bytes:
                    raise MalformedAnswer("its answer is too large")
            if not self._is_bodiless(head):
                await self._check_not_ended()
        except UpstreamError as error:
            self.connection.close()
            self.record_failure(error)
            raise
        finally:
            memory.release(size)
        not_run = says_not_run(head, self._header_names)
        self.record_status(head.status, not_run)
        body = b"".join(parts)
        length = None if self._is_bodiless(head) else len(body)
        return WholeAnswer(
            head.status, answer_headers(head, length), body, not_run
        )

    def _is_bodiless(self, head: ResponseHead) -> bool:
        is_head = self._call.method == b"HEAD"
        return is_head or head.status in BODILESS_STATUSES

    async def check_stream_end(self, is_inside_event: bool) -> None:
        """Raise `UpstreamError` unless the stream that ended may be whole.

        A stream with neither a length nor chunks ends with its connection,
        which a server that ends closes too. It gives no event after the last
        one that the caller has, if the server resumes it there.
        """
        if is_inside_event:
            raise BrokenConnection("it ended in the middle of an event")
        is_resumed = bool(self.destination.wanted.last_event)
        if not (self._is_framed or self.event_count or is_resumed):
            raise BrokenConnection("it ended before its first event")
        await self._check_not_ended()

    async def _check_not_ended(self) -> None:
        """Raise if the answer's end may be that of its server."""
        if self._is_framed or self.is_forwarded:
            return
        context = self._context
        server = self.destination.server
        if await has_ended(context.pool, context.control, server):
            raise BrokenConnection("its server ended with it")
        # Only a request that may run again can be asked for the rest.
        if self._call.may_repeat and await has_left(
            context.pool, context.control, server
        ):
            raise BrokenConnection("its server left, perhaps before its end")

    def record_status(self, status: int, not_run: bool) -> None:
        """Record the outcome of a complete answer, or of a refusal."""
        self._prompt.record_answer(status, not_run)
        if not_run:
            self._outcome = "overloaded"
        else:
            self._outcome = "error" if status >= FIRST_FAILURE else "ok"

    def record_failure(self, error: UpstreamError) -> str:
        """Record that the answer broke off, and return the reason.

        An attempt that the end of this process cuts off counts as cancelled
        and not as a failure of the server. Otherwise planned stops of
        entries could roll back a good version.
        """
        silent = isinstance(error, SilentConnection)
        self._prompt.record_failure(error)
        expiry = self._call.expiry_reason() if silent else ""
        self._outcome = "timeout" if silent else "error"
        if expiry == PROCESS_ENDS:
            self._outcome = "cancelled"
        self._reason = expiry or str(error)
        return self._reason

    def record_first_byte(self) -> None:
        """Record that the first part of the answer came."""
        now_s = time.monotonic()
        self._first_byte_ms = int((now_s - self.begin_s) * 1000)
        if self.is_forwarded:
            return
        self._context.server_progress.record_first_event(
            self.destination.server.name, self.begin_s, now_s
        )
        self._context.servers.record_first_byte(
            self.destination.target,
            self.destination.server.name,
            now_s,
            now_s - self.begin_s,
        )
        if self._call.route.kind == "stream":
            self._samples.report(False, self._first_byte_s())

    def record_events(self, count: int) -> None:
        """Record events and, once there are enough, the pause between them.

        The time to the first event does not reveal a slow version: an idle
        server of it answers sooner than a busy server of the old version,
        even if it takes several times as long for every token. The pause
        between events depends on neither the prompt nor the queue.
        """
        now_s = time.monotonic()
        self._samples.report_pace(count, now_s)
        pause_s = self._recent_pace.add(count, now_s)
        self._prompt.record_events(self.event_count, now_s)
        if pause_s is not None:
            service = self.destination.target.partition(VERSION_SEPARATOR)[0]
            self._context.event_gap(service).observe(now_s, pause_s)

    def close(self) -> None:
        """Report the attempt's outcome and release its connection.

        Releasing a connection with an unfinished answer cancels the request
        at the server.
        """
        if self._closed:
            return
        self._closed = True
        self._record_end()
        self._call.log.add(
            AttemptEnded(
                self.destination.server.name,
                self._outcome,
                self._status,
                self._first_byte_ms,
                self._reason,
                self.event_count,
                int(self._notice.rest_s * 1000),
                self._notice.is_leaving,
            )
        )
        if not self._left_early or self._outcome not in FAILURES:
            self._samples.report_end(
                self._outcome, self._first_byte_s(), self._status
            )
        self._prompt.record_end(
            self.destination.server, self._status, self.has_begun
        )
        self._context.pool.release(
            self.destination.server.address, self.connection
        )

    def _record_end(self) -> None:
        if self.is_forwarded:
            self._context.peer_entries.record_end(self.destination.entry)
            return
        now_s = time.monotonic()
        self._context.observed_loads.record_end(
            self.destination.server.name, self._tokens, now_s
        )
        self._context.servers.record_finish(
            self.destination.target,
            self.destination.server.name,
            now_s,
            now_s - self.begin_s,
            "cancelled" if self._was_queued else self._outcome,
        )

    def _first_byte_s(self) -> float:
        """Return when the answer's head came, 0 if it did not."""
        return self._head_received_s and self._head_received_s - self.begin_s


__all__ = ["Exchange", "ForwardingRefused"]
