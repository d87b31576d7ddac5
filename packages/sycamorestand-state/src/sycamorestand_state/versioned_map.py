"""A map of records with a version, whose copies are updated by deltas.

Sending all of 910 servers to each of 330 nodes every second would exceed
the capacity of the network. The owner of the map counts its changes, and a
copy requests the changes after the version that it has. Every delta, even
an empty one, carries a digest of the whole map. A copy that missed or
confused changes detects this with the next delta, and requests a full one.
"""

from __future__ import annotations

from collections import deque
import hashlib
from typing import Any
from typing import Final
from typing import Generic
from typing import Literal
from typing import NamedTuple
from typing import TypeVar

import msgspec

T = TypeVar("T")
DeltaOutcome = Literal["applied", "stale", "resync"]

# How many changes a copy may miss before it needs a full delta. It exceeds
# the changes of one restart of all servers, at the target size.
HISTORY_LENGTH: Final = 2_048
HASH_BYTES: Final = 8
UNKNOWN_VERSION: Final = -1

_ENCODER: Final = msgspec.msgpack.Encoder()


class MapDelta(NamedTuple, Generic[T]):
    """The changes after ``from_version``, up to ``to_version``.

    ``epoch`` increases with each start of the origin, as its versions
    start again. ``stream`` distinguishes an origin's own records from the
    merged ones that it relays. A ``full`` delta replaces all records of a
    copy.
    """

    origin: str
    stream: str
    epoch: int
    from_version: int
    to_version: int
    changed: dict[str, T]
    removed: tuple[str, ...]
    digest: int
    full: bool = False


class VersionedMap(Generic[T]):
    """The owner's map: its records, version and recent changes."""

    def __init__(self, origin: str, stream: str, epoch: int) -> None:
        self._origin = origin
        self._stream = stream
        self._epoch = epoch
        self._records: dict[str, T] = {}
        self._version = 0
        self._digest = 0
        self._history: deque[str] = deque(maxlen=HISTORY_LENGTH)

    @property
    def records(self) -> dict[str, T]:
        """The records by name; callers must not change them."""
        return self._records

    @property
    def version(self) -> int:
        """The number of changes since the start of the owner."""
        return self._version

    @property
    def digest(self) -> int:
        """A hash of all records, independent of their order."""
        return self._digest

    def begin_epoch(self, epoch: int) -> None:
        """Send what follows as a restarted owner, whose copies ask anew."""
        self._epoch = epoch

    def put(self, name: str, record: T) -> None:
        """Set a record; an equal record is no change.

        Raises what the encoder does, and keeps the record before.
        """
        known = self._records.get(name)
        if known == record:
            return
        # Raises where the record cannot be sent, before it is kept.
        digest = self._digest ^ record_hash(name, record)
        if known is not None:
            digest ^= record_hash(name, known)
        self._digest = digest
        self._records[name] = record
        self._count_change(name)

    def remove(self, name: str) -> None:
        """Remove a record if it exists."""
        known = self._records.pop(name, None)
        if known is not None:
            self._digest ^= record_hash(name, known)
            self._count_change(name)

    def delta_since(self, version: int) -> MapDelta[T] | None:
        """Return the changes after a version.

        Return None if the version is too old, or above the current one.
        """
        missed = self._version - version
        if not 0 <= missed <= len(self._history):
            return None
        names = set(list(self._history)[len(self._history) - missed :])
        changed = {
            name: self._records[name]
            for name in sorted(names)
            if name in self._records
        }
        removed = tuple(sorted(names - set(changed)))
        return self._build_delta(version, changed, removed)

    def full(self) -> MapDelta[T]:
        """Return a full delta with all records."""
        whole = self._build_delta(UNKNOWN_VERSION, dict(self._records), ())
        return whole._replace(full=True)

    def _count_change(self, name: str) -> None:
        self._version += 1
        self._history.append(name)

    def _build_delta(
        self, version: int, changed: dict[str, T], removed: tuple[str, ...]
    ) -> MapDelta[T]:
        return MapDelta(
            self._origin,
            self._stream,
            self._epoch,
            version,
            self._version,
            changed,
            removed,
            self._digest,
        )


class MapCopy(Generic[T]):
    """A follower's copy of one stream of an origin."""

    def __init__(self) -> None:
        self._epoch = UNKNOWN_VERSION
        self._version = UNKNOWN_VERSION
        self._newest_version = UNKNOWN_VERSION
        self._heard_s = float("-inf")
        self._digest = 0
        self.records: dict[str, T] = {}

    @property
    def version(self) -> int:
        """The copied version of the origin's map, -1 to request all."""
        return self._version

    @property
    def heard_s(self) -> float:
        """The time of the last applied delta, on the follower's clock."""
        return self._heard_s

    def apply(self, delta: MapDelta[T], now_s: float) -> DeltaOutcome:
        """Apply a delta; earlier deltas may be lost, late or duplicated.

        ``stale`` means that the delta is older than the copy. ``resync``
        means that the copy needs a full delta; its records are unchanged.
        """
        if self._is_stale(delta):
            return "stale"
        if delta.full:
            records = dict(delta.changed)
            digest = digest_of(records)
        elif self._has_gap(delta):
            return "resync"
        else:
            records, digest = self._with_changes(delta)
        if digest != delta.digest:
            self._version = UNKNOWN_VERSION
            return "resync"
        self.records = records
        self._digest = digest
        self._epoch = delta.epoch
        self._version = delta.to_version
        self._newest_version = delta.to_version
        self._heard_s = now_s
        return "applied"

    def drop(self) -> None:
        """Remove all records, but keep the epoch and newest version.

        Otherwise a delayed full delta would be applied, and bring back
        servers that are gone.
        """
        self.records = {}
        self._digest = 0
        self._version = UNKNOWN_VERSION

    def _with_changes(self, delta: MapDelta[T]) -> tuple[dict[str, T], int]:
        records = {**self.records, **delta.changed}
        digest = self._digest
        for name in delta.removed:
            records.pop(name, None)
        for name in (*delta.changed, *delta.removed):
            if name in self.records:
                digest ^= record_hash(name, self.records[name])
        for name, record in delta.changed.items():
            digest ^= record_hash(name, record)
        return records, digest

    def _is_stale(self, delta: MapDelta[T]) -> bool:
        if delta.epoch != self._epoch:
            return delta.epoch < self._epoch
        return delta.to_version < self._newest_version

    def _has_gap(self, delta: MapDelta[T]) -> bool:
        if delta.epoch != self._epoch:
            return True
        return not 0 <= delta.from_version <= self._version


def record_hash(name: str, record: Any) -> int:
    """Return the hash of one record.

    A digest is the xor of the hashes of all records.
    """
    digest = hashlib.blake2b(
        _ENCODER.encode((name, record)), digest_size=HASH_BYTES
    ).digest()
    return int.from_bytes(digest, "big")


def digest_of(records: dict[str, T]) -> int:
    """Return the digest of a map with these records."""
    digest = 0
    for name, record in records.items():
        digest ^= record_hash(name, record)
    return digest


__all__ = [
    "DeltaOutcome",
    "digest_of",
    "HISTORY_LENGTH",
    "MapCopy",
    "MapDelta",
    "record_hash",
    "UNKNOWN_VERSION",
    "VersionedMap",
]
