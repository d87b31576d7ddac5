"""Streams of events, relayed as they come and resumed where they break.

The caller gets whole events only, so that a stream that breaks off in the
middle of one can go on at another server behind the last one that was
passed on.
"""

from __future__ import annotations

import re
import time
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_decisions.size_ladder import first_size
from sycamorestand_decisions.size_ladder import next_size
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.routed.exchange import answer_headers
from sycamorestand_entry.routed.exchange import RETRY_STATUSES
from sycamorestand_entry.routed.exchange import WholeAnswer
from sycamorestand_entry.upstream import MalformedAnswer
from sycamorestand_entry.upstream import UpstreamError

if TYPE_CHECKING:
    from sycamorestand_entry.http_messages import Responder
    from sycamorestand_entry.routed.attempts import Attempts
    from sycamorestand_entry.routed.exchange import Exchange
    from sycamorestand_entry.upstream import ResponseHead

END_OF_EVENT: Final = b"\n\n"
EVENT_STREAM: Final = b"text/event-stream"
_EVENT_ID: Final = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
# A whole stream that comes without an event's end would fill the memory.
MAX_EVENT_BYTES: Final = 1024 * 1024


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
        self._last_event = b""
        self._rest = b""
        self.first_event_s = 0.0

    async def run(self, target: str) -> WholeAnswer | None:
        """Relay the stream to its end.

        Returns a whole answer where the server gave one in place of a
        stream. Raises a `RequestError` where nothing was passed on, and
        `StreamBroken` where a part was.
        """
        while True:
            try:
                exchange = await self._attempts.open(
                    target,
                    self._affinity_key,
                    self._model(),
                    self._last_event,
                )
            except RequestError as error:
                raise self._final(error) from None
            try:
                answer = await self._relay(exchange)
            except _Climbs as climbs:
                self._attempts.may_have_run = True
                self._size = climbs.size
                continue
            except UpstreamError as error:
                exchange.failed(error)
                self._attempts.may_have_run = True
                self._rest = b""
                if not self._may_resume():
                    raise self._broken(str(error)) from None
                continue
            finally:
                exchange.close()
            if answer is None or self._responder.started:
                return None
            if not self._try_another(answer):
                return answer

    async def _relay(self, exchange: Exchange) -> WholeAnswer | None:
        call = self._attempts.call
        head = await exchange.read_head(self._first_limit_s())
        kind = head.headers.get(b"content-type", b"")
        if head.status != 200 or not kind.startswith(EVENT_STREAM):
            answer = await exchange.read_whole(head)
            if self._responder.started:
                raise MalformedAnswer("it did not go on with the stream")
            return answer
        self._judge(head)
        first = True
        limit_s = self._first_limit_s()
        while data := await exchange.connection.read_body(
            min(limit_s, max(0.0, call.remaining_s()))
        ):
            if first:
                exchange.first_byte()
                first = False
                limit_s = self._gap_limit_s()
            exchange.events(await self._pass_on(head, data))
        if self._rest:
            raise MalformedAnswer("it ended in the middle of an event")
        exchange.ended(head.status, not_run=False)
        if not self._responder.started:
            await self._start(head)
        await self._responder.finish()
        return None

    def _model(self) -> bytes:
        return self._sizes[self._size].encode() if self._sizes else b""

    def _judge(self, head: ResponseHead) -> None:
        """Drop an answer that a larger model should give."""
        if self._responder.started or not self._sizes:
            return
        value = head.headers.get(self._attempts.wire.confidence, b"")
        confidence = int(value) if value.isdigit() else None
        size = next_size(
            self._sizes, self._size, confidence, self._attempts.left
        )
        if size is not None:
            raise _Climbs(size)

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
        ids = _EVENT_ID.findall(events)
        if ids:
            self._last_event = ids[-1]
        if not self._responder.started:
            await self._start(head)
        write_now = self._responder.write_now
        if write_now is None or not write_now(events):
            await self._responder.write(events)
        return len(ids)

    async def _start(self, head: ResponseHead) -> None:
        self.first_event_s = time.monotonic()
        await self._responder.start(head.status, answer_headers(head, None))

    def _may_resume(self) -> bool:
        if self._responder.started and not self._last_event:
            return False
        return self._attempts.may_go_on(overloaded=False)

    def _try_another(self, answer: WholeAnswer) -> bool:
        if answer.not_run:
            return self._attempts.may_go_on(overloaded=True)
        if answer.status not in RETRY_STATUSES:
            return False
        self._attempts.may_have_run = True
        return self._attempts.may_go_on(overloaded=False)

    def _broken(self, message: str) -> Exception:
        if self._responder.started:
            return StreamBroken(message)
        return self._attempts.failure(message)

    def _final(self, error: RequestError) -> Exception:
        if self._responder.started:
            return StreamBroken(error.message)
        if self._attempts.may_have_run:
            return self._attempts.failure(error.message)
        return error

    def _first_limit_s(self) -> float:
        """Return how long to wait for the first event.

        A server that hangs is given up while another can still be in
        time; the last one that may be tried is waited for to the end.
        """
        call = self._attempts.call
        left_s = max(0.0, call.remaining_s())
        aim_s = call.route.target_latency_ms / 1000
        if call.may_repeat and self._attempts.left:
            return min(left_s, max(1.0, aim_s * 0.6))
        return left_s

    def _gap_limit_s(self) -> float:
        route = self._attempts.call.route
        if not route.resumable or not self._attempts.left:
            return max(0.0, self._attempts.call.remaining_s())
        return max(1.0, 2.0 * route.gap_target_ms / 1000)


__all__ = ["StreamBroken", "StreamRelay"]
