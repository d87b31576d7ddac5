"""The header in which a backend server reports its load."""

from __future__ import annotations

from typing import Final

from sycamorestand_decisions.load_checks import MAX_COUNT
from sycamorestand_decisions.load_checks import MAX_SLOWNESS
from sycamorestand_model.server_loads import LoadHeader

MAX_DIGITS: Final = len(str(MAX_COUNT))
MAX_SLOWNESS_PERCENT: Final = int(100 * MAX_SLOWNESS)


def read_load_header(value: bytes) -> LoadHeader | None:
    """Return the load in a header's value, None if it cannot be true.

    The value is ``running,waiting,slots`` or
    ``running,waiting,slots,slowness``, the slowness in per cent.

    >>> read_load_header(b"17,2,24,120")
    LoadHeader(running=17, waiting=2, slots=24, slowness=1.2)
    >>> read_load_header(b"17,2,0")
    """
    fields = value.split(b",", 4)
    if not 3 <= len(fields) <= 4:
        return None
    for field in fields:
        if not field.isdigit() or len(field) > MAX_DIGITS:
            return None
    running, waiting, slots, *slowness = map(int, fields)
    if slots == 0:
        return None
    if not slowness:
        return LoadHeader(running, waiting, slots)
    if not 0 < slowness[0] <= MAX_SLOWNESS_PERCENT:
        return None
    return LoadHeader(running, waiting, slots, slowness[0] / 100)


__all__ = ["read_load_header"]
