"""One version's answer to a request, over as many attempts as it takes."""

from __future__ import annotations

import secrets
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_entry.billing import cost_micros
from sycamorestand_entry.callers import remaining_s
from sycamorestand_entry.errors import BackendFailed
from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import DeadlineExceeded
from sycamorestand_entry.errors import NoBackendServer
from sycamorestand_entry.errors import Overloaded
from sycamorestand_entry.errors import Run
from sycamorestand_entry.gate import DispatchIntent
from sycamorestand_entry.gate import may_dispatch
from sycamorestand_entry.sse import decode_event
from sycamorestand_entry.sse import DONE
from sycamorestand_entry.sse import EVENT_END
from sycamorestand_entry.sse import EventCutter
from sycamorestand_entry.sse import is_plain
from sycamorestand_entry.sse import MalformedStream
from sycamorestand_entry.sse import read_usage
from sycamorestand_entry.sse import split_events
from sycamorestand_entry.sse import Usage
from sycamorestand_entry.upstream import MalformedAnswer
from sycamorestand_entry.upstream import UpstreamError

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.upstream import ResponseHead
    from sycamorestand_entry.upstream import Sink
    from sycamorestand_entry.upstream import UpstreamConnection
    from sycamorestand_model.backend_servers import Announcement

# Attempts on one version, resumed streams included. More would only add
# load where many servers fail at once.
MAX_ATTEMPTS: Final = 3
SERVER_RETRY_S: Final = 1.0
CHARACTERS_PER_TOKEN: Final = 4


class EngineWork(NamedTuple):
    """What is asked of an engine; ``body`` always asks for a stream."""

    customer: str
    profile: str
    version: str
    request_key: str
    body: bytes
    priority: str
    deadline_at_s: float
    in_session: bool = False


