"""Errors of the replicated log, under one root."""

from __future__ import annotations

from pathlib import Path


class ConsensusError(Exception):
    """Base of every error that the replicated log raises on purpose."""


class NotLeader(ConsensusError):
    """This member does not lead; nothing was appended.

    ``leader_id`` is the member to ask instead, empty where none is known.
    """

    def __init__(self, leader_id: str) -> None:
        """Keep the hint beside the message."""
        self.leader_id = leader_id
        hint = leader_id or "unknown"
        super().__init__(f"not the leader; the leader is {hint}")


class ProposalLost(ConsensusError):
    """Leadership was lost before the commit; the outcome is unknown."""


class ProposalRefused(ConsensusError):
    """The leader did not append the command; the message says why."""


class MembershipRefused(ConsensusError):
    """The change of membership was not appended; the message says why."""


class ChangeUnderWay(MembershipRefused):
    """An earlier change is not committed yet; this one can be made then."""


class TransferFailed(ConsensusError):
    """Leadership could not be handed over; the message says why."""


class BootstrapRefused(ConsensusError):
    """The member already belongs to a group and cannot start another."""


class SettingsRefused(ConsensusError):
    """Timings or sizes contradict each other; the message says which."""


class SafetyViolated(ConsensusError):
    """An input contradicts the protocol; the member must stop.

    Going on could overwrite a committed entry, so the error is meant to
    end the process rather than to be handled.
    """


class StorageError(ConsensusError):
    """Files of the group cannot be used."""


class DiskFull(StorageError):
    """A write found no space; nothing that was synced is lost."""


class LogCorrupted(StorageError):
    """A checksum failed where no torn write explains it."""

    def __init__(self, path: Path, offset_bytes: int, reason: str) -> None:
        """Name the file and the place, so that an operator can look."""
        self.path = path
        self.offset_bytes = offset_bytes
        super().__init__(f"{path} at byte {offset_bytes}: {reason}")


__all__ = [
    "BootstrapRefused",
    "ChangeUnderWay",
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
