"""What an entry knows of the load at each server when it chooses one.

The load pattern is high load at servers of one service that differ in speed
and are each disturbed for short times, while many entries choose between them
at once. An entry that goes by a server's last answer alone sends requests
where all others send theirs, and one that goes by its own requests alone does
not see theirs. `ObservedLoads` keeps the newest load that a server reported
to any entry, the server's usual slowness, the entry's own work there and, for
a short time, the work of all others.
"""

from __future__ import annotations

from collections import deque
import math
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_decisions.load_checks import is_sound_header
from sycamorestand_decisions.load_checks import MAX_HEADER_AGE_S
from sycamorestand_decisions.load_checks import REPORT_LIFETIME_S
from sycamorestand_decisions.load_checks import sound_count
from sycamorestand_model.server_loads import EntryLoad
from sycamorestand_model.server_loads import ObservedLoad

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Mapping

    from sycamorestand_model.server_loads import LoadHeader
    from sycamorestand_model.server_loads import SharedLoad

# Control repeats unchanged sums every 2 s. Older ones show that this entry or
# its control process is cut off.
SHARED_MAX_AGE_S: Final = 3.0
# The lower quartile over 8 s of constant traffic leaves out disturbances of
# up to 6 s, and follows a server that becomes faster within 2 s.
SAMPLES: Final = 32
SAMPLE_INTERVAL_S: Final = 0.25
QUANTILE: Final = 0.25
# About four times the servers at the target size.
MAX_SERVERS: Final = 4096


class _Server:
    """The state of one server; times are on the monotonic clock."""

    __slots__ = (
        "header",
        "header_s",
        "is_fresh",
        "others_requests",
        "others_s",
        "others_tokens",
        "own_header",
        "own_header_s",
        "reported_requests",
        "reported_s",
        "reported_tokens",
        "requests",
        "sampled_s",
        "samples",
        "tokens",
        "usual_slowness",
    )

    def __init__(self) -> None:
        self.header: LoadHeader | None = None
        self.header_s = -math.inf
        self.own_header: LoadHeader | None = None
        self.own_header_s = -math.inf
        self.is_fresh = False
        self.requests = 0
        self.tokens = 0
        self.reported_requests = 0
        self.reported_tokens = 0
        self.reported_s = -math.inf
        self.others_requests = 0
        self.others_tokens = 0
        self.others_s = -math.inf
        self.samples: deque[float] | None = None
        self.sampled_s = -math.inf
        self.usual_slowness = 0.0

    @property
    def reports_slowness(self) -> bool:
        return self.header is not None and self.header.slowness > 0


