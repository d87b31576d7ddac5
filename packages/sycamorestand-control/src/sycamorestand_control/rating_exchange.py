"""Share the ratings that each entry receives with all other entries.

Requests of many classes are spread over many entries. From ratings, an
entry learns which classes the cheap model answers well enough. With little
traffic, an entry alone sees a class only a few times a minute, and uses the
expensive model until it has enough ratings. Ratings are counts and can be
added, so every entry learns from all ratings, for a few kilobytes a second.
"""

from __future__ import annotations

from collections import Counter
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_model.entry_reports import RatingCount
from sycamorestand_peer.messages import SharedRatings

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sycamorestand_peer.mesh import PeerMesh

EXCHANGE_INTERVAL_S: Final = 2.0
# The number of versions times request classes at the target size. Further
# rows are dropped, so that callers cannot grow the message with made-up
# class names.
MAX_ROWS: Final = 512

RatingKey = tuple[str, str, bool]


class RatingExchange:
    """Sums ratings and sends each entry the sums of all the others.

    ``entries`` and ``others`` return the peer addresses of the entries
    attached here and of the other control processes.
    """

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
        """Add the counts of an entry or another control process.

        At most `MAX_ROWS` keys are kept for each sender.
        """
        passed = self._passed.setdefault(sender, Counter())
        rated = self._rated.setdefault(sender, Counter())
        for count in ratings:
            key = (count.version, count.request_class, count.escalated)
            if key not in rated and len(rated) >= MAX_ROWS:
                continue
            passed[key] += count.passed
            rated[key] += count.rated

    async def run(self) -> None:
        """Exchange ratings every `EXCHANGE_INTERVAL_S`, until cancelled."""
        while True:
            await anyio.sleep(EXCHANGE_INTERVAL_S)
            self.exchange()

    def exchange(self) -> None:
        """Send everyone the counts of the others, and clear all counts.

        Other control processes get only the counts of this one's entries,
        and send only those of their own. So no rating is counted twice,
        whatever the number of processes.
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