class EngineRun:
    """Reads one answer as whole events, recovering where it is safe.

    The consumer sets ``released`` as soon as a part of the answer has
    gone to the caller; from then on only a resumed stream may follow.
    ``attempt`` grows with each start from the beginning, so that a
    consumer that collects the answer drops what it has. ``write_now``
    may be set with the first release; events then go through it.
    """

    def __init__(self, context: EntryContext, work: EngineWork) -> None:
        self.released = False
        self.write_now: Sink | None = None
        self.attempt = 0
        self.usage: Usage | None = None
        self.ending: dict[str, Any] = {}
        self._context = context
        self._work = work
        self._server: Announcement | None = None
        self._connection: UpstreamConnection | None = None
        self._cutter = EventCutter()
        self._failure: MalformedStream | None = None
        self._events = 0
        self._attempts = 0
        self._run_id = ""
        self._failed_servers: set[str] = set()
        self._sent = False
        self._done = False

    async def start(self) -> None:
        """Dispatch the request; raises the refusal where that fails."""
        try:
            await self._dispatch()
        except UpstreamError as error:
            await self._recover(error)

    async def next_events(self) -> bytes:
        """Return whole events, none at the end of a whole answer."""
        while not self._done:
            try:
                if events := await self._read_events():
                    return events
            except (UpstreamError, MalformedStream) as error:
                await self._recover(error)
        return b""

    def close(self) -> None:
        """Give the server back; a run that goes on is cancelled."""
        self._leave_server(broken=not self._done)

    def cost_micros(self) -> int:
        """Return the price of the tokens of a whole answer."""
        if self.usage is None:
            return 0
        declarations = self._context.control.in_force().declarations
        return cost_micros(declarations, self._work.version, self.usage)

    async def _dispatch(self, resume: bool = False) -> None:
        settings = self._context.settings
        server = self._server if resume else self._choose_server()
        assert server is not None
        self._server = server
        # An attempt after a failure takes a new connection: the old one
        # may have gone silent while new ones work.
        idle_s = settings.pool_idle_s if self._attempts == 0 else 0.0
        self._attempts += 1
        connection = await self._context.pool.acquire(server.address, idle_s)
        refusal = may_dispatch(self._context.control, self._intent(server))
        if refusal is not None:
            self._context.pool.release(server.address, connection)
            self._context.metrics.refused_dispatches.inc(
                {"code": refusal.code}
            )
            raise refusal
        self._enter_server(server, connection)
        self._sent = True
        connection.send(self._encode_request(server, resume))
        head = await connection.read_head(
            self._limit_s(settings.first_byte_timeout_s)
        )
        self._check_head(head)

    async def _read_events(self) -> bytes:
        assert self._connection is not None
        if self._failure is not None:
            raise self._failure
        data = await self._connection.read_body(
            self._limit_s(self._context.settings.chunk_gap_s),
            remaining_s(self._work.deadline_at_s),
            self._forward if self.write_now is not None else None,
        )
        if not data:
            raise MalformedStream("the stream ended without its last event")
        events = self._cutter.feed(data)
        if not events:
            return b""
        if is_plain(events):
            self._events += events.count(EVENT_END)
            return events
        return self._read_ending(events)

    def _forward(self, data: bytes) -> bool:
        # Whatever is not the plain middle of a stream is left to the
        # task, which waits in `_read_events`.
        if not self._cutter.is_whole(data) or not is_plain(data):
            return False
        assert self.write_now is not None
        if not self.write_now(data):
            return False
        self._events += data.count(EVENT_END)
        return True

    def _read_ending(self, events: bytes) -> bytes:
        plain: list[bytes] = []
        try:
            for event in split_events(events):
                self._read_event(event, plain)
        except MalformedStream as error:
            # What came whole before it has been counted, so it must go
            # out before the run is resumed behind it.
            self._failure = error
        if self._failure is not None and not plain:
            raise self._failure
        return b"".join(plain)

    def _read_event(self, event: bytes, plain: list[bytes]) -> None:
        if self._done or event.startswith(b":"):
            return
        if event == DONE:
            self._finish()
            return
        content = decode_event(event)
        if "error" in content:
            raise MalformedStream("the engine reported an error")
        usage = read_usage(content)
        if usage is not None:
            self.usage = usage
            # Some engines count in events that carry text as well.
            if not content.get("choices"):
                self.ending = content
                return
        self._events += 1
        plain.append(event)

    def _finish(self) -> None:
        self._done = True
        if self.usage is None:
            # The answer is whole, so it is billed; without the engine's
            # count one event stands for one token.
            self._context.metrics.recoveries.inc({"kind": "usage_missing"})
            sent = len(self._work.body) // CHARACTERS_PER_TOKEN
            self.usage = Usage(sent, self._events)

    async def _recover(self, error: Exception) -> None:
        while True:
            resume = self._may_resume()
            self._leave_server(broken=True)
            self._check_attempts(error, resume)
            if not resume:
                self._forget_attempt()
            kind = "resumed" if resume else "restarted"
            self._context.metrics.recoveries.inc({"kind": kind})
            self._cutter = EventCutter()
            self._failure = None
            try:
                await self._dispatch(resume)
                return
            except UpstreamError as another:
                error = another

    def _may_resume(self) -> bool:
        server = self._server
        return server is not None and server.can_resume and self._events > 0

    def _check_attempts(self, error: Exception, resume: bool) -> None:
        run: Run = "unknown" if self._sent else "not_run"
        late = remaining_s(self._work.deadline_at_s) <= 0
        # After a part of the answer has been released, another run would
        # put the rest of a different answer behind it.
        unsafe = self.released and not resume
        if not late and not unsafe and self._attempts < MAX_ATTEMPTS:
            return
        self._context.metrics.recoveries.inc({"kind": "broken"})
        if late:
            raise DeadlineExceeded("the deadline passed", run=run) from error
        raise BackendFailed(
            f"the backend server failed: {error}", SERVER_RETRY_S, run
        ) from error

    def _forget_attempt(self) -> None:
        if self._server is not None:
            self._failed_servers.add(self._server.name)
        self._server = None
        self._events = 0
        self.usage = None
        self.ending = {}
        self.attempt += 1

    def _choose_server(self) -> Announcement:
        servers = self._context.control.backend_servers()
        holders = [
            server
            for server in servers.values()
            if self._work.version in server.versions and not server.leaving
        ]
        if not holders:
            raise NoBackendServer(
                f"no backend server holds {self._work.version}",
                SERVER_RETRY_S,
            )
        fresh = [s for s in holders if s.name not in self._failed_servers]
        in_flight = self._context.in_flight
        return min(
            fresh or holders,
            key=lambda s: in_flight.get(s.name, 0) / s.capacity,
        )

    def _enter_server(
        self, server: Announcement, connection: UpstreamConnection
    ) -> None:
        self._connection = connection
        in_flight = self._context.in_flight
        in_flight[server.name] = in_flight.get(server.name, 0) + 1
        self._context.metrics.dispatches.inc({"version": self._work.version})

    def _leave_server(self, broken: bool) -> None:
        if self._server is None or self._connection is None:
            return
        self._context.in_flight[self._server.name] -= 1
        if broken:
            self._connection.close()
        else:
            self._context.pool.release(self._server.address, self._connection)
        self._connection = None

    def _intent(self, server: Announcement) -> DispatchIntent:
        work = self._work
        return DispatchIntent(
            work.customer,
            work.profile,
            work.version,
            server.name,
            in_session=work.in_session,
        )

    def _limit_s(self, limit_s: float) -> float:
        return max(0.0, min(limit_s, remaining_s(self._work.deadline_at_s)))

    def _check_head(self, head: ResponseHead) -> None:
        if head.status == 200:
            kind = head.headers.get(b"content-type", b"")
            if kind.startswith(b"text/event-stream"):
                return
            raise MalformedAnswer("its answer is no event stream")
        if head.status in (429, 503):
            run: Run = "not_run" if b"x-not-run" in head.headers else "unknown"
            raise Overloaded(
                "the backend servers are overloaded", SERVER_RETRY_S, run
            )
        if 400 <= head.status < 500:
            raise BadRequest(f"the engine refused with status {head.status}")
        raise MalformedAnswer(f"it answered with status {head.status}")

    def _encode_request(self, server: Announcement, resume: bool) -> bytes:
        work = self._work
        if not resume:
            self._run_id = secrets.token_hex(8)
        lines = [
            "POST /v1/chat/completions HTTP/1.1",
            f"Host: {server.address}",
            "Content-Type: application/json",
            f"Content-Length: {len(work.body)}",
            f"X-Request-Key: {work.request_key}",
            f"X-Customer: {work.customer}",
            f"X-Run: {self._run_id}",
            f"X-Priority: {work.priority}",
        ]
        if resume:
            lines.append(f"X-Resume-Run: {self._run_id}")
            lines.append(f"X-Resume-From: {self._events}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + work.body


__all__ = ["EngineRun", "EngineWork"]