class ObservedLoads:
    """The loads that one entry has read, counted and received from control.

    >>> from sycamorestand_model.server_loads import LoadHeader
    >>> from sycamorestand_model.server_loads import SharedLoad
    >>> loads = ObservedLoads()
    >>> loads.record_start("s-1", 800, 10.0)
    >>> loads.record_header("s-1", LoadHeader(3, 0, 48, 1.2), 10.1)
    >>> loads.take_report(10.5)["s-1"].requests
    1
    >>> loads.record_shared({"s-1": SharedLoad(None, 0.0, 5, 4000)}, 10.6)
    >>> loads.observed("s-1", 11.0).others_requests
    4
    """

    def __init__(self) -> None:
        self._servers: dict[str, _Server] = {}
        self._shared_s = -math.inf

    def record_header(
        self, server: str, header: LoadHeader, now_s: float
    ) -> None:
        """Store the load that a server reported in an answer."""
        state = self._state(server)
        if state is None:
            return
        state.own_header = state.header = header
        state.own_header_s = state.header_s = now_s
        state.is_fresh = True
        _sample(state, header.slowness, now_s)

    def record_start(self, server: str, tokens: int, now_s: float) -> None:
        """Count a request of this entry that was sent to the server."""
        state = self._servers.get(server) or self._state(server)
        if state is not None:
            state.requests += 1
            state.tokens += tokens

    def record_end(self, server: str, tokens: int, now_s: float) -> None:
        """Count the end of a request with the tokens of its start."""
        state = self._servers.get(server)
        if state is not None:
            state.requests = max(0, state.requests - 1)
            state.tokens = max(0, state.tokens - tokens)

    def record_shared(
        self, loads: Mapping[str, SharedLoad], now_s: float
    ) -> None:
        """Store the sums over all entries, less this entry's own part.

        The own part is what this entry reported last. Where a sum was made
        before that report arrived, the rest is off by the difference until
        the next sum.
        """
        self._shared_s = now_s
        for name, load in loads.items():
            state = self._state(name)
            if state is None:
                continue
            is_in_sum = now_s - state.reported_s < REPORT_LIFETIME_S
            requests = state.reported_requests if is_in_sum else 0
            tokens = state.reported_tokens if is_in_sum else 0
            state.others_requests = max(
                0, sound_count(load.requests) - requests
            )
            state.others_tokens = max(0, sound_count(load.tokens) - tokens)
            state.others_s = now_s
            _store_shared_header(state, load, now_s)

    def take_report(self, now_s: float) -> dict[str, EntryLoad]:
        """Return what to report to control next, and record it as reported.

        These are the servers that report their slowness and have requests of
        this entry, or have reported a load to it since the last call. A
        server at which the last request has ended is reported once more.
        """
        found: dict[str, EntryLoad] = {}
        for name, state in self._servers.items():
            is_shared = state.reports_slowness
            if not (
                state.reported_requests
                or state.reported_tokens
                or (is_shared and (state.requests or state.is_fresh))
            ):
                continue
            age_s = now_s - state.own_header_s
            header = state.own_header
            if not is_shared or age_s > MAX_HEADER_AGE_S:
                header, age_s = None, 0.0
            state.reported_requests = state.requests if is_shared else 0
            state.reported_tokens = state.tokens if is_shared else 0
            state.reported_s = now_s
            state.is_fresh = False
            found[name] = EntryLoad(
                header, age_s, state.reported_requests, state.reported_tokens
            )
        return found

    def observed(self, server: str, now_s: float) -> ObservedLoad:
        """Return what is known of a server now."""
        state = self._servers.get(server)
        if state is None:
            return UNKNOWN
        header, header_age_s = state.header, max(0.0, now_s - state.header_s)
        if header_age_s > MAX_HEADER_AGE_S:
            header, header_age_s = None, math.inf
        others = (state.others_requests, state.others_tokens)
        others_age_s = now_s - state.others_s
        if others_age_s > SHARED_MAX_AGE_S:
            others, others_age_s = (0, 0), math.inf
        return ObservedLoad(
            header,
            header_age_s,
            state.usual_slowness,
            state.requests,
            state.tokens,
            *others,
            others_age_s,
        )

    def forget_except(self, known: Container[str]) -> None:
        """Drop the servers that have left and run no request."""
        gone = [
            name
            for name, state in self._servers.items()
            if name not in known and not state.requests
        ]
        for name in gone:
            del self._servers[name]

    def reporting_servers(self) -> int:
        """Return the number of servers that report their slowness."""
        return sum(s.reports_slowness for s in self._servers.values())

    def shared_age_s(self, now_s: float) -> float:
        """Return the age of the newest sums, infinite without any."""
        return now_s - self._shared_s

    def _state(self, server: str) -> _Server | None:
        """Return the state of a server, None if there are too many."""
        state = self._servers.get(server)
        if state is None and len(self._servers) < MAX_SERVERS:
            state = self._servers[server] = _Server()
        return state


def _store_shared_header(
    state: _Server, load: SharedLoad, now_s: float
) -> None:
    """Store the header in a sum if it is newer than the known one."""
    header = load.header
    if header is None or not is_sound_header(header, load.age_s):
        return
    header_s = now_s - load.age_s
    if header_s <= state.header_s or not header.slowness:
        return
    # A header that this entry reported comes back with the sums, a little
    # younger by the time of transport. It must not count as another sample.
    if header != state.header:
        _sample(state, header.slowness, now_s)
    state.header, state.header_s = header, header_s


def _sample(state: _Server, slowness: float, now_s: float) -> None:
    """Update the usual slowness, at most every `SAMPLE_INTERVAL_S`."""
    if not slowness:
        state.samples, state.usual_slowness = None, 0.0
        state.sampled_s = -math.inf
        return
    if now_s - state.sampled_s < SAMPLE_INTERVAL_S:
        return
    state.sampled_s = now_s
    if state.samples is None:
        state.samples = deque(maxlen=SAMPLES)
    state.samples.append(slowness)
    ordered = sorted(state.samples)
    state.usual_slowness = ordered[int(QUANTILE * (len(ordered) - 1))]


UNKNOWN: Final = ObservedLoad(None, math.inf, 0.0, 0, 0, 0, 0, math.inf)

__all__ = [
    "MAX_SERVERS",
    "ObservedLoads",
    "SAMPLE_INTERVAL_S",
    "SAMPLES",
    "SHARED_MAX_AGE_S",
]
