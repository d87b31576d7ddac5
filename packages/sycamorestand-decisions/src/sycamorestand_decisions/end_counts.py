"""Count how often servers ended under each prompt part, and what explains it.

A refused part or request explains the ends that it was at, so that these speak
less against the other parts of its requests.
"""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_decisions.ending_requests import ServerEnd
from sycamorestand_model.prompt_parts import CustomerPart

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sycamorestand_decisions.end_records import EndRecord
    from sycamorestand_decisions.end_records import Server
    from sycamorestand_model.prompt_parts import BlockedPart

    KnownEnds = Sequence[tuple[Server, EndRecord]]

# Fewer ends speak against a part alone, not together with explained ones.
ENDS_TO_WATCH: Final = 2


class Blame(NamedTuple):
    """A part to refuse, with the servers that ended under it.

    ``is_certain`` is true if other parts of the requests at these servers
    were answered meanwhile, so that not all servers had ended at once, and no
    other part is as likely.
    """

    part: str
    customers: tuple[str, ...]
    is_for_everyone: bool
    servers: tuple[str, ...]
    is_certain: bool = False


class EndsUnderPart:
    """The ends under one part, at one place of its requests' answers.

    Refused parts, or requests of other customers at further ends, explain the
    ends ``of_parts``; refused requests that may have the part explain those
    ``of_requests``, and nothing refused explains those of ``servers``.
    """

    def __init__(self, is_begun: bool) -> None:
        self.is_begun = is_begun
        self.servers: list[str] = []
        self.of_parts: list[str] = []
        self.of_requests: list[str] = []
        self.requests = 0
        # All requests at these ends, with the part or without.
        self.all_requests = 0
        self.place = 0
        self.customers: set[str] = set()
        self.is_certain = False

    @property
    def ends(self) -> list[str]:
        """The servers whose ends speak against the part."""
        if not self.servers:
            return []
        if len(self.servers) < ENDS_TO_WATCH:
            return self.of_requests + self.servers
        return self.of_parts + self.of_requests + self.servers

    @property
    def all_ends(self) -> int:
        """The number of ends, explained or not."""
        return sum(map(len, (self.servers, self.of_parts, self.of_requests)))

    @property
    def mean_requests(self) -> float:
        """The mean number of requests with the part at an end."""
        return self.requests / self.all_ends

    @property
    def share(self) -> float:
        """The share of the requests at its ends that have the part."""
        return self.requests / max(self.requests, self.all_requests)

    @property
    def unlikelihood(self) -> tuple[float, int, bool]:
        """The mean number of requests at an end, then fewer ends.

        A part that was answered after some of the ends is at fewer of them,
        with fewer requests in all. Last, requests that wait are less likely
        to end a server than those that it has begun to answer.
        """
        return self.mean_requests, -self.all_ends, not self.is_begun

    def is_before(self, other: EndsUnderPart) -> bool:
        """Return whether more ends speak against the part here."""
        own, others = (
            (each.all_ends, each.is_begun) for each in (self, other)
        )
        return own > others

    def is_behind(self, other: EndsUnderPart, is_restored: bool) -> bool:
        """Return whether no request with the part lacks the other one.

        So it seems where the other stands before it, at the same ends. After
        a restart some requests at these may be unknown.
        """
        own, others = (
            {*each.servers, *each.of_parts, *each.of_requests}
            for each in (self, other)
        )
        if self.place <= other.place or self.customers.isdisjoint(
            other.customers
        ):
            return False
        if is_restored:
            return len(own) >= len(others) and not own.isdisjoint(others)
        return self.requests <= other.requests and own >= others

    def add_explained(self, other: EndsUnderPart) -> None:
        """Add what is explained at another place of the answers."""
        for own, others in (
            (self.of_parts, other.of_parts),
            (self.of_requests, other.of_requests),
        ):
            own += [server for server in others if server not in own]


class _Place(NamedTuple):
    """One place of the answers at a server that ended.

    A refused part may explain the end, or ``refused`` requests.
    """

    server: str
    is_begun: bool
    is_of_part: bool
    refused: list[CustomerPart]
    has_cleared: bool
    places: Mapping[str, int]
    requests: int


def without_shared(
    parts: list[str], counts: Mapping[str, EndsUnderPart], is_restored: bool
) -> list[str]:
    """Leave out parts that prompts share before another part of the list.

    To refuse the one behind is enough for all that is known. If it is the one
    before, further ends tell.
    """
    return [
        part
        for part in parts
        if not any(
            counts[other].is_behind(counts[part], is_restored)
            for other in parts
        )
    ]


