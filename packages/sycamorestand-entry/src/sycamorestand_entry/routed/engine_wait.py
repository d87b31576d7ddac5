"""Expected prefill times and queue delays for one stream."""

from __future__ import annotations

import math
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_decisions.answer_lengths import AnswerLength
from sycamorestand_decisions.attempt_timeouts import AnswerTime
from sycamorestand_decisions.attempt_timeouts import fallback_after_s
from sycamorestand_decisions.attempt_timeouts import has_short_prefill
from sycamorestand_decisions.attempt_timeouts import MIN_EVENT_S
from sycamorestand_decisions.attempt_timeouts import PREFILL_TOKENS_PER_S
from sycamorestand_decisions.attempt_timeouts import short_prefill_limit_s
from sycamorestand_decisions.further_attempts import climb_strain
from sycamorestand_decisions.prefill import engine_rank
from sycamorestand_decisions.server_room import Work
from sycamorestand_entry.routed.call import read_count
from sycamorestand_entry.routed.call import read_token_counts
from sycamorestand_model.declarations import VERSION_SEPARATOR

if TYPE_CHECKING:
    from sycamorestand_decisions.queue_delay import QueueDelay
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.routed.attempts import Attempts
    from sycamorestand_entry.routed.exchange import Exchange

MS: Final = 1000
# One answer in a few is this much longer than the mean of those that are as
# long as it is already.
REST_MARGIN: Final = 1.5
# Used before the first complete answer of a route.
DEFAULT_ANSWER_S: Final = 1.0
DEFAULT_CALL_S: Final = 0.05


