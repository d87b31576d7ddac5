"""Timeouts of one attempt at a backend server that has not answered yet.

A few servers may hang on some of their requests while their health is good,
among servers that are only slow because of long queues. A timeout that is too
long makes a request late whenever a server hangs. A timeout that is too short
takes a request out of a queue in which it was about to be served, and puts it
at the end of another queue. From the outside, both cases look alike except for
one sign: a server that processes its queue does not answer requests out of
order. A request that later requests have overtaken is therefore abandoned
early, and any other request while a server with a shorter queue can still meet
the target.

A third case is a healthy server that prefills a long prompt on a large model.
The next request waits there for seconds, but only for a tenth of that
elsewhere. A request with a short prefill loses nothing by moving, as none of
it was read. It moves after a tenth of its latency target, unless requests wait
as long at every server.

The prefill time of a prompt is no sign of a fault, and a long prompt on a
large model takes longer than any share of the target. If it were abandoned at
that point, its prefill would be wasted and the next server would start over,
so the longest prompts would always be late and read twice. The prefill time is
therefore added to the timeouts.
"""

from __future__ import annotations

from collections import deque
import math
from typing import Final
from typing import NamedTuple

# A call moves to another server while two thirds of its time are left, as the
# other server may be slow too. With a minimum below a quarter of a second, the
# slowest hundredth of the calls of a calm server would be sent twice.
CALL_SHARE: Final = 1 / 3
MIN_CALL_S: Final = 0.25
# Shares of the target for the first event. Six tenths leave as much time as
# another server with a short queue needs to read the prompt. A request that
# was overtaken has no place in the queue to lose, and is abandoned earlier.
FIRST_EVENT_SHARE: Final = 0.6
OVERTAKEN_SHARE: Final = 0.4
# If the caller's remaining time is no longer than the target, the target is no
# limit; then as much time must remain as was spent.
REMAINING_SHARE: Final = 0.5
MIN_EVENT_S: Final = 1.0
# The largest model of current engines reads 13,000 to 16,000 tokens of a
# prompt a second while nothing else runs. Even if other requests take a part
# of its capacity, a server that is slower than this rate hangs or has a queue.
PREFILL_TOKENS_PER_S: Final = 10_000.0
# A gap beyond the target is late already, and a preempted run resumes by
# itself. Three times the target is longer than any gap of a calm server.
GAP_TARGET_FACTOR: Final = 3.0
MIN_GAP_S: Final = 2.0
# Share of the silence that a caller accepts. The other half is left for the
# fastest answer that is available then.
FALLBACK_SHARE: Final = 0.5
# A twentieth of the target: two other servers may read such a prompt in vain
# without making the request late.
SHORT_PREFILL_SHARE: Final = 0.05
# Share of the target that a request with a short prefill waits at a server if
# other servers are faster.
SHORT_PREFILL_WAIT_SHARE: Final = 0.1
# The longest of this many answers is longer than most answers.
ANSWERS_KEPT: Final = 8
MAX_ROUTES: Final = 4096
# Requests that were sent within this time may be answered in any order.
OVERTAKE_MARGIN_S: Final = 0.3
MAX_SERVERS: Final = 1024


def call_limit_s(left_s: float) -> float:
    """Return the timeout of a call's attempt, in seconds."""
    return min(left_s, max(MIN_CALL_S, left_s * CALL_SHARE))


def first_event_limits_s(
    target_s: float, left_s: float, prompt_tokens: int = 0
) -> tuple[float, float]:
    """Return the timeouts for a first event, if overtaken and otherwise.

    >>> first_event_limits_s(4.0, 20.0)
    (1.6, 2.4)
    >>> first_event_limits_s(4.0, 20.0, 30_000)
    (4.6, 5.4)
    """
    bound_s = min(target_s * FIRST_EVENT_SHARE, left_s * REMAINING_SHARE)
    overtaken_s = min(target_s * OVERTAKEN_SHARE, bound_s)
    prefill_s = prompt_tokens / PREFILL_TOKENS_PER_S
    return (
        max(MIN_EVENT_S, overtaken_s) + prefill_s,
        max(MIN_EVENT_S, bound_s) + prefill_s,
    )


def short_prefill_limit_s(
    target_s: float, prefill_s: float, delay_s: float
) -> float | None:
    """Return after how long a request with a short prefill leaves a server.

    Returns None if the prefill is not short, or if the current queueing delay
    ``delay_s`` shows that the request would wait as long elsewhere.

    >>> short_prefill_limit_s(2.0, 0.02, 0.0)
    0.24
    >>> short_prefill_limit_s(2.0, 0.5, 0.0) is None
    True
    """
    limit_s = target_s * SHORT_PREFILL_WAIT_SHARE + 2 * prefill_s
    if not has_short_prefill(target_s, prefill_s) or delay_s > limit_s / 2:
        return None
    return limit_s


def has_short_prefill(target_s: float, prefill_s: float) -> bool:
    """Return whether the prefill takes only a small part of the target."""
    return prefill_s <= target_s * SHORT_PREFILL_SHARE


