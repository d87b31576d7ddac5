"""The clock that leases are counted on."""

from __future__ import annotations

import time


def boottime_s() -> float:
    """Return seconds since boot, counting time spent suspended.

    ``CLOCK_MONOTONIC`` stands still while a VM is suspended; a lease
    measured on it would look valid after a pause that outlasted it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ["boottime_s"]
