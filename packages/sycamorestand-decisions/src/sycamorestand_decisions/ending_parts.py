"""Find the prompt part whose requests end the servers that begin them.

One request after the other ends the server that begins to answer it, at any
entry. Each takes along what else its server runs, and each entry alone sees
too few of the ends to tell what they have in common. Without a memory beyond
the single request, a few requests a second keep all servers of a service down.

The evidence of all entries is put together here: for each server that ended
by itself, the parts of the requests that it had begun and given no answer to.
A part is to blame if several servers have ended under it, one after the
other, and no server has answered a request with it in between. Parts that
sound requests share with the others are answered all the time, and are
cleared by that, whatever else makes servers end. Where no server is left to
clear them, the part that explains the ends with the fewest requests is taken,
and the ends that it explains no longer speak against other parts.

Several parts may explain the ends alike: a sound request that goes from one
server to the next is at several ends by itself. All of them are blamed, as the
one to blame is among them, and trials bring the others back. What a block
explains speaks again against a part that is at further ends.

A part is blamed for the customers whose requests had it. Once requests of a
second customer end servers by it, it is blamed for everyone. So no customer
alone can have another one's requests refused.

A whole request is a part of its own, which `ending_requests` finds. Ends that
a refused request explains speak against the parts of its prompt only if
further requests with the part end servers too.
"""

from __future__ import annotations

from collections import OrderedDict
import math
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_decisions.end_counts import Blame
from sycamorestand_decisions.end_counts import count_ends
from sycamorestand_decisions.end_counts import ENDS_TO_WATCH
from sycamorestand_decisions.end_counts import is_refused
from sycamorestand_decisions.end_counts import unexplained_ends
from sycamorestand_decisions.end_counts import without_shared
from sycamorestand_decisions.end_records import EndRecord
from sycamorestand_decisions.end_records import EndReport
from sycamorestand_decisions.end_records import KnownEnd
from sycamorestand_decisions.ending_requests import find_ending_requests
from sycamorestand_decisions.ending_requests import requests_at_several_ends

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from sycamorestand_decisions.end_counts import EndsUnderPart
    from sycamorestand_decisions.end_counts import KnownEnds
    from sycamorestand_decisions.end_records import Server
    from sycamorestand_model.prompt_parts import BlockedPart
    from sycamorestand_model.prompt_parts import CustomerPart
    from sycamorestand_model.prompt_parts import Suspect

# Five ends are allowed. One of them may not be seen, as the entry that had
# the request was lost in the same moment.
ENDS_TO_BLAME: Final = 4
UNSEEN_ENDS: Final = 1
# Ends of further customers' requests after which a part is blamed for all.
FURTHER_ENDS: Final = 2
# After an entry was lost, for as long as one keeps what has left servers.
LOST_ENDS_S: Final = 30.0
# Time for entries to tell that a watched part is answered.
WATCH_S: Final = 0.5
# A part explains the ends about as well as another one if it was in this
# share of them: what one entry knew may be missing.
SIMILAR_SHARE: Final = 0.8
# Fewer requests than this times those of the likeliest part are as likely: one
# request that is sent again outweighs another part by as much.
SIMILAR_REQUESTS: Final = 1.75
# After a restart, which leaves few ends, what less than this share of the
# requests at them has is as likely too.
RESTORED_SHARE: Final = 0.5
MAX_BLAMED_ALIKE: Final = 16
MAX_ENDS: Final = 256
# Parts may come days apart; one that is watched is cleared by any answer.
MAX_END_AGE_S: Final = 7 * 86_400.0
# A check of all ends takes as long as there are many.
OLD_END_S: Final = 3600.0
MAX_OLD_ENDS: Final = 32
MAX_WATCHED: Final = 128
NEW_END_S: Final = 20.0
# Longer than any of the times above.
RECENT_S: Final = 2.0
# An entry that moves to another control process hears of the end there.
TOLD_TO_ENTRIES_S: Final = 5.0
MAX_TOLD_ENDS: Final = 32


class PartCount(NamedTuple):
    """The ends that speak against a part, and its mean requests at one."""

    part: str
    ends: int
    mean_requests: float