class EngineWait:
    """Estimate prefill times and queue delays for the prompt of one call.

    Observed times go to the state that all calls of the process share.
    ``target_latency_s`` is the route's target latency in seconds.
    """

    def __init__(self, attempts: Attempts) -> None:
        self._attempts = attempts
        self._context = attempts.context
        self._route = attempts.call.route
        names = attempts.header_names
        counts = attempts.call.values.get(names.token_counts, b"")
        self.prompt_tokens, self.max_answer_tokens = read_token_counts(counts)
        self.length_hint = read_count(
            attempts.call.values.get(names.length_hint, b"")
        )
        self.target_latency_s = self._route.target_latency_ms / MS

    def rank(self, target: str, size: int) -> int:
        """Return the scheduling rank of a new answer, 0 first.

        An answer that takes nearly all of the time left goes first: the
        deadline would cut it if the engine put it off once.
        """
        call = self._attempts.call
        prefill_s = self.prefill_s(target, size)
        is_possible = prefill_s < call.remaining_s()
        if is_possible and self.is_short_of_time(target, size):
            return 0
        left_s = self.target_latency_s - call.log.elapsed_ms() / MS
        return engine_rank(prefill_s, call.priority, left_s)

    def fallback_in_s(self, answer_s: float) -> float:
        """Return the seconds until the call falls back, may be negative.

        What is still to come of the answer takes ``answer_s``.
        """
        call = self._attempts.call
        silent_s = call.log.silent_ms() / MS
        after_s = fallback_after_s(
            self._route.silence_limit_ms / MS or math.inf,
            silent_s + call.remaining_s(),
            answer_s,
        )
        return max(MIN_EVENT_S, after_s) - silent_s

    def max_answer_s(self) -> float:
        """Return how long an answer takes at most, after its first event."""
        return self._context.answer_times.max_answer_s(self._route.name)

    def rest_s(self, target: str, size: int) -> float:
        """Return how long another server takes for the rest of an answer."""
        route = self._route.name
        rest = self._context.answer_lengths.rest_events(route, self._length())
        gap_s = self._context.answer_times.event_gap_s(route)
        return self.prefill_s(target, size) + rest * gap_s

    def work(self, target: str, size: int) -> Work:
        """Return what the prompt and the rest of its answer need."""
        route = self._route.name
        rest = self._context.answer_lengths.rest_events(route, self._length())
        answer_s = rest * self._context.answer_times.event_gap_s(route)
        return Work(self.prefill_s(target, size), answer_s or DEFAULT_ANSWER_S)

    def is_short_of_time(self, target: str, size: int) -> bool:
        """Return whether the rest may not end before the deadline."""
        left_s = self._attempts.call.remaining_s()
        return self.rest_s(target, size) * REST_MARGIN > left_s

    def size_in_time(self, target: str, size: int) -> int:
        """Return the model that ends a begun answer before its deadline.

        The largest one up to ``size`` that probably does, or the smallest.
        A smaller model gives its events no sooner, as all run in one batch,
        but reads the prompt in a part of the time.
        """
        while size > 0 and self.is_short_of_time(target, size):
            size -= 1
        return size

    def prefill_s(self, target: str, size: int) -> float:
        """Return the expected prefill time of the prompt in seconds."""
        return self._context.prefill_rates.prefill_s(
            _service_of(target), self._route.sizes, size, self.prompt_tokens
        )

    def short_prefill_limit_s(self, target: str, size: int) -> float | None:
        """Return the seconds after which to leave the server early.

        Return None if the request shall not leave early. One attempt must
        remain for an escalation to a larger model; without it a poor
        answer could not be replaced.
        """
        escalations = 1 if size + 1 < len(self._route.sizes) else 0
        attempts = self._attempts
        if not attempts.call.may_repeat or attempts.left < 1 + escalations:
            return None
        delay_s = self._queue_delay_s(target, size)
        prefill_s = self.prefill_s(target, size)
        return short_prefill_limit_s(self.target_latency_s, prefill_s, delay_s)

    def climb_strain(self, target: str, size: int) -> float:
        """Return the strain of an escalation to the model with this index.

        It is the queue delay at the largest model relative to the target
        latency, weighted by the prefill at the model with index ``size``.
        Short and long prefills have separate delays: engines schedule short
        ones first, so that they wait little while long ones wait for seconds.
        With a mean over both, long prompts still escalated under overload,
        and of 350 of the longest kind 17 to 27 got no answer, instead of
        none.
        """
        largest = max(0, len(self._route.sizes) - 1)
        return climb_strain(
            self._queue_delay_s(target, largest),
            self.target_latency_s,
            self.prefill_s(target, size),
        )

    def record_answer_time(self, exchange: Exchange) -> None:
        """Record how long a complete answer took."""
        answer_s = exchange.answer_age_s()
        call = self._attempts.call
        begin_s = call.log.elapsed_ms() / MS - answer_s
        answer = AnswerTime(begin_s, answer_s, exchange.event_count)
        self._context.answer_times.record_answer(self._route.name, answer)
        if self._attempts.header_names.last_event not in call.values:
            self._context.answer_lengths.record_answer(
                self._route.name, self._length()
            )

    def record_prefill_time(self, exchange: Exchange, size: int) -> None:
        """Record how long the first event took."""
        sizes = self._route.sizes
        self._context.prefill_rates.observe(
            _service_of(exchange.destination.target),
            sizes[size] if sizes else "",
            self.prompt_tokens,
            self._context.now_s() - exchange.begin_s,
        )

    def record_queue_delay(self, exchange: Exchange, size: int) -> None:
        """Record the queue delay at the server, also without an answer."""
        now_s = self._context.now_s()
        prefill_s = self.prompt_tokens / PREFILL_TOKENS_PER_S
        waited_s = now_s - exchange.begin_s - prefill_s
        delay = self._queue_delay(exchange.destination.target, size)
        delay.observe(now_s, waited_s)

    def _length(self) -> AnswerLength:
        return AnswerLength(self._attempts.call.log.events, self.length_hint)

    def _queue_delay_s(self, target: str, size: int) -> float:
        return self._queue_delay(target, size).delay_s(self._context.now_s())

    def _queue_delay(self, target: str, size: int) -> QueueDelay:
        short_prefill = has_short_prefill(
            self.target_latency_s, self.prefill_s(target, size)
        )
        return self._context.queue_delay(_service_of(target), short_prefill)


def call_work(context: EntryContext, route: str) -> Work:
    """Return what a call of a plain service usually needs."""
    usual_s = context.answer_times.usual_total_s(route)
    return Work(0.0, usual_s or DEFAULT_CALL_S, is_call=True)


def _service_of(target: str) -> str:
    return target.partition(VERSION_SEPARATOR)[0]


__all__ = ["call_work", "EngineWait"]
