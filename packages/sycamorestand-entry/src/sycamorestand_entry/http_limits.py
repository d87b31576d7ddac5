"""The limits of an entry on heads of requests and on idle connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorestand_peer.http_door import HttpLimits

if TYPE_CHECKING:
    from sycamorestand_entry.settings import EntrySettings
    from sycamorestand_peer.http_door import LimitsSource


def own_limits(settings: EntrySettings) -> LimitsSource:
    """Return a source of the limits that the settings name."""
    limits = HttpLimits(
        settings.max_header_bytes,
        settings.header_timeout_s,
        float(settings.keep_alive_s),
    )
    return lambda: limits


__all__ = ["own_limits"]