class EndingParts:
    """What entries have told of servers that ended by themselves.

    >>> from sycamorestand_model.prompt_parts import Suspect
    >>> parts = EndingParts()
    >>> for number in range(4):
    ...     bad = Suspect("club", "bad", True, 1)
    ...     server = (f"s-{number}", 1)
    ...     assert parts.record_end(server, "entry-1", [bad], number)
    >>> parts.watch(4.0)
    ('bad',)
    >>> parts.blames({}, 4.6)[0].part
    'bad'
    """

    def __init__(self) -> None:
        self._ends: OrderedDict[Server, EndRecord] = OrderedDict()
        self._watched_since_s: dict[str, float] = {}
        self._changed_s = -math.inf
        self._lost_s = -math.inf
        self._restored_s = -math.inf

    @property
    def end_count(self) -> int:
        """The number of ends that are known."""
        return len(self._ends)

    def has_changed_lately(self, now_s: float) -> bool:
        """Return whether `watch` and `blames` may return something new."""
        return now_s - self._changed_s < RECENT_S

    def record_end(
        self,
        server: Server,
        reporter: str,
        suspects: Iterable[Suspect],
        now_s: float,
    ) -> bool:
        """Record what the entry ``reporter`` had at a server that ended.

        Return whether it tells anything new; reports are sent repeatedly.
        """
        end = self._ends.get(server)
        is_new = end is None
        if end is None:
            end = EndRecord(now_s)
            self._ends[server] = end
            self._drop_old(now_s)
        added = [
            end.add(reporter, suspect, suspect.part in self._watched_since_s)
            for suspect in suspects
        ]
        if is_new or any(added):
            self._changed_s = now_s
            return True
        return False

    def recent_ends(self, now_s: float) -> tuple[Server, ...]:
        """Return the newest ends, of which all entries may know something."""
        recent = [
            server
            for server, end in self._ends.items()
            if now_s - end.at_s < TOLD_TO_ENTRIES_S
        ]
        return tuple(recent[-MAX_TOLD_ENDS:])

    def reports(self) -> list[EndReport]:
        """Return what speaks against any part, for a new leader."""
        return [
            report
            for server, end in self._ends.items()
            for report in end.reports(server)
        ]

    def known_ends(self, now_s: float) -> list[KnownEnd]:
        """Return what speaks against parts, with its age, to be restored.

        Of older ends only what is watched, as answers to it clear it.
        """
        found = []
        for server, end in self._ends.items():
            age_s = now_s - end.at_s
            for report in end.reports(server):
                suspects = tuple(
                    suspect
                    for suspect in report.suspects
                    if age_s < NEW_END_S
                    or suspect.part in self._watched_since_s
                )
                if suspects:
                    kept = report._replace(suspects=suspects)
                    found.append(KnownEnd(kept, age_s, end.requests))
        return found

    def restore(self, known: Iterable[KnownEnd], now_s: float) -> None:
        """Add ends that were known before a restart of the process."""
        for report, age_s, requests in known:
            self.record_end(*report, now_s - age_s)
            end = self._ends.get(report.server)
            if end is not None:
                end.restore_requests(requests)
            if age_s < LOST_ENDS_S:
                self._restored_s = now_s
                self.record_lost_entry(now_s)
        self._drop_old(now_s)

    def record_lost_entry(self, now_s: float) -> None:
        """Record that an entry may have ended, with what it had at servers.

        Servers that end under its requests now are told of by nobody.
        """
        self._lost_s = now_s
        if self._ends:
            self._changed_s = now_s

    @property
    def changed_s(self) -> float:
        """When an end was told of, or a part was cleared last."""
        return self._changed_s

    def record_sound(
        self, sound: CustomerPart, is_blocked: bool, now_s: float
    ) -> None:
        """Record that a server has begun an answer with a part, and lives on.

        That clears the part for everyone. A ``is_blocked`` part is cleared for
        this customer alone, as others may still send what ends servers.
        """
        for end in self._ends.values():
            end.cleared |= {
                key
                for key in end.parts
                if key.part == sound.part
                and (key.customer == sound.customer or not is_blocked)
            }
        if not is_blocked:
            self._watched_since_s.pop(sound.part, None)
        self._changed_s = now_s

    def forget(self, part: str, now_s: float) -> None:
        """Drop all that speaks against a part."""
        for end in self._ends.values():
            end.cleared |= {key for key in end.parts if key.part == part}
        self._watched_since_s.pop(part, None)
        self._changed_s = now_s

    def watch(
        self, now_s: float, blocked: Mapping[str, BlockedPart] | None = None
    ) -> tuple[str, ...]:
        """Return the parts of which entries shall tell that they are sound.

        Not among them are requests at ends that a ``blocked`` part explains.
        What waited for its head is watched at once as well: it may go to a
        further server in the meantime.
        """
        known = list(self._ends.items())
        ends = {
            part: len(count.servers)
            for part, count in count_ends(known, {}, math.inf).items()
            if len(count.servers) >= ENDS_TO_WATCH
        }
        several = requests_at_several_ends(
            unexplained_ends(known, blocked or {}, now_s), ENDS_TO_WATCH
        )
        ends.update({key.part: count for key, count in several.items()})
        watched = sorted(ends, key=lambda part: -ends[part])[:MAX_WATCHED]
        self._watched_since_s = {
            part: self._watched_since_s.get(part, now_s) for part in watched
        }
        return tuple(sorted(watched))

    def blames(
        self, blocked: Mapping[str, BlockedPart], now_s: float
    ) -> list[Blame]:
        """Return the parts to refuse from now on.

        An end counts once all entries had time to tell of it.
        """
        ends = [
            (server, end)
            for server, end in self._ends.items()
            if end.is_settled(now_s)
        ]
        found = self._request_blames(ends, blocked, now_s)
        while True:
            counts = count_ends(ends, blocked, now_s, found)
            further = self._further_customers(counts, blocked, found)
            blames = [further] if further is not None else []
            blames = blames or self._most_likely(counts, blocked, now_s)
            if not blames:
                return found
            found += blames

    def counts(
        self, blocked: Mapping[str, BlockedPart], now_s: float
    ) -> list[PartCount]:
        """Return what speaks against each part, the most ends first."""
        known = list(self._ends.items())
        found = [
            PartCount(part, len(count.ends), count.mean_requests)
            for part, count in count_ends(known, blocked, now_s).items()
        ]
        return sorted(found, key=lambda c: (-c.ends, c.mean_requests, c.part))

    def _request_blames(
        self, ends: KnownEnds, blocked: Mapping[str, BlockedPart], now_s: float
    ) -> list[Blame]:
        found = find_ending_requests(
            unexplained_ends(ends, blocked, now_s),
            lambda key: is_refused(key, blocked, ()),
            lambda key: self._is_ready(key.part, now_s),
        )
        return [
            Blame(key.part, (key.customer,), False, servers)
            for key, servers in found
        ]

    def _is_ready(self, part: str, now_s: float) -> bool:
        """Return whether entries had time to tell that it is answered."""
        return now_s - self._watched_since_s.get(part, now_s) >= WATCH_S

    def _further_customers(
        self,
        counts: Mapping[str, EndsUnderPart],
        blocked: Mapping[str, BlockedPart],
        found: list[Blame],
    ) -> Blame | None:
        """Return a blocked part that ends servers for another customer too."""
        done = {blame.part for blame in found}
        for part, block in blocked.items():
            if part in done or block.is_for_everyone:
                continue
            count = counts.get(part)
            if count is not None and len(count.servers) >= FURTHER_ENDS:
                return _blame(part, count, is_for_everyone=True)
        return None

    def _most_likely(
        self,
        counts: Mapping[str, EndsUnderPart],
        blocked: Mapping[str, BlockedPart],
        now_s: float,
    ) -> list[Blame]:
        """Return the likeliest part, and those that are about as likely."""
        needed = self._ends_to_blame(now_s)
        candidates = [
            part
            for part, count in counts.items()
            if len(count.ends) >= needed - UNSEEN_ENDS
            and part not in blocked
            and part in self._watched_since_s
        ]
        most = max((len(counts[part].ends) for part in candidates), default=0)
        if most < needed:
            return []
        least = max(1, min(SIMILAR_SHARE * most, most - UNSEEN_ENDS))
        similar = sorted(
            (part for part in candidates if len(counts[part].ends) >= least),
            key=lambda part: (*counts[part].unlikelihood, part),
        )
        most_requests = SIMILAR_REQUESTS * counts[similar[0]].mean_requests
        is_restored = now_s - self._restored_s < LOST_ENDS_S
        share = RESTORED_SHARE if is_restored else 0.0
        likely = [
            part
            for part in similar
            if len(counts[part].ends) >= needed
            and (
                counts[part].mean_requests < most_requests
                or counts[part].share < share
            )
        ]
        likely = without_shared(likely, counts, is_restored)
        likely = likely[:MAX_BLAMED_ALIKE]
        if not all(self._is_ready(part, now_s) for part in likely):
            # Answers to them will tell.
            return []
        return [
            _blame(
                part,
                counts[part],
                is_for_everyone=len(counts[part].customers) > 1,
                is_alone=len(likely) == 1,
            )
            for part in likely
        ]

    def _ends_to_blame(self, now_s: float) -> int:
        """Return how many ends are needed, as some may not be told of.

        After a restart of this process, entries may have been lost with all
        that they had at servers, and servers may end under it all the while.
        """
        unseen = 0
        if now_s - self._lost_s < LOST_ENDS_S:
            unseen += UNSEEN_ENDS
        if now_s - self._restored_s < LOST_ENDS_S:
            unseen += UNSEEN_ENDS
        return ENDS_TO_BLAME - unseen

    def _drop_empty(self, now_s: float) -> None:
        """Drop ends under which no entry had anything, as servers restart."""
        empty = [
            server
            for server, end in self._ends.items()
            if not end.parts and now_s - end.at_s > LOST_ENDS_S
        ]
        for server in empty:
            del self._ends[server]

    def _drop_old(self, now_s: float) -> None:
        self._drop_empty(now_s)
        ages_s = [now_s - end.at_s for end in self._ends.values()]
        old = sum(age_s > OLD_END_S for age_s in ages_s)
        dropped = max(
            sum(age_s > MAX_END_AGE_S for age_s in ages_s),
            old - MAX_OLD_ENDS,
            len(ages_s) - MAX_ENDS,
        )
        for _ in range(dropped):
            self._ends.popitem(last=False)


def _blame(
    part: str,
    count: EndsUnderPart,
    is_for_everyone: bool,
    is_alone: bool = True,
) -> Blame:
    customers = tuple(sorted(count.customers))
    return Blame(
        part,
        customers,
        is_for_everyone,
        tuple(count.ends),
        count.is_certain and is_alone,
    )


__all__ = [
    "EndingParts",
    "EndReport",
    "ENDS_TO_BLAME",
    "PartCount",
    "WATCH_S",
]
