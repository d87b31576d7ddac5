"""Streams of events, relayed as they come and resumed where they break.

The caller gets whole events only, so that a stream that breaks off in the
middle of one can go on at another server behind the last one that was
passed on.
"""

from __future__ import annotations

import math
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_decisions.attempt_timeouts import first_event_limits_s
from sycamorestand_decisions.attempt_timeouts import gap_limit_s
from sycamorestand_decisions.size_ladder import first_size
from sycamorestand_decisions.size_ladder import next_size
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.routed.decision_log import Climbed
from sycamorestand_entry.routed.decision_log import FellBack
from sycamorestand_entry.routed.decision_log import NotImproved
from sycamorestand_entry.routed.engine_wait import EngineWait
from sycamorestand_entry.routed.event_order import EventOrder
from sycamorestand_entry.routed.messages import answer_headers
from sycamorestand_entry.routed.messages import PROMISES
from sycamorestand_entry.routed.messages import RETRY_STATUSES
from sycamorestand_entry.routed.messages import Wanted
from sycamorestand_entry.routed.messages import WholeAnswer
from sycamorestand_entry.upstream import BrokenConnection
from sycamorestand_entry.upstream import MalformedAnswer
from sycamorestand_entry.upstream import SlowAnswer
from sycamorestand_entry.upstream import UpstreamError

if TYPE_CHECKING:
    from sycamorestand_entry.http_messages import Responder
    from sycamorestand_entry.routed.attempts import Attempts
    from sycamorestand_entry.routed.exchange import Exchange
    from sycamorestand_entry.upstream import ResponseHead

END_OF_EVENT: Final = b"\n\n"
EVENT_STREAM: Final = b"text/event-stream"
# A whole stream that comes without an event's end would fill the memory.
MAX_EVENT_BYTES: Final = 1024 * 1024
# A server that is left for another costs a retry. Where none may be had now
# it is asked for again so much later.
ASK_AGAIN_S: Final = 0.5
# The shortest wait that is worth a timer of its own.
MIN_WAIT_S: Final = 0.05


class StreamBroken(Exception):
    """The stream ended early after a part of it was passed on."""


class _Climbs(Exception):
    """The answer is dropped; a larger model is to give it."""

    def __init__(self, size: int) -> None:
        super().__init__(size)
        self.size = size


