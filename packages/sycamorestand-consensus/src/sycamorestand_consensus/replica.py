"""One member of one group, as the control process uses it."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple
from typing import Protocol

from sycamorestand_consensus.settings import ReplicaSettings


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
    ``leader``. ``state`` is ``blank`` (belongs to no group yet), ``ok``
    or ``disk_full``. ``leader_id`` is empty where none is known.
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


class Replica:
    """A member of a group: files, timers and the state machine.

    The owner carries payloads: what ``send`` is given for a member id
    must reach ``receive`` of that member, may be lost, doubled or late,
    and is opaque. Addresses of members are in ``status().members``.
    """

    def __init__(
        self,
        folder: Path,
        group: int,
        settings: ReplicaSettings,
        machine: StateMachine,
        send: Callable[[str, bytes], None],
        now: Callable[[], float],
    ) -> None:
        """Read the identity; touch no other file before ``run``.

        ``now`` must go on while the machine is suspended, as
        ``CLOCK_BOOTTIME`` does: leases are measured with it.
        """
        raise NotImplementedError

    @property
    def member_id(self) -> str:
        """Return the id under which this data folder is a member."""
        raise NotImplementedError

    async def run(self) -> None:
        """Open the files and take part until cancelled.

        Raises ``LogCorrupted`` or ``StorageError`` where files cannot be
        trusted; the process should then stop.
        """
        raise NotImplementedError

    def receive(self, sender: str, payload: bytes) -> None:
        """Take a payload that the member ``sender`` gave to its send.

        Payloads before ``run`` has opened the files are dropped.
        """
        raise NotImplementedError

    async def bootstrap(self, members: Sequence[tuple[str, str]]) -> None:
        """Start a new group of voters, as (member id, address) pairs.

        Only a blank member may; every listed voter must be given the same
        list. Usual is one member alone, which then admits the others with
        ``add_learner`` and ``promote``.
        """
        raise NotImplementedError

    async def propose(self, command: bytes) -> object:
        """Commit a command; return what ``apply`` returned here.

        Raises ``NotLeader`` or ``ProposalRefused`` where nothing was
        appended and ``ProposalLost`` where the outcome is unknown.
        """
        raise NotImplementedError

    async def read_barrier(self) -> None:
        """Return once the state machine holds all that was committed.

        Confirms with a majority that this member still leads, so a read
        after it is linearizable. Raises ``NotLeader``.
        """
        raise NotImplementedError

    def leader_lease_remaining_s(self) -> float:
        """Return how long no other member can lead; 0 where unsure."""
        raise NotImplementedError

    def status(self) -> ReplicaStatus:
        """Return the member's view of the group."""
        raise NotImplementedError

    async def add_learner(self, member_id: str, address: str) -> None:
        """Admit a member that receives entries and does not vote.

        Also changes the address of a learner that is already there.
        """
        raise NotImplementedError

    async def promote(self, member_id: str) -> None:
        """Make a learner that has caught up and synced a voter."""
        raise NotImplementedError

    async def remove(self, member_id: str) -> None:
        """Remove a member; the leader itself must hand over first."""
        raise NotImplementedError

    async def transfer_leadership(self, target: str | None) -> None:
        """Hand leadership to ``target``, or to the most caught-up voter.

        Returns once this member no longer leads; raises ``NotLeader`` or
        ``TransferFailed``.
        """
        raise NotImplementedError


__all__ = [
    "MemberStatus",
    "Replica",
    "ReplicaStatus",
    "StateMachine",
]
