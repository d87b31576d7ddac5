"""Check routes: targets, sizes, kinds and duplicate prefixes."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_model.check_context import declaration_place
from sycamorestand_model.check_context import report_unknown
from sycamorestand_model.findings import item_place
from sycamorestand_model.findings import key_place

if TYPE_CHECKING:
    from sycamorestand_model.check_context import CheckContext
    from sycamorestand_model.findings import Place
    from sycamorestand_model.routes import Route

# A request line ends its path at either of them.
_UNSENT_CHARACTERS: Final = frozenset(" ?")


def check_routes(context: CheckContext) -> None:
    """Check every route, and that no two share a host and a path prefix."""
    route_by_prefix: dict[tuple[str, str], str] = {}
    route_in_any_case: dict[tuple[str, str], str] = {}
    for route in context.declarations.routes.values():
        place = declaration_place(context, "routes", route.name)
        _check_targets(context, route, place)
        _check_sizes(context, route, place)
        _check_kind(context, route, place)
        _check_path_prefix(context, route, place)
        # Requests find their host in any case, and their path in its own.
        key = (route.host.lower(), route.path_prefix)
        first_route = route_by_prefix.setdefault(key, route.name)
        folded_key = (route.host.lower(), route.path_prefix.lower())
        similar_route = route_in_any_case.setdefault(folded_key, route.name)
        if first_route != route.name:
            context.findings.error(
                key_place(place, "path_prefix"),
                f"routes.{first_route} has the same host and prefix",
                "remove one, or give it a prefix of its own",
            )
        elif similar_route != route.name:
            context.findings.warning(
                key_place(place, "path_prefix"),
                f"routes.{similar_route} has the same prefix in another case",
                "remove one unless callers send both",
            )


def _check_path_prefix(
    context: CheckContext, route: Route, place: Place
) -> None:
    if not _UNSENT_CHARACTERS.isdisjoint(route.path_prefix):
        context.findings.error(
            key_place(place, "path_prefix"),
            "holds a space or '?', which no path does, so it never matches",
            "give the path without the query, as callers send it",
        )


def _check_targets(context: CheckContext, route: Route, place: Place) -> None:
    targets_place = key_place(place, "targets")
    for index, target in enumerate(route.targets):
        if target.service not in context.declarations.services:
            target_place = item_place(targets_place, index)
            report_unknown(context, "services", target.service, target_place)
    if not sum(target.weight for target in route.targets):
        context.findings.error(
            targets_place,
            "the weights add up to 0, so no request would run",
            "give one of the targets a weight",
        )
        return
    for index, target in enumerate(route.targets):
        if not target.weight:
            context.findings.warning(
                key_place(item_place(targets_place, index), "weight"),
                "is 0, so the target gets no request",
                "give it a weight, or remove it unless it is kept ready",
            )


def _check_sizes(context: CheckContext, route: Route, place: Place) -> None:
    for index, name in enumerate(route.sizes):
        for target in route.targets:
            service = context.declarations.services.get(target.service)
            if service is None:
                continue
            engine = service.engine
            engine_sizes = () if engine is None else engine.sizes
            if name not in {size.name for size in engine_sizes}:
                context.findings.error(
                    item_place(key_place(place, "sizes"), index),
                    f"service {service.name} holds no model {name}",
                    "name one of its engine's sizes",
                )


def _check_kind(context: CheckContext, route: Route, place: Place) -> None:
    if route.kind == "once" and route.max_attempts > 1:
        context.findings.warning(
            key_place(place, "max_attempts"),
            "a call that runs once goes on only where a server says that it"
            " did not run it",
            "leave it out unless that is meant",
        )
    if route.resumable and route.kind != "stream":
        context.findings.error(
            key_place(place, "resumable"),
            "only a stream can be resumed",
            "leave it out, or make the route's kind 'stream'",
        )


__all__ = ["check_routes"]
