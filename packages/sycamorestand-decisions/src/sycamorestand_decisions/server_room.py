"""Estimate when a request would end at a server, from its observed load.

The load pattern is a pool whose servers differ in speed by more than a factor
of two, are slowed down for up to a second at a time, and are loaded by many
entries at once. A choice by counts alone sends long answers to slow servers,
and fills the slots of a fast one last. The expected time of a request puts the
free slots, the queue and the speed of a server into one unit, so that a full
fast server can be compared with an idle slow one.

The load that a server reports counts the requests of all entries, but is late:
the entry's own requests since then are added, and the part of the other
entries decays. The sums that entries share are used for the others' part when
they are newer than the report.
"""

from __future__ import annotations

from collections import deque
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_decisions.load_estimate import HALF_LIFE_S
from sycamorestand_decisions.shared_room import SharedRoom

if TYPE_CHECKING:
    from sycamorestand_model.server_loads import LoadHeader
    from sycamorestand_model.server_loads import ObservedLoad

Source = Literal["own", "shared", "report", "none"]

# A disturbance lasts for about half a second. After this time, its report no
# longer describes the server.
MOMENTARY_S: Final = 1.0
# A server that reports a false slowness looks at most this fast or slow.
MIN_FOLLOWED_SLOWNESS: Final = 0.1
MAX_FOLLOWED_SLOWNESS: Final = 10.0
# An engine runs its requests in one batch, whose steps take about half as long
# again when all slots are in use.
FULL_BATCH_SLOWDOWN: Final = 0.5
# The others' requests are at least this share of the shared sums, whatever a
# newer report says. Requests that have ended since the sums were made are far
# fewer than half; a server that reports less counts wrongly.
MIN_SUMS_SHARE: Final = 0.5
# An older report is of a disturbance that has probably ended.
FRESH_REPORT_S: Final = 0.5
# A server is disturbed above this multiple of its usual slowness.
SLOW_RATIO: Final = 1.5
# Of one server, kept until its next report; older ones are dropped.
MAX_CHANGES: Final = 256


class Room(NamedTuple):
    """Estimated load and speed of one server.

    ``running`` is at most ``slots``; the requests beyond are ``waiting``.
    ``free_slots`` is also limited by ``free_tokens``, which is None where the
    service does not declare its tokens. ``age_s`` is the age of the
    ``source`` of the other entries' part: the server's ``report``, the
    ``shared`` sums, or nothing.
    """

    free_slots: float
    free_tokens: float | None
    running: float
    waiting: float
    slowness: float
    age_s: float
    source: Source
    slots: int


class Work(NamedTuple):
    """Expected times of a request alone at a server of usual speed.

    ``is_call`` is true for a call of a plain service, which ends before a
    disturbance of its server does.
    """

    prefill_s: float
    answer_s: float
    is_call: bool = False


class OwnChanges:
    """Latest starts and ends of this entry's requests at one server.

    >>> changes = OwnChanges()
    >>> changes.record(1, 10.0)
    >>> changes.record(1, 11.0)
    >>> changes.since(10.5), changes.since(9.0), changes.since(11.0)
    (1, 2, 0)
    """

    def __init__(self) -> None:
        self._changes: deque[tuple[float, int]] = deque(maxlen=MAX_CHANGES)

    def record(self, delta: int, now_s: float) -> None:
        """Record 1 for a request that started or -1 for one that ended."""
        self._changes.append((now_s, delta))

    def since(self, when_s: float) -> int:
        """Return the starts less the ends after a recent time."""
        total = 0
        for at_s, delta in reversed(self._changes):
            if at_s <= when_s:
                break
            total += delta
        return total


def estimate(
    observed: ObservedLoad, slots: int, kv_tokens: int, own_since: int = 0
) -> Room:
    """Return the estimated load and speed of one server.

    ``own_since`` is by how much the entry's own requests there have grown
    since the server made its report. ``kv_tokens`` is 0 if unknown.
    """
    header = observed.header
    own = observed.own_requests
    others, age_s, source = _others(observed, max(0, own - own_since))
    if header is not None and header.slots > 0:
        slots = min(slots, header.slots) if slots > 0 else header.slots
    slots = max(1, slots)
    total = own + others
    running = min(float(slots), total)
    free_slots = slots - running
    free_tokens = None
    if kv_tokens > 0:
        mean_tokens = _mean_tokens(observed)
        free_tokens = max(0.0, kv_tokens - mean_tokens * total)
        if mean_tokens > 0:
            free_slots = min(free_slots, free_tokens / mean_tokens)
    return Room(
        free_slots,
        free_tokens,
        running,
        total - running,
        slowness_now(observed),
        age_s,
        source,
        slots,
    )


