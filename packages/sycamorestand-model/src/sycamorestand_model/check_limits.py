"""Check that the limits of routes and callers agree with each other.

Limits that contradict each other are warnings, as requests are answered all
the same. A value outside the range that its schema allows is an error.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_model.check_context import declaration_place
from sycamorestand_model.findings import key_place
from sycamorestand_model.findings import Place
from sycamorestand_model.route_schemas import MAX_PRIORITY

if TYPE_CHECKING:
    from sycamorestand_model.check_context import CheckContext
    from sycamorestand_model.routes import Route

# Pairs of fields of a route; the first should not exceed the second, and
# 0 in either means that there is no such limit.
_ORDERED_FIELDS: Final = (
    ("target_latency_ms", "timeout_ms"),
    ("gap_target_ms", "silence_limit_ms"),
    ("silence_limit_ms", "timeout_ms"),
)


def check_limits(context: CheckContext) -> None:
    """Check the limits of every route and those of all callers."""
    for route in context.declarations.routes.values():
        place = declaration_place(context, "routes", route.name)
        _check_order(context, route, place)
        _check_climbs(context, route, place)
        if not 0 <= route.priority <= MAX_PRIORITY:
            context.findings.error(
                key_place(place, "priority"),
                "out of range",
                f"must lie between 0 and {MAX_PRIORITY}",
            )
    _check_caller_limits(context)


def _check_order(context: CheckContext, route: Route, place: Place) -> None:
    for field, bound in _ORDERED_FIELDS:
        value, bound_value = getattr(route, field), getattr(route, bound)
        if bound_value and value > bound_value:
            context.findings.warning(
                key_place(place, field),
                f"{value} is longer than {bound}, {bound_value}",
                f"keep it at most {bound}, or raise that",
            )


def _check_climbs(context: CheckContext, route: Route, place: Place) -> None:
    sizes_place = key_place(place, "sizes")
    count = len(route.sizes)
    if count < 2:
        return
    if route.kind != "stream":
        context.findings.warning(
            sizes_place,
            f"only a stream climbs, and the route's kind is '{route.kind}'",
            "leave the larger sizes out, or make the kind 'stream'",
        )
    elif route.max_attempts == 1:
        context.findings.warning(
            sizes_place,
            "with one attempt no request climbs from a size to the next",
            f"raise max_attempts to {count}, or leave the larger sizes out",
        )
    elif route.max_attempts < count:
        context.findings.warning(
            sizes_place,
            f"{route.max_attempts} attempts do not lead through {count} sizes,"
            " so requests skip some",
            f"raise max_attempts to {count} unless that is meant",
        )


def _check_caller_limits(context: CheckContext) -> None:
    limits, findings = context.declarations.limits, context.findings
    if limits.max_header_bytes <= 0:
        findings.warning(
            Place("", "limits.max_header_bytes"),
            "is 0, and no request has so small a header",
            "give the size of the largest header",
        )
    if limits.max_body_bytes <= 0:
        findings.warning(
            Place("", "limits.max_body_bytes"),
            "is 0, so every request with a body is refused",
            "give the size of the largest body unless that is meant",
        )
    if limits.idle_timeout_ms < limits.header_timeout_ms:
        findings.warning(
            Place("", "limits.idle_timeout_ms"),
            f"{limits.idle_timeout_ms} is shorter than header_timeout_ms,"
            f" {limits.header_timeout_ms}",
            "let connections idle at least as long as a header may take",
        )


__all__ = ["check_limits"]
