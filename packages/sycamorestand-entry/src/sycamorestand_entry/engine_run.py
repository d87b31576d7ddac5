"""One run of a chat request on one version, with retries and resumption."""

from __future__ import annotations

import secrets
import time
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.billing import cost_micros
from sycamorestand_entry.callers import remaining_s
from sycamorestand_entry.engine_wire import check_head
from sycamorestand_entry.engine_wire import encode_engine_request
from sycamorestand_entry.errors import BackendFailed
from sycamorestand_entry.errors import correct_run_state
from sycamorestand_entry.errors import DeadlineExceeded
from sycamorestand_entry.errors import NoBackendServer
from sycamorestand_entry.errors import Overloaded
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import Run
from sycamorestand_entry.errors import ServersLimited
from sycamorestand_entry.event_reader import EventReader
from sycamorestand_entry.gate import check_dispatch
from sycamorestand_entry.gate import DispatchIntent
from sycamorestand_entry.left_requests import ServerRequest
from sycamorestand_entry.part_watch import AnswerLife
from sycamorestand_entry.part_watch import MAX_BROKEN_STARTS
from sycamorestand_entry.reservation import reserve_server
from sycamorestand_entry.server_limits import LIMIT_HEADER
from sycamorestand_entry.server_notices import LEAVING_HEADER
from sycamorestand_entry.server_notices import read_notice
from sycamorestand_entry.slots import CHAT_PRIORITIES
from sycamorestand_entry.slots import SlotRequest
from sycamorestand_entry.sse import MalformedStream
from sycamorestand_entry.upstream import BrokenConnection
from sycamorestand_entry.upstream import ServerLost
from sycamorestand_entry.upstream import SilentConnection
from sycamorestand_entry.upstream import UpstreamError
from sycamorestand_model.home_regions import home_regions

if TYPE_CHECKING:
    from sycamorestand_decisions.selection import Outcome
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.engine_wire import EngineWork
    from sycamorestand_entry.sse import Usage
    from sycamorestand_entry.upstream import Sink
    from sycamorestand_entry.upstream import UpstreamConnection
    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_model.prompt_parts import BlockedPart

# Attempts on one version, resumed streams included. More attempts would
# only add load when many servers fail at once. Lost servers do not count,
# because they do no work any more.
MAX_ATTEMPTS: Final = 3
SERVER_RETRY_S: Final = 1.0


