"""Soft state that announces itself: heard, relayed, merged, forgotten.

Each control process hears some announcers at first hand, through its
entries, and alone judges their leases, on its own clock. Renewals go no
further: other processes keep a record while its origin is heard of. What
goes out is a change of membership, as a delta of two streams: the own
records for other control processes, and all merged for entries.

Where several origins know a name, the highest incarnation and sequence
wins. A record that says it leaves outlives its removal as a floor, so that
an older one of another origin does not bring the announcer back.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import Generic
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

from sycamorestand_state.versioned_map import DeltaOutcome
from sycamorestand_state.versioned_map import MapCopy
from sycamorestand_state.versioned_map import MapDelta
from sycamorestand_state.versioned_map import UNKNOWN_VERSION
from sycamorestand_state.versioned_map import VersionedMap

OWN_STREAM: Final = "own"
MERGED_STREAM: Final = "merged"
# An origin sends an empty delta each second at the least; three lost in a
# row mean that its announcers have to be heard of elsewhere.
ORIGIN_LEASE_S: Final = 3.0
MAX_LEASE_S: Final = 10.0
# How long the last number heard of a name is kept after its lease: longer
# than any announcement can be on its way, and than any lease.
NUMBER_RETENTION_S: Final = 60.0

Number = tuple[int, int]


class Announced(Protocol):
    """What every announcement has."""

    @property
    def name(self) -> str: ...

    @property
    def incarnation(self) -> int: ...

    @property
    def sequence(self) -> int: ...

    @property
    def lease_s(self) -> float: ...


A = TypeVar("A", bound=Announced)


class _Heard(NamedTuple, Generic[A]):
    announcement: A
    expires_s: float


class _Floor(NamedTuple):
    number: Number
    expires_s: float


class Registry(Generic[A]):
    """All announcers known to one process.

    ``membership`` strips an announcement of what changes with each
    renewal; ``leaves`` tells whether it says goodbye.
    """

    def __init__(
        self,
        origin: str,
        epoch: int,
        membership: Callable[[A], A],
        is_leaving: Callable[[A], bool],
    ) -> None:
        self._membership = membership
        self._is_leaving = is_leaving
        self._heard: dict[str, _Heard[A]] = {}
        self._floors: dict[str, _Floor] = {}
        self._own: VersionedMap[A] = VersionedMap(origin, OWN_STREAM, epoch)
        self._merged: VersionedMap[A] = VersionedMap(
            origin, MERGED_STREAM, epoch
        )
        self._copies: dict[str, MapCopy[A]] = {}

    @property
    def version(self) -> int:
        """The version of the merged records."""
        return self._merged.version

    @property
    def own_version(self) -> int:
        """The version of the records heard at first hand."""
        return self._own.version

    def digest(self) -> int:
        """Return the digest of the merged records."""
        return self._merged.digest

    def records(self) -> dict[str, A]:
        """Return the merged records by name, leaving ones among them."""
        return self._merged.records

    def announce(self, announcement: A, now_s: float) -> bool:
        """Take an announcement at first hand; False where it is old."""
        name = announcement.name
        heard = self._heard.get(name)
        if heard is not None and not _newer(announcement, heard.announcement):
            return False
        lease_s = min(announcement.lease_s, MAX_LEASE_S)
        self._heard[name] = _Heard(announcement, now_s + lease_s)
        self._publish(name, now_s)
        return True

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Drop what has run out and return the names that are gone."""
        before = set(self._merged.records)
        for name, heard in list(self._heard.items()):
            if heard.expires_s <= now_s:
                self._own.remove(name)
                self._merge(name, now_s)
            if heard.expires_s + NUMBER_RETENTION_S <= now_s:
                del self._heard[name]
        for origin, copy in list(self._copies.items()):
            if copy.heard_s + ORIGIN_LEASE_S <= now_s:
                self.forget_origin(origin, now_s)
        for name, floor in list(self._floors.items()):
            if floor.expires_s <= now_s:
                del self._floors[name]
        return tuple(sorted(before - set(self._merged.records)))

    def delta_since(self, version: int) -> MapDelta[A] | None:
        """Return merged changes for an entry, None where too old."""
        return self._merged.delta_since(version)

    def full(self) -> MapDelta[A]:
        """Return all merged records for an entry."""
        return self._merged.full()

    def own_delta_since(self, version: int) -> MapDelta[A] | None:
        """Return own changes for a control process, None where too old."""
        return self._own.delta_since(version)

    def own_full(self) -> MapDelta[A]:
        """Return all own records for a control process."""
        return self._own.full()

    def apply_delta(self, delta: MapDelta[A], now_s: float) -> DeltaOutcome:
        """Take an origin's delta; ``resync`` asks for its full one."""
        copy = self._copies.setdefault(delta.origin, MapCopy())
        before = set(copy.records) if delta.full else set()
        outcome = copy.apply(delta, now_s)
        if outcome == "applied":
            touched = before | set(delta.changed) | set(delta.removed)
            for name in sorted(touched):
                self._merge(name, now_s)
                self._publish(name, now_s)
        return outcome

    def copied_version(self, origin: str) -> int:
        """Return the version known of an origin, -1 to ask for all."""
        copy = self._copies.get(origin)
        return UNKNOWN_VERSION if copy is None else copy.version

    def forget_origin(self, origin: str, now_s: float) -> None:
        """Drop what an origin has told, as when an entry changes it."""
        copy = self._copies.get(origin)
        if copy is not None:
            names = sorted(copy.records)
            copy.drop()
            for name in names:
                self._merge(name, now_s)

    def _publish(self, name: str, now_s: float) -> None:
        heard = self._heard.get(name)
        if heard is None or heard.expires_s <= now_s:
            return
        merged = self._merged.records.get(name)
        # A renewal is no news, unless another origin's newer record, or a
        # floor, hides what is heard here.
        if name in self._own.records and merged is not None:
            if not _newer(heard.announcement, merged):
                return
            if self._has_same_membership(heard.announcement, merged):
                return
        self._own.put(name, self._membership_of(heard.announcement))
        self._merge(name, now_s)

    def _merge(self, name: str, now_s: float) -> None:
        newest = self._newest_record(name)
        if newest is None:
            self._merged.remove(name)
            return
        self._merged.put(name, newest)
        if self._is_leaving(newest):
            expires_s = now_s + NUMBER_RETENTION_S
            self._floors[name] = _Floor(_number(newest), expires_s)

    def _newest_record(self, name: str) -> A | None:
        known = [copy.records.get(name) for copy in self._copies.values()]
        known.append(self._own.records.get(name))
        floor = self._floors.get(name)
        candidates = [
            record
            for record in known
            if record is not None
            and (floor is None or _number(record) >= floor.number)
        ]
        return max(candidates, key=_number, default=None)

    def _has_same_membership(self, one: A, other: A) -> bool:
        return self._membership_of(one)._replace(  # type: ignore[attr-defined]
            sequence=0
        ) == self._membership_of(other)._replace(  # type: ignore[attr-defined]
            sequence=0
        )

    def _membership_of(self, announcement: A) -> A:
        return self._membership(announcement)


def _number(announcement: Announced) -> Number:
    return (announcement.incarnation, announcement.sequence)


def _newer(new: Announced, old: Announced) -> bool:
    return _number(new) > _number(old)


__all__ = [
    "Announced",
    "MAX_LEASE_S",
    "NUMBER_RETENTION_S",
    "MERGED_STREAM",
    "ORIGIN_LEASE_S",
    "OWN_STREAM",
    "Registry",
]
