"""Soft-state registry of processes that announce themselves.

Each control process receives the announcements of some announcers directly,
through its entries, and decides alone, on its own clock, when their leases
expire. Renewals are not forwarded: other processes keep a record as long as
they hear from its origin. Only membership changes are sent, as deltas of two
streams: a control process sends its own records to other control processes,
and the merged records of all origins to entries.

If several origins have a record of the same name, the one with the highest
incarnation and sequence wins. The number of a leaving record is kept as a
floor after the record is removed, so that an older record of another origin
does not bring the announcer back.
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
# An origin sends at least an empty delta each second. After three lost
# deltas in a row, its announcers must be learned from another origin.
ORIGIN_LEASE_S: Final = 3.0
MAX_LEASE_S: Final = 10.0
# How long the last number of a name is kept after its lease: longer than
# any announcement can be delayed in the network, and than any lease.
NUMBER_RETENTION_S: Final = 60.0

Number = tuple[int, int]


class Announced(Protocol):
    """The attributes that every announcement has."""

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

    ``membership`` returns an announcement without the fields that change
    with each renewal. ``is_leaving`` returns whether the announcer leaves.
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
        """The version of the records that were announced directly."""
        return self._own.version

    def begin_epoch(self, epoch: int) -> None:
        """Go on as after a restart, with an epoch above earlier ones."""
        self._own.begin_epoch(epoch)
        self._merged.begin_epoch(epoch)

    def digest(self) -> int:
        """Return the digest of the merged records."""
        return self._merged.digest

    def records(self) -> dict[str, A]:
        """Return the merged records by name, including leaving ones."""
        return self._merged.records

    def announce(self, announcement: A, now_s: float) -> bool:
        """Store a direct announcement; return False if it is old.

        Raises `OverflowError` for numbers that no message holds.
        """
        name = announcement.name
        heard = self._heard.get(name)
        if heard is not None and not _is_newer(
            announcement, heard.announcement
        ):
            return False
        lease_s = min(announcement.lease_s, MAX_LEASE_S)
        self._heard[name] = _Heard(announcement, now_s + lease_s)
        try:
            self._publish(name, now_s)
        except OverflowError:
            # It cannot be sent, and must not go out with the next merge.
            del self._heard[name]
            if heard is not None:
                self._heard[name] = heard
            raise
        return True

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Remove expired records and origins; return the removed names."""
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
        """Return the merged changes after a version, for an entry.

        Return None if the version is too old or unknown.
        """
        return self._merged.delta_since(version)

    def full(self) -> MapDelta[A]:
        """Return all merged records as a full delta, for an entry."""
        return self._merged.full()

    def own_delta_since(self, version: int) -> MapDelta[A] | None:
        """Return changes to own records after a version.

        The delta is for another control process. Return None if the
        version is too old or unknown.
        """
        return self._own.delta_since(version)

    def own_full(self) -> MapDelta[A]:
        """Return all own records as a full delta, for a control process."""
        return self._own.full()

    def apply_delta(self, delta: MapDelta[A], now_s: float) -> DeltaOutcome:
        """Apply an origin's delta; ``resync`` means to request a full one."""
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
        """Return the copied version of an origin, -1 to request all."""
        copy = self._copies.get(origin)
        return UNKNOWN_VERSION if copy is None else copy.version

    def forget_origin(self, origin: str, now_s: float) -> None:
        """Drop the records of an origin, as when an entry changes to another.

        Records that another origin has as well remain.
        """
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
        # A renewal changes nothing, unless a newer record of another origin
        # or a floor overrides the record that is announced here.
        if name in self._own.records and merged is not None:
            if not _is_newer(heard.announcement, merged):
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


def _is_newer(new: Announced, old: Announced) -> bool:
    return _number(new) > _number(old)


__all__ = [
    "Announced",
    "MAX_LEASE_S",
    "MERGED_STREAM",
    "NUMBER_RETENTION_S",
    "ORIGIN_LEASE_S",
    "OWN_STREAM",
    "Registry",
]