class EngineRun:
    """Reads one answer as whole events and recovers where that is safe.

    The consumer sets ``released`` when it sends the first part of the
    answer to the caller; afterwards a failed attempt can only be resumed,
    not restarted. ``attempt`` increases with each restart, which tells a
    consumer that collects the answer to drop the events it has. The
    consumer may set ``write_now`` on the first release; later reads are
    then written through it. If ``events_copy`` is a list, the run appends
    the answer's events to it. ``failed`` is set only when backend servers
    are at fault, because the comparison of versions counts it. The loss of
    a server's VM does not count, as it could roll back a good version.
    """

    def __init__(self, context: EntryContext, work: EngineWork) -> None:
        self.version = work.version
        self.released = False
        self.done = False
        self.failed = False
        self.events_copy: list[bytes] | None = None
        self.write_now: Sink | None = None
        self.attempt = 0
        self.first_byte_ms = 0.0
        self._context = context
        self._work = work
        self._server: Announcement | None = None
        self._connection: UpstreamConnection | None = None
        self._reader = EventReader()
        self._attempts = 0
        self._run_id = ""
        self._failed_servers: set[str] = set()
        self._tried: dict[str, BlockedPart] = {}
        self._lost_servers: set[str] = set()
        self._may_have_run = False
        self._has_version_failed = False
        self._is_begun = False
        self._is_sound = False
        self._life = AnswerLife()
        self._broken_starts = 0
        self._dispatched_s = 0.0
        self._slot: int | None = None
        self._slot_since_s = 0.0

    @property
    def usage(self) -> Usage | None:
        """Token counts of a complete answer, None before its end."""
        return self._reader.usage

    @property
    def final_event(self) -> dict[str, Any]:
        """The engine's event with the usage, empty if it sent none."""
        return self._reader.final_event

    async def start(self) -> None:
        """Wait for a slot and dispatch the request.

        Raises a `RequestError` if the request is refused or fails.
        """
        work = self._work
        self._slot = await self._context.slots.acquire(
            SlotRequest(
                work.customer,
                work.weight,
                work.version,
                CHAT_PRIORITIES[work.priority],
                work.deadline_at_s,
                work.expected_s,
                key=work.request_key,
            )
        )
        self._slot_since_s = time.monotonic()
        try:
            await self._dispatch()
        except UpstreamError as error:
            await self._recover(error)

    async def next_events(self) -> bytes:
        """Return the next whole events, ``b""`` after a complete answer."""
        while not self.done:
            try:
                if events := await self._read_events():
                    if self.events_copy is not None:
                        self.events_copy.append(events)
                    return events
            except (UpstreamError, MalformedStream) as error:
                await self._recover(error)
        return b""

    def close(self) -> None:
        """Release server and slot; cancel the run if it is not done."""
        if self._connection is not None and not self.done:
            self._note_left()
        self._release_server("ok" if self.done else "cancelled")
        self._release_slot()

    def cost_micros(self) -> int:
        """Return the price of the answer's tokens, 0 before its end."""
        if self.usage is None:
            return 0
        declarations = self._context.control.in_force().declarations
        return cost_micros(declarations, self._work.version, self.usage)

    async def _dispatch(self, resume: bool = False) -> None:
        settings = self._context.settings
        # A retry opens a new connection: pooled connections to the server
        # may be dead while new ones work.
        idle_s = settings.pool_idle_s if self._attempts == 0 else 0.0
        self._attempts += 1
        self._is_begun = False
        server, connection = await self._acquire_server(resume, idle_s)
        self._record_dispatch(server, connection)
        if not resume:
            self._run_id = secrets.token_hex(8)
        connection.send(
            encode_engine_request(
                self._work, server, self._run_id, resume, self._reader.events
            ),
            on_loss="end",
        )
        head = await connection.read_head(
            self._limit_to_deadline_s(settings.first_byte_timeout_s)
        )
        self._record_first_byte(server)
        self._context.server_limits.record_answer(
            server.name,
            head.status,
            head.headers.get(LIMIT_HEADER),
            self._dispatched_s,
        )
        self._context.server_limits.record_notice(
            server,
            head.status,
            read_notice(head, LEAVING_HEADER),
            self._dispatched_s,
        )
        try:
            check_head(head, self._reader.events if resume else None)
        except Overloaded:
            for part, block in self._tried.items():
                self._context.part_watch.return_trial(part, block)
            self._release_server("overloaded")
            raise

    async def _acquire_server(
        self, resume: bool, idle_s: float
    ) -> tuple[Announcement, UpstreamConnection]:
        context = self._context
        while True:
            await reserve_server(
                context,
                self._work.version,
                remaining_s(self._work.deadline_at_s),
                {self._server.name}
                if resume and self._server
                else self._at_home(),
            )
            server = self._server if resume else self._choose_server()
            assert server is not None
            self._server = server
            connection = await context.pool.acquire(server.address, idle_s)
            if not context.server_limits.held.is_open(
                server.name, context.now_s()
            ):
                context.pool.release(server.address, connection)
                if resume:
                    raise ServersLimited(
                        "the run's server is at its limit", SERVER_RETRY_S
                    )
                continue
            refusal = check_dispatch(
                self._context.control,
                self._intent(server),
                self._context.part_watch.may_try,
            )
            if refusal is None:
                self._use_trials()
                return server, connection
            self._context.pool.release(server.address, connection)
            code = refusal.code
            self._context.metrics.refused_dispatches.inc({"code": code})
            if resume or not isinstance(refusal, NoBackendServer):
                raise refusal
            # The server left while the connection was opened. No byte was
            # sent, so another server may be chosen.
            self._failed_servers.add(server.name)

    def _blocked_parts(self) -> dict[str, BlockedPart]:
        return self._context.part_watch.blocked_for(self._work.parts)

    def _use_trials(self) -> None:
        self._tried = self._blocked_parts()
        for part, block in self._tried.items():
            self._context.part_watch.use_trial(part, block)

    def _record_first_byte(self, server: Announcement) -> None:
        self._is_begun = True
        now_s = time.monotonic()
        latency_s = now_s - self._dispatched_s
        if not self.first_byte_ms:
            self.first_byte_ms = latency_s * 1000
        self._context.servers.record_first_byte(
            self._work.version, server.name, now_s, latency_s
        )

    async def _read_events(self) -> bytes:
        assert self._connection is not None
        self._reader.raise_failure()
        data = await self._connection.read_body(
            self._limit_to_deadline_s(self._context.settings.chunk_gap_s),
            remaining_s(self._work.deadline_at_s),
            self._forward if self.write_now is not None else None,
        )
        events = self._reader.feed(data)
        self._note_sound()
        if self._reader.done:
            self._finish()
        return events

    def _note_sound(self) -> None:
        parts = self._work.parts
        if self._is_sound or parts.has_broken:
            return
        self._is_sound = self._reader.done or self._life.lives_on(
            self._reader.events, time.monotonic()
        )
        if self._is_sound:
            watch = self._context.part_watch
            watch.record_sound(parts.customer, parts.prompt)

    def _note_unanswered(self, error: Exception) -> None:
        """Record what the server had of the request, should it have ended."""
        if self._server is None:
            return
        if not isinstance(error, BrokenConnection | MalformedStream):
            self._note_left()
            return
        self._work.parts.has_broken = True
        self._broken_starts += self._is_begun and not self._is_sound
        self._context.part_watch.record_broken(
            self._server, self._server_request()
        )

    def _note_left(self) -> None:
        """Record that the request leaves its server without an answer."""
        assert self._server is not None
        self._context.part_watch.record_left(
            self._server, self._server_request(), self._work.parts.fate
        )

    def _server_request(self) -> ServerRequest:
        parts = self._work.parts
        return ServerRequest(
            self._work.request_key,
            parts.customer,
            () if self._is_sound else parts.prompt,
            self._is_begun,
            parts.whole,
        )

    def _forward(self, data: bytes) -> bool:
        # Only whole text events are forwarded here. Every other read goes
        # to the task that waits in `_read_events`.
        if not self._reader.is_forwardable(data):
            return False
        assert self.write_now is not None
        if not self.write_now(data):
            return False
        if self.events_copy is not None:
            self.events_copy.append(data)
        self._reader.count_forwarded(data)
        return True

    def _finish(self) -> None:
        self.done = True
        if self._reader.estimate_usage(len(self._work.body)):
            self._context.metrics.recoveries.inc({"kind": "usage_missing"})

    async def _recover(self, error: Exception) -> None:
        while True:
            sent = self._connection is not None
            failed = sent and not self._record_loss(error)
            self._may_have_run = self._may_have_run or sent
            self._has_version_failed = self._has_version_failed or failed
            resume = self._can_resume()
            if failed:
                self._note_unanswered(error)
            self._release_server(_outcome_of(error))
            self._check_recovery_allowed(error, resume, failed)
            if not resume:
                self._reset_attempt()
            kind = "resumed" if resume else "restarted"
            self._context.metrics.recoveries.inc({"kind": kind})
            self._reader.expect_rest()
            try:
                await self._dispatch(resume)
                return
            except UpstreamError as next_error:
                error = next_error
            except RequestError as refusal:
                raise correct_run_state(refusal, self._may_have_run) from None

    def _record_loss(self, error: Exception) -> bool:
        """Return whether the attempt ended because its server was lost."""
        if self._server is None or not isinstance(error, ServerLost):
            return False
        self._lost_servers.add(self._server.name)
        return True

    def _can_resume(self) -> bool:
        server = self._server
        return (
            server is not None
            and server.can_resume
            and self._reader.events > 0
            and not self._context.server_loss.is_lost(server.address)
        )

    def _check_recovery_allowed(
        self, error: Exception, resume: bool, failed: bool
    ) -> None:
        past_deadline = remaining_s(self._work.deadline_at_s) <= 0
        # After the release of a part of the answer, a restarted run would
        # append the rest of a different answer to it.
        unsafe = self.released and not resume
        limit = MAX_ATTEMPTS + len(self._lost_servers)
        allowed = not past_deadline and not unsafe and self._attempts < limit
        allowed = allowed and self._broken_starts < MAX_BROKEN_STARTS
        if allowed and (resume or not failed or self._spend_retry(error)):
            return
        self.failed = self._has_version_failed
        self._context.metrics.recoveries.inc({"kind": "broken"})
        run: Run = "unknown" if self._may_have_run else "not_run"
        if past_deadline:
            raise DeadlineExceeded("the deadline passed", run=run) from error
        raise BackendFailed(
            f"the backend server failed: {error}", SERVER_RETRY_S, run
        ) from error

    def _spend_retry(self, error: Exception) -> bool:
        # Only a request that was sent spends the retry budget when it runs
        # again. A refused connection put no load on the server. The budget
        # keeps a failing pool from getting more work, and a lost server gets
        # none.
        now_s = time.monotonic()
        cause = _outcome_of(error)
        customer = self._work.customer
        granted = self._context.retries.spend_retry(customer, now_s, cause)
        result = "granted" if granted else "denied"
        self._context.metrics.retries.inc({"result": result})
        return granted

    def _reset_attempt(self) -> None:
        if self._server is not None:
            self._failed_servers.add(self._server.name)
        self._server = None
        self._reader.restart()
        self._is_sound = False
        self._life = AnswerLife()
        self.attempt += 1
        if self.events_copy is not None:
            self.events_copy.clear()

    def _choose_server(self) -> Announcement:
        return self._context.servers.choose(
            self._work.version,
            time.monotonic(),
            self._failed_servers,
            self._work.affinity_key,
            again=True,
            among=self._at_home(),
        )

    def _at_home(self) -> set[str] | None:
        """Return the servers in the customer's home regions, None for all."""
        in_force = self._context.control.in_force()
        homes = home_regions(in_force, self._work.parts.customer)
        return self._context.servers.names_in(homes)

    def _record_dispatch(
        self, server: Announcement, connection: UpstreamConnection
    ) -> None:
        self._connection = connection
        self._dispatched_s = time.monotonic()
        version = self._work.version
        self._context.servers.record_start(
            version, server.name, self._dispatched_s
        )
        self._context.metrics.dispatches.inc({"version": version})

    def _release_server(self, outcome: Outcome) -> None:
        if self._server is None or self._connection is None:
            return
        now_s = time.monotonic()
        self._context.servers.record_finish(
            self._work.version,
            self._server.name,
            now_s,
            now_s - self._dispatched_s,
            outcome,
        )
        if outcome == "ok":
            self._context.pool.release(self._server.address, self._connection)
        else:
            self._connection.close()
        self._connection = None

    def _release_slot(self) -> None:
        if self._slot is None:
            return
        if self.done:
            now_s = time.monotonic()
            latency_s = now_s - self._slot_since_s
            self._context.slots.finish(self._slot, latency_s, failed=False)
            self._context.retries.record_success(self._work.customer, now_s)
        else:
            self._context.slots.cancel(self._slot)
        self._slot = None

    def _intent(self, server: Announcement) -> DispatchIntent:
        work = self._work
        return DispatchIntent(
            work.customer,
            work.profile,
            work.version,
            server.name,
            in_session=work.in_session,
            blocked=self._blocked_parts(),
        )

    def _limit_to_deadline_s(self, limit_s: float) -> float:
        return max(0.0, min(limit_s, remaining_s(self._work.deadline_at_s)))


def _outcome_of(error: Exception) -> Outcome:
    if isinstance(error, ServerLost):
        return "cancelled"
    return "timeout" if isinstance(error, SilentConnection) else "error"


__all__ = ["EngineRun"]
