"""The limits of an entry on heads of requests and on idle connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorestand_model.routes import CallerLimits
from sycamorestand_peer.http_door import HttpLimits

if TYPE_CHECKING:
    from sycamorestand_entry.ports import ControlPort
    from sycamorestand_entry.settings import EntrySettings
    from sycamorestand_peer.http_door import LimitsSource

MS_PER_S = 1_000


def own_limits(settings: EntrySettings) -> LimitsSource:
    """Return a source of the limits that the settings name."""
    limits = HttpLimits(
        settings.max_header_bytes,
        settings.header_timeout_s,
        float(settings.keep_alive_s),
    )
    return lambda: limits


def declared_limits(control: ControlPort) -> LimitsSource:
    """Return a source of the declared limits that are in force.

    A limit of 0 would shut the doors, so the default holds in its place.
    """
    known = CallerLimits()
    limits = _to_limits(known)

    def read() -> HttpLimits:
        nonlocal known, limits
        declared = control.in_force().declarations.limits
        if declared is not known:
            known, limits = declared, _to_limits(declared)
        return limits

    return read


def _to_limits(declared: CallerLimits) -> HttpLimits:
    default = CallerLimits()
    header_ms = declared.header_timeout_ms or default.header_timeout_ms
    idle_ms = declared.idle_timeout_ms or default.idle_timeout_ms
    return HttpLimits(
        declared.max_header_bytes or default.max_header_bytes,
        header_ms / MS_PER_S,
        idle_ms / MS_PER_S,
    )


__all__ = ["declared_limits", "own_limits"]
