"""Read the resource usage of processes from ``/proc`` and ``ss``."""

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
SS_TIMEOUT_S: Final = 10
SENT: Final = re.compile(r"\bbytes_sent:(\d+)")
RECEIVED: Final = re.compile(r"\bbytes_received:(\d+)")


class Usage(NamedTuple):
    """Cumulative totals of one process, and its current resident memory."""

    at_s: float
    cpu_s: float
    resident_mb: float
    sent_bytes: int
    received_bytes: int


class Rate(NamedTuple):
    """The mean usage of a process during an interval.

    ``resident_mb`` is no mean but the value at the end of the interval.
    """

    cpu_percent: float
    resident_mb: float
    sent_bytes_per_s: float
    received_bytes_per_s: float


def read_usage(pids: list[int]) -> dict[int, Usage]:
    """Return the usage of the processes, with one call of ``ss`` for all."""
    sockets = subprocess.run(
        ["ss", "-tinpHO"],
        capture_output=True,
        text=True,
        timeout=SS_TIMEOUT_S,
        check=True,
    ).stdout
    return {pid: _read_process(pid, sockets) for pid in pids}


def rate_between(before: Usage, after: Usage) -> Rate:
    """Return the usage between two readings."""
    seconds = after.at_s - before.at_s
    return Rate(
        100 * (after.cpu_s - before.cpu_s) / seconds,
        after.resident_mb,
        (after.sent_bytes - before.sent_bytes) / seconds,
        (after.received_bytes - before.received_bytes) / seconds,
    )


def socket_bytes(sockets: str, pid: int) -> tuple[int, int]:
    """Return bytes sent and received on a process's open connections.

    ``sockets`` is the output of ``ss -tinpHO``, one line per connection.
    """
    mark = f"pid={pid},"
    lines = [line for line in sockets.splitlines() if mark in line]
    return _sum_matches(SENT, lines), _sum_matches(RECEIVED, lines)


def parse_cpu_s(schedstat: str) -> float:
    """Return the CPU seconds in a line of ``/proc/PID/schedstat``."""
    return int(schedstat.split()[0]) / NANOSECONDS


def parse_resident_mb(status: str) -> float:
    """Return the megabytes of resident memory in ``/proc/PID/status``."""
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIBIBYTE / MEGABYTE
    raise ValueError("the process has no resident memory")


def _read_process(pid: int, sockets: str) -> Usage:
    folder = Path(f"/proc/{pid}")
    threads = (folder / "task").glob("*/schedstat")
    cpu_s = sum(parse_cpu_s(path.read_text()) for path in threads)
    memory_mb = parse_resident_mb((folder / "status").read_text())
    sent, received = socket_bytes(sockets, pid)
    return Usage(time.monotonic(), cpu_s, memory_mb, sent, received)


def _sum_matches(pattern: re.Pattern[str], lines: list[str]) -> int:
    return sum(int(found) for line in lines for found in pattern.findall(line))


__all__ = [
    "parse_cpu_s",
    "parse_resident_mb",
    "Rate",
    "rate_between",
    "read_usage",
    "socket_bytes",
    "Usage",
]
