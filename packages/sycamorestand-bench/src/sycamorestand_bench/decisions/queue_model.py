"""A queueing model of a backend server with continuous batching.

All running requests progress at the same rate, which falls a little as the
batch grows: decoding is bound by memory, so a token takes
`FULL_BATCH_SLOWDOWN` times as long in a full batch as for a single request.
Requests beyond the capacity wait in the server's queue, first come, first
served. A cached prefix saves most of the time before the first token.
"""

from __future__ import annotations

from collections import deque
from collections import OrderedDict
import heapq
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_bench.decisions.clock import VirtualClock

FULL_BATCH_SLOWDOWN: Final = 1.15
TOKEN_S: Final = 0.01
PREFILL_TOKENS_PER_S: Final = 4_000.0
CACHED_PREFILL_SHARE: Final = 0.1
CACHED_PREFIXES: Final = 24
FAILURE_DELAY_S: Final = 0.05


class Work(NamedTuple):
    """The work of one request, in tokens."""

    request_id: int
    input_tokens: int
    output_tokens: int
    prefix: str | None = None


class Listener(NamedTuple):
    """Callbacks for the progress of one request.

    ``finished`` receives whether the request succeeded.
    """

    first_byte: Callable[[], None]
    finished: Callable[[bool], None]


class ModelServer:
    """One backend server on a virtual clock.

    ``on_cache_event`` receives the server's name, a prefix, and whether the
    prefix was stored or evicted.
    """

    def __init__(
        self, clock: VirtualClock, name: str, capacity: int, speed: float = 1.0
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.speed = speed
        self.up = True
        self.on_cache_event: Callable[[str, str, bool], None] | None = None
        self.fails: Callable[[], bool] = lambda: False
        self.submitted = 0
        self.served = 0
        self.cache_hits = 0
        self._clock = clock
        self._progress_s = 0.0
        self._changed_s = 0.0
        self._epoch = 0
        self._running: dict[int, Listener] = {}
        self._events: list[tuple[float, int, bool]] = []
        self._queue: deque[tuple[Work, Listener]] = deque()
        self._cache: OrderedDict[str, None] = OrderedDict()

    @property
    def running(self) -> int:
        """Number of requests in the batch."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of requests in the server's queue."""
        return len(self._queue)

    def submit(self, work: Work, listener: Listener) -> None:
        """Run or queue a request.

        A server that is down, or whose `fails` returns true, fails the
        request after `FAILURE_DELAY_S`.
        """
        self.submitted += 1
        if not self.up or self.fails():
            later_s = self._clock.now_s + FAILURE_DELAY_S
            self._clock.call_at(later_s, lambda: listener.finished(False))
            return
        self._advance()
        if len(self._running) < self.capacity:
            self._run(work, listener)
        else:
            self._queue.append((work, listener))
        self._schedule()

    def cancel(self, request_id: int) -> None:
        """Drop a running or queued request and free its place."""
        self._advance()
        if self._running.pop(request_id, None) is None:
            kept = [q for q in self._queue if q[0].request_id != request_id]
            self._queue = deque(kept)
        self._refill()
        self._schedule()

    def go_down(self) -> None:
        """Take the server down; all running and queued requests fail."""
        self._advance()
        listeners = list(self._running.values())
        listeners += [listener for _, listener in self._queue]
        self.up = False
        self._running.clear()
        self._events.clear()
        self._queue.clear()
        self._cache.clear()
        self._epoch += 1
        for listener in listeners:
            listener.finished(False)

    def come_up(self) -> None:
        """Bring the server up again, with an empty cache."""
        self._advance()
        self.up = True

    def _run(self, work: Work, listener: Listener) -> None:
        self.served += 1
        prefill_s = work.input_tokens / PREFILL_TOKENS_PER_S
        if work.prefix is not None and self._use_prefix(work.prefix):
            prefill_s *= CACHED_PREFILL_SHARE
        self._running[work.request_id] = listener
        first_s = self._progress_s + prefill_s + TOKEN_S
        last_s = self._progress_s + prefill_s + work.output_tokens * TOKEN_S
        heapq.heappush(self._events, (first_s, work.request_id, False))
        heapq.heappush(
            self._events, (max(first_s, last_s), work.request_id, True)
        )

    def _use_prefix(self, prefix: str) -> bool:
        known = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        self.cache_hits += known
        if not known:
            self._emit_cache_event(prefix, True)
        if len(self._cache) > CACHED_PREFIXES:
            evicted, _ = self._cache.popitem(last=False)
            self._emit_cache_event(evicted, False)
        return known

    def _emit_cache_event(self, prefix: str, stored: bool) -> None:
        if self.on_cache_event is not None:
            self.on_cache_event(self.name, prefix, stored)

    def _progress_rate(self) -> float:
        batch = max(1, len(self._running))
        share = (batch - 1) / max(1, self.capacity - 1)
        return self.speed / (1.0 + (FULL_BATCH_SLOWDOWN - 1.0) * share)

    def _advance(self) -> None:
        elapsed_s = self._clock.now_s - self._changed_s
        self._progress_s += elapsed_s * self._progress_rate()
        self._changed_s = self._clock.now_s

    def _schedule(self) -> None:
        self._epoch += 1
        while self._events and self._events[0][1] not in self._running:
            heapq.heappop(self._events)
        if not self._events:
            return
        epoch = self._epoch
        ahead_s = max(0.0, self._events[0][0] - self._progress_s)
        when_s = self._clock.now_s + ahead_s / self._progress_rate()
        self._clock.call_at(when_s, lambda: self._handle_next_event(epoch))

    def _handle_next_event(self, epoch: int) -> None:
        if epoch != self._epoch or not self._events:
            return
        self._advance()
        due_s, request_id, is_last = heapq.heappop(self._events)
        self._progress_s = max(self._progress_s, due_s)
        listener = self._running[request_id]
        if is_last:
            del self._running[request_id]
            self._refill()
        self._schedule()
        if is_last:
            listener.finished(True)
        else:
            listener.first_byte()

    def _refill(self) -> None:
        while self._queue and len(self._running) < self.capacity:
            self._run(*self._queue.popleft())


__all__ = ["FULL_BATCH_SLOWDOWN", "Listener", "ModelServer", "TOKEN_S", "Work"]
