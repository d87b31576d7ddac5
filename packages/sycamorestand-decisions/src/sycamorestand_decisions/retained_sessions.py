"""Which sessions stay with the version in use while another is rolled out.

The load pattern is sessions whose requests follow each other within seconds,
each of them at any entry. A session is placed by its name, and a roll-out's
first step takes the places below its share: a session that is under way in one
of them would go on with the other version in the middle. So those that the
version in use has served of late are told to all entries, and stay until the
next step. What begins later is placed as usual.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Places are whole numbers below this one, as a checksum gives them.
PLACE_COUNT: Final = 2**32
# Sessions of the last seconds at one entry; a flood of names must not fill
# the memory.
MAX_SEEN: Final = 4096
# Roll-outs under way at once.
MAX_STEPS: Final = 64
# Sessions of one step: where no new server comes for hours, the version in use
# stands in for all that begin meanwhile.
MAX_RETAINED: Final = 65_536


class Step(NamedTuple):
    """One step of a roll-out, by the version that is rolled out."""

    service: str
    version: str
    number: int


class RetainedSessions:
    """What one entry knows of the sessions that stay.

    ``idle_s`` is how long after its last request a session may go on.

    >>> step = Step("words", "v2", 0)
    >>> sessions = StayingSessions(5.0)
    >>> sessions.served("words", 7, 0.0)
    >>> sessions.begins(step, 0.1, 1.0)
    (7,)
    >>> sessions.stays(step, 7), sessions.stays(step, 8)
    (True, False)
    """

    def __init__(self, idle_s: float) -> None:
        self._idle_s = idle_s
        self._seen: dict[tuple[str, int], float] = {}
        self._retained: dict[Step, set[int]] = {}
        self._begun_steps: set[Step] = set()

    def record_served(self, service: str, place: int, now_s: float) -> None:
        """Note a session that the version in use serves."""
        key = (service, place)
        # The latest ones stand last.
        self._seen.pop(key, None)
        self._seen[key] = now_s
        if len(self._seen) > MAX_SEEN:
            self._forget_idle(now_s)
        while len(self._seen) > MAX_SEEN:
            del self._seen[next(iter(self._seen))]

    def begin_step(
        self, step: Step, share: float, now_s: float
    ) -> tuple[int, ...]:
        """Return the places to tell the others, once for a step."""
        if step in self._begun_steps:
            return ()
        if len(self._begun_steps) >= MAX_STEPS:
            self._begun_steps.clear()
            self._retained.clear()
        self._begun_steps.add(step)
        self._forget_idle(now_s)
        places = {
            place
            for service, place in self._seen
            if service == step.service and place < share * PLACE_COUNT
        }
        self.retain(step, places)
        return tuple(places)

    def retain(self, step: Step, places: Iterable[int]) -> tuple[int, ...]:
        """Let sessions stay; return those that did not before."""
        retained = self._retained.setdefault(step, set())
        if len(retained) >= MAX_RETAINED:
            return ()
        added = set(places) - retained
        retained |= added
        return tuple(added)

    def is_retained(self, step: Step, place: int) -> bool:
        """Tell whether a session goes on with the version in use."""
        return place in self._retained.get(step, ())

    def _forget_idle(self, now_s: float) -> None:
        until_s = now_s - self._idle_s
        while self._seen:
            oldest = next(iter(self._seen))
            if self._seen[oldest] >= until_s:
                return
            del self._seen[oldest]


__all__ = [
    "MAX_SEEN",
    "MAX_RETAINED",
    "PLACE_COUNT",
    "RetainedSessions",
    "Step",
]