def unexplained_ends(
    ends: KnownEnds, blocked: Mapping[str, BlockedPart], now_s: float
) -> list[ServerEnd]:
    """Return the ends, with the requests at those that no block explains.

    What a blocked prompt part explains speaks against no request, while other
    parts may explain it better.
    """
    found: list[ServerEnd] = []
    for (server, _), end in ends:
        suspects = end.suspects(now_s)
        is_explained = any(
            is_refused(key, blocked, ()) for key in _keys(suspects)
        )
        requests = {} if is_explained else end.whole_requests()
        places = [
            place
            for place in _places(suspects)
            if not is_refused(place[0], blocked, ())
        ]
        found.append(ServerEnd(server, requests, places))
    return found


def count_ends(
    ends: KnownEnds,
    blocked: Mapping[str, BlockedPart],
    now_s: float,
    found: Iterable[Blame] = (),
) -> dict[str, EndsUnderPart]:
    """Return how often servers ended under each part, unexplained.

    What ends servers does so at the same place of its answers. A part
    counts where it was at more ends: begun, or waiting for the head.
    """
    counts: dict[tuple[str, bool], EndsUnderPart] = {}
    at = _servers_of(ends)
    for (server, _), end in ends:
        suspects = end.suspects(now_s)
        is_of_part = any(
            is_refused(key, blocked, found) for key in _keys(suspects)
        )
        refused = [
            key
            for key in end.whole_requests()
            if is_refused(key, blocked, found)
        ]
        for is_begun, requests in suspects.items():
            place = _Place(
                server,
                is_begun,
                is_of_part,
                refused,
                bool(end.cleared),
                end.places,
                end.requests,
            )
            _add_end(counts, place, requests, at)
    most: dict[str, EndsUnderPart] = {}
    totals: Counter[str] = Counter()
    for (part, _), count in counts.items():
        totals[part] += count.requests
        if part not in most or count.is_before(most[part]):
            most[part] = count
    for part, count in most.items():
        count.requests = totals[part]
        other = counts.get((part, not count.is_begun))
        if other is not None:
            count.add_explained(other)
    return most


def _servers_of(ends: KnownEnds) -> dict[str, set[str]]:
    """Return the servers that ended under each part and whole request."""
    at: dict[str, set[str]] = defaultdict(set)
    for (server, _), end in ends:
        for key in end.parts:
            if key not in end.cleared:
                at[key.part].add(server)
    return at


def _keys(
    suspects: Mapping[bool, Mapping[CustomerPart, int]],
) -> set[CustomerPart]:
    return {key for found in suspects.values() for key in found}


def _places(
    suspects: Mapping[bool, Mapping[CustomerPart, int]],
) -> list[tuple[CustomerPart, bool]]:
    return [
        (key, is_begun)
        for is_begun, found in suspects.items()
        for key in found
    ]


def _add_end(
    counts: dict[tuple[str, bool], EndsUnderPart],
    end: _Place,
    suspects: Mapping[CustomerPart, int],
    at: Mapping[str, set[str]],
) -> None:
    """Count an end under each of the parts.

    ``at`` has the servers of all parts and requests. A part at all servers of
    a refused request of another customer explains them as well as that one.
    """
    customers: dict[str, set[str]] = defaultdict(set)
    for key in suspects:
        customers[key.part].add(key.customer)
    for part, own in customers.items():
        place = (part, end.is_begun)
        count = counts.setdefault(place, EndsUnderPart(end.is_begun))
        explaining = [
            request
            for request in end.refused
            if request.customer in own or not at[request.part] <= at[part]
        ]
        if end.is_of_part:
            count.of_parts.append(end.server)
        elif not explaining:
            count.servers.append(end.server)
            count.customers |= own
        elif any(request.customer in own for request in explaining):
            count.of_requests.append(end.server)
        else:
            count.of_parts.append(end.server)
        count.is_certain |= end.has_cleared
        count.all_requests += end.requests
        count.place = end.places[part]
    for key, requests in suspects.items():
        counts[key.part, end.is_begun].requests += requests


def is_refused(
    key: CustomerPart,
    blocked: Mapping[str, BlockedPart],
    found: Iterable[Blame],
) -> bool:
    block = blocked.get(key.part)
    if block is not None and block.concerns(key.customer):
        return True
    return any(
        blame.part == key.part
        and (blame.is_for_everyone or key.customer in blame.customers)
        for blame in found
    )


__all__ = [
    "Blame",
    "count_ends",
    "ENDS_TO_WATCH",
    "EndsUnderPart",
    "is_refused",
    "unexplained_ends",
    "without_shared",
]