class StreamRelay:
    """One caller's stream, over as many servers as it takes."""

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
        self._size = first_size(self._sizes)
        self._fell_back = False
        self._read_at = ""
        call = attempts.call
        self._order = EventOrder(
            call.values.get(attempts.wire.last_event, b"")
        )
        self._rest = b""
        self._wait = EngineWait(attempts)
        call.log.prompt_tokens = self._wait.prompt_tokens

    async def run(self, target: str) -> WholeAnswer | None:
        """Relay the stream to its end.

        Returns a whole answer where the server gave one in place of a
        stream. Raises a `RequestError` where nothing was passed on, and
        `StreamBroken` where a part was.
        """
        while True:
            try:
                exchange = await self._attempts.open(
                    target, self._wanted(target)
                )
            except RequestError as error:
                raise self._final(error) from None
            try:
                answer = await self._relay(exchange)
            except _Climbs as climbs:
                self._attempts.may_have_run = True
                self._read_at = exchange.aim.server.name
                self._size = climbs.size
                continue
            except SlowAnswer:
                self._attempts.may_have_run = True
                self._rest = b""
                continue
            except UpstreamError as error:
                reason = exchange.failed(error)
                self._attempts.may_have_run = True
                self._rest = b""
                if not await self._may_resume(overloaded=False):
                    raise self._broken(reason) from None
                continue
            finally:
                # Before the next server is asked: the run before it must
                # not go on beside the new one.
                exchange.close()
            if answer is None:
                return None
            if not await self._try_another(answer):
                return self._last_answer(answer)

    async def _relay(self, exchange: Exchange) -> WholeAnswer | None:
        try:
            head = await self._read_head(exchange)
        finally:
            self._wait.observe(exchange, self._size)
        self._attempts.runs += 1
        kind = head.headers.get(b"content-type", b"")
        if head.status != 200 or not kind.startswith(EVENT_STREAM):
            return await exchange.read_whole(head)
        self._wait.learn_reading(exchange, self._size)
        await self._judge(head, exchange.aim.target)
        first = True
        while data := await self._read_part(exchange):
            if first:
                exchange.first_byte()
                first = False
            exchange.events(await self._pass_on(head, data))
        if self._rest:
            raise MalformedAnswer("it ended in the middle of an event")
        exchange.ended(head.status, not_run=False)
        self._wait.learn_answer(exchange)
        if not self._responder.started:
            await self._start(head)
        await self._responder.finish()
        return None

    async def _read_head(self, exchange: Exchange) -> ResponseHead:
        quick_s = self._wait.short_prefill_limit_s(
            exchange.aim.target, self._size
        )
        if quick_s is not None:
            try:
                return await exchange.read_head(quick_s, soft=True)
            except SlowAnswer:
                await self._move_on(exchange, early=True)
        return await self._read_slow_head(exchange, quick_s or 0.0)

    async def _read_slow_head(
        self, exchange: Exchange, waited_s: float
    ) -> ResponseHead:
        call = self._attempts.call
        left_s = call.remaining_s()
        wait_s, whole_s = first_event_limits_s(
            self._wait.aim_s, left_s, self._wait.prompt_tokens
        )
        wait_s = max(MIN_WAIT_S, wait_s - waited_s)
        while call.may_repeat and call.remaining_s() > 0:
            limit_s = min(wait_s, call.remaining_s(), self._fallback_in_s())
            try:
                return await exchange.read_head(limit_s, soft=True)
            except SlowAnswer:
                waited_s += limit_s
                await self._fall_back(exchange)
                if waited_s >= whole_s or exchange.is_overtaken():
                    await self._move_on(exchange)
            wait_s = ASK_AGAIN_S
        return await exchange.read_head(max(0.0, call.remaining_s()))

    async def _read_part(self, exchange: Exchange) -> bytes:
        call = self._attempts.call
        limit_s = gap_limit_s(call.route.gap_target_ms / 1000)
        while call.may_repeat and call.remaining_s() > limit_s:
            try:
                return await exchange.connection.read_body(limit_s, soft=True)
            except SlowAnswer:
                if await self._is_lost(exchange):
                    if not self._attempts.left:
                        # The caller goes on by itself once it sees the end.
                        raise BrokenConnection("its server is lost") from None
                    limit_s = ASK_AGAIN_S
                await self._fall_back(exchange)
                await self._move_on(exchange)
        return await exchange.connection.read_body(
            max(0.0, call.remaining_s())
        )

    def _fallback_in_s(self) -> float:
        """Return when to settle for what is soonest, once for a call."""
        if self._fell_back:
            return math.inf
        in_s = self._wait.fallback_in_s(self._responder.started)
        return max(MIN_WAIT_S, in_s)

    async def _fall_back(self, exchange: Exchange) -> None:
        """Raise `SlowAnswer` where the caller has waited for half of what
        it bears and the smallest model may be asked in its place.

        An answer that was dropped for a larger model's, and then a server
        that read others first, cost callers the answer that they could
        have had.
        """
        resumed = self._responder.started
        if self._fell_back or self._wait.fallback_in_s(resumed) > 0:
            return
        if resumed and not self._order.last:
            return
        if not await self._attempts.may_fall_back(exchange.aim.target):
            return
        self._fell_back = True
        if not resumed:
            self._size = first_size(self._sizes)
        log = self._attempts.call.log
        log.add(FellBack(exchange.aim.server.name, log.silent_ms()))
        exchange.given_up()
        raise SlowAnswer("what is soonest is asked for")

    async def _is_lost(self, exchange: Exchange) -> bool:
        """Tell whether the server is gone in the middle of its answer.

        Taken for one that is slow, a server that had lost power kept its
        streams until their callers left.
        """
        if not self._order.last:
            return False
        lost = await self._attempts.is_lost(exchange.aim.server)
        return lost and not exchange.connection.has_body

    async def _move_on(self, exchange: Exchange, early: bool = False) -> None:
        """Raise `SlowAnswer` where another server may be asked."""
        resumable = self._order.last or not self._responder.started
        if resumable and await self._attempts.may_move(exchange.aim.target):
            exchange.given_up(early)
            raise SlowAnswer("another server is asked")

    def _wanted(self, target: str) -> Wanted:
        model = self._sizes[self._size] if self._sizes else ""
        resumed = self._responder.started
        rank = self._wait.rank(target, self._size, resumed)
        return Wanted(
            self._affinity_key,
            model.encode(),
            self._order.last,
            0 if self._fell_back else rank,
            self._read_at if self._fell_back and not resumed else "",
        )

    async def _judge(self, head: ResponseHead, target: str) -> None:
        """Drop an answer that a larger model should give."""
        if self._responder.started or not self._sizes or self._fell_back:
            return
        value = head.headers.get(self._attempts.wire.confidence, b"")
        confidence = int(value) if value.isdigit() else None
        strain = self._wait.strain(target)
        left = self._attempts.left
        log = self._attempts.call.log
        size = next_size(self._sizes, self._size, confidence, left, strain)
        if size is not None and await self._attempts.may_climb():
            model = self._sizes[size]
            known = -1 if confidence is None else confidence
            log.add(Climbed(model, known, round(strain, 2)))
            raise _Climbs(size)
        calm = next_size(self._sizes, self._size, confidence, max(1, left))
        if size is None and calm is not None:
            log.add(NotImproved("climb", "strain" if left else "no_attempt"))

    async def _pass_on(self, head: ResponseHead, data: bytes) -> int:
        """Write whole events and return how many they were."""
        if self._rest:
            data = self._rest + data
        end = data.rfind(END_OF_EVENT)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise MalformedAnswer("its event is too large")
            self._rest = data
            return 0
        end += len(END_OF_EVENT)
        self._rest = data[end:]
        events = data[:end] if self._rest else data
        count = self._order.take(events)
        if not self._responder.started:
            await self._start(head)
        self._attempts.call.log.events_passed_on()
        write_now = self._responder.write_now
        if write_now is None or not write_now(events):
            await self._responder.write(events)
        return count

    async def _start(self, head: ResponseHead) -> None:
        self._attempts.call.log.answer_began()
        await self._responder.start(head.status, answer_headers(head, None))

    async def _may_resume(self, overloaded: bool) -> bool:
        if self._responder.started and not self._order.last:
            return False
        return await self._attempts.may_go_on(overloaded)

    async def _try_another(self, answer: WholeAnswer) -> bool:
        if answer.not_run:
            return await self._may_resume(overloaded=True)
        faulty = answer.status in RETRY_STATUSES | PROMISES
        if not faulty and not self._responder.started:
            return False
        self._attempts.may_have_run = True
        return await self._may_resume(overloaded=False)

    def _last_answer(self, answer: WholeAnswer) -> WholeAnswer:
        """Return the answer in place of a stream, or raise a refusal."""
        if self._responder.started:
            raise StreamBroken("no server goes on with the stream")
        if answer.not_run or answer.status in PROMISES:
            raise self._attempts.failure("every backend server is full")
        return answer

    def _broken(self, message: str) -> Exception:
        if self._responder.started:
            return StreamBroken(message)
        return self._attempts.failure(message)

    def _final(self, error: RequestError) -> Exception:
        if self._responder.started:
            return StreamBroken(error.message)
        return self._attempts.truthful(error)


__all__ = ["StreamBroken", "StreamRelay"]