def expected_s(room: Room, work: Work, usual_s: float = 0.0) -> float:
    """Return the time after which a request would end at the server.

    ``usual_s`` is the usual time of an answer of the service, for which a
    slot is in use; 0 if unknown, when other requests are taken to be like
    this one.

    >>> idle = Room(24, None, 0, 0, 0.55, 0.0, "report", 24)
    >>> round(expected_s(idle, Work(0.2, 0.8)), 2)
    0.56
    >>> full = idle._replace(free_slots=0, running=24, waiting=11)
    >>> round(expected_s(full, Work(0.2, 0.8)), 2)
    1.18
    """
    alone_s = work.prefill_s + work.answer_s
    share = min(1.0, (room.running + 1.0) / room.slots)
    batch = 1.0 + FULL_BATCH_SLOWDOWN * share
    wait_s = 0.0
    if room.free_slots < 1.0:
        # One slot becomes free every ``usual_s / slots`` seconds.
        ahead = room.waiting + 1.0 - room.free_slots
        wait_s = ahead / room.slots * (usual_s or alone_s) * batch
    slowed_s = work.prefill_s + work.answer_s * batch
    return (wait_s + slowed_s) * room.slowness


def slowness_now(observed: ObservedLoad) -> float:
    """Return the slowness of the server at this moment, 1.0 if unknown."""
    usual = observed.usual_slowness
    if usual <= 0:
        return 1.0
    header = observed.header
    now = usual
    if header is not None and header.slowness > 0:
        left = max(0.0, 1.0 - observed.header_age_s / MOMENTARY_S)
        now += (header.slowness - usual) * left
    return min(MAX_FOLLOWED_SLOWNESS, max(MIN_FOLLOWED_SLOWNESS, now))


def is_disturbed(observed: ObservedLoad) -> bool:
    """Return whether the server has just reported to be unusually slow."""
    header = observed.header
    if header is None or observed.header_age_s > FRESH_REPORT_S:
        return False
    bound = SLOW_RATIO * observed.usual_slowness
    return 0 < bound < header.slowness


def shared_room(rooms: list[tuple[Room, int]]) -> SharedRoom:
    """Return the sums over servers, each with the entry's requests there."""
    return SharedRoom(
        int(sum(room.free_slots for room, _ in rooms)),
        round(sum(room.running + room.waiting for room, _ in rooms)),
        sum(own for _, own in rooms),
    )


def _others(
    observed: ObservedLoad, own_then: int
) -> tuple[float, float, Source]:
    """Return the others' requests, with the age and source of the number."""
    header = observed.header
    sums = observed.others_requests * _left(observed.others_age_s)
    if header is None or observed.others_age_s < observed.header_age_s:
        if observed.others_age_s < float("inf"):
            return sums, observed.others_age_s, "shared"
        if header is None:
            return 0.0, 0.0, "own" if observed.own_requests else "none"
    reported = max(0, _in_flight(header) - own_then)
    others = reported * _left(observed.header_age_s)
    others = max(others, sums * MIN_SUMS_SHARE)
    return others, observed.header_age_s, "report"


def _in_flight(header: LoadHeader | None) -> int:
    return header.running + header.waiting if header is not None else 0


def _left(age_s: float) -> float:
    """Return the share of the other entries' requests that still run."""
    return float(0.5 ** (max(0.0, age_s) / HALF_LIFE_S))


def _mean_tokens(observed: ObservedLoad) -> float:
    """Return the mean tokens of a request at the server, 0 if unknown."""
    requests, tokens = observed.own_requests, observed.own_tokens
    if observed.others_age_s < float("inf"):
        requests += observed.others_requests
        tokens += observed.others_tokens
    return max(0.0, tokens / requests) if requests > 0 else 0.0


__all__ = [
    "estimate",
    "expected_s",
    "is_disturbed",
    "OwnChanges",
    "Room",
    "shared_room",
    "slowness_now",
    "Work",
]
