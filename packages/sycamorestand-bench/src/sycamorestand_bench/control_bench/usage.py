"""What a process has used, from ``/proc`` and from ``ss``."""

from __future__ import annotations

from pathlib import Path
import re
import subprocess
import time
from typing import Final
from typing import NamedTuple

MEGABYTE: Final = 1_000_000
NANOSECONDS: Final = 1e9
KIBIBYTE: Final = 1024
SS_BOUND_S: Final = 10
SENT: Final = re.compile(r"\bbytes_sent:(\d+)")
RECEIVED: Final = re.compile(r"\bbytes_received:(\d+)")


class Usage(NamedTuple):
    """Running totals of one process, but for its resident memory."""

    at_s: float
    cpu_s: float
    resident_mb: float
    sent_bytes: int
    received_bytes: int


class Rate(NamedTuple):
    """What a process uses, each second of an interval."""

    cpu_percent: float
    resident_mb: float
    sent_bytes_per_s: float
    received_bytes_per_s: float


def read_usage(pids: list[int]) -> dict[int, Usage]:
    """Return the usage of processes; one call of ``ss`` serves them all."""
    sockets = subprocess.run(
        ["ss", "-tinpHO"],
        capture_output=True,
        text=True,
        timeout=SS_BOUND_S,
        check=True,
    ).stdout
    return {pid: _read_one(pid, sockets) for pid in pids}


def rate(before: Usage, after: Usage) -> Rate:
    """Return what was used a second between two readings."""
    seconds = after.at_s - before.at_s
    return Rate(
        100 * (after.cpu_s - before.cpu_s) / seconds,
        after.resident_mb,
        (after.sent_bytes - before.sent_bytes) / seconds,
        (after.received_bytes - before.received_bytes) / seconds,
    )


def socket_bytes(sockets: str, pid: int) -> tuple[int, int]:
    """Return bytes sent and received on a process's open connections.

    ``sockets`` is what ``ss -tinpHO`` prints, a line a connection.
    """
    mark = f"pid={pid},"
    lines = [line for line in sockets.splitlines() if mark in line]
    return _sum(SENT, lines), _sum(RECEIVED, lines)


def run_time_s(schedstat: str) -> float:
    """Return the processor time that a line of ``schedstat`` tells."""
    return int(schedstat.split()[0]) / NANOSECONDS


def resident_mb(status: str) -> float:
    """Return the resident memory that ``/proc/PID/status`` tells."""
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIBIBYTE / MEGABYTE
    raise ValueError("the process has no resident memory")


def _read_one(pid: int, sockets: str) -> Usage:
    folder = Path(f"/proc/{pid}")
    threads = (folder / "task").glob("*/schedstat")
    cpu_s = sum(run_time_s(path.read_text()) for path in threads)
    memory_mb = resident_mb((folder / "status").read_text())
    sent, received = socket_bytes(sockets, pid)
    return Usage(time.monotonic(), cpu_s, memory_mb, sent, received)


def _sum(pattern: re.Pattern[str], lines: list[str]) -> int:
    return sum(int(found) for line in lines for found in pattern.findall(line))


__all__ = [
    "Rate",
    "rate",
    "read_usage",
    "resident_mb",
    "run_time_s",
    "socket_bytes",
    "Usage",
]
