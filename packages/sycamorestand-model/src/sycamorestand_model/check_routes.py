"""Checks of routes: what they lead to, and that no two are the same."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorestand_model.check_subject import place_of
from sycamorestand_model.check_subject import report_unknown
from sycamorestand_model.findings import inside
from sycamorestand_model.findings import item

if TYPE_CHECKING:
    from sycamorestand_model.check_subject import Subject
    from sycamorestand_model.findings import Place
    from sycamorestand_model.routes import Route


def check_routes(subject: Subject) -> None:
    """Check the targets, sizes and places of every route."""
    places: dict[tuple[str, str], str] = {}
    for route in subject.declarations.routes.values():
        place = place_of(subject, "routes", route.name)
        _check_targets(subject, route, place)
        _check_sizes(subject, route, place)
        _check_kind(subject, route, place)
        key = (route.host, route.path_prefix)
        first = places.setdefault(key, route.name)
        if first != route.name:
            subject.findings.error(
                inside(place, "path_prefix"),
                f"routes.{first} has the same host and prefix",
                "remove one, or give it a prefix of its own",
            )


def _check_targets(subject: Subject, route: Route, place: Place) -> None:
    here = inside(place, "targets")
    for index, target in enumerate(route.targets):
        if target.service not in subject.declarations.services:
            where = item(here, index)
            report_unknown(subject, "services", target.service, where)
    if not sum(target.weight for target in route.targets):
        subject.findings.error(
            here,
            "the weights add up to 0, so no request would run",
            "give one of the targets a weight",
        )


def _check_sizes(subject: Subject, route: Route, place: Place) -> None:
    for index, name in enumerate(route.sizes):
        for target in route.targets:
            service = subject.declarations.services.get(target.service)
            if service is None:
                continue
            engine = service.engine
            held = () if engine is None else engine.sizes
            if name not in {size.name for size in held}:
                subject.findings.error(
                    item(inside(place, "sizes"), index),
                    f"service {service.name} holds no model {name}",
                    "name one of its engine's sizes",
                )


def _check_kind(subject: Subject, route: Route, place: Place) -> None:
    if route.kind == "once" and route.max_attempts > 1:
        subject.findings.warning(
            inside(place, "max_attempts"),
            "a call that runs once goes on only where a server says that it"
            " did not run it",
            "leave it out unless that is meant",
        )
    if route.resumable and route.kind != "stream":
        subject.findings.error(
            inside(place, "resumable"),
            "only a stream can be resumed",
            "leave it out, or make the route's kind 'stream'",
        )


__all__ = ["check_routes"]
