"""Sessions that stay on the version in use during a roll-out.

Requests of one session follow each other within seconds, each at any entry. A
session is placed by its name, and the first step of a roll-out moves the
places below its share to the new version. A running session in one of these
places would change versions halfway. The sessions that the version in use has
served recently are therefore announced to all entries, and stay on it until
the next step. Sessions that begin later are placed as usual.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Places are integers below this number, the range of a checksum.
PLACE_COUNT: Final = 2**32
# Recent sessions at one entry; a flood of names must not fill the memory.
MAX_SEEN: Final = 4096
# Steps of roll-outs that run at the same time.
MAX_STEPS: Final = 64
# Sessions of one step. While the new version has no server for hours, the
# version in use serves all sessions that begin meanwhile.
MAX_RETAINED: Final = 65_536


class Step(NamedTuple):
    """One step of a roll-out; ``version`` is the new version."""

    service: str
    version: str
    number: int


class RetainedSessions:
    """The retained sessions of each roll-out step, as one entry knows them.

    ``idle_s`` is the time in seconds after its last request within which a
    session may continue.

    >>> step = Step("words", "v2", 0)
    >>> sessions = RetainedSessions(5.0)
    >>> sessions.record_served("words", 7, 0.0)
    >>> sessions.begin_step(step, 0.1, 1.0)
    (7,)
    >>> sessions.is_retained(step, 7), sessions.is_retained(step, 8)
    (True, False)
    """

    def __init__(self, idle_s: float) -> None:
        self._idle_s = idle_s
        self._seen: dict[tuple[str, int], float] = {}
        self._retained: dict[Step, set[int]] = {}
        self._begun_steps: set[Step] = set()

    def record_served(self, service: str, place: int, now_s: float) -> None:
        """Record that the version in use serves a session now."""
        key = (service, place)
        # Reinserting the key keeps the dictionary ordered by time, latest
        # last.
        self._seen.pop(key, None)
        self._seen[key] = now_s
        if len(self._seen) > MAX_SEEN:
            self._forget_idle(now_s)
        while len(self._seen) > MAX_SEEN:
            del self._seen[next(iter(self._seen))]

    def begin_step(
        self, step: Step, share: float, now_s: float
    ) -> tuple[int, ...]:
        """Retain the recent sessions; return their places once for a step."""
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
        """Retain sessions; return the places that were not retained before."""
        retained = self._retained.setdefault(step, set())
        if len(retained) >= MAX_RETAINED:
            return ()
        added = set(places) - retained
        retained |= added
        return tuple(added)

    def is_retained(self, step: Step, place: int) -> bool:
        """Return whether a session stays on the version in use."""
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
