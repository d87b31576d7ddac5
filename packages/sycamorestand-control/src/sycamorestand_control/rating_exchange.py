"""Ratings that one entry was given, told to all the others.

The load pattern is a mix of request classes spread over many entries. Each
entry learns by ratings which classes the cheap model answers well enough;
alone, an entry at a small user sees a class a few times a minute, and pays
for the strong model until it has seen enough. Ratings are counts, so they
add up: every entry learns from all of them, for a few kilobytes a second.
"""

from __future__ import annotations

from collections import Counter
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_model.nodes import RatingCount
from sycamorestand_peer.messages import SharedRatings

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sycamorestand_peer.mesh import PeerMesh

EXCHANGE_INTERVAL_S: Final = 2.0
# Versions times classes at the target size; the rest is left out rather
# than let callers' class names grow the message.
MAX_ROWS: Final = 512

RatingKey = tuple[str, str, bool]


class RatingExchange:
    """Adds ratings up and hands each entry those of all the others."""

    def __init__(
        self,
        mesh: PeerMesh,
        entries: Callable[[], Iterable[str]],
        others: Callable[[], Iterable[str]],
    ) -> None:
        self._mesh = mesh
        self._entries = entries
        self._others = others
        self._passed: dict[str, Counter[RatingKey]] = {}
        self._rated: dict[str, Counter[RatingKey]] = {}

    def add_ratings(self, sender: str, ratings: Iterable[RatingCount]) -> None:
        """Take what an entry, or another control process, has counted."""
        passed = self._passed.setdefault(sender, Counter())
        rated = self._rated.setdefault(sender, Counter())
        for count in ratings:
            key = (count.version, count.request_class, count.escalated)
            if key not in rated and len(rated) >= MAX_ROWS:
                continue
            passed[key] += count.passed
            rated[key] += count.rated

    async def run(self) -> None:
        """Exchange at an interval, until cancelled."""
        while True:
            await anyio.sleep(EXCHANGE_INTERVAL_S)
            self.exchange()

    def exchange(self) -> None:
        """Send everybody what the others have counted, and start over.

        Other control processes get the counts of this one's entries
        alone; theirs come back on the same way, so nothing is counted
        twice however many processes there are.
        """
        others = set(self._others())
        senders = set(self._rated)
        for address in self._entries():
            self._send(address, senders - {address})
        for address in others:
            self._send(address, senders - others)
        self._passed = {}
        self._rated = {}

    def _send(self, address: str, senders: Iterable[str]) -> None:
        passed: Counter[RatingKey] = Counter()
        rated: Counter[RatingKey] = Counter()
        for sender in senders:
            passed.update(self._passed[sender])
            rated.update(self._rated[sender])
        rows = tuple(
            RatingCount(*key, passed[key], count)
            for key, count in rated.most_common(MAX_ROWS)
        )
        if rows:
            self._mesh.send(address, SharedRatings(rows))


__all__ = ["EXCHANGE_INTERVAL_S", "RatingExchange"]
