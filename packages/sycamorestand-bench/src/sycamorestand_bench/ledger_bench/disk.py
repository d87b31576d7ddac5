"""Measure the disk's fsync time without the ledger.

Three voters wait for their disks. If the disk itself pauses, the waits of
the ledger are no measure of the ledger.
"""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import os
import tempfile
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.control_bench.fitting import percentile

if TYPE_CHECKING:
    from pathlib import Path

WRITERS: Final = 3
SECONDS: Final = 2.0
PAUSE_S: Final = 0.003
RECORD: Final = b"x" * 2000
MILLISECONDS: Final = 1000


class SyncTimes(NamedTuple):
    """Percentiles of the fsync time with one file per voter."""

    p50_ms: float
    p99_ms: float
    longest_ms: float


def measure_syncs(folder: Path) -> SyncTimes:
    """Append to three files and sync them concurrently, like three voters."""
    with ThreadPoolExecutor(WRITERS) as pool:
        runs = list(pool.map(_sync_repeatedly, [folder] * WRITERS))
    return summarize([value for run in runs for value in run])


def summarize(values_ms: list[float]) -> SyncTimes:
    """Return the percentiles and the maximum of fsync times."""
    return SyncTimes(
        percentile(values_ms, 50), percentile(values_ms, 99), max(values_ms)
    )


def _sync_repeatedly(folder: Path) -> list[float]:
    values_ms = []
    until_s = time.perf_counter() + SECONDS
    with tempfile.TemporaryFile(dir=folder) as stream:
        while time.perf_counter() < until_s:
            stream.write(RECORD)
            stream.flush()
            begun_s = time.perf_counter()
            os.fsync(stream.fileno())
            values_ms.append((time.perf_counter() - begun_s) * MILLISECONDS)
            time.sleep(PAUSE_S)
    return values_ms


__all__ = ["measure_syncs", "summarize", "SyncTimes"]