def fallback_after_s(
    max_silence_s: float, total_s: float, answer_s: float
) -> float:
    """Return after how much silence to switch to the fastest answer.

    The caller accepts ``max_silence_s`` of silence and ``total_s`` in total,
    of which the answer takes ``answer_s`` after it has begun. After this
    silence, an answer by the smallest model is worth more than a better one
    that comes after the caller has left or is cut off before its end.

    >>> fallback_after_s(8.0, 20.0, 3.0), fallback_after_s(8.0, 6.0, 3.0)
    (4.0, 1.5)
    """
    return min(max_silence_s, total_s - answer_s) * FALLBACK_SHARE


def gap_limit_s(target_s: float) -> float:
    """Return the timeout between two events, in seconds."""
    return max(MIN_GAP_S, GAP_TARGET_FACTOR * target_s)


class AnswerTime(NamedTuple):
    """Durations of one complete streamed answer, in seconds.

    ``begin_s`` is from the request to the first event, ``answer_s`` from the
    first event to the end.
    """

    begin_s: float
    answer_s: float
    events: int


class AnswerTimes:
    """Durations of each route's last answers; start times of running ones."""

    def __init__(self) -> None:
        self._last: dict[str, deque[AnswerTime]] = {}
        self._running_since_s: dict[str, list[float]] = {}

    def record_started(self, route: str, at_s: float) -> None:
        """Record a running request; `record_stopped` takes the same time."""
        self._running_since_s.setdefault(route, []).append(at_s)

    def record_stopped(self, route: str, at_s: float) -> None:
        """Remove the running request with this start time."""
        since_s = self._running_since_s[route]
        since_s.remove(at_s)
        if not since_s:
            del self._running_since_s[route]

    def record_answer(self, route: str, answer: AnswerTime) -> None:
        """Record a complete answer."""
        if len(self._last) >= MAX_ROUTES and route not in self._last:
            self._last.clear()
        empty: deque[AnswerTime] = deque(maxlen=ANSWERS_KEPT)
        self._last.setdefault(route, empty).append(answer)

    def max_answer_s(self, route: str) -> float:
        """Return the longest time from first event to end, 0 if unknown."""
        last = self._last.get(route, ())
        return max((answer.answer_s for answer in last), default=0.0)

    def usual_total_s(self, route: str) -> float:
        """Return the median time from request to end, 0 if unknown."""
        totals_s = sorted(
            answer.begin_s + answer.answer_s
            for answer in self._last.get(route, ())
        )
        return totals_s[len(totals_s) // 2] if totals_s else 0.0

    def event_gap_s(self, route: str) -> float:
        """Return the usual time between two events, 0 if unknown."""
        gaps_s = sorted(
            answer.answer_s / answer.events
            for answer in self._last.get(route, ())
            if answer.events
        )
        return gaps_s[len(gaps_s) // 2] if gaps_s else 0.0

    def max_total_s(self, route: str, pause_s: float, now_s: float) -> float:
        """Return the longest time from request to end, infinity if unknown.

        ``pause_s`` is the current gap between two events. Answers that have
        ended do not show that servers have become slow since, and soon after
        the start only short ones have ended. Running requests therefore count
        as well, and fewer than `ANSWERS_KEPT` answers are not enough for an
        estimate.
        """
        last = self._last.get(route, ())
        if len(last) < ANSWERS_KEPT:
            return math.inf
        past_s = [
            answer.begin_s + max(answer.answer_s, answer.events * pause_s)
            for answer in last
        ]
        running_s = [
            now_s - since_s for since_s in self._running_since_s.get(route, ())
        ]
        return max(past_s + running_s)


class ServerProgress:
    """Latest requests whose answers have begun, by server."""

    def __init__(self) -> None:
        self._latest_sent_s: dict[str, float] = {}
        self._last_begin_s: dict[str, float] = {}

    def record_first_event(
        self, server: str, sent_s: float, now_s: float
    ) -> None:
        """Record that the answer to a request sent at ``sent_s`` has begun."""
        if len(self._latest_sent_s) >= MAX_SERVERS:
            self._latest_sent_s.clear()
            self._last_begin_s.clear()
        latest_s = self._latest_sent_s.get(server, sent_s)
        self._latest_sent_s[server] = max(latest_s, sent_s)
        self._last_begin_s[server] = now_s

    def is_serving_in_order(self, server: str, sent_s: float) -> bool:
        """Return whether answers began after ``sent_s``, none out of order.

        A request that waits at such a server is in its queue; its wait is no
        sign of a fault.
        """
        begun_s = self._last_begin_s.get(server, sent_s)
        return begun_s > sent_s and not self.has_overtaken(server, sent_s)

    def has_overtaken(self, server: str, sent_s: float) -> bool:
        """Return whether the answer to a later request has begun."""
        latest_s = self._latest_sent_s.get(server, sent_s)
        return latest_s - sent_s > OVERTAKE_MARGIN_S


__all__ = [
    "AnswerTime",
    "AnswerTimes",
    "call_limit_s",
    "fallback_after_s",
    "FALLBACK_SHARE",
    "first_event_limits_s",
    "gap_limit_s",
    "MIN_EVENT_S",
    "ServerProgress",
    "short_prefill_limit_s",
    "has_short_prefill",
]
