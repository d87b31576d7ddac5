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


class ReplicaSettings(NamedTuple):
    """Timings and sizes that all members of a group should share.

    A lease must expire before any follower may vote again, even if the
    leader's clock is slow and the follower's is fast. So ``lease_s`` is
    shorter than ``election_min_s`` by more than both rate margins.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.8
    election_max_s: float = 1.4
    lease_s: float = 0.7
    max_append_bytes: int = 256 * KIBIBYTE
    max_inflight_messages: int = 64
    max_command_bytes: int = MEBIBYTE
    max_uncommitted_bytes: int = 32 * MEBIBYTE
    snapshot_chunk_bytes: int = 128 * KIBIBYTE
    snapshot_every_entries: int = 2000
    trailing_entries: int = 500
    segment_bytes: int = 8 * MEBIBYTE
    disk_retry_s: float = 0.5


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
        settings.max_command_bytes,
        settings.max_uncommitted_bytes,
        settings.snapshot_chunk_bytes,
        settings.snapshot_every_entries,
        settings.segment_bytes,
    )
    if min(sizes) < 1 or settings.trailing_entries < 0:
        findings.append("sizes must be positive")
    if findings:
        raise SettingsRefused("; ".join(findings))


__all__ = [
    "CLOCK_RATE_MARGIN",
    "ReplicaSettings",
    "check_settings",
]
