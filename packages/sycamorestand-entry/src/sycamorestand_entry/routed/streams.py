"""Relay of event streams that resumes a broken stream at another server.

The caller gets only whole events. So a stream that breaks off in the middle
of an event can resume at another server after the last forwarded event.
"""

from __future__ import annotations

import math
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_decisions.attempt_timeouts import FALLBACK_SHARE
from sycamorestand_decisions.attempt_timeouts import first_event_limits_s
from sycamorestand_decisions.attempt_timeouts import gap_limit_s
from sycamorestand_decisions.attempt_timeouts import MIN_EVENT_S
from sycamorestand_decisions.size_ladder import first_size
from sycamorestand_decisions.size_ladder import next_size
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.routed.attempts import ARRIVAL_POLL_S
from sycamorestand_entry.routed.decision_log import Climbed
from sycamorestand_entry.routed.decision_log import FellBack
from sycamorestand_entry.routed.engine_wait import EngineWait
from sycamorestand_entry.routed.event_order import EventOrder
from sycamorestand_entry.routed.exchange import ForwardingRefused
from sycamorestand_entry.routed.messages import answer_headers
from sycamorestand_entry.routed.messages import EngineOptions
from sycamorestand_entry.routed.messages import NOT_RUN_STATUSES
from sycamorestand_entry.routed.messages import RETRY_STATUSES
from sycamorestand_entry.routed.messages import WholeAnswer
from sycamorestand_entry.upstream import MalformedAnswer
from sycamorestand_entry.upstream import ServerLost
from sycamorestand_entry.upstream import SlowAnswer
from sycamorestand_entry.upstream import UpstreamError

if TYPE_CHECKING:
    from sycamorestand_entry.http_messages import Responder
    from sycamorestand_entry.routed.attempts import Attempts
    from sycamorestand_entry.routed.exchange import Exchange
    from sycamorestand_entry.upstream import ResponseHead

END_OF_EVENT: Final = b"\n\n"
EVENT_STREAM: Final = b"text/event-stream"
# Bounds the memory for a stream whose events do not end.
MAX_EVENT_BYTES: Final = 1024 * 1024
# Leaving a slow server costs a retry. If none is allowed now, the relay checks
# again after this time.
RECHECK_S: Final = 0.5
MS: Final = 1000
# A shorter wait is not worth a timer.
MIN_WAIT_S: Final = 0.05


class StreamBroken(Exception):
    """The stream ended early after a part of it was forwarded."""


class _Escalation(Exception):
    """The answer is dropped; the model with index ``size`` shall answer."""

    def __init__(self, size: int) -> None:
        super().__init__(size)
        self.size = size


