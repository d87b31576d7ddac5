"""Errors that the replicated log raises."""

from __future__ import annotations

from pathlib import Path


class ConsensusError(Exception):
    """Base class of all errors that the replicated log raises."""


class NotLeader(ConsensusError):
    """This member is not the leader; nothing was appended.

    ``leader_id`` names the member to ask instead and is empty if no
    leader is known.
    """

    def __init__(self, leader_id: str) -> None:
        """Store the id of the leader that the caller should ask."""
        self.leader_id = leader_id
        hint = leader_id or "unknown"
        super().__init__(f"not the leader; the leader is {hint}")


class ProposalLost(ConsensusError):
    """The outcome of a proposal is unknown.

    The member lost leadership before the commit, stopped, or installed a
    snapshot that covers the entry.
    """


class ProposalRefused(ConsensusError):
    """The leader refused a command and did not append it."""


class CommandRefused(ProposalRefused):
    """The log takes no such command; another try is refused as well."""


class MembershipRefused(ConsensusError):
    """The leader refused a membership change and did not append it."""


class ChangeUnderWay(MembershipRefused):
    """An earlier change is not committed yet; retry after its commit."""


class TransferFailed(ConsensusError):
    """Leadership could not be transferred to another voter."""


class BootstrapRefused(ConsensusError):
    """The member already belongs to a group, or its list is invalid."""


class SettingsRefused(ConsensusError):
    """Timings or sizes contradict each other."""


class SafetyViolated(ConsensusError):
    """An input violates the protocol; the member must stop.

    The process must end instead of handling this error, since continuing
    could overwrite a committed entry.
    """


class StorageError(ConsensusError):
    """The files of a group cannot be used."""


class DiskFull(StorageError):
    """A write failed for lack of space; synced data is intact."""


class LogCorrupted(StorageError):
    """A file is damaged in a way that no torn write explains."""

    def __init__(self, path: Path, offset_bytes: int, reason: str) -> None:
        """Store the file and offset so that an operator can inspect them."""
        self.path = path
        self.offset_bytes = offset_bytes
        super().__init__(f"{path} at byte {offset_bytes}: {reason}")


__all__ = [
    "BootstrapRefused",
    "ChangeUnderWay",
    "CommandRefused",
    "ConsensusError",
    "DiskFull",
    "LogCorrupted",
    "MembershipRefused",
    "NotLeader",
    "ProposalLost",
    "ProposalRefused",
    "SafetyViolated",
    "SettingsRefused",
    "StorageError",
    "TransferFailed",
]
