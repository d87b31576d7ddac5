"""Checks of the server loads that other processes report.

A process of another release, or one with a fault, may report counts and ages
that cannot be true. Without these checks, one such report would keep all
entries from a server, or send all of them there. Such a value is treated as
missing.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorestand_model.server_loads import LoadHeader

# Senders repeat their reports every 0.5 s, and control processes their sums
# every 1 s. One that is not repeated within this time is of a process that has
# ended or is cut off.
REPORT_LIFETIME_S: Final = 2.0
MAX_COUNT: Final = 999_999_999
# These exclude what cannot be true. How far an estimate follows a slowness is
# bounded in `server_room`.
MIN_SLOWNESS: Final = 0.01
MAX_SLOWNESS: Final = 100.0
# An older report does not reflect the current load.
MAX_HEADER_AGE_S: Final = 30.0


def is_sound_header(header: LoadHeader | None, age_s: float) -> bool:
    """Return whether a header of this age can be true.

    A slowness of 0.0 means that the server does not report it.
    """
    return (
        header is not None
        and 0 <= header.running <= MAX_COUNT
        and 0 <= header.waiting <= MAX_COUNT
        and 0 < header.slots <= MAX_COUNT
        and (
            header.slowness == 0.0
            or MIN_SLOWNESS <= header.slowness <= MAX_SLOWNESS
        )
        and 0 <= age_s <= MAX_HEADER_AGE_S
    )


def sound_count(count: int) -> int:
    """Return the count, 0 if it cannot be true."""
    return count if 0 <= count <= MAX_COUNT else 0


__all__ = [
    "is_sound_header",
    "MAX_COUNT",
    "MAX_HEADER_AGE_S",
    "MAX_SLOWNESS",
    "MIN_SLOWNESS",
    "REPORT_LIFETIME_S",
    "sound_count",
]
