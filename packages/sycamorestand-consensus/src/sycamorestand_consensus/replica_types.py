"""What an owner of a replica gives to it and sees of it."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol


class StateMachine(Protocol):
    """What the log drives; every member applies the same commands."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command; must be deterministic, not raise."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state after the last applied command."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the whole state by an earlier ``snapshot``."""
        ...


class MemberStatus(NamedTuple):
    """One member as this replica knows it.

    ``match_index`` is the last entry known to be synced there; it is
    filled in at the leader only.
    """

    member_id: str
    address: str
    voter: bool
    match_index: int


class ReplicaStatus(NamedTuple):
    """A replica at one moment.

    ``role`` is ``follower``, ``pre_candidate``, ``candidate`` or
    ``leader``. ``state`` is ``starting`` (files are not open), ``blank``
    (belongs to no group yet), ``ok`` or ``disk_full``. ``leader_id`` is
    empty where none is known.
    """

    member_id: str
    role: str
    term: int
    leader_id: str
    commit_index: int
    applied_index: int
    last_index: int
    members: tuple[MemberStatus, ...]
    state: str
    payloads_refused: int = 0


__all__ = ["MemberStatus", "ReplicaStatus", "StateMachine"]
