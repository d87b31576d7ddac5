"""The clock that measures leases."""

from __future__ import annotations

import time


def boottime_s() -> float:
    """Return the seconds since boot, including time spent suspended.

    ``CLOCK_MONOTONIC`` does not advance while a VM is suspended, so a
    lease that ran out during the suspension would still look valid on it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ["boottime_s"]
