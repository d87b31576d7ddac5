"""State machine interface and status types for a replica's owner."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol


class StateMachine(Protocol):
    """State machine to which every member applies the same commands."""

    def check(self, command: bytes) -> None:
        """Raise an error if ``apply`` could not read the command."""
        ...

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command; must be deterministic.

        An error ends this member, and again at each start. It is for a
        command that other members may be able to apply.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the whole state after the last applied command."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of an earlier ``snapshot``."""
        ...


class MemberStatus(NamedTuple):
    """One member as this replica knows it.

    ``match_index`` is the last entry known to be synced on that member.
    Only the leader knows it for the other members; elsewhere it is 0.
    """

    member_id: str
    address: str
    voter: bool
    match_index: int


class ReplicaSizes(NamedTuple):
    """What a replica holds at one moment, in bytes.

    ``log`` is the part of the log that is in memory, ``unsynced`` the part
    of it that is not on this disk, ``uncommitted`` the part that no
    majority has. ``received`` is what has arrived and is not processed yet,
    and ``disk`` what the files of the group take.
    """

    log: int = 0
    unsynced: int = 0
    uncommitted: int = 0
    snapshot: int = 0
    received: int = 0
    disk: int = 0


class ReplicaStatus(NamedTuple):
    """Status of a replica at one moment.

    ``role`` is ``follower``, ``pre_candidate``, ``candidate`` or
    ``leader``. ``state`` is ``starting`` (files are not open), ``blank``
    (belongs to no group yet), ``ok`` or ``disk_full``. ``leader_id`` is
    empty if no leader is known.
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


__all__ = ["MemberStatus", "ReplicaSizes", "ReplicaStatus", "StateMachine"]
