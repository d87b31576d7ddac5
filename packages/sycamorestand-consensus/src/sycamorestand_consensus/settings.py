"""Timings and sizes of a replica."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

from sycamorestand_consensus.errors import SettingsRefused

# Maximum relative error in the rate of one clock. A quartz clock stays
# within 0.0002; the rest covers a clock that is slewed and a paused VM.
CLOCK_RATE_MARGIN: Final = 0.05

KIBIBYTE: Final = 1024
MEBIBYTE: Final = 1024 * KIBIBYTE

# Shares of the memory and of the disk of a process. Between two snapshots, all
# its logs together grow by the smaller one.
MEMORY_SHARE: Final = 1 / 16
DISK_SHARE: Final = 1 / 8
MIN_LOG_BYTES: Final = 256 * KIBIBYTE
MAX_LOG_BYTES: Final = 16 * MEBIBYTE
# A snapshot covers three whole segments and half of the fourth one.
SEGMENTS_PER_SNAPSHOT: Final = 3.5


class ReplicaSettings(NamedTuple):
    """Timings and sizes that all members of a group should share.

    A lease must expire before any follower may vote again, even if the
    leader's clock is slow and the follower's is fast. So ``lease_s`` is
    shorter than ``election_min_s`` by more than both rate margins.

    A snapshot is made after ``snapshot_every_entries``, or once they take
    ``snapshot_every_bytes``, and the log keeps at most ``trailing_entries``
    and ``trailing_bytes`` behind it. ``max_backlog_bytes`` bounds what a
    leader has proposed without a majority's sync, what a member has not
    synced itself, and what it has received and not processed.
    ``max_inflight_bytes`` bounds what one member has not acknowledged, and
    ``max_commit_bytes`` what is written at once. ``reserve_bytes`` or more is
    kept free on the disk for a snapshot.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.8
    election_max_s: float = 1.4
    lease_s: float = 0.7
    max_append_bytes: int = 256 * KIBIBYTE
    max_inflight_messages: int = 64
    max_inflight_bytes: int = 2 * MEBIBYTE
    max_command_bytes: int = MEBIBYTE
    max_backlog_bytes: int = 4 * MEBIBYTE
    max_commit_bytes: int = MEBIBYTE
    snapshot_chunk_bytes: int = 128 * KIBIBYTE
    snapshot_every_entries: int = 2000
    snapshot_every_bytes: int = 4 * MEBIBYTE
    trailing_entries: int = 500
    trailing_bytes: int = MEBIBYTE
    reserve_bytes: int = MEBIBYTE
    segment_bytes: int = int(4 * MEBIBYTE / SEGMENTS_PER_SNAPSHOT)
    disk_retry_s: float = 0.5


def settings_within(
    memory_bytes: int, disk_bytes: int, logs: int
) -> ReplicaSettings:
    """Return settings whose logs fit into a process and its disk.

    ``logs`` is the number of logs that share them.

    Example: with 128 MiB of memory, 64 MiB of disk and two logs, each log
    makes a snapshot after 4 MiB.
    """
    share = min(memory_bytes * MEMORY_SHARE, disk_bytes * DISK_SHARE) / logs
    log_bytes = int(min(max(share, MIN_LOG_BYTES), MAX_LOG_BYTES))
    defaults = ReplicaSettings()
    return defaults._replace(
        # A command has to fit, and another one has to be able to follow.
        max_backlog_bytes=max(log_bytes, 2 * defaults.max_command_bytes),
        snapshot_every_bytes=log_bytes,
        trailing_bytes=log_bytes // 4,
        reserve_bytes=log_bytes // 4,
        segment_bytes=int(log_bytes / SEGMENTS_PER_SNAPSHOT),
    )


def check_settings(settings: ReplicaSettings) -> None:
    """Raise ``SettingsRefused`` with a list of all contradictions."""
    findings = []
    slow_lease_s = settings.lease_s * (1 + CLOCK_RATE_MARGIN)
    if slow_lease_s >= settings.election_min_s * (1 - CLOCK_RATE_MARGIN):
        findings.append(
            "lease_s leaves no margin for clock rates below election_min_s"
        )
    if settings.election_max_s <= settings.election_min_s:
        findings.append("election_max_s must be above election_min_s")
    if settings.heartbeat_s * 2 > settings.lease_s:
        findings.append("heartbeat_s must be at most half of lease_s")
    sizes = (
        settings.max_append_bytes,
        settings.max_inflight_messages,
        settings.max_inflight_bytes,
        settings.max_command_bytes,
        settings.max_backlog_bytes,
        settings.max_commit_bytes,
        settings.snapshot_chunk_bytes,
        settings.snapshot_every_entries,
        settings.snapshot_every_bytes,
        settings.segment_bytes,
    )
    may_be_0 = (
        settings.trailing_entries,
        settings.trailing_bytes,
        settings.reserve_bytes,
    )
    if min(sizes) < 1 or min(may_be_0) < 0:
        findings.append("sizes must be positive")
    if findings:
        raise SettingsRefused("; ".join(findings))


__all__ = [
    "CLOCK_RATE_MARGIN",
    "MEBIBYTE",
    "ReplicaSettings",
    "check_settings",
    "settings_within",
]
