"""Find the requests that end each server which runs them.

A request comes again and again, with the same caller, path and body, and ends
one server after the other. Each server takes along all that it runs, and the
retries of that meet the next end, so that sound requests have been at several
servers that ended as well. Without a limit a single request keeps all servers
of a service down.

A request is to blame if three servers have ended under it and none has
answered it in between. Those that were at the same servers by bad luck have
been at fewer, or many copies of them ran there, or a part of other prompts was
at more. Where several requests are left, as after the loss of many servers at
once, nothing is blamed until one more end tells them apart. Requests that come
together are never told apart: after five ends one of them is blamed, and the
others once they have ended further servers.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sycamorestand_model.prompt_parts import CustomerPart

REQUEST_ENDS: Final = 3
# Requests that end servers together are at the same ends for ever.
TIED_ENDS: Final = 5
# Of these, as many must not be explained by another request that is refused.
OWN_ENDS: Final = 2
# A request explains the ends about as well as another one if it was at this
# share of them: what one entry knew may be missing.
SIMILAR_SHARE: Final = 0.8


class ServerEnd(NamedTuple):
    """A server that ended, with its requests and how many copies of each.

    ``parts`` are those of the prompts that may be to blame as well, and
    whether the server had begun to answer their requests.
    """

    server: str
    requests: Mapping[CustomerPart, int]
    parts: Collection[tuple[CustomerPart, bool]] = ()


class EndingRequest(NamedTuple):
    """A request to blame, with the servers that ended under it."""

    request: CustomerPart
    servers: tuple[str, ...]


class _Count(NamedTuple):
    ends: set[int]
    copies: int


def find_ending_requests(
    ends: Sequence[ServerEnd],
    is_refused: Callable[[CustomerPart], bool],
    is_ready: Callable[[CustomerPart], bool],
) -> list[EndingRequest]:
    """Return the requests to blame that are not refused yet.

    ``is_ready`` tells of a request whether entries had the time to tell that
    it was answered.

    >>> from sycamorestand_model.prompt_parts import CustomerPart
    >>> bad, unlucky = CustomerPart("club", "r-1"), CustomerPart("club", "r-2")
    >>> ends = [ServerEnd(f"s-{n}", {bad: 1}) for n in range(2)]
    >>> ends.append(ServerEnd("s-2", {bad: 1, unlucky: 1}))
    >>> found = find_ending_requests(ends, lambda _: False, lambda _: True)
    >>> [each.request.part for each in found]
    ['r-1']
    """
    counts = _counts(ends)
    parts = _ends_of_parts(ends)
    refused = {key for key in counts if is_refused(key)}
    found: list[EndingRequest] = []
    while True:
        candidates = {
            key: count
            for key, count in counts.items()
            if key not in refused
            and len(count.ends) >= REQUEST_ENDS
            and is_ready(key)
            and _unexplained(count, counts, refused) >= OWN_ENDS
            and not _is_explained_by_part(count, parts)
        }
        likely = _most_likely(candidates)
        if not likely or _are_tied(likely, counts):
            return found
        key = likely[0]
        servers = [ends[number].server for number in sorted(counts[key].ends)]
        found.append(EndingRequest(key, tuple(servers)))
        refused.add(key)


def requests_at_several_ends(
    ends: Sequence[ServerEnd], least: int
) -> dict[CustomerPart, int]:
    """Return how many servers ended under a request, if at least ``least``."""
    return {
        key: len(count.ends)
        for key, count in _counts(ends).items()
        if len(count.ends) >= least
    }


def _counts(ends: Sequence[ServerEnd]) -> dict[CustomerPart, _Count]:
    at: dict[CustomerPart, set[int]] = defaultdict(set)
    copies: dict[CustomerPart, int] = defaultdict(int)
    for number, end in enumerate(ends):
        for key, count in end.requests.items():
            at[key].add(number)
            copies[key] += count
    return {key: _Count(at[key], copies[key]) for key in at}


def _ends_of_parts(ends: Sequence[ServerEnd]) -> list[set[int]]:
    at: dict[tuple[CustomerPart, bool], set[int]] = defaultdict(set)
    for number, end in enumerate(ends):
        for place in end.parts:
            at[place].add(number)
    return list(at.values())


def _is_explained_by_part(count: _Count, parts: list[set[int]]) -> bool:
    """Return whether a part was at these ends and at clearly more."""
    return any(
        len(count.ends) < SIMILAR_SHARE * len(part)
        and len(count.ends - part) < OWN_ENDS
        for part in parts
    )


def _unexplained(
    count: _Count,
    counts: Mapping[CustomerPart, _Count],
    refused: set[CustomerPart],
) -> int:
    """Return the number of ends that no refused request explains as well."""
    ends = set(count.ends)
    for key in refused:
        if len(counts[key].ends) >= len(count.ends):
            ends -= counts[key].ends
    return len(ends)


def _are_tied(
    likely: Sequence[CustomerPart], counts: Mapping[CustomerPart, _Count]
) -> bool:
    """Return whether one more end may tell the likeliest requests apart."""
    if len(likely) == 1:
        return False
    return any(len(counts[key].ends) < TIED_ENDS for key in likely)


def _most_likely(
    candidates: Mapping[CustomerPart, _Count],
) -> list[CustomerPart]:
    if not candidates:
        return []
    most = max(len(count.ends) for count in candidates.values())
    similar = {
        key: count.copies
        for key, count in candidates.items()
        if len(count.ends) >= SIMILAR_SHARE * most
    }
    fewest = min(similar.values())
    return sorted(key for key in similar if similar[key] == fewest)


__all__ = [
    "EndingRequest",
    "find_ending_requests",
    "REQUEST_ENDS",
    "requests_at_several_ends",
    "ServerEnd",
    "TIED_ENDS",
]