class StreamRelay:
    """Relay one caller's stream from one server after another."""

    def __init__(
        self,
        attempts: Attempts,
        responder: Responder,
        affinity_key: str,
    ) -> None:
        self._attempts = attempts
        self._responder = responder
        self._affinity_key = affinity_key
        self._sizes = attempts.call.route.sizes
        self._size_index = first_size(self._sizes)
        self._fell_back = False
        self._prefilled_server = ""
        call = attempts.call
        self._event_order = EventOrder(
            call.values.get(attempts.header_names.last_event, b"")
        )
        self._partial_event = b""
        self._bytes_without_id = 0
        self._gap_limit_s = gap_limit_s(call.route.gap_target_ms / MS)
        silence_limit_s = call.route.silence_limit_ms / MS or math.inf
        self._first_wait_s = min(MIN_EVENT_S, silence_limit_s * FALLBACK_SHARE)
        self._engine_wait = EngineWait(attempts)
        call.log.prompt_tokens = self._engine_wait.prompt_tokens
        call.log.max_answer_tokens = self._engine_wait.max_answer_tokens
        call.log.length_hint = self._engine_wait.length_hint

    async def run(self, target: str) -> WholeAnswer | None:
        """Relay the stream to its end.

        Return a complete answer if the server gave one in place of a
        stream, otherwise None. If no server completes the stream, raise a
        `RequestError` if nothing was forwarded yet and `StreamBroken`
        otherwise.
        """
        while True:
            if self._responder.started:
                self._size_index = self._engine_wait.size_in_time(
                    target, self._size_index
                )
            try:
                exchange = await self._attempts.open(
                    target, self._engine_options(target)
                )
            except RequestError as error:
                raise self._final_error(error) from None
            try:
                answer = await self._relay(exchange)
            except _Escalation as escalation:
                self._attempts.may_have_run = True
                if not exchange.is_forwarded:
                    server = exchange.destination.server
                    self._prefilled_server = server.name
                self._size_index = escalation.size
                continue
            except ForwardingRefused as refused:
                try:
                    self._attempts.record_forwarding_refused(refused)
                except RequestError as error:
                    raise self._final_error(error) from None
                continue
            except SlowAnswer:
                self._attempts.may_have_run = True
                self._partial_event = b""
                continue
            except ServerLost as error:
                exchange.abandon_lost()
                self._attempts.may_have_run = True
                raise self._broken_off_error(str(error)) from None
            except UpstreamError as error:
                reason = exchange.record_failure(error)
                self._attempts.may_have_run = True
                self._partial_event = b""
                # The broken run must be over before another one is begun.
                exchange.close()
                if not await self._may_resume(overloaded=False):
                    raise self._broken_off_error(reason) from None
                continue
            finally:
                # The run at this server must be cancelled before the next
                # server gets the request.
                exchange.close()
                self._attempts.cancel_arrival_wait()
            if answer is None:
                return None
            if not await self._may_try_another(answer):
                return self._final_answer(answer)

    async def _relay(self, exchange: Exchange) -> WholeAnswer | None:
        try:
            head = await self._read_head(exchange)
        finally:
            self._engine_wait.record_queue_delay(exchange, self._size_index)
        self._attempts.cancel_arrival_wait()
        self._attempts.runs += 1
        kind = head.headers.get(b"content-type", b"")
        if head.status != 200 or not kind.startswith(EVENT_STREAM):
            return await exchange.read_whole(head)
        self._engine_wait.record_prefill_time(exchange, self._size_index)
        await self._escalate_poor_answer(head, exchange.destination.target)
        first = True
        while data := await self._read_part(exchange):
            if first:
                exchange.record_first_byte()
                first = False
            exchange.record_events(await self._forward_events(head, data))
        await exchange.check_stream_end(bool(self._partial_event))
        exchange.record_status(head.status, not_run=False)
        self._engine_wait.record_answer_time(exchange)
        if not self._responder.started:
            await self._start(head)
        await self._responder.finish()
        return None

    async def _read_head(self, exchange: Exchange) -> ResponseHead:
        early_limit_s = self._engine_wait.short_prefill_limit_s(
            exchange.destination.target, self._size_index
        )
        if early_limit_s is not None:
            try:
                return await exchange.read_head(early_limit_s, soft=True)
            except SlowAnswer:
                await self._switch_server(exchange, is_early=True)
        return await self._read_slow_head(exchange, early_limit_s or 0.0)

    async def _read_slow_head(
        self, exchange: Exchange, waited_s: float
    ) -> ResponseHead:
        call = self._attempts.call
        left_s = call.remaining_s()
        wait_s, move_after_s = first_event_limits_s(
            self._engine_wait.target_latency_s,
            left_s,
            self._engine_wait.prompt_tokens,
        )
        wait_s = max(MIN_WAIT_S, wait_s - waited_s)
        while call.may_repeat and call.remaining_s() > 0:
            limit_s = min(
                wait_s,
                call.remaining_s(),
                self._next_fallback_check_s(exchange),
            )
            try:
                return await exchange.read_head(limit_s, soft=True)
            except SlowAnswer:
                waited_s += limit_s
                await self._leave_lost_server(exchange)
                await self._fall_back(exchange)
                if waited_s >= move_after_s or exchange.is_overtaken():
                    await self._switch_server(exchange)
            wait_s = RECHECK_S
        return await exchange.read_head(max(0.0, call.remaining_s()))

    async def _read_part(self, exchange: Exchange) -> bytes:
        call = self._attempts.call
        left_s = call.remaining_s()
        move_in_s = self._gap_limit_s
        # While an answer flows, this costs less than the time of the
        # fallback, which is not earlier.
        limit_s = min(self._first_wait_s, left_s * FALLBACK_SHARE)
        while call.may_repeat and left_s > 0:
            try:
                data = await exchange.connection.read_body(limit_s, soft=True)
            except SlowAnswer:
                move_in_s -= limit_s
                await self._leave_lost_server(exchange)
                await self._fall_back(exchange)
                if move_in_s <= 0:
                    await self._switch_server(exchange)
                    move_in_s = self._gap_limit_s
            else:
                self._attempts.cancel_arrival_wait()
                return data
            left_s = call.remaining_s()
            limit_s = min(
                move_in_s,
                max(0.0, left_s),
                self._next_fallback_check_s(exchange),
            )
        return await exchange.connection.read_body(
            max(0.0, call.remaining_s())
        )

    def _next_fallback_check_s(self, exchange: Exchange) -> float:
        """Return the seconds until the fallback is tried, infinity after it.

        While it waits for an arrival, it is tried often: the arrival would
        go to another call otherwise.
        """
        attempts = self._attempts
        if attempts.is_waiting_for_arrival or attempts.is_at_lost_server(
            exchange
        ):
            return ARRIVAL_POLL_S
        if self._fell_back:
            return math.inf
        delay_s = self._fallback_in_s(exchange)
        return max(MIN_WAIT_S, delay_s) if delay_s > 0 else RECHECK_S

    def _fallback_in_s(self, exchange: Exchange) -> float:
        """Return the seconds until the fallback is due, may be negative."""
        wait = self._engine_wait
        if not self._responder.started:
            return wait.fallback_in_s(wait.max_answer_s())
        target = exchange.destination.target
        rest_s = wait.rest_s(target, self._size_index)
        due_in_s = wait.fallback_in_s(rest_s)
        if exchange.has_begun:
            return due_in_s
        # The engine schedules this attempt first already. Another one would
        # only lose its place there.
        return max(due_in_s, self._gap_limit_s - exchange.age_s())

    async def _leave_lost_server(self, exchange: Exchange) -> None:
        """Raise `SlowAnswer` or `ServerLost` if the server is lost.

        Until the stream may go on elsewhere it listens to the server, which
        may have been cut off for a moment only.
        """
        attempts = self._attempts
        if not attempts.note_loss(exchange):
            return
        if self._is_resumable() and await attempts.may_replace_lost(exchange):
            exchange.abandon_lost()
            raise SlowAnswer("its server is lost")
        if attempts.has_waited_for_arrival():
            raise ServerLost("its server is lost")

    async def _fall_back(self, exchange: Exchange) -> None:
        """Raise `SlowAnswer` if the call shall fall back now.

        The fallback begins after the caller has waited for half of the
        silence that it tolerates. It asks the smallest model, or resumes
        the stream with its model, at the first rank. Without it, callers
        whose first answer was dropped for a larger model, and whose prompt
        then waited behind others, left without any answer.
        """
        resumed = self._responder.started
        if self._fell_back or self._fallback_in_s(exchange) > 0:
            return
        if resumed and not self._event_order.last_id:
            return
        if not await self._attempts.may_fall_back(exchange.destination.target):
            return
        self._fell_back = True
        if not resumed:
            self._size_index = first_size(self._sizes)
        log = self._attempts.call.log
        log.add(FellBack(exchange.destination.server.name, log.silent_ms()))
        exchange.abandon()
        raise SlowAnswer("falling back to the soonest answer")

    async def _switch_server(
        self, exchange: Exchange, is_early: bool = False
    ) -> None:
        """Raise `SlowAnswer` if the call may move to another server."""
        if self._attempts.is_waiting_for_arrival or not self._is_resumable():
            return
        if await self._attempts.may_switch_server(exchange.destination.target):
            exchange.abandon(is_early)
            raise SlowAnswer("moving to another server")

    def _engine_options(self, target: str) -> EngineOptions:
        restarts = self._fell_back and not self._responder.started
        last_id = self._event_order.last_id
        model = self._sizes[self._size_index] if self._sizes else ""
        # A resumed stream with the rank of its prefill would lose its slot
        # to each new request with a shorter prompt, again and again, until
        # its caller leaves in the middle of the answer.
        goes_first = self._fell_back or bool(last_id)
        rank = 0
        if not goes_first:
            rank = self._engine_wait.rank(target, self._size_index)
        return EngineOptions(
            self._affinity_key,
            model.encode(),
            last_id,
            rank,
            self._prefilled_server if restarts else "",
            self._engine_wait.work(target, self._size_index),
        )

    async def _escalate_poor_answer(
        self, head: ResponseHead, target: str
    ) -> None:
        """Raise `_Escalation` if a larger model shall give the answer."""
        if self._responder.started or not self._sizes or self._fell_back:
            return
        value = head.headers.get(self._attempts.header_names.confidence, b"")
        confidence = int(value) if value.isdigit() else None
        attempts = self._attempts
        left = attempts.left
        # The strain depends on the model that a calm escalation asks.
        calm_size = next_size(
            self._sizes, self._size_index, confidence, max(1, left)
        )
        if calm_size is None or confidence is None:
            return
        strain = self._engine_wait.climb_strain(target, calm_size)
        size_index = next_size(
            self._sizes, self._size_index, confidence, left, strain
        )
        if size_index is None:
            attempts.refuse_escalation(
                "strain" if left else "no_attempt", strain
            )
        elif await attempts.may_escalate(confidence, strain):
            model = self._sizes[size_index]
            climbed = Climbed(model, confidence, round(strain, 2))
            attempts.call.log.add(climbed)
            raise _Escalation(size_index)

    async def _forward_events(self, head: ResponseHead, data: bytes) -> int:
        """Forward the whole events in ``data`` and return their number."""
        if self._partial_event:
            data = self._partial_event + data
        end = data.rfind(END_OF_EVENT)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise MalformedAnswer("its event is too large")
            self._partial_event = data
            return 0
        end += len(END_OF_EVENT)
        self._partial_event = data[end:]
        events = data[:end] if self._partial_event else data
        count = self._event_order.accept(events)
        self._bytes_without_id = 0 if count else self._bytes_without_id + end
        if self._bytes_without_id > MAX_EVENT_BYTES:
            raise MalformedAnswer("no event in its bytes")
        if not self._responder.started:
            await self._start(head)
        self._attempts.call.log.record_events(count)
        write_now = self._responder.write_now
        if write_now is None or not write_now(events):
            await self._responder.write(events)
        return count

    async def _start(self, head: ResponseHead) -> None:
        self._attempts.call.log.record_first_byte()
        await self._responder.start(head.status, answer_headers(head, None))

    async def _may_resume(self, overloaded: bool) -> bool:
        if not self._is_resumable():
            return False
        if self._responder.started and not overloaded:
            return await self._attempts.may_resume()
        return await self._attempts.may_retry(overloaded)

    def _is_resumable(self) -> bool:
        return bool(self._event_order.last_id) or not self._responder.started

    async def _may_try_another(self, answer: WholeAnswer) -> bool:
        if answer.not_run:
            return await self._may_resume(overloaded=True)
        faulty = answer.status in RETRY_STATUSES | NOT_RUN_STATUSES
        if not faulty and not self._responder.started:
            return False
        self._attempts.may_have_run = True
        return await self._may_resume(overloaded=False)

    def _final_answer(self, answer: WholeAnswer) -> WholeAnswer:
        """Return the answer in place of a stream, or raise an error."""
        if self._responder.started:
            raise StreamBroken("no server resumes the stream")
        if answer.not_run or answer.status in NOT_RUN_STATUSES:
            raise self._attempts.final_error("every backend server is full")
        return answer

    def _broken_off_error(self, message: str) -> Exception:
        if self._responder.started:
            return StreamBroken(message)
        return self._attempts.final_error(message)

    def _final_error(self, error: RequestError) -> Exception:
        if self._responder.started:
            return StreamBroken(error.message)
        return self._attempts.correct_run_state(error)


__all__ = ["END_OF_EVENT", "EVENT_STREAM", "StreamBroken", "StreamRelay"]
