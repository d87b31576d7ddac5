"""What one stream expects of the engines that it may run on."""

from __future__ import annotations

import math
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_decisions.attempt_timeouts import AnswerTime
from sycamorestand_decisions.attempt_timeouts import fallback_after_s
from sycamorestand_decisions.attempt_timeouts import has_short_prefill
from sycamorestand_decisions.attempt_timeouts import MIN_EVENT_S
from sycamorestand_decisions.attempt_timeouts import PREFILL_TOKENS_PER_S
from sycamorestand_decisions.attempt_timeouts import short_prefill_limit_s
from sycamorestand_decisions.prefill import engine_rank
from sycamorestand_model.declarations import VERSION_SEPARATOR

if TYPE_CHECKING:
    from sycamorestand_decisions.queue_delay import QueueDelay
    from sycamorestand_entry.routed.attempts import Attempts
    from sycamorestand_entry.routed.exchange import Exchange

MS: Final = 1000


class EngineWait:
    """Reading times and waits for the prompt of one call.

    What it learns goes to the process's state, for all calls.
    """

    def __init__(self, attempts: Attempts) -> None:
        self._attempts = attempts
        self._context = attempts.context
        self._route = attempts.call.route
        self.prompt_tokens = _prompt_tokens(attempts)
        self.aim_s = self._route.target_latency_ms / MS

    def rank(self, target: str, size: int, resumed: bool) -> int:
        """Return the place in the engine's order of reading.

        A stream that is ``resumed`` has its caller's answer begun: by its
        aim, over for long, it would be read last, and lost.
        """
        call = self._attempts.call
        left_s = self.aim_s - call.log.elapsed_ms() / MS
        if resumed:
            left_s = math.inf
        return engine_rank(self.prefill_s(target, size), call.priority, left_s)

    def fallback_in_s(self, resumed: bool) -> float:
        """Return after how long to settle for what can be had soonest.

        A stream that is ``resumed`` has a part of its answer.
        """
        call = self._attempts.call
        silent_s = call.log.silent_ms() / MS
        times = self._context.answer_times
        after_s = fallback_after_s(
            self._route.silence_limit_ms / MS or math.inf,
            silent_s + call.remaining_s(),
            0.0 if resumed else times.max_answer_s(self._route.name),
        )
        return max(MIN_EVENT_S, after_s) - silent_s

    def prefill_s(self, target: str, size: int) -> float:
        """Return how long reading the prompt is expected to take."""
        return self._context.prefill_rates.prefill_s(
            _service(target), self._route.sizes, size, self.prompt_tokens
        )

    def short_prefill_limit_s(self, target: str, size: int) -> float | None:
        """Return after how long to ask elsewhere, None for no early move.

        An attempt for the climb must remain: without it a poor answer
        could not be replaced.
        """
        climbs = 1 if size + 1 < len(self._route.sizes) else 0
        attempts = self._attempts
        if not attempts.call.may_repeat or attempts.left < 1 + climbs:
            return None
        delay_s = self._delay_s(target, size)
        read_s = self.prefill_s(target, size)
        return short_prefill_limit_s(self.aim_s, read_s, delay_s)

    def strain(self, target: str) -> float:
        """Return the wait before the largest model, by the aim.

        Of readings as long as this one: short ones are read first and
        wait little while long ones wait for seconds. By a mean over both
        long prompts went on to climb under an overload, and of 350 of the
        longest kind 17 to 27 had no answer, where none was lost before.
        """
        largest = max(0, len(self._route.sizes) - 1)
        return self._delay_s(target, largest) / self.aim_s

    def learn_answer(self, exchange: Exchange) -> None:
        """Take in how long a whole answer took."""
        answer_s = exchange.answering_s()
        begin_s = self._attempts.call.log.elapsed_ms() / MS - answer_s
        answer = AnswerTime(begin_s, answer_s, exchange.event_count)
        self._context.answer_times.record_answer(self._route.name, answer)

    def learn_reading(self, exchange: Exchange, size: int) -> None:
        """Take in how long the first event took."""
        sizes = self._route.sizes
        self._context.prefill_rates.observe(
            _service(exchange.aim.target),
            sizes[size] if sizes else "",
            self.prompt_tokens,
            self._context.now_s() - exchange.begin_s,
        )

    def observe(self, exchange: Exchange, size: int) -> None:
        """Note how long the request waited there, or has in vain."""
        now_s = self._context.now_s()
        read_s = self.prompt_tokens / PREFILL_TOKENS_PER_S
        waited_s = now_s - exchange.begin_s - read_s
        delay = self._delay(exchange.aim.target, size)
        delay.observe(now_s, waited_s)

    def _delay_s(self, target: str, size: int) -> float:
        return self._delay(target, size).delay_s(self._context.now_s())

    def _delay(self, target: str, size: int) -> QueueDelay:
        quick = has_short_prefill(self.aim_s, self.prefill_s(target, size))
        return self._context.queue_delay(_service(target), quick)


def _service(target: str) -> str:
    return target.partition(VERSION_SEPARATOR)[0]


def _prompt_tokens(attempts: Attempts) -> int:
    value = attempts.call.values.get(attempts.wire.token_counts, b"")
    tokens = value.partition(b",")[0].strip()
    return int(tokens) if tokens.isdigit() else 0


__all__ = ["EngineWait"]
