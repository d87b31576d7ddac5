"""What entries have told of one server that ended by itself."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_model.prompt_parts import CustomerPart
from sycamorestand_model.prompt_parts import Suspect
from sycamorestand_model.request_digest import is_request

if TYPE_CHECKING:
    from collections.abc import Iterable

# Time for all entries to tell what they had at a server that ended.
SETTLE_S: Final = 0.3
MAX_PARTS_PER_END: Final = 128
MAX_PARTS_PER_CUSTOMER: Final = 64
MAX_REQUESTS_PER_END: Final = 128
MAX_REQUESTS_PER_CUSTOMER: Final = 96
MAX_REPORTERS: Final = 64

Server = tuple[str, int]


class EndReport(NamedTuple):
    """What the entry ``reporter`` had at a server that ended."""

    server: Server
    reporter: str
    suspects: tuple[Suspect, ...]


class KnownEnd(NamedTuple):
    """A report with the seconds since the end was first told of.

    ``requests`` is the number of all that the server had, sound ones too.
    """

    report: EndReport
    age_s: float
    requests: int = 0


class EndRecord:
    """One server that ended at ``at_s``, with what each entry had there."""

    def __init__(self, at_s: float) -> None:
        self.at_s = at_s
        self.cleared: set[CustomerPart] = set()
        # The place of each part in its prompts.
        self.places: dict[str, int] = {}
        self._held: dict[CustomerPart, dict[tuple[str, bool], Suspect]] = {}
        # The requests with each part, by whether the server had begun them.
        self._requests: dict[bool, Counter[CustomerPart]] = {
            True: Counter(),
            False: Counter(),
        }
        # The copies of each whole request, begun or not.
        self._whole: Counter[CustomerPart] = Counter()
        self._known_requests = 0

    @property
    def requests(self) -> int:
        """The number of requests that the server had, as far as is known."""
        return max(self._known_requests, self._whole.total())

    def restore_requests(self, known: int) -> None:
        """Set how many requests were known before a restart."""
        self._known_requests = max(self._known_requests, known)

    @property
    def parts(self) -> Iterable[CustomerPart]:
        return self._held.keys()

    def add(
        self, reporter: str, suspect: Suspect, is_watched: bool = False
    ) -> bool:
        """Add a suspect; return whether it tells anything new.

        A watched part, of which there are few, always has room: it may be
        the one to blame, among more sound ones than are kept.
        """
        key = CustomerPart(suspect.customer, suspect.part)
        reports = self._held.get(key)
        if reports is None:
            if not (is_watched or self._has_room(key)):
                return False
            reports = self._held.setdefault(key, {})
        source = (reporter, suspect.is_begun)
        known = reports.get(source)
        if known == suspect or len(reports) >= MAX_REPORTERS:
            return False
        reports[source] = suspect
        self.places[suspect.part] = suspect.place
        counted = known.requests if known is not None else 0
        counter = self._requests[suspect.is_begun]
        if is_request(key.part):
            counter = self._whole
        counter[key] += suspect.requests - counted
        return True

    def _has_room(self, new: CustomerPart) -> bool:
        is_whole = is_request(new.part)
        kin = len(self._whole)
        if not is_whole:
            kin = len(self._held) - kin
        if kin >= (MAX_REQUESTS_PER_END if is_whole else MAX_PARTS_PER_END):
            return False
        own = sum(
            key.customer == new.customer and is_request(key.part) == is_whole
            for key in self._held
        )
        if is_whole:
            return own < MAX_REQUESTS_PER_CUSTOMER
        return own < MAX_PARTS_PER_CUSTOMER

    def is_settled(self, now_s: float) -> bool:
        """Return whether all entries had time to tell of the end."""
        return now_s - self.at_s >= SETTLE_S

    def suspects(self, now_s: float) -> dict[bool, dict[CustomerPart, int]]:
        """Return the parts that may be to blame, with their requests.

        They are kept apart by whether the server had begun to answer the
        requests. One that waited for its head may have ended it as well.
        """
        is_settled = self.is_settled(now_s)
        return {
            is_begun: {
                key: requests
                for key, requests in found.items()
                if key not in self.cleared
            }
            for is_begun, found in self._requests.items()
            if is_begun or is_settled
        }

    def whole_requests(self) -> dict[CustomerPart, int]:
        """Return the requests that may be to blame, begun or not."""
        return {k: n for k, n in self._whole.items() if k not in self.cleared}

    def reports(self, server: Server) -> list[EndReport]:
        """Return all that entries have told of parts that are not cleared."""
        by_reporter: dict[str, list[Suspect]] = defaultdict(list)
        for key, reports in self._held.items():
            if key in self.cleared:
                continue
            for (reporter, _), suspect in reports.items():
                by_reporter[reporter].append(suspect)
        return [
            EndReport(server, reporter, tuple(suspects))
            for reporter, suspects in by_reporter.items()
        ]


__all__ = ["EndRecord", "EndReport", "KnownEnd", "Server"]
